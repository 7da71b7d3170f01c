"""What the gateway needs of the platform that it runs on."""

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
    """All objects of a kind at a revision of the store."""

    revision: int
    item_by_name: dict[str, T]


@dataclasses.dataclass(frozen=True, slots=True)
class Change(Generic[T]):
    """An object that changed; ``item`` is None if it is gone."""

    name: str
    item: T | None


@dataclasses.dataclass(frozen=True, slots=True)
class Changes(Generic[T]):
    """What changed up to a revision, in order; empty if nothing did."""

    revision: int
    changes: tuple[Change[T], ...]


class Feed(Protocol[T]):
    """Objects of one kind in the platform's store."""

    def list(self) -> Listing[T] | failures.Failure:
        """Return all objects; objects that can't be read are left out."""

    def watch(
        self, revision: int, timeout_seconds: float
    ) -> Changes[T] | failures.Failure:
        """Wait for changes after a revision.

        A failure with ``STORE_CONFLICT`` says that this history is gone.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class LockState:
    """The last time that a seat was taken.

    :ivar revision: 0 if it never was
    :ivar holder: the gateway that took it, perhaps before a restart
    """

    revision: int
    holder: str


class PlannerLock(Protocol):
    """A mutex in the store, taken by a conditional write."""

    def acquire(self, revision: int) -> int | failures.Failure:
        """Take the seat, if nobody has since ``revision``.

        :returns: a fencing number that is above all earlier ones
        """

    def read(self) -> 'LockState | failures.Failure':
        """Return who took the seat last."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request, read whole.

    :ivar target: path and query as sent
    :ivar timeout_seconds: that the caller waits, None if it did not say
    :ivar prompt_tokens: 0 if the request is no generation
    :ivar max_answer_tokens: at most
    :ivar length_hint: the caller's guess of the answer's tokens, or 0
    :ivar last_event_id: id of the last event that the caller has, or None
    :ivar headers: those that are passed on unchanged
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
    last_event_id: int | None
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """How a request is sent to its first server.

    :ivar timeout_seconds: that are left to answer it
    :ivar path: all stages of a pipeline, empty for a plain service
    :ivar last_event_id: resume a stream behind this event, or None
    :ivar priority: 0 to 9, 0 is admitted first
    """

    server: backends.BackendServer
    organisation: str
    timeout_seconds: float
    path: tuple[backends.Stage, ...]
    last_event_id: int | None
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyMetadata:
    """What the head of a backend server's reply says.

    :ivar request: the request that it answers, as echoed
    :ivar is_signed: bears the server's signature
    :ivar is_not_run: the server promises that it ran nothing
    :ivar refused_by: address of the server that caused a refusal, or empty
    :ivar is_encoded: the body is not the server's own
    """

    request: str
    is_signed: bool
    is_not_run: bool
    refused_by: ids.Address
    is_encoded: bool


class HeaderCodec(Protocol):
    """Names of headers between callers, gateway and backend servers."""

    def read_request(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> CallerRequest | failures.Failure:
        """Read a caller's request."""

    def backend_headers(
        self, request: CallerRequest, attempt: Attempt
    ) -> list[tuple[str, str]]:
        """Return the headers of a request as it is sent on."""

    def read_reply(self, headers: list[tuple[str, str]]) -> ReplyMetadata:
        """Read the head of a reply."""

    def caller_headers(
        self, headers: list[tuple[str, str]]
    ) -> list[tuple[str, str]]:
        """Return the headers of a reply that the caller gets."""


@dataclasses.dataclass(frozen=True, slots=True)
class StalledRequest:
    """A request that waits for a server that does not answer."""

    request: str
    address: ids.Address


@dataclasses.dataclass(frozen=True, slots=True)
class ServerReport:
    """What a server says of itself, some hundred milliseconds late.

    :ivar accepted_orders: accepted since its start
    :ivar has_pending_order: it has not carried out the last of them yet
    :ivar slowdown: its time for the same work, as a multiple of the usual
    :ivar occupancy: share of its memory that is in use and can't yield
    :ivar stalled: requests that it runs first and that wait for others
    """

    accepted_orders: int
    has_pending_order: bool
    slowdown: float
    occupancy: float
    stalled: tuple[StalledRequest, ...]


class EngineClient(Protocol):
    """Orders to backend servers that run engines."""

    def assign_layers(
        self,
        server: backends.BackendServer,
        layers: backends.LayerRange,
        fencing_number: int,
        accepted_orders: int,
    ) -> failures.Failure | None:
        """Have a server hold other layers.

        :param accepted_orders: that it must have accepted so far; an order
            that is carried out late can't undo a newer one
        ``STALE_INCARNATION`` says that a higher fencing number was used.
        """

    def fetch_report(
        self, server: backends.BackendServer
    ) -> ServerReport | failures.Failure:
        """Ask a server what it says of itself."""


class GatewayRegistry(Protocol):
    """The gateways that share the budget of retries."""

    def register(self) -> failures.Failure | None:
        """Make this gateway known."""

    def count(self) -> int | failures.Failure:
        """Return how many gateways are known; some may be gone."""
