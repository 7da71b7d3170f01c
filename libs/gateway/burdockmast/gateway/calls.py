"""Proxies calls to plain services.

A call is retried only if it is idempotent or certain not to have run.
"""

import dataclasses
import random

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import buffers
from burdockmast.gateway import crash_checks
from burdockmast.gateway import crash_suspects
from burdockmast.gateway import interfaces
from burdockmast.gateway import jobs
from burdockmast.gateway import leaving_servers
from burdockmast.gateway import retries
from burdockmast.gateway import retry_allowance
from burdockmast.gateway import server_limits
from burdockmast.gateway import server_states
from burdockmast.gateway import upstream
from burdockmast.gateway import view
from burdockmast.gateway.crashes import broken_attempts

LOG = logs.get('calls')

# Retry-After value while no server is reachable.
RETRY_AFTER_SECONDS = 0.1
# The same while servers name limits: another gateway may have room.
MAX_LIMIT_RETRY_AFTER_SECONDS = 0.5
# No attempt starts this close to the deadline: the reply must still reach the
# caller.
REPLY_MARGIN_SECONDS = 0.02
# Largest reply body; it is buffered until it is complete.
MAX_BODY_BYTES = 16 * 1024 * 1024
SUCCESS_STATUSES = range(200, 300)
FIRST_SERVER_ERROR_STATUS = 500
# A server's answer to a request that it could not serve in time.
DEADLINE_STATUS = 504


class CallProxy:
    """Forwards requests that are answered by a single reply."""

    def __init__(
        self,
        fleet: view.View,
        header_codec: interfaces.HeaderCodec,
        budget: retry_allowance.RetryAllowance,
        zone: ids.ZoneId,
        rng: random.Random,
        suspects: crash_suspects.CrashSuspects,
        limits: server_limits.ServerLimits,
        leaving: leaving_servers.LeavingServers,
        broken: broken_attempts.BrokenAttempts,
    ):
        """Create a proxy that prefers servers in ``zone``."""
        self._view = fleet
        self._header_codec = header_codec
        self._budget = budget
        self._zone = zone
        self._rng = rng
        self._suspects = suspects
        self._limits = limits
        self._leaving = leaving
        self._broken = broken
        self._crash_checks = crash_checks.CrashChecks()

    def forward(
        self, job: jobs.Job, buffer: buffers.Buffer
    ) -> jobs.Reply | failures.Failure:
        """Forward a call, retrying as its route and the budget allow.

        :param buffer: room that the reply takes
        """
        tried: list[ids.ServerId] = []
        possible_runs = 0
        last_result: jobs.Reply | failures.Failure | None = None
        fingerprints = job.fingerprints
        for attempt in range(retries.MAX_NOT_RUN_ATTEMPTS):
            verdict = self._suspects.judge(fingerprints)
            if verdict is crash_suspects.Verdict.REJECT:
                last_result = self._suspects.rejection(fingerprints)
                break
            server = self._choose(job, tried)
            if server is None:
                break
            permit: retries.Permit | None = retries.FIRST_ATTEMPT
            if attempt:
                permit = self._budget.withdraw(
                    job.service.id, possible_runs > 0, job.seconds_left
                )
            if permit is None:
                LOG.info(
                    'retry budget exhausted; request is not retried',
                    extra={'request': job.id, 'sends': attempt},
                )
                break
            tried.append(server.id)
            last_result = self._attempt(
                job, server, fingerprints, permit, buffer
            )
            if isinstance(last_result, jobs.Reply):
                possible_runs += 1
                if (
                    last_result.status < FIRST_SERVER_ERROR_STATUS
                    or not job.is_idempotent
                ):
                    return last_result
                if (
                    possible_runs >= job.route.max_attempts
                    or job.seconds_left <= REPLY_MARGIN_SECONDS
                ):
                    return last_result
                continue
            if last_result.outcome is not outcomes.Outcome.NOT_RUN:
                possible_runs += 1
                if (
                    not job.is_idempotent
                    or possible_runs >= job.route.max_attempts
                ):
                    break
            if job.seconds_left <= REPLY_MARGIN_SECONDS:
                break
        if possible_runs and isinstance(last_result, failures.Failure):
            # The last attempt may not have run, but an earlier one may.
            return dataclasses.replace(
                last_result, outcome=outcomes.Outcome.UNKNOWN
            )
        return last_result or self._no_server_failure(job)

    def _no_server_failure(self, job: jobs.Job) -> failures.Failure:
        """Return a failure that says when to come back."""
        waits = [
            self._limits.seconds_until_room(server)
            for server in self._view.usable(job.service.id)
        ]
        if waits:
            return failures.Failure(
                failures.Reason.OVERLOADED,
                'call.limit',
                detail=f'servers of {job.service.id} accept no more requests '
                'a second',
                retry_after=min(*waits, MAX_LIMIT_RETRY_AFTER_SECONDS),
            )
        return failures.Failure(
            failures.Reason.NO_SERVER,
            'call.choose',
            detail=f'no server of {job.service.id} is reachable',
            retry_after=RETRY_AFTER_SECONDS,
        )

    def _choose(
        self, job: jobs.Job, tried: list[ids.ServerId]
    ) -> backends.BackendServer | None:
        """Return the least loaded server, on a tie one in this zone."""
        candidates = self._view.usable(job.service.id, tried)
        if not candidates and not tried:
            # With no other server left, lost ones are tried as well.
            candidates = [
                s for s in self._view.listed(job.service.id) if s.is_ready
            ]
        candidates = [s for s in candidates if self._limits.has_room(s)]
        if not candidates:
            return None
        avoided = {s.id for s in candidates if self._view.is_avoided(s.id)}
        return min(
            candidates,
            key=lambda s: (
                s.id in avoided,
                self._view.running_requests(s.id),
                s.zone != self._zone,
                self._rng.random(),
            ),
        )

    def _attempt(
        self,
        job: jobs.Job,
        server: backends.BackendServer,
        fingerprints: tuple[ids.Fingerprint, ...],
        permit: retries.Permit,
        buffer: buffers.Buffer,
    ) -> jobs.Reply | failures.Failure:
        began = timers.now()
        exchange = upstream.Exchange(server, permit.send_before)
        self._view.add_request((server.id,))
        tracked = self._suspects.track(fingerprints, server)
        try:
            result = self._exchange(job, exchange, buffer)
            self._record_health(job, tracked, result)
        finally:
            exchange.close()
            self._suspects.untrack(tracked)
            self._view.remove_request((server.id,))
        self._record_result(job, server, result, timers.now() - began)
        return result

    def _record_health(
        self,
        job: jobs.Job,
        tracked: crash_suspects.Attempt,
        result: jobs.Reply | failures.Failure,
    ) -> None:
        """Record whether the server has survived the request."""
        match result:
            case jobs.Reply():
                self._suspects.record_answer(tracked)
                self._broken.record_answer(tracked)
            case failures.Failure(
                reason=failures.Reason.ENGINE_LOST,
                step='backend.send' | 'backend.head' | 'backend.body',
            ):
                if not self._crash_checks.has_crashed(tracked.server):
                    self._broken.add(tracked)
                    return
                self._suspects.record_crash(tracked)
                self._view.record_failure(
                    tracked.server.id,
                    server_states.Evidence.CONNECTION_REFUSED,
                    'crashed during a call',
                    job.id,
                )
                LOG.info(
                    'server crashed during a call',
                    extra={
                        'request': job.id,
                        'server': tracked.server.id,
                        'started_ms': tracked.server.started_ms,
                        'step': result.step,
                    },
                )

    def _exchange(
        self,
        job: jobs.Job,
        exchange: upstream.Exchange,
        buffer: buffers.Buffer,
    ) -> jobs.Reply | failures.Failure:
        attempt = interfaces.Attempt(
            exchange.server,
            job.organisation,
            job.seconds_left,
            (),
            job.request.last_event_id,
            0,
        )
        headers = self._header_codec.backend_headers(job.request, attempt)
        self._limits.record_sent(exchange.server)
        failure = exchange.send(job.request, headers, job.deadline)
        if failure:
            return failure
        head = exchange.read_head(job.id, job.deadline, self._header_codec)
        if isinstance(head, failures.Failure):
            return head
        self._view.record_answer(exchange.server.id)
        self._limits.record_reply(
            exchange.server, head.metadata, head.status, job.id
        )
        if head.metadata.is_leaving:
            self._leaving.record(
                exchange.server.id, exchange.server.started_ms, job.id
            )
        if head.metadata.is_not_run:
            return exchange.refusal(head, RETRY_AFTER_SECONDS)
        buffer.restart()
        try:
            body = exchange.read_body(job.deadline, MAX_BODY_BYTES, buffer)
        except (upstream.IncompleteReply, TimeoutError) as error:
            return exchange.unknown_outcome(
                'body', f'reading the body failed: {error}'
            )
        if head.metadata.is_encoded or (
            head.status in SUCCESS_STATUSES and not head.metadata.is_signed
        ):
            return exchange.unknown_outcome(
                'body', 'reply is unsigned or content-encoded'
            )
        return jobs.Reply.from_head(head, self._header_codec, body)

    def _record_result(
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
            'left': round(job.seconds_left, 3),
            'list_age': round(self._view.server_list_age, 3),
        }
        match result:
            case jobs.Reply():
                if result.status < FIRST_SERVER_ERROR_STATUS:
                    self._view.record_served_request(server.id)
                elif result.status != DEADLINE_STATUS:
                    self._view.record_failed_request(
                        server.id, f'status {result.status}', job.id
                    )
                LOG.info(
                    'call attempt answered',
                    extra={**extra, 'status': result.status},
                )
            case failures.Failure():
                LOG.info(
                    'call attempt failed',
                    extra={
                        **extra,
                        'reason': result.reason.value,
                        'step': result.step,
                        'detail': result.detail,
                        'outcome': result.outcome.value,
                    },
                )
                if result.step == 'backend.connect':
                    self._view.record_failure(
                        server.id,
                        server_states.evidence_of(result),
                        result.detail,
                        job.id,
                    )
                elif result.reason is failures.Reason.ENGINE_LOST:
                    self._view.record_failed_request(
                        server.id, result.detail, job.id
                    )
