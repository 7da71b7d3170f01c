"""Plays a load on a fleet, and counts what callers get."""

import collections
from collections.abc import Callable
import contextlib
import dataclasses
import enum
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
from burdockmast.gateway.admission import policy
from burdockmast.gateway.admission import pressure
from burdockmast.gateway.balance import zone_balance
from burdockmast.limits import queues
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
class CallerClass:
    """Callers of one priority.

    :ivar weight: share of the requests
    :ivar first_event_seconds: objective for the first event
    """

    priority: int
    weight: float
    first_event_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What callers ask for.

    :ivar requests_per_second: by zone
    :ivar answer_tokens: mean, before the longest ones are cut off
    :ivar first_event_seconds: objective for the first event
    :ivar pause_seconds: objective for the time between two events
    :ivar classes: of callers, if there are several
    """

    requests_per_second: dict[ids.ZoneId, float]
    seconds: float
    prompt_tokens: int
    answer_tokens: int
    first_event_seconds: float
    pause_seconds: float
    classes: tuple[CallerClass, ...] = ()


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


class End(enum.Enum):
    """How a request ended."""

    IN_TIME = 'in time'
    LATE = 'late'
    REFUSED = 'refused'


@dataclasses.dataclass(slots=True)
class Outcome:
    """What callers got.

    :ivar in_time: requests answered within the objectives
    :ivar preempted: times that a request lost its KV cache at a server
    :ivar peak_share: largest share of a server's memory that was in use
    :ivar crossings: of prompts between zones
    :ivar first_event_seconds: of each request that was answered
    :ivar ends: requests by priority and end
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
    ends: collections.Counter[tuple[int, End]] = dataclasses.field(
        default_factory=collections.Counter
    )

    def record(self, priority: int, end: End) -> None:
        """Count a request."""
        self.ends[priority, end] += 1
        match end:
            case End.IN_TIME:
                self.in_time += 1
            case End.LATE:
                self.late += 1
            case End.REFUSED:
                self.refused += 1

    def share_in_time_of(self, priority: int) -> float:
        """Return the share of a priority that was answered in time."""
        requests = sum(self.ends[priority, end] for end in End)
        return self.ends[priority, End.IN_TIME] / max(1, requests)

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
class _Route:
    """The objective that a caller's route names."""

    objective_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Job:
    """As much of a request as the path selector reads."""

    service: config.Service
    request: _Request
    route: _Route
    priority: int
    arrived_at: float
    organisation: ids.OrganisationId = ids.OrganisationId('')


@dataclasses.dataclass(frozen=True, slots=True)
class _Turn:
    """Takes a waiting request's turns, in place of an event."""

    take: Callable[[object], None]

    def ready(self) -> bool:
        return False

    def send(self, refusal: object) -> None:
        self.take(refusal)


class _Gateway:
    """One gateway's decisions, by the product's code."""

    def __init__(
        self,
        record: interfaces.GatewayRecord,
        fleet: _FixedFleet,
        clock: Callable[[], float],
        rng: random.Random,
        hears_neighbours: bool,
        admission: policy.Policy,
        balances_zones: bool,
    ):
        self.record = record
        self.pressure = pressure.Pressure(
            lambda _: admission, record.zone, clock
        )
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
            self.pressure,
            self.balance if balances_zones else None,
        )

    def learned(self, is_for_other_zones: bool) -> neighbours.Learned:
        return neighbours.Learned(
            demand=self.balance.news(),
            pressure=self.pressure.news(is_for_other_zones),
        )

    def receive(self, message: neighbours.Message) -> None:
        """Take over what another gateway reports."""
        self.neighbours.receive(message)
        self.balance.demand.receive(message.learned.demand)
        self.pressure.receive(
            message.learned.pressure,
            message.sender,
            self.neighbours.is_neighbour(message.sender),
        )


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
        admission: policy.Policy = policy.OFF,
        balances_zones: bool = True,
    ):
        """Create the fleet.

        :param hears_neighbours: gateways receive each other's messages
        :param admission: which admission decisions apply
        :param balances_zones: gateways balance zones if hops are slow
        """
        self.outcome = Outcome()
        self.timeline = events.Timeline()
        self._site = site
        self._load = load
        self._only_class = CallerClass(0, 1.0, load.first_event_seconds)
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
                    admission,
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
            self.timeline.after(
                self._rng.random() * path_selector.WAKE_INTERVAL_SECONDS,
                lambda gateway=gateway: self._wake(gateway),
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

    def _wake(self, gateway: _Gateway) -> None:
        gateway.selector.wake_waiter()
        self.timeline.after(
            path_selector.WAKE_INTERVAL_SECONDS, lambda: self._wake(gateway)
        )

    def _send_due(self, gateway: _Gateway) -> None:
        if self.timeline.now > self._load.seconds:
            return
        for address, message in gateway.neighbours.due_messages(
            gateway.usage.load_by_server(), learned=gateway.learned
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
        if not self._load.classes:
            _Stream(
                self, gateway, prompt, answer, self._only_class
            ).try_to_begin()
            return
        (caller,) = self._rng.choices(
            self._load.classes, [c.weight for c in self._load.classes]
        )
        _Stream(self, gateway, prompt, answer, caller).arrive()

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
        self,
        play: Play,
        gateway: _Gateway,
        prompt: int,
        answer: int,
        caller: CallerClass,
    ):
        self._play = play
        self._gateway = gateway
        self._arrived_at = play.timeline.now
        self._left = answer
        self._last_event_at: float | None = None
        self._is_late = False
        self._prompt = prompt
        self._caller = caller
        self._job = _Job(
            play._service,
            _Request(prompt, answer, answer),
            _Route(caller.first_event_seconds),
            caller.priority,
            play.timeline.now,
        )
        self._waiter: queues.Waiter | None = None
        self._waiting = contextlib.ExitStack()
        self._request: engines.Request | None = None

    def arrive(self) -> None:
        """Take a path, or wait in the gateway's queue for one."""
        waiter = self._new_waiter()
        may_try = not self._is_ordered or self._gateway.selector.may_try(
            self._job, waiter
        )
        if may_try and self._try_path(waiter):
            return
        if self._is_ordered:
            self._waiting.enter_context(
                self._gateway.pressure.waiting(SERVICE, self._job.priority)
            )
        self._enter(waiter)
        self._play.timeline.after(
            path_selector.MAX_QUEUE_SECONDS, self._give_up
        )

    @property
    def _is_ordered(self) -> bool:
        return self._gateway.pressure.admits_in_order(SERVICE)

    def _new_waiter(self) -> queues.Waiter:
        waiter = path_selector.waiter_of(self._job, False)
        waiter.event = _Turn(self._take_turn)
        return waiter

    def _enter(self, waiter: queues.Waiter) -> None:
        self._waiter = waiter
        waited = self._play.timeline.now - self._arrived_at
        refusal = self._gateway.selector.queue_of(SERVICE).enter(
            waiter, path_selector.MAX_QUEUE_SECONDS - waited
        )
        if refusal:
            self._give_up()

    def _take_turn(self, refusal: object) -> None:
        call = self._give_up if refusal else self._try_again
        self._play.timeline.after(0.0, call)

    def _try_again(self) -> None:
        if self._waiter is None:
            return
        if not self._try_path(self._waiter):
            if not self._is_ordered:
                self._enter(self._new_waiter())
            return
        self._stop_waiting()

    def _try_path(self, waiter: queues.Waiter) -> bool:
        """Begin if there is a path."""
        selector = self._gateway.selector
        path = selector.find_path(self._job, ())
        if not path:
            return False
        if self._is_ordered:
            selector.record_admission(self._job, waiter)
        self._begin(path)
        return True

    def _give_up(self) -> None:
        """End the request unless it has begun."""
        if self._waiter is None:
            return
        self._stop_waiting()
        if self._is_ordered:
            self._gateway.selector.record_rejection(self._job)
        self._play.outcome.record(self._job.priority, End.REFUSED)

    def _stop_waiting(self) -> None:
        self._gateway.selector.queue_of(SERVICE).leave(self._waiter)
        self._waiter = None
        self._waiting.close()

    def try_to_begin(self) -> None:
        """Send the request to a path, or wait for one as the product does."""
        play, selector = self._play, self._gateway.selector
        path = selector.find_path(self._job, ())
        if not path:
            waited = play.timeline.now - self._arrived_at
            if waited > path_selector.MAX_QUEUE_SECONDS:
                play.outcome.record(self._job.priority, End.REFUSED)
                return
            play.timeline.after(
                path_selector.WAKE_INTERVAL_SECONDS, self.try_to_begin
            )
            return
        self._begin(path)

    def _begin(self, path: tuple[backends.Stage, ...]) -> None:
        play, selector = self._play, self._gateway.selector
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
            self._is_late = waited > self._caller.first_event_seconds
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
        self._play.outcome.record(
            self._job.priority, End.LATE if self._is_late else End.IN_TIME
        )
        if not self._is_late:
            zone = self._gateway.record.zone
            self._play.outcome.in_time_by_zone[zone] += 1


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]
