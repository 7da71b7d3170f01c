"""What the operator has configured: routes, services, organisations."""

import dataclasses
import enum

from burdockmast.base import ids


class Repeats(enum.Enum):
    """How often one request may run."""

    ANY = 'any'
    ONCE = 'once'


@dataclasses.dataclass(frozen=True, slots=True)
class AcceleratorKind:
    """A kind of accelerator.

    :ivar memory_mb: for layers and the caches of requests
    :ivar step_pace: time of a token step as a multiple of the engine's
    :ivar prefill_pace: time of a prompt as a multiple of the engine's
    """

    name: str
    memory_mb: float
    step_pace: float
    prefill_pace: float


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """The model that a service's servers run, and what it costs.

    :ivar layers: of the whole model
    :ivar layer_mb: memory of one layer's weights
    :ivar cache_bytes: KV cache of one token over all layers
    :ivar step_ms: a token step over all layers, at pace 1
    :ivar sequence_ms: more for each request that is writing
    :ivar context_ms: more for each 1,000 tokens of their context
    :ivar prefill_per_s: prompt tokens read in a second, at pace 1
    :ivar usual_prompt: mean tokens of a prompt
    :ivar usual_answer: mean tokens of an answer
    :ivar activation_bytes: sent from stage to stage for each token
    :ivar zone_link_mbps: shared by all transfers between two zones
    """

    layers: int
    layer_mb: float
    cache_bytes: float
    step_ms: float
    sequence_ms: float
    context_ms: float
    prefill_per_s: float
    usual_prompt: int
    usual_answer: int
    activation_bytes: float
    zone_link_mbps: float
    kind_by_name: dict[str, AcceleratorKind]


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
    :ivar timeout: seconds until the final answer
    :ivar objective: seconds to the answer or its first event
    :ivar gap_objective: seconds between events, 0 if none is set
    :ivar attempts: servers that one request may be sent to
    :ivar priority: 0 goes first
    """

    name: str
    host: str
    prefix: str
    weight_by_service: dict[ids.ServiceId, float]
    repeats: Repeats
    is_stream: bool
    is_resumable: bool
    is_public: bool
    timeout: float
    objective: float
    gap_objective: float
    attempts: int
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation; its priority, if any, goes before the route's."""

    id: ids.OrganisationId
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, in bytes."""

    body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """One version of the operator's configuration."""

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_id: dict[ids.ServiceId, Service]
    organisation_by_key: dict[str, Organisation]
    limits: CallerLimits

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
