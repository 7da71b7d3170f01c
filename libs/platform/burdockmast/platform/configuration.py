"""Decodes the configuration that operators write to the platform."""

import dataclasses
from typing import Any

import msgspec

from burdockmast.base import ids
from burdockmast.gateway import config
from burdockmast.platform import configuration_faults
from burdockmast.platform import configuration_types

# Kind and name of the object that holds the newest configuration.
KIND = 'config'
NAME = 'main'


def decode(name: str, spec: object) -> config.Configuration:
    """Decode the object that holds the configuration.

    Fields that can't be read are in ``faults``, with what they cause.

    :raises msgspec.ValidationError: if it is not a valid configuration, or not
        the object that the operator writes
    """
    if name != NAME:
        raise msgspec.ValidationError(f'object is not called {NAME!r}')
    reading = configuration_faults.read(spec)
    decoded = reading.found
    listed = frozenset(service.name for service in decoded.services)
    routes = [_convert_route(route) for route in decoded.routes]
    if reading.faults:
        routes = [_without_refused(route, reading, listed) for route in routes]
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
        _convert_tenants(decoded.tenants, reading.are_keys_known),
        _convert_limits(decoded.limits),
        tuple(str(fault) for fault in reading.faults),
    )


def wire_type() -> type[msgspec.Struct]:
    """Return the type that defines the known keys and the type of each."""
    return configuration_types.Configuration


def complete(spec: object) -> dict[str, Any]:
    """Return a configuration with all known keys, by their wire names.

    Keys that are absent have the value that a gateway takes for them, except
    for ``tenants``. Unknown keys are left out.

    :raises msgspec.ValidationError: if it is not a valid configuration
    """
    return msgspec.to_builtins(configuration_faults.convert(spec))


def _convert_limits(limits: configuration_types.Limits) -> config.CallerLimits:
    return config.CallerLimits(
        limits.max_body_bytes,
        limits.max_header_bytes,
        limits.header_timeout_ms / 1000,
        limits.idle_timeout_ms / 1000,
    )


def _convert_tenants(
    tenants: list[configuration_types.Tenant] | msgspec.UnsetType,
    are_keys_known: bool,
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
        },
        are_keys_known,
    )


def _convert_route(route: configuration_types.Route) -> config.Route:
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


def _without_refused(
    route: config.Route,
    reading: configuration_faults.Reading,
    listed: frozenset[str],
) -> config.Route:
    """Return a route that sends nothing to services that are refused."""
    return dataclasses.replace(
        route,
        weight_by_service={
            service: weight
            for service, weight in route.weight_by_service.items()
            if service not in reading.refused_services
            and (reading.are_services_known or service in listed)
        },
    )


def _weight_by_service(
    route: configuration_types.Route,
) -> dict[ids.ServiceId, float]:
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


def _convert_engine(
    engine: configuration_types.Engine,
) -> config.Engine | None:
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
