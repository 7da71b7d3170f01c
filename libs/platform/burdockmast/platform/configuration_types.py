"""The configuration as operators write it, by its keys on the wire."""

import msgspec

# Most layers of a model. Gateways keep counts for each layer.
MAX_LAYERS = 10_000


class Split(msgspec.Struct, frozen=True):
    """A share of a route's traffic, by the service that gets it."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, rename='kebab'):
    """A route.

    :ivar slo_ms: objective for the time until the answer or its first event
    :ivar gap_aim_ms: objective for the time between two events
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = 30000
    slo_ms: float = 1000
    priority: int = 5
    service: str | None = None
    traffic_split: list[Split] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0


class AcceleratorKind(msgspec.Struct, frozen=True, rename='kebab'):
    """A kind of accelerator.

    :ivar mb: memory in megabytes
    :ivar pace: slowdown of decode steps
    :ivar read_x: slowdown of prefills
    """

    name: str
    mb: float
    pace: float = 1.0
    read_x: float = 1.0


class MeanTokens(msgspec.Struct, frozen=True):
    """Mean numbers of tokens of requests to a service."""

    prompt: float = 500
    answer: float = 100


class Delay(msgspec.Struct, frozen=True):
    """The delay of a hop between two zones."""

    source: str = msgspec.field(default='', name='from')
    target: str = msgspec.field(default='', name='to')
    delay_ms: float = 0.0


class Engine(msgspec.Struct, frozen=True):
    """The model that a service runs, and what running it costs.

    Some fields have dashes on the wire and others underscores, so those with
    dashes are renamed one by one.

    :ivar per_seq_ms: added to a step for each request that is decoding
    :ivar context_per_k: milliseconds added to a step for each 1,000 tokens
        of context
    :ivar read_per_s: tokens of prompts that are prefilled in a second
    """

    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 100000.0
    layers: int = 0
    layer_mb: float = msgspec.field(default=0.0, name='layer-mb')
    kv_bytes: float = msgspec.field(default=0.0, name='kv-bytes')
    act_bytes: float = msgspec.field(default=0.0, name='act-bytes')
    pipe_mbps: float = msgspec.field(default=0.0, name='pipe-mbps')
    usual: MeanTokens = MeanTokens()
    kinds: list[AcceleratorKind] = []
    delays: list[Delay] = []


class Service(msgspec.Struct, frozen=True):
    """A service; one without an engine runs no model."""

    name: str
    engine: Engine | None = None


class Tenant(msgspec.Struct, frozen=True, rename='kebab'):
    """An organisation, which the platform calls a tenant."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class Limits(msgspec.Struct, frozen=True, rename='kebab'):
    """Limits on what callers send and the time that they take."""

    max_body_bytes: int = 4194304
    max_header_bytes: int = 16384
    header_timeout_ms: float = 20000
    idle_timeout_ms: float = 15000


class Configuration(msgspec.Struct, frozen=True):
    """The object that the operator writes."""

    version: int
    routes: list[Route] = []
    services: list[Service] = []
    # Without the list callers need no key, unlike with an empty one.
    tenants: list[Tenant] | msgspec.UnsetType = msgspec.UNSET
    limits: Limits = Limits()
