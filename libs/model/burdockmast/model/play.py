"""Plays a load on a fleet, and counts what callers get."""

import collections
from collections.abc import Callable
import dataclasses
import itertools
import random

from burdockmast.base import ids
from burdockmast.base import metrics
from burdockmast.gateway import backends
from burdockmast.gateway import config
from burdockmast.gateway import interfaces
from burdockmast.gateway import layer_placement
from burdockmast.gateway import memory
from burdockmast.gateway import neighbours
from burdockmast.gateway import path_selector
from burdockmast.gateway import server_limits
from burdockmast.gateway.balance import zone_balance
from burdockmast.model import engines
from burdockmast.model import events

SERVICE = ids.ServiceId('draft')
# Interval at which a gateway sends what is due to its neighbours, and the
# delay of a message.
SEND_INTERVAL_SECONDS = 0.1
MESSAGE_SECONDS = 0.0005
# Share of the messages between gateways that are lost.
MESSAGE_LOSS = 0.01


# Longest answer, as a multiple of the mean.
MAX_LENGTH_FACTOR = 3.5


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What callers ask for.

    :ivar requests_per_second: by zone
    :ivar answer_tokens: mean, before the longest ones are cut off
    :ivar first_event_seconds: objective for the first event
    :ivar pause_seconds: objective for the time between two events
    """

    requests_per_second: dict[ids.ZoneId, float]
    seconds: float
    prompt_tokens: int
    answer_tokens: int
    first_event_seconds: float
    pause_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """A deployment.

    :ivar servers: numbers of servers of each accelerator, by zone
    :ivar gateways: number of gateways, by zone
    :ivar stride: decode steps of an engine's pass
    """

    engine: config.Engine
    servers: dict[ids.ZoneId, dict[str, int]]
    gateways: dict[ids.ZoneId, int]
    stride: int


@dataclasses.dataclass(slots=True)
class Outcome:
    """What callers got.

    :ivar in_time: requests answered within the objectives
    :ivar preempted: times that a request lost its KV cache at a server
    :ivar peak_share: largest share of a server's memory that was in use
    :ivar crossings: of prompts between zones
    :ivar first_event_seconds: of each request that was answered
    :ivar requests_by_zone: by zone of the caller
    :ivar in_time_by_zone: answered within the objectives, likewise
    """

    in_time: int = 0
    late: int = 0
    refused: int = 0
    preempted: int = 0
    peak_share: float = 0.0
    crossings: int = 0
    first_event_seconds: list[float] = dataclasses.field(default_factory=list)
    requests_by_zone: collections.Counter[ids.ZoneId] = dataclasses.field(
        default_factory=collections.Counter
    )
    in_time_by_zone: collections.Counter[ids.ZoneId] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def share_in_time(self) -> float:
        """Share of all requests that were answered in time."""
        return self.in_time / max(1, self.in_time + self.late + self.refused)


class _FixedFleet:
    """A view of servers that all work and never change."""

    server_list_age = 0.0

    def __init__(
        self, servers: list[backends.BackendServer], pause_seconds: float
    ):
        self._servers = servers
        self._pause_seconds = pause_seconds

    def pause_objective(self, service: ids.ServiceId) -> float:
        return self._pause_seconds

    def usable(
        self, service: ids.ServiceId, excluded: object = ()
    ) -> list[backends.BackendServer]:
        return self._servers

    def preferred(
        self,
        service: config.Service,
        excluded: object = (),
        may_rest: bool = False,
    ) -> list[backends.BackendServer]:
        return self._servers

    def listed(self, service: ids.ServiceId) -> list[backends.BackendServer]:
        return self._servers


class _NoReports:
    """Reports of servers that are never fetched."""

    def slowdown(self, server: backends.BackendServer) -> float:
        return 1.0

    def occupancy(self, server: backends.BackendServer) -> float:
        return 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    """The sizes that a caller's request names."""

    prompt_tokens: int
    max_answer_tokens: int
    length_hint: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Job:
    """As much of a request as the path selector reads."""

    service: config.Service
    request: _Request


class _Gateway:
    """One gateway's decisions, by the product's code."""

    def __init__(
        self,
        record: interfaces.GatewayRecord,
        fleet: _FixedFleet,
        clock: Callable[[], float],
        rng: random.Random,
        hears_neighbours: bool,
        balances_zones: bool,
    ):
        self.record = record
        self.usage = memory.Usage()
        self.neighbours = neighbours.Neighbours(record, rng, clock)
        self.hears_neighbours = hears_neighbours
        self.balance = zone_balance.ZoneBalance(
            record.name,
            record.zone,
            fleet,
            self.usage,
            self.neighbours,
            _NoReports(),
            metrics.Metrics(),
            rng,
            clock,
        )
        self.selector = path_selector.PathSelector(
            fleet,
            _NoReports(),
            self.usage,
            self.neighbours,
            record.zone,
            rng,
            server_limits.ServerLimits(
                record.name, self.neighbours.known_gateways, rng, clock
            ),
            clock,
            self.balance if balances_zones else None,
        )

    def receive(self, message: neighbours.Message) -> None:
        """Take over what another gateway reports."""
        self.neighbours.receive(message)
        self.balance.demand.receive(message.learned.demand)


def servers_of(site: Site) -> list[backends.BackendServer]:
    """Return the servers of a site with the layers that a plan gives them."""
    empty = [
        backends.BackendServer(
            ids.ServerId(f'{zone}-{kind}-{number}'),
            SERVICE,
            ids.Address(f'{zone}-{kind}-{number}:1'),
            zone,
            True,
            backends.NO_LAYERS,
            kind,
            1,
            1,
        )
        for zone, counts in site.servers.items()
        for kind, count in counts.items()
        for number in range(count)
    ]
    layers_by_server = {
        placement.server.id: placement.layers
        for placement in layer_placement.plan(site.engine, empty, {})
    }
    return [
        dataclasses.replace(server, layers=layers_by_server[server.id])
        for server in empty
    ]


class Play:
    """One play of a load on a site."""

    def __init__(
        self,
        site: Site,
        load: Load,
        seed: int,
        hears_neighbours: bool = True,
        balances_zones: bool = True,
    ):
        """Create the fleet.

        :param hears_neighbours: gateways receive each other's messages
        :param balances_zones: gateways balance zones if hops are slow
        """
        self.outcome = Outcome()
        self.timeline = events.Timeline()
        self._site = site
        self._load = load
        self._rng = random.Random(seed)
        self._service = config.Service(SERVICE, site.engine)
        servers = servers_of(site)
        self._links = engines.ZoneLinks(self.timeline, site.engine)
        self.engine_by_server = {
            server.id: engines.EngineModel(
                self.timeline, site.engine, server, site.stride, self._move_on
            )
            for server in servers
        }
        fleet = _FixedFleet(servers, load.pause_seconds)
        self.gateways_by_zone = {
            zone: [
                _Gateway(
                    interfaces.GatewayRecord(
                        f'{zone}-{number}', zone, f'{zone}-{number}:1'
                    ),
                    fleet,
                    self.timeline.time,
                    random.Random(self._rng.random()),
                    hears_neighbours,
                    balances_zones,
                )
                for number in range(count)
            ]
            for zone, count in site.gateways.items()
        }
        self._gateway_by_address = {
            gateway.record.address: gateway for gateway in self._gateways()
        }
        for gateway in self._gateways():
            gateway.neighbours.set_registered(
                other.record for other in self._gateways()
            )
            gateway.selector.gateway_count = len(self._gateway_by_address)
            self.timeline.after(
                self._rng.random() * SEND_INTERVAL_SECONDS,
                lambda gateway=gateway: self._send_due(gateway),
            )

    def _gateways(self) -> list[_Gateway]:
        return list(
            itertools.chain.from_iterable(self.gateways_by_zone.values())
        )

    def run(self) -> Outcome:
        """Play the load to its end and return what callers got."""
        for zone in self._load.requests_per_second:
            self._schedule_arrival(zone)
        self.timeline.run(self._load.seconds + 20.0)
        for engine in self.engine_by_server.values():
            self.outcome.preempted += engine.preempted
            self.outcome.peak_share = max(
                self.outcome.peak_share, engine.peak_share
            )
        return self.outcome

    def _send_due(self, gateway: _Gateway) -> None:
        if self.timeline.now > self._load.seconds:
            return
        for address, message in gateway.neighbours.due_messages(
            gateway.usage.load_by_server(),
            learned=lambda: neighbours.Learned(demand=gateway.balance.news()),
        ):
            receiver = self._gateway_by_address[address]
            if (
                receiver.hears_neighbours
                and self._rng.random() >= MESSAGE_LOSS
            ):
                self.timeline.after(
                    MESSAGE_SECONDS,
                    lambda r=receiver, m=message: r.receive(m),
                )
        self.timeline.after(
            SEND_INTERVAL_SECONDS, lambda: self._send_due(gateway)
        )

    def _schedule_arrival(self, zone: ids.ZoneId) -> None:
        rate = self._load.requests_per_second[zone]
        self.timeline.after(
            self._rng.expovariate(rate), lambda: self._arrive(zone)
        )

    def _arrive(self, zone: ids.ZoneId) -> None:
        if self.timeline.now > self._load.seconds:
            return
        self._schedule_arrival(zone)
        answer = max(
            1,
            int(
                self._load.answer_tokens
                * min(MAX_LENGTH_FACTOR, self._rng.expovariate(1.0))
            ),
        )
        prompt = max(
            1, int(self._load.prompt_tokens * self._rng.uniform(1 / 3, 5 / 3))
        )
        gateway = self._rng.choice(self.gateways_by_zone[zone])
        self.outcome.requests_by_zone[zone] += 1
        gateway.balance.record_arrival(self._service)
        _Stream(self, gateway, prompt, answer).try_to_begin()

    def _move_on(self, request: engines.Request, stage: int) -> None:
        """Pass a request to its next stage, or its tokens to the caller."""
        tokens = (
            self._load.prompt_tokens
            if stage + 1 < len(request.path)
            and request.unread_tokens[stage + 1]
            else self._site.stride
        )
        if stage + 1 == len(request.path):
            request.on_event()
            return
        source = request.path[stage].server
        target = request.path[stage + 1].server
        self.timeline.after(
            self._links.delay(source.zone, target.zone, tokens),
            lambda: self.engine_by_server[target.id].accept(
                request, stage + 1
            ),
        )


class _Stream:
    """A caller's request from its arrival to the end of its answer."""

    def __init__(
        self, play: Play, gateway: _Gateway, prompt: int, answer: int
    ):
        self._play = play
        self._gateway = gateway
        self._arrived_at = play.timeline.now
        self._left = answer
        self._last_event_at: float | None = None
        self._is_late = False
        self._prompt = prompt
        self._job = _Job(play._service, _Request(prompt, answer, answer))
        self._request: engines.Request | None = None

    def try_to_begin(self) -> None:
        """Send the request to a path, or wait for one as the product does."""
        play, selector = self._play, self._gateway.selector
        path = selector.find_path(self._job, ())
        if not path:
            waited = play.timeline.now - self._arrived_at
            if waited > path_selector.MAX_QUEUE_SECONDS:
                play.outcome.refused += 1
                return
            play.timeline.after(
                path_selector.WAKE_INTERVAL_SECONDS, self.try_to_begin
            )
            return
        selector.reserve(self._job, path)
        zones = [stage.server.zone for stage in path]
        play.outcome.crossings += sum(
            a != b for a, b in itertools.pairwise(zones)
        )
        self._request = engines.Request(
            path, self._prompt, [self._prompt] * len(path), self._on_event
        )
        play.engine_by_server[path[0].server.id].accept(self._request, 0)

    def _on_event(self) -> None:
        play, load = self._play, self._play._load
        now = play.timeline.now
        if self._last_event_at is None:
            waited = now - self._arrived_at
            play.outcome.first_event_seconds.append(waited)
            self._is_late = waited > load.first_event_seconds
        elif now - self._last_event_at > load.pause_seconds:
            self._is_late = True
        self._last_event_at = now
        self._left -= play._site.stride
        self._request.tokens += play._site.stride
        if self._left > 0:
            first = self._request.path[0].server.id
            play.engine_by_server[first].accept(self._request, 0)
            return
        self._end()

    def _end(self) -> None:
        for stage in self._request.path:
            self._play.engine_by_server[stage.server.id].end(self._request)
        self._gateway.selector.release(self._job, self._request.path)
        if self._is_late:
            self._play.outcome.late += 1
        else:
            self._play.outcome.in_time += 1
            zone = self._gateway.record.zone
            self._play.outcome.in_time_by_zone[zone] += 1


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]
