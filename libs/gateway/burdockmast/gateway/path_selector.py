"""Chooses the path of each request, and lets requests wait for one."""

from collections.abc import Collection
import random

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import config
from burdockmast.gateway import jobs
from burdockmast.gateway import links
from burdockmast.gateway import memory
from burdockmast.gateway import paths
from burdockmast.gateway import reports
from burdockmast.gateway import view
from burdockmast.limits import queues

LOG = logs.get('choosing')

# Seconds until a caller may come back when no path can be had.
RETRY_AFTER_SECONDS = 0.3
# Seconds from its arrival for which a request may wait for a path. Callers
# leave after 2 s without an event, and the first takes some tenths of one.
QUEUE_SECONDS = 1.2
# Requests that may wait at once.
QUEUE_LIMIT = 256
# Seconds between looks whether a refusing server may be tried again.
WAKE_INTERVAL_SECONDS = 0.1
# Seconds for which a stream that has begun may wait for another path.
GO_ON_SECONDS = 0.6


class PathSelector:
    """Paths for the requests of one gateway."""

    def __init__(
        self,
        fleet: view.View,
        found: reports.ServerReports,
        usage: memory.Usage,
        zone: ids.ZoneId,
        rng: random.Random,
    ):
        """Create a chooser.

        :param zone: where this gateway's callers are
        """
        self.reports = found
        self._view = fleet
        self._usage = usage
        self._zone = zone
        self._random = rng
        self._queue = queues.FairQueue(QUEUE_LIMIT)
        self._links = links.ZoneLinks()

    @property
    def gateway_count(self) -> int:
        """Gateways that share the fleet, as far as this one knows."""
        return self._links.gateway_count

    @gateway_count.setter
    def gateway_count(self, count: int) -> None:
        self._links.gateway_count = count

    def reserve(self, job: jobs.Job, path: tuple[backends.Stage, ...]) -> None:
        """Count a request on its path."""
        engine = job.service.engine
        if engine is None:
            self._usage.reserve(path, 0)
            return
        work = self._work(job, engine)
        self._usage.reserve(path, work.total_tokens)
        self._links.record_prompt(path, paths.transfer_ms(engine, work) / 1000)

    def release(self, job: jobs.Job, path: tuple[backends.Stage, ...]) -> None:
        """Count a request no longer, and let another look for a path."""
        self._usage.release(path, self._tokens(job))
        self.wake_waiter()

    def _tokens(self, job: jobs.Job) -> int:
        engine = job.service.engine
        return self._work(job, engine).total_tokens if engine else 0

    def wait_for_path(
        self,
        job: jobs.Job,
        lost: Collection[ids.ServerId],
        has_begun: bool,
    ) -> tuple[backends.Stage, ...] | failures.Failure:
        """Return a path, waiting for one while all are busy.

        Answers bursts, in which every server that holds some layer is full:
        a place is free when the next answer ends, and the caller would
        rather wait for that than come back.

        :param lost: servers that failed this request
        :param has_begun: the caller has got events
        :returns: no stages if no path can be had soon
        """
        path = self._path(job, lost, has_begun)
        until = timers.now() + GO_ON_SECONDS
        if not has_begun:
            until = job.began + QUEUE_SECONDS
        until = min(until, job.deadline)
        while not path and self._is_busy(job):
            waiter = queues.Waiter(job.organisation, -job.priority, 1.0)
            refusal = self._queue.wait(waiter, until - timers.now())
            if refusal:
                LOG.info(
                    'no turn',
                    extra={
                        'request': job.id,
                        'waiting': len(self._queue),
                        'links': self._links.describe(),
                        'gateways': self.gateway_count,
                        'list_age': round(self._view.server_list_age, 3),
                        'outcome': str(refusal),
                    },
                )
                return refusal
            path = self._path(job, lost, has_begun)
        return path

    def _is_busy(self, job: jobs.Job) -> bool:
        """Tell whether servers for a path are there, but may not be used."""
        engine = job.service.engine
        if engine is None:
            return False
        ready = [s for s in self._view.listed(job.service.id) if s.is_ready]
        return paths.first_uncovered_layer(engine, ready) is None

    def wake_waiter(self) -> None:
        """Let one waiting request look for a path again."""
        self._queue.wake()

    def _path(
        self,
        job: jobs.Job,
        lost: Collection[ids.ServerId],
        has_begun: bool = False,
    ) -> tuple[backends.Stage, ...]:
        engine = job.service.engine
        if engine is None:
            servers = self._view.usable(job.service.id, lost)
            return tuple(backends.Stage(s, 0, 0) for s in servers[:1])
        work = self._work(job, engine)
        own = self._usage.usage_by_server()

        def crowding(server: backends.BackendServer) -> float:
            _, reserved = own.get(server.id, memory.NO_USAGE)
            return memory.cost_factor(
                reserved / memory.cache_capacity(engine, server),
                self.gateway_count,
                self.reports.occupancy(server),
            )

        for excluded in (lost, ()):
            path = paths.cheapest(
                engine,
                self._view.usable(job.service.id, excluded),
                work,
                self._zone,
                lambda server: (
                    own.get(server, memory.NO_USAGE)[0]
                    * memory.OWN_USAGE_FACTOR
                ),
                crowding,
                self.reports.slowdown,
                # A caller who has a part of the answer loses more than what
                # one prompt more costs the others.
                (lambda link: False) if has_begun else self._links.is_full,
                self._random,
            )
            if path:
                return path
        return ()

    def _work(self, job: jobs.Job, engine: config.Engine) -> paths.RequestSize:
        answer = job.request.length_hint or engine.mean_answer_tokens
        if job.request.max_answer_tokens:
            answer = min(answer, job.request.max_answer_tokens)
        return paths.RequestSize(
            job.request.prompt_tokens or engine.mean_prompt_tokens,
            max(1, answer),
        )

    def no_path_failure(self, job: jobs.Job) -> failures.Failure:
        """Return why a request can't be served now."""
        engine = job.service.engine
        usable = self._view.usable(job.service.id)
        layer = paths.first_uncovered_layer(engine, usable) if engine else None
        return failures.Failure(
            failures.Reason.NO_PATH,
            'stream.path',
            detail=f'no usable server of {job.service.id} holds layer {layer}',
            retry_after=RETRY_AFTER_SECONDS,
        )
