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

    def wait(
        self, revision: int, seconds: float
    ) -> Changes[T] | failures.Failure:
        """Wait for changes after a revision.

        A failure with ``STORE_CONFLICT`` says that this history is gone.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Seating:
    """The last time that a seat was taken.

    :ivar revision: 0 if it never was
    :ivar holder: the gateway that took it, perhaps before a restart
    """

    revision: int
    holder: str


class Seat(Protocol):
    """A mutex in the store, taken by a conditional write."""

    def take(self, seen: int) -> int | failures.Failure:
        """Take the seat, if nobody has since revision ``seen``.

        :returns: a fencing number that is above all earlier ones
        """

    def seen(self) -> 'Seating | failures.Failure':
        """Return who took the seat last."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request, read whole.

    :ivar target: path and query as sent
    :ivar seconds: that the caller waits, None if it did not say
    :ivar prompt_tokens: 0 if the request is no generation
    :ivar answer_tokens: at most
    :ivar length_hint: the caller's guess of the answer's tokens, or 0
    :ivar after_event: id of the last event that the caller has, or None
    :ivar headers: those that are passed on unchanged
    """

    id: ids.RequestId
    method: str
    target: str
    path: str
    host: str
    key: str
    seconds: float | None
    prompt_tokens: int
    answer_tokens: int
    length_hint: int
    after_event: int | None
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Sending:
    """How a request is sent to its first server.

    :ivar seconds: that are left to answer it
    :ivar path: all stages of a pipeline, empty for a plain service
    :ivar after_event: resume a stream behind this event, or None
    :ivar urgency: 0 to 9, 0 is admitted first
    """

    server: backends.BackendServer
    organisation: str
    seconds: float
    path: tuple[backends.Stage, ...]
    after_event: int | None
    urgency: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyFacts:
    """What the head of a backend server's reply says.

    :ivar request: the request that it answers, as echoed
    :ivar is_sealed: bears the server's signature
    :ivar is_not_run: the server promises that it ran nothing
    :ivar culprit: address of the server that caused a refusal, or empty
    :ivar is_encoded: the body is not the server's own
    """

    request: str
    is_sealed: bool
    is_not_run: bool
    culprit: ids.Address
    is_encoded: bool


class Dialect(Protocol):
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
        self, request: CallerRequest, sending: Sending
    ) -> list[tuple[str, str]]:
        """Return the headers of a request as it is sent on."""

    def read_reply(self, headers: list[tuple[str, str]]) -> ReplyFacts:
        """Read the head of a reply."""

    def caller_headers(
        self, headers: list[tuple[str, str]]
    ) -> list[tuple[str, str]]:
        """Return the headers of a reply that the caller gets."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stalled:
    """A request that waits for a server that does not answer."""

    request: str
    address: ids.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a server says of itself, some hundred milliseconds late.

    :ivar orders: accepted since its start
    :ivar is_ordered: it has not carried out the last of them yet
    :ivar pace: its time for the same work, as a multiple of the usual
    :ivar occupancy: share of its memory that is in use and can't yield
    :ivar stalled: requests that it runs first and that wait for others
    """

    orders: int
    is_ordered: bool
    pace: float
    occupancy: float
    stalled: tuple[Stalled, ...]


class EngineControl(Protocol):
    """Orders to backend servers that run engines."""

    def place(
        self,
        server: backends.BackendServer,
        layers: backends.LayerRange,
        fence: int,
        orders: int,
    ) -> failures.Failure | None:
        """Have a server hold other layers.

        :param orders: that it must have accepted so far; an order that is
            carried out late can't undo a newer one
        ``STALE_INCARNATION`` says that a higher fencing number was used.
        """

    def report(
        self, server: backends.BackendServer
    ) -> Report | failures.Failure:
        """Ask a server what it says of itself."""


class Roster(Protocol):
    """The gateways that share the budget of retries."""

    def join(self) -> failures.Failure | None:
        """Make this gateway known."""

    def count(self) -> int | failures.Failure:
        """Return how many gateways are known; some may be gone."""
