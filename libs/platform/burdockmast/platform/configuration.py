"""Decodes the configuration that operators write to the platform."""

from typing import Any

import msgspec

from burdockmast.base import ids
from burdockmast.base import json_values
from burdockmast.gateway import config

# Kind and name of the object that holds the newest configuration.
KIND = 'config'
NAME = 'main'


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True, rename='kebab'):
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
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0


class _AcceleratorKind(msgspec.Struct, frozen=True, rename='kebab'):
    """A kind of accelerator.

    :ivar mb: memory in megabytes
    :ivar pace: slowdown of decode steps
    :ivar read_x: slowdown of prefills
    """

    name: str
    mb: float
    pace: float = 1.0
    read_x: float = 1.0


class _MeanTokens(msgspec.Struct, frozen=True):
    prompt: float = 500
    answer: float = 100


class _Delay(msgspec.Struct, frozen=True):
    """The delay of a hop between two zones."""

    source: str = msgspec.field(default='', name='from')
    target: str = msgspec.field(default='', name='to')
    delay_ms: float = 0.0


class _Engine(msgspec.Struct, frozen=True):
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
    usual: _MeanTokens = _MeanTokens()
    kinds: list[_AcceleratorKind] = []
    delays: list[_Delay] = []


class _Service(msgspec.Struct, frozen=True):
    name: str
    engine: _Engine | None = None


class _Tenant(msgspec.Struct, frozen=True, rename='kebab'):
    """An organisation, which the platform calls a tenant."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Limits(msgspec.Struct, frozen=True, rename='kebab'):
    max_body_bytes: int = 4194304
    max_header_bytes: int = 16384
    header_timeout_ms: float = 20000
    idle_timeout_ms: float = 15000


class _Configuration(msgspec.Struct, frozen=True):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    # Without the list callers need no key, unlike with an empty one.
    tenants: list[_Tenant] | msgspec.UnsetType = msgspec.UNSET
    limits: _Limits = _Limits()


def decode(name: str, spec: object) -> config.Configuration:
    """Decode the object that holds the configuration.

    :raises msgspec.ValidationError: if it is not a valid configuration, or not
        the object that the operator writes
    """
    if name != NAME:
        raise msgspec.ValidationError(f'object is not called {NAME!r}')
    decoded = _convert(spec)
    routes = [_convert_route(route) for route in decoded.routes]
    # Longer prefixes come first, since the first match is used.
    routes.sort(key=lambda route: -len(route.path_prefix))
    by_host: dict[str, list[config.Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return config.Configuration(
        decoded.version,
        {host: tuple(host_routes) for host, host_routes in by_host.items()},
        {
            ids.ServiceId(service.name): config.Service(
                ids.ServiceId(service.name),
                service.engine and _convert_engine(service.engine),
            )
            for service in decoded.services
        },
        _convert_tenants(decoded.tenants),
        _convert_limits(decoded.limits),
    )


def wire_type() -> type[msgspec.Struct]:
    """Return the type that defines the known keys and the type of each."""
    return _Configuration


def complete(spec: object) -> dict[str, Any]:
    """Return a configuration with all known keys, by their wire names.

    Keys that are absent have the value that a gateway takes for them, except
    for ``tenants``. Unknown keys are left out.

    :raises msgspec.ValidationError: if it is not a valid configuration
    """
    return msgspec.to_builtins(_convert(spec))


def _convert(spec: object) -> _Configuration:
    """Convert a configuration, in whatever form its values are."""
    if isinstance(spec, dict) and spec.get('tenants', ()) is None:
        # Taken for absent, it would let callers in without a key.
        raise msgspec.ValidationError(
            'Expected `array`, got `null` - at `$.tenants`'
        )
    return json_values.convert(spec, _Configuration)


def _convert_limits(limits: _Limits) -> config.CallerLimits:
    return config.CallerLimits(
        limits.max_body_bytes,
        limits.max_header_bytes,
        limits.header_timeout_ms / 1000,
        limits.idle_timeout_ms / 1000,
    )


def _convert_tenants(
    tenants: list[_Tenant] | msgspec.UnsetType,
) -> config.Authentication:
    if isinstance(tenants, msgspec.UnsetType):
        return config.NoAuthentication()
    return config.ApiKeyAuthentication(
        {
            key: config.Organisation(
                ids.OrganisationId(tenant.name), tenant.priority
            )
            for tenant in tenants
            for key in tenant.api_keys
            # A request without a key would hold an empty one.
            if key
        }
    )


def _convert_route(route: _Route) -> config.Route:
    is_stream = route.kind == 'streaming'
    is_repeatable = route.kind == 'safe' or (is_stream and route.resumable)
    return config.Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        weight_by_service=_weight_by_service(route),
        execution=(
            config.Execution.REPEATABLE
            if is_repeatable
            else config.Execution.AT_MOST_ONCE
        ),
        is_stream=is_stream,
        is_resumable=is_stream and route.resumable,
        is_public=route.public,
        timeout_seconds=route.timeout_ms / 1000,
        objective_seconds=route.slo_ms / 1000,
        gap_objective_seconds=route.gap_aim_ms / 1000,
        max_attempts=max(1, route.max_attempts),
        priority=route.priority,
    )


def _weight_by_service(route: _Route) -> dict[ids.ServiceId, float]:
    """Return the weights of the services that get any traffic."""
    if not route.traffic_split:
        return {ids.ServiceId(route.service): 1.0} if route.service else {}
    weight_by_service: dict[ids.ServiceId, float] = {}
    for split in route.traffic_split:
        if split.weight > 0:
            service = ids.ServiceId(split.service)
            weight_by_service[service] = (
                weight_by_service.get(service, 0.0) + split.weight
            )
    return weight_by_service


def _convert_engine(engine: _Engine) -> config.Engine | None:
    if not engine.layers:
        return None
    return config.Engine(
        layers=engine.layers,
        layer_mb=engine.layer_mb,
        cache_bytes_per_token=engine.kv_bytes,
        step_ms=engine.step_ms,
        sequence_ms=engine.per_seq_ms,
        context_ms=engine.context_per_k,
        prefill_tokens_per_second=engine.read_per_s,
        mean_prompt_tokens=engine.usual.prompt,
        mean_answer_tokens=engine.usual.answer,
        activation_bytes_per_token=engine.act_bytes,
        zone_link_mbps=engine.pipe_mbps,
        accelerator_by_name={
            kind.name: config.AcceleratorKind(
                kind.name, kind.mb, kind.pace, kind.read_x
            )
            for kind in engine.kinds
        },
        zone_delay_ms=max((d.delay_ms for d in engine.delays), default=0.0),
    )
