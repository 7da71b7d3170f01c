"""Balances the requests of zones where a hop between zones is slow.

The load: a zone's callers ask for more than its servers have room for, while
other zones have room, and a hop between zones takes a good part of a decode
step. This joins what gateways know of each other's demand with the decisions
that follow from it, for the path selector.
"""

from collections.abc import Callable
from collections.abc import Iterable
import random

from burdockmast.base import ids
from burdockmast.base import metrics
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import config
from burdockmast.gateway import links
from burdockmast.gateway import paths
from burdockmast.gateway.balance import demand
from burdockmast.gateway.balance import link_budget

# Share of a decode step from which a hop between zones counts as slow.
SLOW_HOP_SHARE = 0.5
# Shortest time between two searches for the links that waiting requests want.
WISH_INTERVAL_SECONDS = 0.1


def is_on(service: config.Service) -> bool:
    """Return whether the configuration of a service calls for balancing."""
    engine = service.engine
    return (
        engine is not None
        and engine.zone_delay_ms > SLOW_HOP_SHARE * engine.step_ms
    )


class ZoneBalance:
    """The balance between zones, as one gateway sees it.

    :ivar demand: of all gateways
    """

    def __init__(
        self,
        gateway: str,
        zone: ids.ZoneId,
        pause_objective: Callable[[ids.ServiceId], float],
        measures: metrics.Metrics,
        rng: random.Random,
        now: Callable[[], float] = timers.now,
    ):
        """Create a balance without demand.

        :param zone: of this gateway's callers
        :param pause_objective: returns the objective of a service for the
            seconds between two events, 0 if there is none
        """
        self.demand = demand.Demand(gateway, zone, now)
        self._zone = zone
        self._pause_objective = pause_objective
        self._metrics = measures
        self._now = now
        self._budget = link_budget.LinkBudget(self.demand, rng, now)
        self._next_wish_at = 0.0
        self._arrivals = demand.Rate(now)
        self._departures = demand.Rate(now)
        measures.gauge('balance.leaving_share', lambda: self.leaving_share)

    @property
    def leaving_share(self) -> float:
        """Share of the latest requests that left this gateway's zone."""
        begun = self._arrivals.per_second
        return self._departures.per_second / begun if begun else 0.0

    def set_gateway_count(self, count: int) -> None:
        """Take over the number of gateways that share the servers."""
        self._budget.gateway_count = count

    def entry_cost_ms(
        self,
        zone_from: ids.ZoneId,
        zone_to: ids.ZoneId,
        service: config.Service,
    ) -> float:
        """Return the cost of a path's first stage in another zone."""
        return paths.REMOTE_ENTRY_MS

    def may_cross(self, link: links.Link, service: config.Service) -> bool:
        """Return whether a prompt may take an inter-zone link in a path."""
        return self._budget.may_send(link, self._bound(service))

    def _bound(self, service: config.Service) -> link_budget.Bound:
        return link_budget.Bound.from_config(
            service.engine, self._pause_objective(service.id)
        )

    def record_arrival(self, service: config.Service) -> None:
        """Count a new request of a caller."""
        if is_on(service):
            self.demand.record_arrival(service.id)

    def record_path(
        self,
        service: config.Service,
        path: Iterable[backends.Stage],
        prompt_seconds: float,
    ) -> None:
        """Account for a request that is sent to a path.

        :param prompt_seconds: for which the prompt occupies each link
        """
        if not is_on(service):
            return
        bound = self._bound(service)
        crossed = links.inter_zone_links(path)
        self.demand.record_prompt(service.id, crossed, prompt_seconds)
        for link in crossed:
            self._budget.record_prompt(link, prompt_seconds, bound)
        self._arrivals.add(1.0)
        if crossed:
            self._metrics.count('balance.left_mixed')
        elif any(stage.server.zone != self._zone for stage in path):
            self._metrics.count('balance.left_whole')
        else:
            return
        self._departures.add(1.0)

    def record_wait(
        self,
        service: config.Service,
        find_wanted: Callable[[], Iterable[backends.Stage]],
    ) -> None:
        """Count the links that a waiting request would take.

        :param find_wanted: returns the path if no link had a bound, called
            only now and then, as the search takes time
        """
        if self._now() < self._next_wish_at:
            return
        self._next_wish_at = self._now() + WISH_INTERVAL_SECONDS
        self.demand.record_prompt(
            service.id,
            links.inter_zone_links(find_wanted()),
            self._bound(service).prompt_seconds,
        )

    def describe(self) -> dict[str, float]:
        """Return the link time that is used up in advance, for logs."""
        return self._budget.describe()
