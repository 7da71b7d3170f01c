"""The messages that processes of the system send each other.

Each is a msgpack array whose first element is its tag. Fields are only
ever added at the end, with a default, so that neighbours of the previous
release understand each other.
"""

import enum
import typing

import msgspec

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import outcomes

PROTOCOL_VERSION = 1
# Step of a ``Failed`` whose sender has run nothing of the attempt.
OPEN_STEP = 'stage.open'


class Role(enum.Enum):
    """What kind of process a peer is."""

    ENTRY = 'entry'
    SIDE = 'side'
    OPERATOR = 'operator'


class Record(msgspec.Struct, array_like=True, frozen=True):
    """Base of records nested in messages."""


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
    """Measured round trip to another side, in microseconds."""

    address: ids.Address
    rtt_us: int


class Load(Record):
    """What a side reports of its backend server.

    ``layer_ns`` is the engine's time for one layer of one sequence, at the
    batches of late; ``held`` are the layer ranges that are loaded now;
    ``prefill_ns`` is its time for one layer of one prompt token. A side whose
    engine is lost holds nothing until the engine is back and has loaded.
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
    """A request that was running when a backend server crashed."""

    fingerprint: ids.Fingerprint
    crash: str


class Hello(Message, tag=1):
    """First message in both directions of a connection."""

    protocol: int
    role: Role
    process: ids.InstanceId
    address: ids.Address
    zone: ids.ZoneId
    server: ids.ServerId = ids.ServerId('')


class Heartbeat(Message, tag=2):
    """Sign of life, with all control information that spreads by peers.

    :ivar clock: Lamport stamp
    :ivar version: newest configuration version the sender has
    :ivar store_age_ms: time since this information left the store
    :ivar stamp_us: the sender's monotonic clock
    :ivar echo_us: the newest ``stamp_us`` received from the peer
    :ivar held_us: time for which ``echo_us`` was held before this
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

    ``tokens`` are the prompt followed by what the caller already has;
    ``budget_ms`` is the time left until the caller's deadline; ``strikes``
    are the crashes at which the entry knows this request was running;
    ``cached`` are the tokens that the stages before had cached, each.
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
    """State of one token on its way to the stage at ``next_layer``."""

    answer: ids.RequestId
    attempt: int
    index: int
    next_layer: int
    state: bytes


class Token(Message, tag=5):
    """A finished token, from the last stage to the head to the entry."""

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
    """An attempt ended before its answer did."""

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
    """Forget an attempt; nothing is sent back."""

    answer: ids.RequestId
    attempt: int


class ServiceCall(Message, tag=9):
    """Call a plain service once, through the side beside it.

    A side whose process id is not ``incarnation`` refuses; empty accepts
    any.
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
    """Ask what became of an attempt, and bar it if it has not started."""

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
    """Ask a claim home to append a record to its shard's journal."""

    call: str
    shard: int
    record: bytes


class Claimed(Message, tag=16):
    """The journal's decision about a record: the winning one."""

    call: str
    record: bytes
    reason: failures.Reason | None = None
    detail: str = ''


class Query(Message, tag=17):
    """An operator's question to one process."""

    call: str
    what: str
    argument: str = ''


class QueryReply(Message, tag=18):
    """The answer to a ``Query``, as JSON."""

    call: str
    body: bytes


class Opened(Message, tag=19):
    """All stages have accepted an attempt; sent by the last to the head.

    Only now the head begins, so that a refusal by any stage is unrun.

    :ivar cached: tokens that each stage's engine probably had cached
    """

    answer: ids.RequestId
    attempt: int
    clock: int
    cached: tuple[int, ...] = ()


class Leaving(Message, tag=20):
    """All instances that the platform's list shows as leaving.

    :ivar revision: the list's revision at which they were found
    """

    revision: int
    instances: tuple[ids.PlatformInstance, ...]


class Begun(Message, tag=21):
    """All stages have accepted an attempt; sent by the head to the entry.

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

# Replies are matched with their question by ``call``.
REPLY_TYPES = (ServiceReply, Claimed, QueryReply)
