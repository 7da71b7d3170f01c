"""Selects a path for each request, and queues requests while all are busy."""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
import contextlib
import functools
import math
import random

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import config
from burdockmast.gateway import crossings
from burdockmast.gateway import jobs
from burdockmast.gateway import links
from burdockmast.gateway import loads
from burdockmast.gateway import memory
from burdockmast.gateway import neighbours
from burdockmast.gateway import paths
from burdockmast.gateway import reports
from burdockmast.gateway import server_limits
from burdockmast.gateway import view
from burdockmast.gateway.admission import full_servers
from burdockmast.gateway.admission import policy
from burdockmast.gateway.admission import pressure
from burdockmast.gateway.balance import zone_balance
from burdockmast.gateway.rerouting import detours
from burdockmast.limits import queues

LOG = logs.get('choosing')

# Retry-After for callers whose request finds no path.
RETRY_AFTER_SECONDS = 0.3
# The same while servers name limits: another gateway may have room.
MAX_LIMIT_RETRY_AFTER_SECONDS = 0.5
# Longest wait for a path, counted from the request's arrival. Callers
# disconnect after 2 s without an event, and the first event takes some tenths
# of a second.
MAX_QUEUE_SECONDS = 1.2
MAX_QUEUED_REQUESTS = 256
# Interval at which a queued request tries again, since the ejection of a
# server that refused may have ended.
WAKE_INTERVAL_SECONDS = 0.1
# Queued requests that try when an answer ends, or at that interval, where
# requests are admitted in order. The first of them may lack a server that the
# others don't need.
TURNS = 4
# Longest wait for another path to resume a stream.
RESUME_QUEUE_SECONDS = 0.6
# Usual time from the choice of a path to the first event.
FIRST_EVENT_SECONDS = 0.15
# Searches that ignore how much memory is left.
UNLIMITED_ROOM = (crossings.Room.UNLIMITED, crossings.Room.IDLE)


def waiter_of(job: jobs.Job, has_begun: bool) -> queues.Waiter:
    """Return a request's place in the queue, before those that are late."""
    in_time_until = math.inf
    if not has_begun:
        objective_at = job.arrived_at + job.route.objective_seconds
        in_time_until = objective_at - FIRST_EVENT_SECONDS
    return queues.Waiter(job.organisation, -job.priority, 1.0, in_time_until)


class PathSelector:
    """Selects paths for the requests of one gateway."""

    def __init__(
        self,
        fleet: view.View,
        server_reports: reports.ServerReports,
        usage: memory.Usage,
        others: neighbours.Neighbours,
        zone: ids.ZoneId,
        rng: random.Random,
        limits: server_limits.ServerLimits,
        now: Callable[[], float] = timers.now,
        waiting: pressure.Pressure | None = None,
        balance: zone_balance.ZoneBalance | None = None,
        full: full_servers.FullServers | None = None,
    ):
        """Create a selector with an empty queue.

        :param usage: of this gateway's requests
        :param others: the other gateways, with the load that they report
        :param zone: of this gateway's callers
        :param waiting: requests of all gateways that compete for memory
        :param balance: between zones, None if no service calls for it
        :param full: servers that have lately rejected requests
        """
        self.reports = server_reports
        self._view = fleet
        self._usage = usage
        self._others = others
        self._zone = zone
        self._rng = rng
        self._limits = limits
        self._now = now
        self._queue = queues.FairQueue(MAX_QUEUED_REQUESTS, now=now)
        self._pressure = waiting or pressure.Pressure(
            lambda _: policy.OFF, zone, now
        )
        # Of services whose requests are admitted in order.
        self._queue_by_service: dict[ids.ServiceId, queues.FairQueue] = {}
        self._links = links.ZoneLinks(now)
        self._balance = balance
        self._full = full or full_servers.FullServers(rng, now)

    @property
    def gateway_count(self) -> int:
        """Number of gateways that share the fleet, as last counted."""
        return self._links.gateway_count

    @gateway_count.setter
    def gateway_count(self, count: int) -> None:
        self._links.gateway_count = count
        if self._balance:
            self._balance.set_gateway_count(count)

    def reserve(self, job: jobs.Job, path: tuple[backends.Stage, ...]) -> None:
        """Account for a request on its path."""
        engine = job.service.engine
        if engine is None:
            self._usage.reserve(path, 0)
            return
        size = self._request_size(job, engine)
        self._usage.reserve(path, size.reserved_tokens)
        prompt_seconds = paths.transfer_ms(engine, size) / 1000
        if self._balance:
            self._balance.record_path(job.service, path, prompt_seconds)
        self._links.record_prompt(
            path,
            prompt_seconds,
            self._prompt_share(job.service),
        )

    def release(self, job: jobs.Job, path: tuple[backends.Stage, ...]) -> None:
        """Stop accounting for a request, and let a queued one try again."""
        self._usage.release(path, self._reserved_tokens(job))
        queue = self._queue_by_service.get(job.service.id)
        if queue is not None:
            queue.begin_round()
        self.wake_waiter()

    def _reserved_tokens(self, job: jobs.Job) -> int:
        engine = job.service.engine
        return self._request_size(job, engine).reserved_tokens if engine else 0

    def wait_for_path(
        self,
        job: jobs.Job,
        failed: Collection[ids.ServerId],
        has_begun: bool,
        is_isolated: bool = False,
        first_servers: Container[ids.ServerId] | None = None,
    ) -> tuple[backends.Stage, ...] | failures.Failure:
        """Return a path, waiting for one while servers are busy.

        In a burst, all servers that hold some layer may be full. The next
        answer that ends makes room, and waiting for that is better for the
        caller than a refusal and a retry.

        :param failed: servers that failed this request
        :param has_begun: the caller has received events
        :param is_isolated: prefer a server with few other requests
        :param first_servers: at which the path may begin, None for any
        :returns: no stages if waiting would not help
        """
        if self._balance and not has_begun:
            self._balance.record_arrival(job.service)
        if not has_begun and self._pressure.admits_in_order(job.service.id):
            return self._wait_in_order(job, failed, is_isolated, first_servers)
        path = self.find_path(
            job, failed, has_begun, is_isolated, first_servers
        )
        until = timers.now() + RESUME_QUEUE_SECONDS
        if not has_begun:
            until = job.arrived_at + MAX_QUEUE_SECONDS
        until = min(until, job.deadline)
        while not path and self._is_covered(job, first_servers):
            failure = self._limit_failure(job, until)
            if failure:
                return failure
            waiter = waiter_of(job, has_begun)
            refusal = self._queue.wait(waiter, until - timers.now())
            if refusal:
                self._log_refusal(job, self._queue, refusal)
                return refusal
            path = self.find_path(
                job, failed, has_begun, is_isolated, first_servers
            )
        return path

    def _wait_in_order(
        self,
        job: jobs.Job,
        failed: Collection[ids.ServerId],
        is_isolated: bool,
        first_servers: Container[ids.ServerId] | None,
    ) -> tuple[backends.Stage, ...] | failures.Failure:
        """Return a path for a new request, after better ones that wait."""
        queue = self.queue_of(job.service.id)
        waiter = waiter_of(job, False)
        may_try = self.may_try(job, waiter)
        until = min(job.arrived_at + MAX_QUEUE_SECONDS, job.deadline)
        is_queued = False
        with contextlib.ExitStack() as stack:
            while True:
                if may_try:
                    path = self.find_path(
                        job, failed, False, is_isolated, first_servers
                    )
                    if path:
                        self.record_admission(job, waiter)
                        return path
                if not self._is_covered(job, first_servers):
                    return ()
                refusal = self._limit_failure(job, until)
                if refusal:
                    return refusal
                if not is_queued:
                    is_queued = True
                    refusal = queue.enter(waiter, until - timers.now())
                    stack.callback(queue.leave, waiter)
                    stack.enter_context(
                        self._pressure.waiting(job.service.id, job.priority)
                    )
                refusal = refusal or queue.wait_for_turn(
                    waiter, until - timers.now()
                )
                if refusal:
                    self.record_rejection(job)
                    self._log_refusal(job, queue, refusal)
                    return refusal
                may_try = True

    def queue_of(self, service: ids.ServiceId) -> queues.FairQueue:
        """Return the queue in which a service's new requests wait."""
        if not self._pressure.admits_in_order(service):
            return self._queue
        queue = self._queue_by_service.get(service)
        if queue is None:
            queue = self._queue_by_service[service] = queues.FairQueue(
                MAX_QUEUED_REQUESTS, now=self._now
            )
        return queue

    def may_try(self, job: jobs.Job, waiter: queues.Waiter) -> bool:
        """Return whether no better request waits for the same room."""
        return self._pressure.has_turn(
            job.service.id, job.priority
        ) or self.queue_of(job.service.id).is_next(waiter)

    def record_admission(self, job: jobs.Job, waiter: queues.Waiter) -> None:
        """Record that a new request got a path."""
        queue = self.queue_of(job.service.id)
        if len(queue):
            queue.record_admission(waiter)
        self._pressure.record_admission(job.service.id, job.priority)

    def record_rejection(self, job: jobs.Job) -> None:
        """Record that a request was not run for want of room."""
        self._pressure.record_refusal(job.service.id, job.priority)

    def _log_refusal(
        self,
        job: jobs.Job,
        queue: queues.FairQueue,
        refusal: failures.Failure,
    ) -> None:
        LOG.info(
            'no path found while queued; giving up',
            extra={
                'request': job.id,
                'waiting': len(queue),
                'full_servers': self._full_servers(job),
                'links': self._links.describe(),
                'budget': self._describe_balance(),
                'gateways': self.gateway_count,
                'list_age': round(self._view.server_list_age, 3),
                'outcome': str(refusal),
            },
        )

    def _is_covered(
        self, job: jobs.Job, first_servers: Container[ids.ServerId] | None
    ) -> bool:
        """Return whether ready servers hold all layers, though maybe busy.

        :param first_servers: at which the path may begin, None for any
        """
        engine = job.service.engine
        if engine is None:
            return False
        ready = [
            server
            for server in self._view.listed(job.service.id)
            if server.is_ready
            and (
                first_servers is None
                or server.layers.first
                or server.id in first_servers
            )
        ]
        return paths.first_uncovered_layer(engine, ready) is None

    def record_full(
        self, job: jobs.Job, server: backends.BackendServer
    ) -> None:
        """Record that a server of a path rejected a request."""
        _, reserved = self._load_by_server().get(server.id, loads.NO_LOAD)
        capacity = memory.cache_capacity(job.service.engine, server)
        self._full.record_rejection(server, reserved / capacity)

    def record_accepted(self, path: Iterable[backends.Stage]) -> None:
        """Record that the servers of a path accepted a request."""
        for stage in path:
            self._full.record_accepted(stage.server.id)

    def _full_servers(self, job: jobs.Job) -> list[str]:
        """Return the servers without room, for logs.

        Each comes with the share of its memory that all known requests will
        need, and the share that it reported.
        """
        engine = job.service.engine
        if engine is None:
            return []
        load_by_server = self._load_by_server()
        found = []
        for server in self._view.usable(job.service.id):
            _, reserved = load_by_server.get(server.id, loads.NO_LOAD)
            share = reserved / memory.cache_capacity(engine, server)
            reported = self.reports.occupancy(server)
            if max(share, reported) >= memory.FULL_SHARE:
                found.append(f'{server.id} {share:.2f} {reported:.2f}')
        return found

    def _describe_balance(self) -> dict[str, float]:
        return self._balance.describe() if self._balance else {}

    def _load_by_server(self) -> dict[ids.ServerId, loads.Load]:
        """Return the load of all gateways, as far as it is known."""
        own = self._usage.load_by_server()
        return loads.add(own, self._others.load_by_server())

    def wake_waiter(self) -> None:
        """Let queued requests try again to get a path.

        One does, and where requests are admitted in order, several.
        """
        self._queue.wake()
        for service, queue in self._queue_by_service.items():
            queue.wake_in_turn(
                TURNS, functools.partial(self._goes_first, service)
            )

    def _goes_first(self, service: ids.ServiceId, rank: int) -> bool:
        """Return whether requests of a rank in the queue have a turn."""
        return self._pressure.has_turn(service, -rank)

    def find_path(
        self,
        job: jobs.Job,
        failed: Collection[ids.ServerId],
        has_begun: bool = False,
        is_isolated: bool = False,
        first_servers: Container[ids.ServerId] | None = None,
    ) -> tuple[backends.Stage, ...]:
        """Return the cheapest path, no stages if none has room.

        :param failed: servers that failed this request
        :param has_begun: the caller has received events
        :param is_isolated: prefer a first server with few other requests
        :param first_servers: at which the path may begin, None for any
        """
        engine = job.service.engine
        if engine is None:
            servers = self._plain_servers(job, failed, first_servers)
            if not servers and has_begun:
                servers = self._plain_servers(job, (), first_servers)
            return tuple(backends.Stage(s, 0, 0) for s in servers[:1])
        size = self._request_size(job, engine)
        allowed_share = 1.0
        if not has_begun and self._others.is_informed:
            allowed_share = self._allowed_share(job)
        load_by_server = self._load_by_server()
        running_requests = functools.partial(
            self._running_requests, load_by_server
        )

        def no_requests(server: ids.ServerId) -> int:
            return 0

        def memory_factor(
            room: crossings.Room, server: backends.BackendServer
        ) -> float:
            return self._memory_factor(
                engine, load_by_server, allowed_share, room, server
            )

        limited = [
            server.id
            for server in self._first_servers(job, ())
            if not self._limits.has_room(server)
            or (first_servers is not None and server.id not in first_servers)
        ]
        exclusions = [[*failed, *limited]]
        if failed:
            exclusions.append(limited)
        if is_isolated:
            crowded = self._crowded_first_servers(
                job, exclusions[0], load_by_server
            )
            exclusions.insert(0, [*exclusions[0], *crowded])

        balance = None
        if self._balance and zone_balance.is_on(job.service):
            balance = self._balance

        def entry_ms(crossing: crossings.Crossing, zone: ids.ZoneId) -> float:
            # Where stages are in several zones, beginning in another zone is
            # better than one more crossing.
            if balance is None or crossing is not crossings.Crossing.NONE:
                return paths.REMOTE_ENTRY_MS
            return balance.entry_cost_ms(self._zone, zone, job.service)

        def search(
            excluded: Collection[ids.ServerId],
            room: crossings.Room,
            crossing: crossings.Crossing,
        ) -> tuple[backends.Stage, ...]:
            return paths.cheapest(
                engine,
                self._view.preferred(
                    job.service,
                    excluded,
                    may_rest=room in UNLIMITED_ROOM,
                ),
                size,
                self._zone,
                no_requests
                if room is crossings.Room.IDLE
                else running_requests,
                functools.partial(memory_factor, room),
                self.reports.slowdown,
                functools.partial(
                    self._is_closed, balance, job.service, crossing
                ),
                self._rng,
                functools.partial(entry_ms, crossing),
            )

        delays_answers = self._delays_answers(job.service)
        for excluded in exclusions:
            path = crossings.find_path(
                functools.partial(search, excluded),
                delays_answers,
                has_begun,
                self._is_slow if balance else None,
            )
            if path:
                return path
        if balance:
            balance.record_wait(
                job.service,
                functools.partial(
                    search,
                    exclusions[-1],
                    crossings.Room.FREE,
                    crossings.Crossing.ANY,
                ),
            )
        return ()

    def _running_requests(
        self, load_by_server: loads.LoadByServer, server: ids.ServerId
    ) -> int:
        """Return how many requests run at a server, as far as is known."""
        running, _ = load_by_server.get(server, loads.NO_LOAD)
        if self._others.is_informed:
            return running
        return running * memory.OWN_USAGE_FACTOR

    def _memory_factor(
        self,
        engine: config.Engine,
        load_by_server: loads.LoadByServer,
        allowed_share: float,
        room: crossings.Room,
        server: backends.BackendServer,
    ) -> float:
        """Return the factor on a server's cost for its memory use.

        :param allowed_share: of the server's memory that may be filled
        """
        if room in UNLIMITED_ROOM:
            return 1.0
        _, reserved = load_by_server.get(server.id, loads.NO_LOAD)
        share = reserved / memory.cache_capacity(engine, server)
        reported = self.reports.occupancy(server)
        if self._full.backs_off(server.id):
            return math.inf
        if self._others.is_informed:
            return memory.informed_cost_factor(
                share,
                reported,
                room is crossings.Room.OVERFULL,
                self._full.limit(server.id, memory.FULL_SHARE) * allowed_share,
            )
        return memory.cost_factor(share, self.gateway_count, reported)

    def find_detour(
        self,
        job: jobs.Job,
        path: tuple[backends.Stage, ...],
        affected: Collection[int],
        failed: Collection[ids.ServerId] = (),
    ) -> tuple[backends.Stage, ...]:
        """Return a path with other servers for some stages of a running one.

        The other stages keep what they have read of the request.

        :param affected: indexes of the stages to replace, without the first
        :param failed: servers that can't take the request
        :returns: no stages if other servers lack room
        """
        engine = job.service.engine
        if engine is None:
            return ()
        balance = None
        if self._balance and zone_balance.is_on(job.service):
            balance = self._balance
        excluded = {*failed, *(stage.server.id for stage in path)}
        usable = self._view.usable(job.service.id, excluded)
        sound = [s for s in usable if not self._view.is_avoided(s.id)]
        size = self._request_size(job, engine)
        load_by_server = self._load_by_server()

        def search(
            servers: Collection[backends.BackendServer],
            layers: backends.LayerRange,
            before: backends.Stage,
            room: crossings.Room,
            crossing: crossings.Crossing,
        ) -> tuple[backends.Stage, ...]:
            is_closed = functools.partial(
                self._is_closed, balance, job.service, crossing
            )

            def entry_ms(zone: ids.ZoneId) -> float:
                if is_closed((before.server.zone, zone)):
                    return math.inf
                return paths.zone_crossing_ms(engine, size)

            return paths.cheapest(
                engine,
                servers,
                size,
                before.server.zone,
                functools.partial(self._running_requests, load_by_server),
                functools.partial(
                    self._memory_factor, engine, load_by_server, 1.0, room
                ),
                self.reports.slowdown,
                is_closed,
                self._rng,
                entry_ms,
                layers,
            )

        found = detours.find(path, affected, functools.partial(search, sound))
        if not found and len(sound) < len(usable):
            found = detours.find(
                path, affected, functools.partial(search, usable)
            )
        return found

    def move(
        self,
        job: jobs.Job,
        before: tuple[backends.Stage, ...],
        after: tuple[backends.Stage, ...],
        is_restored: bool = False,
    ) -> None:
        """Account for a running request on another path than before.

        :param is_restored: it is the path on which the request has run, so
            that no prompt is sent again
        """
        tokens = self._reserved_tokens(job)
        self._usage.reserve(after, tokens)
        self._usage.release(before, tokens)
        if is_restored:
            return
        engine = job.service.engine
        size = self._request_size(job, engine)
        prompt_seconds = paths.transfer_ms(engine, size) / 1000
        crossed = _new_links(before, after)
        if self._balance:
            self._balance.record_crossings(
                job.service, crossed, prompt_seconds
            )
        self._links.record_crossings(
            crossed, prompt_seconds, self._prompt_share(job.service)
        )

    def _allowed_share(self, job: jobs.Job) -> float:
        """Return the share of memory that a new request may fill."""
        if not self._pressure.admits_in_order(job.service.id):
            return 1.0
        return self._pressure.share(job.service.id, job.priority)

    def _delays_answers(self, service: config.Service) -> bool:
        """Return whether prompts between zones make other answers late."""
        pause_seconds = self._view.pause_objective(service.id)
        return paths.delays_answers(service.engine, pause_seconds)

    def _prompt_share(self, service: config.Service) -> float:
        """Return the share of a link's bandwidth that is for prompts."""
        if self._delays_answers(service):
            return links.DELAYING_PROMPT_SHARE
        return links.PROMPT_SHARE

    def _is_slow(self, path: tuple[backends.Stage, ...]) -> bool:
        """Return whether servers of a path report that they are slow."""
        return any(
            self.reports.slowdown(stage.server) >= reports.SLOW_THRESHOLD
            for stage in path
        )

    def _is_closed(
        self,
        balance: zone_balance.ZoneBalance | None,
        service: config.Service,
        crossing: crossings.Crossing,
        link: links.Link,
    ) -> bool:
        """Return whether a path may not use an inter-zone link."""
        match crossing:
            case crossings.Crossing.NONE:
                return True
            case crossings.Crossing.FREE if balance:
                return not balance.may_cross(link, service)
            case crossings.Crossing.FREE:
                return self._links.is_full(link)
            case crossings.Crossing.ANY:
                return False

    def _plain_servers(
        self,
        job: jobs.Job,
        excluded: Collection[ids.ServerId],
        allowed: Container[ids.ServerId] | None,
    ) -> list[backends.BackendServer]:
        return [
            server
            for server in self._view.usable(job.service.id, excluded)
            if self._limits.has_room(server)
            and (allowed is None or server.id in allowed)
        ]

    def _crowded_first_servers(
        self,
        job: jobs.Job,
        failed: Collection[ids.ServerId],
        load_by_server: Mapping[ids.ServerId, loads.Load],
    ) -> list[ids.ServerId]:
        """Return all servers of the first layer but one with few requests.

        It is one of the less loaded half, so that not all gateways choose the
        same for requests that each of them keeps apart.
        """
        first = [server.id for server in self._first_servers(job, failed)]
        if not first:
            return []
        self._rng.shuffle(first)
        first.sort(key=lambda s: load_by_server.get(s, loads.NO_LOAD)[0])
        chosen = self._rng.choice(first[: (len(first) + 1) // 2])
        return [server for server in first if server != chosen]

    def _first_servers(
        self, job: jobs.Job, excluded: Collection[ids.ServerId]
    ) -> list[backends.BackendServer]:
        """Return the servers at which paths can begin."""
        return [
            server
            for server in self._view.usable(job.service.id, excluded)
            if server.layers and server.layers.first == 0
        ]

    def _limit_failure(
        self, job: jobs.Job, until: float
    ) -> failures.Failure | None:
        """Return a failure if all first servers are at limits for too long.

        :param until: monotonic seconds up to which the request may wait
        """
        waits = [
            self._limits.seconds_until_room(server)
            for server in self._first_servers(job, ())
        ]
        if not waits or timers.now() + min(waits) < until:
            return None
        return failures.Failure(
            failures.Reason.OVERLOADED,
            'stream.limit',
            detail=f'servers of {job.service.id} accept no more requests a '
            'second',
            retry_after=min(*waits, MAX_LIMIT_RETRY_AFTER_SECONDS),
        )

    def _request_size(
        self, job: jobs.Job, engine: config.Engine
    ) -> paths.RequestSize:
        answer = job.request.length_hint or round(engine.mean_answer_tokens)
        if job.request.max_answer_tokens:
            answer = min(answer, job.request.max_answer_tokens)
        return paths.RequestSize(
            job.request.prompt_tokens or round(engine.mean_prompt_tokens),
            max(1, answer),
        )

    def no_path_failure(self, job: jobs.Job) -> failures.Failure:
        """Return a failure that names the layer for which no server is usable.

        The caller may retry.
        """
        engine = job.service.engine
        usable = self._view.usable(job.service.id)
        layer = paths.first_uncovered_layer(engine, usable) if engine else None
        return failures.Failure(
            failures.Reason.NO_PATH,
            'stream.path',
            detail=f'no usable server of {job.service.id} holds layer {layer}',
            retry_after=RETRY_AFTER_SECONDS,
        )


def _new_links(
    before: Iterable[backends.Stage], after: Iterable[backends.Stage]
) -> list[links.Link]:
    """Return the inter-zone links that only the second path uses."""
    left = collections.Counter(links.inter_zone_links(after))
    left.subtract(links.inter_zone_links(before))
    return list(left.elements())
