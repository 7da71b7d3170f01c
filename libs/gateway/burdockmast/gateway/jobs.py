"""A caller's request while the gateway serves it, and the reply."""

import dataclasses

from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.gateway import config
from burdockmast.gateway import crash_suspects
from burdockmast.gateway import interfaces
from burdockmast.gateway import upstream


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """An admitted request with its route, deadline and priority.

    :ivar service: chosen among the route's services by their weights
    :ivar organisation: empty on public routes
    :ivar priority: 0 goes first
    :ivar arrived_at: monotonic time
    :ivar deadline: monotonic time, the earlier of the caller's deadline and
        the route's timeout
    :ivar configuration_version: of the configuration that admitted it
    """

    request: interfaces.CallerRequest
    route: config.Route
    service: config.Service
    organisation: ids.OrganisationId
    priority: int
    arrived_at: float
    deadline: float
    configuration_version: int

    @property
    def id(self) -> ids.RequestId:
        """The id that the caller gave to the request."""
        return self.request.id

    @property
    def fingerprints(self) -> tuple[ids.Fingerprint, ...]:
        """What it has in common with requests that may crash servers."""
        return crash_suspects.fingerprints_of(
            self.request, self.service.id, self.organisation
        )

    @property
    def seconds_left(self) -> float:
        """Seconds until the deadline; negative after it."""
        return self.deadline - timers.now()

    @property
    def is_idempotent(self) -> bool:
        """Whether the route lets the request run more than once."""
        return self.route.execution is config.Execution.REPEATABLE


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The head of the caller's reply, and its body unless it is streamed."""

    status: int
    phrase: str
    headers: list[tuple[str, str]]
    body: bytes | None = None

    @classmethod
    def from_head(
        cls,
        head: upstream.Head,
        header_codec: interfaces.HeaderCodec,
        body: bytes | None = None,
    ) -> 'Reply':
        """Create the caller's reply from a backend server's."""
        headers = header_codec.caller_headers(head.headers)
        return cls(head.status, head.phrase, headers, body)
