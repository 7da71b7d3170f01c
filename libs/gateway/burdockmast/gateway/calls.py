"""Calls to plain services: repeated only where nothing can run twice."""

import dataclasses
import random

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import interfaces
from burdockmast.gateway import jobs
from burdockmast.gateway import retries
from burdockmast.gateway import upstream
from burdockmast.gateway import view

LOG = logs.get('calls')

# Seconds until a caller may come back when no server can be reached.
RETRY_SECONDS = 0.1
# Seconds kept back from the caller's time for the way of the answer.
MARGIN_SECONDS = 0.02
# Largest body of an answer that is kept until it is complete, in bytes.
BODY_BYTES = 16 * 1024 * 1024
SUCCESSES = range(200, 300)
# The first status by which a server says that it failed.
FAILED = 500


class Calls:
    """Plain calls of one gateway."""

    def __init__(
        self,
        fleet: view.View,
        dialect: interfaces.HeaderCodec,
        budget: retries.Budget,
        zone: ids.ZoneId,
        source: random.Random,
    ):
        """Create a caller of plain services."""
        self._view = fleet
        self._dialect = dialect
        self._budget = budget
        self._zone = zone
        self._random = source

    def call(self, job: jobs.Job) -> jobs.Reply | failures.Failure:
        """Execute a call in the way that its route allows."""
        tried: list[ids.ServerId] = []
        ran = 0
        last: jobs.Reply | failures.Failure | None = None
        for number in range(retries.UNRUN_SENDS):
            server = self._choose(job, tried)
            if server is None:
                break
            if number and not self._budget.withdraw(job.service.id):
                LOG.info(
                    'retry budget spent',
                    extra={'request': job.id, 'sends': number},
                )
                break
            tried.append(server.id)
            last = self._send(job, server)
            if isinstance(last, jobs.Reply):
                ran += 1
                if last.status < FAILED or not job.may_repeat:
                    return last
                if ran >= job.route.max_attempts or job.left <= MARGIN_SECONDS:
                    return last
                continue
            if last.outcome is not outcomes.Outcome.NOT_RUN:
                ran += 1
                if not job.may_repeat or ran >= job.route.max_attempts:
                    break
            if job.left <= MARGIN_SECONDS:
                break
        if ran and isinstance(last, failures.Failure):
            # An earlier send may have run, whatever the last one did.
            return dataclasses.replace(last, outcome=outcomes.Outcome.UNKNOWN)
        return last or failures.Failure(
            failures.Reason.NO_SERVER,
            'call.choose',
            detail=f'no server of {job.service.id} is reachable',
            retry_after=RETRY_SECONDS,
        )

    def _choose(
        self, job: jobs.Job, tried: list[ids.ServerId]
    ) -> backends.BackendServer | None:
        """Return the least loaded server, one in this zone if equal."""
        found = self._view.usable(job.service.id, tried)
        if not found and not tried:
            # An ejected server beats none.
            found = [
                s for s in self._view.listed(job.service.id) if s.is_ready
            ]
        if not found:
            return None
        return min(
            found,
            key=lambda s: (
                self._view.running_requests(s.id),
                s.zone != self._zone,
                self._random.random(),
            ),
        )

    def _send(
        self, job: jobs.Job, server: backends.BackendServer
    ) -> jobs.Reply | failures.Failure:
        began = timers.now()
        exchange = upstream.Exchange(server)
        self._view.add_request((server.id,))
        try:
            result = self._exchange(job, exchange)
        finally:
            exchange.close()
            self._view.remove_request((server.id,))
        self._note(job, server, result, timers.now() - began)
        return result

    def _exchange(
        self, job: jobs.Job, exchange: upstream.Exchange
    ) -> jobs.Reply | failures.Failure:
        sending = interfaces.Attempt(
            exchange.server, job.organisation, job.left, (), None, 0
        )
        headers = self._dialect.backend_headers(job.request, sending)
        failure = exchange.send(job.request, headers)
        if failure:
            return failure
        head = exchange.head(job.id, job.deadline, self._dialect)
        if isinstance(head, failures.Failure):
            return head
        if head.facts.is_not_run:
            return exchange.refused(head, RETRY_SECONDS)
        try:
            body = exchange.whole(job.deadline, BODY_BYTES)
        except (upstream.Broken, TimeoutError) as error:
            return exchange.lost('body', f'body: {error}')
        if head.facts.is_encoded or (
            head.status in SUCCESSES and not head.facts.is_signed
        ):
            return exchange.lost('body', 'answer without signature')
        return jobs.Reply.from_head(head, self._dialect, body)

    def _note(
        self,
        job: jobs.Job,
        server: backends.BackendServer,
        result: jobs.Reply | failures.Failure,
        seconds: float,
    ) -> None:
        extra = {
            'request': job.id,
            'server': server.id,
            'seconds': round(seconds, 4),
            'left': round(job.left, 3),
            'list_age': round(self._view.server_list_age, 3),
        }
        match result:
            case jobs.Reply():
                LOG.info(
                    'call answered', extra={**extra, 'status': result.status}
                )
            case failures.Failure():
                LOG.info(
                    'call failed',
                    extra={
                        **extra,
                        'reason': result.reason.value,
                        'step': result.step,
                        'detail': result.detail,
                        'outcome': result.outcome.value,
                    },
                )
                if result.step == 'backend.connect':
                    self._view.eject(server.id, result.detail, job.id)
