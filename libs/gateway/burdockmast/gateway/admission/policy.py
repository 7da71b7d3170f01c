"""Decides which admission decisions apply to a service.

The load: callers of several priorities, or callers for whom other zones are
slow, compete for too little memory of model servers. Where a deployment's
configuration shows neither, requests are admitted in the order in which they
find room.
"""

import dataclasses

from burdockmast.base import ids
from burdockmast.gateway import config

# Share of a decode step from which a hop between zones counts as slow.
SLOW_HOP_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Which admission decisions apply to a service.

    :ivar priorities: of the service's streams, the highest (lowest number)
        first
    :ivar has_priorities: streams have several priorities
    :ivar is_contended: admission control is on
    """

    priorities: tuple[int, ...] = ()
    has_priorities: bool = False
    is_contended: bool = False

    @classmethod
    def from_config(
        cls, configuration: config.Configuration, service_id: ids.ServiceId
    ) -> 'Policy':
        """Derive the policy of one service."""
        service = configuration.service_by_id.get(service_id)
        if service is None or service.engine is None:
            return OFF
        priorities = _priorities(configuration, service_id)
        has_priorities = (
            min(
                len(priorities),
                len(_route_priorities(configuration, service_id)),
            )
            > 1
        )
        return cls(
            priorities,
            has_priorities,
            has_priorities or has_slow_hops(service.engine),
        )


OFF = Policy()


def has_slow_hops(engine: config.Engine) -> bool:
    """Return whether a hop between zones takes much of a decode step."""
    return engine.zone_delay_ms > SLOW_HOP_SHARE * engine.step_ms


def policy_by_service(
    configuration: config.Configuration,
) -> dict[ids.ServiceId, Policy]:
    """Return the policies of all services of a configuration."""
    return {
        service: Policy.from_config(configuration, service)
        for service in configuration.service_by_id
    }


def _route_priorities(
    configuration: config.Configuration, service: ids.ServiceId
) -> set[int]:
    """Return the priorities of the routes of streams to a service."""
    return {
        route.priority
        for routes in configuration.routes_by_host.values()
        for route in routes
        if route.is_stream and service in route.weight_by_service
    }


def _priorities(
    configuration: config.Configuration, service: ids.ServiceId
) -> tuple[int, ...]:
    """Return the priorities that streams to a service can have."""
    match configuration.authentication:
        case config.NoAuthentication():
            overrides = {None}
        case config.ApiKeyAuthentication(organisation_by_api_key=holders):
            overrides = {holder.priority for holder in holders.values()}
    found = set()
    for routes in configuration.routes_by_host.values():
        for route in routes:
            if not route.is_stream or service not in route.weight_by_service:
                continue
            if route.is_public:
                found.add(route.priority)
                continue
            found.update(
                route.priority if override is None else override
                for override in overrides
            )
    return tuple(sorted(found))
