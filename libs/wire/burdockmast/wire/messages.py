"""The messages that processes of the system send each other.

Each is a msgpack array whose first element is its tag. New fields are only
ever added at the end, with a default, so that processes of two successive
releases understand each other.
"""

import enum
import typing

import msgspec

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import outcomes

PROTOCOL_VERSION = 1
# ``Failed.step`` of an attempt that was refused before any of it ran.
OPEN_STEP = 'stage.open'


class Role(enum.Enum):
    """What kind of process a peer is."""

    ENTRY = 'entry'
    SIDE = 'side'
    OPERATOR = 'operator'


class Record(msgspec.Struct, array_like=True, frozen=True):
    """Base of structs nested in messages."""


class Message(msgspec.Struct, array_like=True, frozen=True):
    """Base of all messages."""


class LayerRange(Record):
    """Layers ``first`` up to, not including, ``end`` of a model."""

    model: ids.ModelId
    first: int
    end: int


class Hop(Record):
    """One stage of a path: a backend server and the layers it runs."""

    server: ids.ServerId
    address: ids.Address
    first: int
    end: int


class LinkTime(Record):
    """Measured round trip time to another side process."""

    address: ids.Address
    rtt_us: int


class Load(Record):
    """What a side process reports of its backend server.

    :ivar layer_ns: the engine's time for one layer of one sequence, at the
        recent batch sizes
    :ivar leaving: the backend server is draining
    :ivar held: layer ranges that are loaded; none from the loss of the
        engine until it is back and has loaded layers again
    :ivar prefill_ns: the engine's time for one layer of one prompt token
    """

    server: ids.ServerId
    running: int
    slots: int
    layer_ns: int
    leaving: bool
    held: tuple[LayerRange, ...] = ()
    links: tuple[LinkTime, ...] = ()
    prefill_ns: int = 0
    is_engine_lost: bool = False


class Strike(Record):
    """Crash report: a request that ran when a backend server crashed."""

    fingerprint: ids.Fingerprint
    crash: str


class Hello(Message, tag=1):
    """The handshake: the first message in both directions of a connection."""

    protocol: int
    role: Role
    process: ids.InstanceId
    address: ids.Address
    zone: ids.ZoneId
    server: ids.ServerId = ids.ServerId('')


class Heartbeat(Message, tag=2):
    """Keeps a link alive and spreads control information between peers.

    :ivar clock: Lamport time stamp
    :ivar version: newest configuration version the sender has
    :ivar store_age_ms: time since this information was read from the store
    :ivar stamp_us: the sender's monotonic clock
    :ivar echo_us: the newest ``stamp_us`` received from the peer
    :ivar held_us: time between receiving ``echo_us`` and sending it back
    :ivar strikes: recent crash reports
    :ivar period_ms: time until the next heartbeat
    :ivar list_revision: revision of the newest ``Leaving`` the sender has
    """

    clock: int
    version: ids.Version
    store_age_ms: int
    stamp_us: int
    echo_us: int
    held_us: int
    load: Load | None = None
    strikes: tuple[Strike, ...] = ()
    period_ms: int = 1000
    list_revision: int = 0


class Start(Message, tag=3):
    """Open an answer on the stage ``hops[position]`` and those after it.

    :ivar tokens: the prompt and the answer's tokens that the caller has
        already received
    :ivar budget_ms: time left until the caller's deadline
    :ivar strikes: number of crashes at which, as far as the entry knows,
        this request was running
    :ivar cached: tokens that each of the earlier stages had cached
    """

    answer: ids.RequestId
    attempt: int
    model: ids.ModelId
    hops: tuple[Hop, ...]
    position: int
    tokens: tuple[int, ...]
    prompt_length: int
    max_tokens: int
    budget_ms: int
    priority: int
    fingerprint: ids.Fingerprint
    clock: int
    strikes: int = 0
    cached: tuple[int, ...] = ()


class Step(Message, tag=4):
    """Hidden state of a token for the stage that starts at ``next_layer``."""

    answer: ids.RequestId
    attempt: int
    index: int
    next_layer: int
    state: bytes


class Token(Message, tag=5):
    """A generated token, sent by the last stage to the entry via the first."""

    answer: ids.RequestId
    attempt: int
    index: int
    token: int


class Finished(Message, tag=6):
    """The answer is complete with ``count`` tokens."""

    answer: ids.RequestId
    attempt: int
    count: int
    clock: int


class Failed(Message, tag=7):
    """An attempt ended before the answer was complete.

    :ivar crash: id of the engine's crash that ended the attempt, if any
    """

    answer: ids.RequestId
    attempt: int
    reason: failures.Reason
    step: str
    peer: str
    server: ids.ServerId
    clock: int
    retry_after_ms: int = 0
    crash: str = ''


class Cancel(Message, tag=8):
    """Cancel an attempt; there is no reply."""

    answer: ids.RequestId
    attempt: int


class ServiceCall(Message, tag=9):
    """Call a plain service once, through its side process.

    A side process whose id is not ``incarnation`` refuses the call; an empty
    ``incarnation`` matches any.
    """

    call: str
    request: ids.RequestId
    service: ids.ServiceId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    attempt: int
    incarnation: ids.InstanceId
    budget_ms: int
    clock: int


class ServiceReply(Message, tag=10):
    """Result of a ``ServiceCall`` or ``Settle``."""

    call: str
    outcome: outcomes.Outcome
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    reason: failures.Reason | None
    detail: str
    clock: int


class Settle(Message, tag=11):
    """Ask for the outcome of an attempt; void it if it has not started."""

    call: str
    key: str
    attempt: int
    incarnation: ids.InstanceId
    clock: int


class ChangesWanted(Message, tag=12):
    """Ask for the configuration changes after ``version``."""

    version: ids.Version


class Changes(Message, tag=13):
    """Configuration changes, each encoded, starting with ``first``."""

    first: ids.Version
    encoded: tuple[bytes, ...]
    store_age_ms: int = 0


class Snapshot(Message, tag=14):
    """The whole configuration as of ``version``, for a new process."""

    version: ids.Version
    encoded: bytes
    digest: bytes


class Claim(Message, tag=15):
    """Ask a claim writer to append a record to its shard's journal."""

    call: str
    shard: int
    record: bytes


class Claimed(Message, tag=16):
    """Reply to a ``Claim``: the record that the journal holds for its key."""

    call: str
    record: bytes
    reason: failures.Reason | None = None
    detail: str = ''


class Query(Message, tag=17):
    """An operator's query to one process."""

    call: str
    what: str
    argument: str = ''


class QueryReply(Message, tag=18):
    """The reply to a ``Query``; its body is JSON."""

    call: str
    body: bytes


class Opened(Message, tag=19):
    """All stages have accepted an attempt; the last stage tells the first.

    The first stage only starts to compute after this message, so that an
    attempt that any stage refuses is certainly not run.

    :ivar cached: tokens that each stage's engine probably had cached
    """

    answer: ids.RequestId
    attempt: int
    clock: int
    cached: tuple[int, ...] = ()


class Leaving(Message, tag=20):
    """All instances that the platform's list shows as draining.

    :ivar revision: the list's revision at which they were found
    """

    revision: int
    instances: tuple[ids.PlatformInstance, ...]


class Begun(Message, tag=21):
    """All stages have accepted an attempt; the first stage tells the entry.

    :ivar cached: tokens that each stage's engine probably had cached
    """

    answer: ids.RequestId
    attempt: int
    cached: tuple[int, ...]
    clock: int


AnyMessage = (
    Hello
    | Heartbeat
    | Start
    | Step
    | Token
    | Finished
    | Failed
    | Cancel
    | ServiceCall
    | ServiceReply
    | Settle
    | ChangesWanted
    | Changes
    | Snapshot
    | Claim
    | Claimed
    | Query
    | QueryReply
    | Opened
    | Leaving
    | Begun
)

TYPE_BY_TAG: dict[int, type[Message]] = {
    kind.__struct_config__.tag: kind for kind in typing.get_args(AnyMessage)
}

# Messages that answer the request with the same ``call`` id.
REPLY_TYPES = (ServiceReply, Claimed, QueryReply)
