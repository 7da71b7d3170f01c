"""One caller's request on its way through a gateway."""

import dataclasses

from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.gateway import config
from burdockmast.gateway import interfaces
from burdockmast.gateway import upstream


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A request that may be served.

    :ivar service: the route's choice for this request
    :ivar organisation: empty on public routes
    :ivar priority: 0 goes first
    :ivar deadline: monotonic seconds of the caller's or the route's end
    :ivar version: of the configuration that allowed it
    """

    request: interfaces.CallerRequest
    route: config.Route
    service: config.Service
    organisation: ids.OrganisationId
    priority: int
    began: float
    deadline: float
    version: int

    @property
    def id(self) -> ids.RequestId:
        """The caller's id of the request."""
        return self.request.id

    @property
    def left(self) -> float:
        """Seconds that are left."""
        return self.deadline - timers.now()

    @property
    def may_repeat(self) -> bool:
        """Whether it may run more than once."""
        return self.route.execution is config.Execution.REPEATABLE


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The head of what the caller gets, and the body if it is whole."""

    status: int
    phrase: str
    headers: list[tuple[str, str]]
    body: bytes | None = None

    @classmethod
    def from_head(
        cls,
        head: upstream.Head,
        dialect: interfaces.HeaderCodec,
        body: bytes | None = None,
    ) -> 'Reply':
        """Pass a backend server's reply on."""
        headers = dialect.caller_headers(head.headers)
        return cls(head.status, head.phrase, headers, body)
