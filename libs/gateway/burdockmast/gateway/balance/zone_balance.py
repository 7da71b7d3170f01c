"""Balances the requests of zones where a hop between zones is slow.

The load: a zone's callers ask for more than its servers have room for, while
other zones have room, and a hop between zones takes a good part of a decode
step. This joins what gateways know of each other's demand with the decisions
that follow from it, for the path selector.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random

from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import metrics
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import config
from burdockmast.gateway import links
from burdockmast.gateway import loads
from burdockmast.gateway import memory
from burdockmast.gateway import neighbours
from burdockmast.gateway import paths
from burdockmast.gateway import reports
from burdockmast.gateway import view
from burdockmast.gateway.admission import policy
from burdockmast.gateway.balance import demand
from burdockmast.gateway.balance import link_budget
from burdockmast.gateway.balance import zone_load
from burdockmast.gateway.balance import zone_shares

LOG = logs.get('balance')

# Shortest time between two searches for the links that waiting requests want.
WISH_INTERVAL_SECONDS = 0.1
# Interval of decisions on shares, about that of messages between zones.
DECISION_SECONDS = 0.5
# Change of a share that is logged.
LOGGED_CHANGE = 0.1
# Time over which the memory that a request needs is averaged, so that more
# requests show as more demand before their caches have filled.
MEMORY_SECONDS = 10.0
# Requests that a share has owed to a zone from which the next one goes there.
OWED_REQUESTS = 0.5
# Cost of leaving a zone without need, in usual answers of the zone. On busy
# servers with little memory left, an answer costs up to 2.4 times as much.
LEAVING_FACTOR = 2.5


def is_on(service: config.Service) -> bool:
    """Return whether the configuration of a service calls for balancing."""
    return service.engine is not None and policy.has_slow_hops(service.engine)


@dataclasses.dataclass(slots=True)
class _ServiceState:
    """What a gateway keeps for one service.

    :ivar usual_ms_by_zone: times of answers if no other requests ran
    :ivar memory: tokens that requests need, averaged over time
    :ivar arrivals: requests a second, averaged over the same time
    :ivar owed_by_zone: requests by which each zone's part is behind its share
    """

    service: config.Service
    shares: zone_shares.ZoneShares
    owed_by_zone: dict[ids.ZoneId, float]
    memory: demand.Rate
    arrivals: demand.Rate
    decided_at: float | None = None
    usual_ms_by_zone: dict[ids.ZoneId, float] = dataclasses.field(
        default_factory=dict
    )
    logged: dict[ids.ZoneId, float] = dataclasses.field(default_factory=dict)


class ZoneBalance:
    """The balance between zones, as one gateway sees it.

    :ivar demand: of all gateways
    """

    def __init__(
        self,
        gateway: str,
        zone: ids.ZoneId,
        fleet: view.View,
        usage: memory.Usage,
        others: neighbours.Neighbours,
        server_reports: reports.ServerReports,
        measures: metrics.Metrics,
        rng: random.Random,
        now: Callable[[], float] = timers.now,
    ):
        """Create a balance without demand.

        :param zone: of this gateway's callers
        :param usage: of this gateway's requests
        :param others: the other gateways, with the load that they report
        """
        self.demand = demand.Demand(gateway, zone, now)
        self._zone = zone
        self._view = fleet
        self._usage = usage
        self._others = others
        self._reports = server_reports
        self._rng = rng
        self._state_by_service: dict[ids.ServiceId, _ServiceState] = {}
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
        """Return the cost of a path's first stage in another zone.

        It is negative if that zone's share is due: the request goes there
        unless its answer would take much longer than is usual there. Otherwise
        it goes there only if its own zone lacks room or layers, or is slow.
        """
        if zone_from == zone_to:
            return 0.0
        state = self._decided_state(service)
        owed = state.owed_by_zone.get(zone_to, 0.0)
        is_due = zone_to in state.shares.share_by_zone and (
            owed >= OWED_REQUESTS
        )
        if is_due:
            return -state.usual_ms_by_zone.get(zone_to, 0.0)
        usual_ms = state.usual_ms_by_zone.get(zone_from, 0.0)
        return max(paths.REMOTE_ENTRY_MS, LEAVING_FACTOR * usual_ms)

    def _decided_state(self, service: config.Service) -> _ServiceState:
        state = self._state_by_service.get(service.id)
        if state is None:
            state = self._state_by_service[service.id] = _ServiceState(
                service,
                zone_shares.ZoneShares(),
                {},
                demand.Rate(self._now, MEMORY_SECONDS),
                demand.Rate(self._now, MEMORY_SECONDS),
            )
        state.service = service
        now = self._now()
        if state.decided_at is None or (
            now >= state.decided_at + DECISION_SECONDS
        ):
            seconds = now - (state.decided_at or now)
            state.decided_at = now
            self._decide(service, state, seconds)
        return state

    def _decide(
        self, service: config.Service, state: _ServiceState, seconds: float
    ) -> None:
        """Decide on the zone's shares, or follow the gateway that does."""
        servers = [
            server
            for server in self._view.preferred(service, (), may_rest=True)
            if len(server.layers)
        ]
        load_by_zone = self._load_by_zone(service, servers, state, seconds)
        state.usual_ms_by_zone = _usual_ms_by_zone(service.engine, servers)
        decided = self.demand.decided_shares(service.id)
        if decided is not None:
            state.shares.follow(decided)
            state.logged = dict(decided)
        else:
            decision = state.shares.decide(self._zone, load_by_zone, seconds)
            self.demand.record_shares(service.id, dict(decision.share_by_zone))
            self._log_changes(service, state, decision, load_by_zone)
        for zone in state.shares.share_by_zone:
            # Gateways don't all send their first request at once.
            state.owed_by_zone.setdefault(
                zone, OWED_REQUESTS * self._rng.random()
            )

    def _load_by_zone(
        self,
        service: config.Service,
        servers: list[backends.BackendServer],
        state: _ServiceState,
        seconds: float,
    ) -> dict[ids.ZoneId, zone_load.ZoneLoad]:
        """Return room and demand of all zones.

        A zone needs at least as much as its arrivals would with the mean
        memory of all requests. A gateway that hears no others takes its own
        load times a factor.
        """
        engine = service.engine
        load_by_source = self._others.load_by_source()
        own_loads = [self._usage.load_by_server()]
        tokens_by_zone: dict[ids.ZoneId, float] = {}
        zones = {server.zone for server in servers} | self.demand.zones()
        zone_by_source = {neighbours.zone_source(z): z for z in zones}
        for source, load in load_by_source.items():
            zone = zone_by_source.get(source)
            if zone is None:
                own_loads.append(load)
                continue
            tokens_by_zone[zone] = zone_load.demand_tokens(
                engine, load, servers
            )
        own_load = loads.add(*own_loads)
        factor = 1 if self._others.is_informed else memory.OWN_USAGE_FACTOR
        tokens_by_zone[self._zone] = factor * zone_load.demand_tokens(
            engine, own_load, servers
        )
        rate_by_zone = {
            zone: self.demand.arrivals(zone, service.id) or 0.0
            for zone in tokens_by_zone
        }
        state.memory.add(sum(tokens_by_zone.values()) * seconds)
        state.arrivals.add(sum(rate_by_zone.values()) * seconds)
        total_load = loads.add(own_load, *load_by_source.values())
        arrivals = state.arrivals.per_second
        tokens_per_arrival = (
            state.memory.per_second / arrivals if arrivals else 0.0
        )
        found = {}
        for zone in zones:
            held = [server for server in servers if server.zone == zone]
            if zone in tokens_by_zone:
                wanted = max(
                    tokens_by_zone[zone],
                    rate_by_zone[zone] * tokens_per_arrival,
                )
            else:
                wanted = zone_load.silent_demand_tokens(
                    engine,
                    held,
                    total_load,
                    self._reports.occupancy,
                    zone_shares.OWN_SHARE,
                )
            found[zone] = zone_load.ZoneLoad(
                zone_load.capacity_tokens(engine, held), wanted
            )
        return found

    def _log_changes(
        self,
        service: config.Service,
        state: _ServiceState,
        decision: zone_shares.Decision,
        load_by_zone: dict[ids.ZoneId, zone_load.ZoneLoad],
    ) -> None:
        """Log shares that have changed by much, with the reason."""
        shares = decision.share_by_zone
        for zone in shares.keys() | state.logged.keys():
            share = shares.get(zone, 0.0)
            before = state.logged.get(zone, 0.0)
            if abs(share - before) <= LOGGED_CHANGE:
                continue
            own = load_by_zone[self._zone]
            LOG.info(
                'share of requests to another zone changed',
                extra={
                    'service': service.id,
                    'from_zone': self._zone,
                    'to_zone': zone,
                    'share': round(share, 3),
                    'before': round(before, 3),
                    'cause': decision.cause.value,
                    'demand_tokens': round(own.demand_tokens),
                    'capacity_tokens': round(own.capacity_tokens),
                },
            )
            state.logged[zone] = share

    def news(self) -> list[demand.DemandNews]:
        """Return what to tell other gateways, with shares that are due.

        A gateway decides for its neighbours also while it gets no requests.
        """
        for state in list(self._state_by_service.values()):
            self._decided_state(state.service)
        return self.demand.news()

    def may_cross(self, link: links.Link, service: config.Service) -> bool:
        """Return whether a prompt may take an inter-zone link in a path."""
        return self._budget.may_send(link, self._bound(service))

    def _bound(self, service: config.Service) -> link_budget.Bound:
        return link_budget.Bound.from_config(
            service.engine, self._view.pause_objective(service.id)
        )

    def record_arrival(self, service: config.Service) -> None:
        """Count a new request of a caller."""
        if is_on(service):
            self.demand.record_arrival(service.id)

    def record_crossings(
        self,
        service: config.Service,
        crossed: Iterable[links.Link],
        prompt_seconds: float,
    ) -> None:
        """Account for a running request whose path now crosses links.

        :param prompt_seconds: for which the prompt occupies each link
        """
        if not is_on(service):
            return
        bound = self._bound(service)
        for link in crossed:
            self._budget.record_prompt(link, prompt_seconds, bound)

    def record_path(
        self,
        service: config.Service,
        path: tuple[backends.Stage, ...],
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
        self._settle(service, path[0].server.zone)
        if crossed:
            self._metrics.count('balance.left_mixed')
        elif any(stage.server.zone != self._zone for stage in path):
            self._metrics.count('balance.left_whole')
        else:
            return
        self._departures.add(1.0)

    def _settle(self, service: config.Service, begins_in: ids.ZoneId) -> None:
        """Count a request for the shares of the zones."""
        state = self._state_by_service.get(service.id)
        if state is None:
            return
        shares = state.shares.share_by_zone
        for zone in list(state.owed_by_zone):
            if zone not in shares:
                del state.owed_by_zone[zone]
                continue
            owed = state.owed_by_zone[zone] + shares[zone]
            owed -= zone == begins_in
            state.owed_by_zone[zone] = max(-1.0, min(1.0, owed))

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


def _usual_ms_by_zone(
    engine: config.Engine, servers: Iterable[backends.BackendServer]
) -> dict[ids.ZoneId, float]:
    """Return the mean time of an answer in each zone without requests."""
    size = paths.RequestSize(
        engine.mean_prompt_tokens, engine.mean_answer_tokens
    )
    held_by_zone: dict[ids.ZoneId, int] = {}
    ms_by_zone: dict[ids.ZoneId, float] = {}
    for server in servers:
        zone, held = server.zone, len(server.layers)
        held_by_zone[zone] = held_by_zone.get(zone, 0) + held
        ms_by_zone[zone] = ms_by_zone.get(zone, 0.0) + paths.stage_ms(
            engine, server, held, size, 0
        )
    return {
        zone: total_ms / held_by_zone[zone] * engine.layers
        for zone, total_ms in ms_by_zone.items()
    }
