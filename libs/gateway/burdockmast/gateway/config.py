"""The operator's configuration: routes, services and organisations."""

import dataclasses
import enum

from burdockmast.base import ids


class Execution(enum.Enum):
    """Whether a request may be executed more than once."""

    REPEATABLE = 'any'
    AT_MOST_ONCE = 'once'


@dataclasses.dataclass(frozen=True, slots=True)
class AcceleratorKind:
    """A kind of accelerator.

    :ivar memory_mb: for layers and the KV caches of requests
    :ivar step_slowdown: factor on the engine's time for a decode step
    :ivar prefill_slowdown: factor on the engine's time for a prefill
    """

    name: str
    memory_mb: float
    step_slowdown: float
    prefill_slowdown: float


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """The model that a service's servers run, and what running it costs.

    Times are those of an accelerator with a slowdown of 1.

    :ivar layers: number of layers of the model
    :ivar layer_mb: memory for the weights of one layer
    :ivar cache_bytes_per_token: KV cache over all layers
    :ivar step_ms: one decode step over all layers
    :ivar sequence_ms: added to a step for each request that is decoding
    :ivar context_ms: added to a step for each 1,000 tokens of their context
    :ivar prefill_tokens_per_second: over all layers
    :ivar activation_bytes_per_token: sent from each stage to the next
    :ivar zone_link_mbps: bandwidth between two zones, shared by all transfers
    :ivar zone_delay_ms: longest hop between two zones, 0 if none is known
    """

    layers: int
    layer_mb: float
    cache_bytes_per_token: float
    step_ms: float
    sequence_ms: float
    context_ms: float
    prefill_tokens_per_second: float
    mean_prompt_tokens: float
    mean_answer_tokens: float
    activation_bytes_per_token: float
    zone_link_mbps: float
    accelerator_by_name: dict[str, AcceleratorKind]
    zone_delay_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable backend servers.

    :ivar engine: None for a plain service, which runs no model
    """

    id: ids.ServiceId
    engine: Engine | None


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where the requests for a host and path prefix go.

    :ivar weight_by_service: shares of the traffic, of services that get any
    :ivar is_stream: answered by a stream of numbered events
    :ivar is_resumable: a stream may continue on another server
    :ivar timeout_seconds: until the end of the answer
    :ivar objective_seconds: until the answer or its first event
    :ivar gap_objective_seconds: between two events, 0 if none is set
    :ivar max_attempts: attempts of one request that may execute it
    :ivar priority: 0 is served first
    """

    name: str
    host: str
    path_prefix: str
    weight_by_service: dict[ids.ServiceId, float]
    execution: Execution
    is_stream: bool
    is_resumable: bool
    is_public: bool
    timeout_seconds: float
    objective_seconds: float
    gap_objective_seconds: float
    max_attempts: int
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation; its priority, if set, overrides the route's."""

    id: ids.OrganisationId
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class NoAuthentication:
    """Callers need no API key."""


@dataclasses.dataclass(frozen=True, slots=True)
class ApiKeyAuthentication:
    """Callers need an API key; where none is in force, nobody has one.

    :ivar is_complete: false if a key that is not listed may be in force
    """

    organisation_by_api_key: dict[str, Organisation]
    is_complete: bool = True


Authentication = NoAuthentication | ApiKeyAuthentication


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what callers may send, and on the time that they take.

    :ivar max_header_bytes: of all headers of a request
    :ivar header_timeout_seconds: for the head of a request
    :ivar idle_timeout_seconds: between two requests of a connection
    """

    max_body_bytes: int = 4194304
    max_header_bytes: int = 16384
    header_timeout_seconds: float = 20.0
    idle_timeout_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration.

    :ivar faults: fields that could not be read, and what follows
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_id: dict[ids.ServiceId, Service]
    authentication: Authentication
    limits: CallerLimits
    faults: tuple[str, ...] = ()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, if any."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
