"""Interfaces that the platform implements for the gateway."""

from collections.abc import Callable
import dataclasses
from typing import Generic
from typing import Protocol
from typing import TypeVar

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.gateway import backends

T = TypeVar('T')


@dataclasses.dataclass(frozen=True, slots=True)
class Listing(Generic[T]):
    """All objects of a kind at one revision of the store.

    :ivar era: number of the store's history, whose revisions it names
    """

    revision: int
    item_by_name: dict[str, T]
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Change(Generic[T]):
    """A changed object; ``item`` is None if it was deleted."""

    name: str
    item: T | None


@dataclasses.dataclass(frozen=True, slots=True)
class Changes(Generic[T]):
    """The changes up to a revision, in order; empty if there were none.

    :ivar era: number of the store's history, whose revisions it names
    """

    revision: int
    changes: tuple[Change[T], ...]
    era: int = 0


class Feed(Protocol[T]):
    """Lists and watches the objects of one kind in the platform's store."""

    def list(self) -> Listing[T] | failures.Failure:
        """Return all objects, leaving out those that can't be decoded."""

    def watch(
        self, revision: int, timeout_seconds: float
    ) -> Changes[T] | failures.Failure:
        """Wait for changes after a revision, up to a timeout.

        A failure with ``STORE_CONFLICT`` means that the store no longer
        keeps the history since ``revision``, so a new listing is needed.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class LockState:
    """Who acquired the planner lock last.

    :ivar fencing_number: of that write, 0 if the lock was never acquired in
        the store's present history
    :ivar holder: name of the gateway, which may have restarted since
    :ivar revision: of the store at that write
    :ivar era: number of the store's history, whose revision it is
    """

    fencing_number: int
    holder: str
    revision: int = 0
    era: int = 0


class PlannerLock(Protocol):
    """A mutex in the store, acquired by a conditional write."""

    def acquire(self, before: LockState) -> int | failures.Failure:
        """Acquire the lock, unless somebody else did since it was read.

        A failure with ``STORE_CONFLICT`` means that somebody did, by what the
        store says.

        :param before: as read; one of an earlier history acquires nothing
        :returns: a fencing number, greater than all earlier ones, also of
            earlier histories
        """

    def read(self) -> LockState | failures.Failure:
        """Return who acquired the lock last."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request of a caller; its body is empty until it has been read.

    :ivar target: path and query as sent
    :ivar timeout_seconds: None if the caller gave no deadline
    :ivar prompt_tokens: 0 unless the request generates text
    :ivar max_answer_tokens: limit for the answer, 0 if there is none
    :ivar length_hint: the caller's estimate of the answer's tokens, or 0
    :ivar last_event_id: of the last event that the caller received, as it
        names it, or None
    :ivar headers: those that are forwarded unchanged
    :ivar prompt_parts: parts of the prompt that other requests may share,
        without the last one, which is the request's own
    :ivar unreadable_headers: names of those that should hold numbers
    :ivar invalid_deadline: text that is no number of milliseconds, or None
    """

    id: ids.RequestId
    method: str
    target: str
    path: str
    host: str
    api_key: str
    timeout_seconds: float | None
    prompt_tokens: int
    max_answer_tokens: int
    length_hint: int
    last_event_id: ids.EventId | None
    headers: tuple[tuple[str, str], ...]
    body: bytes
    prompt_parts: tuple[ids.Fingerprint, ...] = ()
    unreadable_headers: tuple[str, ...] = ()
    invalid_deadline: str | None = None

    def with_body(self, body: bytes) -> 'CallerRequest':
        """Return the request with its whole body."""
        return dataclasses.replace(self, body=body) if body else self


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to have a request served.

    :ivar server: the server that gets the request, first on the path
    :ivar timeout_seconds: left until the request's deadline
    :ivar path: all stages of a pipeline, empty for a plain service
    :ivar last_event_id: resume a stream after this event, or None
    :ivar priority: 0 to 9, 0 is admitted first
    """

    server: backends.BackendServer
    organisation: str
    timeout_seconds: float
    path: tuple[backends.Stage, ...]
    last_event_id: ids.EventId | None
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyMetadata:
    """Metadata in the head of a backend server's reply.

    :ivar request: id of the request, as echoed by the server
    :ivar is_signed: the reply carries the server's signature
    :ivar is_not_run: the server guarantees that it did not run the request
    :ivar refused_by: address of the server that caused a refusal, or empty
    :ivar is_encoded: the body has a content encoding, so it is not what the
        server itself sent
    :ivar limit: requests a second that the server accepts from all gateways
        together, None if it names no limit
    :ivar rest_seconds: for which the server wants no requests from this
        gateway, None if it doesn't say
    :ivar is_leaving: the server is about to end
    :ivar is_limit_unreadable: it names a limit that is no number
    :ivar is_rest_unreadable: it asks for a rest of no number of seconds
    """

    request: str
    is_signed: bool
    is_not_run: bool
    refused_by: ids.Address
    is_encoded: bool
    limit: float | None = None
    rest_seconds: float | None = None
    is_leaving: bool = False
    is_limit_unreadable: bool = False
    is_rest_unreadable: bool = False


class HeaderCodec(Protocol):
    """Reads and writes the headers that the platform defines."""

    def read_request(
        self, method: str, target: str, headers: tuple[tuple[str, str], ...]
    ) -> CallerRequest:
        """Read the head of a caller's request."""

    def backend_headers(
        self, request: CallerRequest, attempt: Attempt
    ) -> list[tuple[str, str]]:
        """Return the headers of a request to a backend server."""

    def read_reply(self, headers: list[tuple[str, str]]) -> ReplyMetadata:
        """Read the metadata of a backend server's reply."""

    def caller_headers(
        self, headers: list[tuple[str, str]]
    ) -> list[tuple[str, str]]:
        """Return the headers of a reply to the caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class StalledRequest:
    """A request that waits for an unresponsive server.

    :ivar address: of the server that it waits for
    """

    request: str
    address: ids.Address


@dataclasses.dataclass(frozen=True, slots=True)
class ServerReport:
    """The state that a server reports, some hundred milliseconds old.

    :ivar accepted_orders: orders that it accepted since its start
    :ivar has_pending_order: it is still carrying out the latest of them
    :ivar slowdown: how many times longer than usual the same work takes
    :ivar occupancy: share of its memory that is in use and can't be evicted
    :ivar stalled: requests whose path begins here and that wait for another
        server
    """

    accepted_orders: int
    has_pending_order: bool
    slowdown: float
    occupancy: float
    stalled: tuple[StalledRequest, ...]


class EngineClient(Protocol):
    """Sends orders to backend servers that run engines."""

    def assign_layers(
        self,
        server: backends.BackendServer,
        layers: backends.LayerRange,
        fencing_number: int,
        accepted_orders: int,
    ) -> failures.Failure | None:
        """Order a server to hold other layers.

        A failure with ``STALE_INCARNATION`` means that the server has seen a
        higher fencing number.

        :param accepted_orders: the server refuses the order unless it has
            accepted exactly this many, so a delayed order can't undo a newer
            one
        """

    def change_path(
        self, request: ids.RequestId, path: tuple[backends.Stage, ...]
    ) -> failures.Failure | None:
        """Order the first server of a running request to change its path.

        Servers that are new on the path read the prompt and all tokens so far
        through their layers; the others keep what they have read. A failure
        names the address of the server that has no room as its peer.

        :param path: begins at the same server as before
        """

    def fetch_report(
        self,
        server: backends.BackendServer,
        should_keep_waiting: Callable[[], bool] | None = None,
    ) -> ServerReport | failures.Failure:
        """Fetch a server's report.

        :param should_keep_waiting: called again and again while the answer
            is late; true waits on
        """


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayRecord:
    """A registered gateway.

    :ivar name: of its instance
    :ivar address: at which it receives messages of other gateways
    """

    name: str
    zone: ids.ZoneId
    address: ids.Address


class GatewayRegistry(Protocol):
    """The gateways that share the fleet."""

    def register(self) -> failures.Failure | None:
        """Add this gateway to the registry."""

    def list(self) -> list[GatewayRecord] | failures.Failure:
        """Return the registered gateways; some may have stopped."""

    def remove(self, name: str) -> failures.Failure | None:
        """Remove a gateway that is gone."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineRecord:
    """A fingerprint of requests that crash servers.

    :ivar crashes: names of servers' incarnations
    :ivar age_seconds: since the last of the crashes
    """

    fingerprint: ids.Fingerprint
    crashes: tuple[str, ...]
    age_seconds: float


class QuarantineRegistry(Protocol):
    """The quarantine records that outlast the gateways."""

    def list(self) -> list[QuarantineRecord] | failures.Failure:
        """Return all records."""

    def add(self, record: QuarantineRecord) -> failures.Failure | None:
        """Add a record; another gateway may have added it."""

    def remove(self, fingerprint: ids.Fingerprint) -> failures.Failure | None:
        """Remove a record; it may be removed already."""


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRecord:
    """A slot of the retry slack, see ``retry_slots``.

    :ivar holder: address of the gateway that uses it, empty if it is free and
        was not used in the last window
    :ivar era: number of the store's history for which the writer vouches
    :ivar revision: of the store at the last write
    :ivar unused_since: boot time seconds of its holder's machine since which
        nobody has used it, if the holder says so
    :ivar boot: names the boot that these seconds count from, or empty
    """

    holder: ids.Address
    era: int
    revision: int
    unused_since: float | None = None
    boot: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class SlotListing:
    """All slots that were ever written, at some moment.

    :ivar era: number of the store's history that was listed
    """

    era: int
    record_by_number: dict[int, SlotRecord]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotAnswer:
    """The store's answer to the write of a slot.

    :ivar record: as the store holds it now; None if it doesn't say
    :ivar era: number of the store's history in which it answered
    :ivar is_written: false if somebody else wrote before
    """

    record: SlotRecord | None
    era: int
    is_written: bool


class RetrySlotRegistry(Protocol):
    """The slots of the retry slack that all gateways share.

    :ivar boot: names the boot of this machine, empty if that is not known
    """

    boot: str

    def list(self, is_fresh: bool = False) -> SlotListing | failures.Failure:
        """Return all slots.

        :param is_fresh: as they are now, at ten times the price; otherwise
            they may be some seconds old
        """

    def write(
        self,
        number: int,
        holder: ids.Address,
        era: int,
        before: SlotRecord | None,
        unused_since: float | None = None,
    ) -> SlotAnswer | failures.Failure:
        """Write a slot, unless somebody else did after ``before``.

        A write whose answer is lost may be executed seconds later, if
        nobody else has written by then.

        :param era: see ``SlotRecord``
        :param before: as read, None if the slot was never written
        """
