"""What the operator has configured: routes, services, organisations."""

import dataclasses
import enum

from burdockmast.base import ids


class Execution(enum.Enum):
    """How often one request may run."""

    REPEATABLE = 'any'
    AT_MOST_ONCE = 'once'


@dataclasses.dataclass(frozen=True, slots=True)
class AcceleratorKind:
    """A kind of accelerator.

    :ivar memory_mb: for layers and the caches of requests
    :ivar step_slowdown: time of a token step as a multiple of the engine's
    :ivar prefill_slowdown: time of a prompt as a multiple of the engine's
    """

    name: str
    memory_mb: float
    step_slowdown: float
    prefill_slowdown: float


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """The model that a service's servers run, and what it costs.

    :ivar layers: of the whole model
    :ivar layer_mb: memory of one layer's weights
    :ivar cache_bytes_per_token: KV cache of one token over all layers
    :ivar step_ms: a token step over all layers, at pace 1
    :ivar sequence_ms: more for each request that is writing
    :ivar context_ms: more for each 1,000 tokens of their context
    :ivar prefill_tokens_per_second: prompt tokens read in a second, at pace 1
    :ivar mean_prompt_tokens: mean tokens of a prompt
    :ivar mean_answer_tokens: mean tokens of an answer
    :ivar activation_bytes_per_token: sent from stage to stage for each token
    :ivar zone_link_mbps: shared by all transfers between two zones
    """

    layers: int
    layer_mb: float
    cache_bytes_per_token: float
    step_ms: float
    sequence_ms: float
    context_ms: float
    prefill_tokens_per_second: float
    mean_prompt_tokens: int
    mean_answer_tokens: int
    activation_bytes_per_token: float
    zone_link_mbps: float
    accelerator_by_name: dict[str, AcceleratorKind]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of backend servers that run the same thing.

    :ivar engine: None for a plain service
    """

    id: ids.ServiceId
    engine: Engine | None


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and path prefix go.

    :ivar weight_by_service: shares of the traffic
    :ivar is_stream: answered by a stream of numbered events
    :ivar is_resumable: a stream may go on at another server
    :ivar timeout_seconds: seconds until the final answer
    :ivar objective_seconds: seconds to the answer or its first event
    :ivar gap_objective_seconds: seconds between events, 0 if none is set
    :ivar max_attempts: servers that one request may be sent to
    :ivar priority: 0 goes first
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
    """An organisation; its priority, if any, goes before the route's."""

    id: ids.OrganisationId
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, in bytes."""

    max_body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration."""

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_id: dict[ids.ServiceId, Service]
    organisation_by_api_key: dict[str, Organisation]
    limits: CallerLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
