"""Proxies event streams, resuming them on another path after a failure.

A path that only sends nothing is kept until another one delivers, or until the
request's deadline: what its servers still send is not lost for want of a path,
a retry or room elsewhere.
"""

from collections.abc import Iterator
import dataclasses
import functools

import eventlet

from burdockmast.base import failures
from burdockmast.base import logs
from burdockmast.base import metrics
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import buffers
from burdockmast.gateway import crash_checks
from burdockmast.gateway import crash_suspects
from burdockmast.gateway import interfaces
from burdockmast.gateway import jobs
from burdockmast.gateway import leaving_servers
from burdockmast.gateway import path_selector
from burdockmast.gateway import retries
from burdockmast.gateway import retry_allowance
from burdockmast.gateway import server_limits
from burdockmast.gateway import server_states
from burdockmast.gateway import silence
from burdockmast.gateway import stream_attempts
from burdockmast.gateway import stream_progress
from burdockmast.gateway import stream_standbys
from burdockmast.gateway import suspect_trials
from burdockmast.gateway import upstream
from burdockmast.gateway import view
from burdockmast.gateway.crashes import broken_attempts
from burdockmast.gateway.rerouting import rerouter as rerouting

LOG = logs.get('streams')

# A server counts as alive for this long after it relayed an event.
RECENT_EVENT_SECONDS = 0.4
# Time after which a stream that could not go on elsewhere tries that again.
RESUME_INTERVAL_SECONDS = 0.3
# How often standby attempts are looked at when no other attempt is left.
STANDBY_POLL_SECONDS = 0.05


class StreamAborted(Exception):
    """A stream of which the caller has events can't be completed."""


class StreamProxy:
    """Forwards requests that are answered by an event stream."""

    def __init__(
        self,
        fleet: view.View,
        header_codec: interfaces.HeaderCodec,
        budget: retry_allowance.RetryAllowance,
        selector: path_selector.PathSelector,
        measures: metrics.Metrics,
        suspects: crash_suspects.CrashSuspects,
        limits: server_limits.ServerLimits,
        leaving: leaving_servers.LeavingServers,
        replies: buffers.BufferPool,
        rerouter: rerouting.Rerouter,
        broken: broken_attempts.BrokenAttempts,
    ):
        """Create a proxy that chooses paths and retries within the budget.

        :param replies: room for all replies
        """
        self._view = fleet
        self._header_codec = header_codec
        self._budget = budget
        self._path_selector = selector
        self._metrics = measures
        self._suspects = suspects
        self._rerouter = rerouter
        self._dependencies = stream_attempts.Dependencies(
            fleet,
            header_codec,
            selector,
            suspects,
            limits,
            leaving,
            crash_checks.CrashChecks(),
            broken,
            replies,
        )

    def forward(
        self, job: jobs.Job
    ) -> Iterator[jobs.Reply | failures.Failure | bytes]:
        """Yield a failure or the reply, then complete events.

        :raises StreamAborted: if a stream that has begun can't be completed
        """
        if job.request.last_event_id is not None:
            self._metrics.count('streams.resumed_by_caller')
        progress = stream_progress.Progress(
            job.request.last_event_id, job.fingerprints
        )
        try:
            failure = yield from self._forward(job, progress)
        finally:
            self._cancel_standbys(job, progress)
            if progress.current:
                progress.current.close()
        if failure is None:
            return
        if progress.possible_runs:
            # The last attempt may not have run, but an earlier one may.
            failure = dataclasses.replace(
                failure, outcome=outcomes.Outcome.UNKNOWN
            )
        if progress.has_begun:
            if not progress.can_resume:
                self._metrics.count('streams.not_resumable')
            self._log_abort(job, progress, failure)
            raise StreamAborted(str(failure))
        yield failure

    def _forward(
        self, job: jobs.Job, progress: stream_progress.Progress
    ) -> Iterator[jobs.Reply | bytes]:
        """Forward the events of one attempt after the other."""
        attempt = self._open(job, progress)
        while True:
            if isinstance(attempt, failures.Failure):
                return attempt
            progress.current = attempt
            failure = yield from self._relay(job, attempt, progress)
            progress.current = None
            if failure is None:
                return None
            self._record_end(job, progress, attempt, failure)
            attempt = self._replacement(job, progress, failure)

    def _open(
        self, job: jobs.Job, progress: stream_progress.Progress
    ) -> stream_attempts.StreamAttempt | failures.Failure:
        """Return an attempt on the best path, or why there is none."""
        path = self._wait_for_path(job, progress)
        if isinstance(path, failures.Failure):
            return path
        if not path or (progress.current and self._is_unresponsive(path)):
            return self._path_selector.no_path_failure(job)
        progress.attempts += 1
        attempt = stream_attempts.StreamAttempt(
            self._dependencies,
            job,
            path,
            progress.fingerprints,
            progress.last_event_id,
        )
        attempt.path_changes = progress.path_changes
        self._rerouter.prepare(job, attempt)
        return attempt

    def _is_unresponsive(self, path: tuple[backends.Stage, ...]) -> bool:
        """Return whether a path would be as silent as another one."""
        return any(
            self._view.is_unresponsive(stage.server.id) for stage in path
        )

    def _wait_for_path(
        self, job: jobs.Job, progress: stream_progress.Progress
    ) -> tuple[backends.Stage, ...] | failures.Failure:
        """Return a path, first waiting while a suspect must be tried alone."""
        verdict = suspect_trials.wait_for_turn(
            self._suspects, job, progress.fingerprints
        )
        if isinstance(verdict, failures.Failure):
            if verdict.reason is failures.Reason.CRASHES_SERVERS:
                self._metrics.count('streams.quarantined')
            return verdict
        silent = progress.current.servers if progress.current else ()
        return self._path_selector.wait_for_path(
            job,
            [*progress.failed_servers, *silent],
            progress.has_begun,
            verdict is not crash_suspects.Verdict.SOUND,
            self._first_servers(job, progress),
        )

    def _first_servers(
        self, job: jobs.Job, progress: stream_progress.Progress
    ) -> stream_progress.FirstServers:
        """Return the servers at which another attempt may begin.

        Those that have ended don't count as servers that ran the request.
        """
        if progress.has_begun:
            progress.ran_at = {
                incarnation
                for incarnation in progress.ran_at
                if not self._view.has_ended(incarnation)
            }
        return progress.first_servers(job.route.max_attempts)

    def _relay(
        self,
        job: jobs.Job,
        attempt: stream_attempts.StreamAttempt,
        progress: stream_progress.Progress,
    ) -> Iterator[jobs.Reply | bytes]:
        """Forward an attempt's events; return its failure, if any."""
        attempt.keep_waiting = functools.partial(
            self._keep_waiting, job, attempt, progress
        )
        attempt.forwards_errors = functools.partial(
            self._forwards_errors, job, progress
        )
        received = attempt.receive()
        while True:
            try:
                item = next(received)
            except StopIteration as end:
                if end.value is None and not progress.has_begun:
                    yield self._begin(job, attempt, progress)
                return end.value
            self._cancel_standbys(job, progress)
            if isinstance(item, jobs.Reply):
                progress.has_begun = True
                yield item
                continue
            if not progress.has_begun:
                self._metrics.timing(
                    'stream.first_event', timers.now() - job.arrived_at
                )
                yield self._begin(job, attempt, progress)
            progress.last_event_id = item.last_id
            progress.can_resume = item.is_numbered
            progress.event_count += item.count
            progress.refusals = 0
            yield item.data

    def _begin(
        self,
        job: jobs.Job,
        attempt: stream_attempts.StreamAttempt,
        progress: stream_progress.Progress,
    ) -> jobs.Reply:
        progress.has_begun = True
        return jobs.Reply.from_head(attempt.head, self._header_codec)

    def _keep_waiting(
        self,
        job: jobs.Job,
        attempt: stream_attempts.StreamAttempt,
        progress: stream_progress.Progress,
    ) -> bool:
        """Return whether to keep waiting for a silent attempt.

        Starts a standby attempt if that may help.
        """
        if job.seconds_left <= 0:
            return False
        if any(
            standby.state is stream_standbys.State.READY
            for standby in progress.standbys
        ):
            return False
        is_early = (
            attempt.is_checked_early
            and attempt.silent_seconds < silence.CHECK_SECONDS
        )
        if not is_early:
            attempt.fetch_reports()
        is_kept = self._rerouter.keep(job, attempt)
        progress.path_changes = max(
            progress.path_changes, attempt.path_changes
        )
        if is_kept or is_early:
            return True
        found = self._silence(job, attempt, progress)
        if (
            timers.now() >= progress.next_standby_at
            and silence.should_try_another(found)
        ):
            LOG.info(
                'path is silent; trying another one',
                extra={
                    'request': job.id,
                    'path': attempt.servers,
                    'last_event': progress.last_event_id,
                    'runs': progress.possible_runs,
                    'left': round(job.seconds_left, 3),
                    **dataclasses.asdict(found),
                },
            )
            self._start_standby(job, progress)
        return True

    def _silence(
        self,
        job: jobs.Job,
        attempt: stream_attempts.StreamAttempt,
        progress: stream_progress.Progress,
    ) -> silence.Silence:
        """Return what is known of the attempt that was started last."""
        progress.drop_failed_standbys()
        newest = attempt
        if progress.standbys:
            newest = progress.standbys[-1].attempt
        if newest is None:
            # It has found no path yet.
            return silence.Silence(0.0, 0.0, False, False, False, False, False)
        failed = self._view.failed_since(newest.servers, newest.silent_since)
        unresponsive = [s for s in failed if self._view.is_unresponsive(s)]
        return silence.Silence(
            newest.silent_seconds,
            newest.limit_seconds,
            self._may_try_another(job, progress),
            progress.is_repeat(job.route.max_attempts),
            len(unresponsive) < len(failed),
            bool(unresponsive),
            self._view.all_active_since(
                newest.servers, timers.now() - RECENT_EVENT_SECONDS
            ),
        )

    def _may_try_another(
        self, job: jobs.Job, progress: stream_progress.Progress
    ) -> bool:
        return (
            job.is_idempotent
            and progress.can_resume
            and not self._first_servers(job, progress).is_empty
            and self._budget.can_withdraw(job.service.id, progress.has_begun)
        )

    def _start_standby(
        self, job: jobs.Job, progress: stream_progress.Progress
    ) -> None:
        pause = RESUME_INTERVAL_SECONDS * 2 ** min(
            progress.refusals, retries.MAX_NOT_RUN_ATTEMPTS
        )
        progress.next_standby_at = timers.now() + pause
        progress.standbys.append(
            stream_standbys.Standby(
                functools.partial(self._open_with_retry, job, progress),
                functools.partial(self._record_end, job, progress),
            )
        )

    def _open_with_retry(
        self, job: jobs.Job, progress: stream_progress.Progress
    ) -> stream_attempts.StreamAttempt | failures.Failure:
        """Return an attempt once both a path and a retry are to be had."""
        if not self._budget.can_withdraw(job.service.id, progress.has_begun):
            return self._no_retry_failure(job, progress)
        attempt = self._open(job, progress)
        if isinstance(attempt, failures.Failure):
            return attempt
        permit = self._budget.withdraw(
            job.service.id, progress.has_begun, job.seconds_left
        )
        if permit is not None:
            attempt.send_before(permit.send_before)
            return attempt
        progress.attempts -= 1
        return self._no_retry_failure(job, progress)

    def _no_retry_failure(
        self, job: jobs.Job, progress: stream_progress.Progress
    ) -> failures.Failure:
        LOG.info(
            'retry budget exhausted; request is not retried',
            extra={'request': job.id, 'sends': progress.attempts},
        )
        return failures.Failure(
            failures.Reason.OVERLOADED,
            'stream.retry',
            detail=f'no retry is left for {job.service.id}',
            retry_after=path_selector.RETRY_AFTER_SECONDS,
        )

    def _cancel_standbys(
        self, job: jobs.Job, progress: stream_progress.Progress
    ) -> None:
        for standby in progress.standbys:
            if standby.has_ended:
                continue
            LOG.info(
                'standby attempt is cancelled',
                extra={'request': job.id, 'state': standby.state.value},
            )
            if standby.cancel():
                progress.record_run(standby.attempt)
        progress.standbys.clear()

    def _forwards_errors(
        self, job: jobs.Job, progress: stream_progress.Progress
    ) -> bool:
        """Return whether an error reply is final."""
        if progress.has_begun or progress.standbys:
            return False
        runs = progress.possible_runs + 1
        return not job.is_idempotent or runs >= job.route.max_attempts

    def _replacement(
        self,
        job: jobs.Job,
        progress: stream_progress.Progress,
        failure: failures.Failure,
    ) -> stream_attempts.StreamAttempt | failures.Failure:
        """Return the attempt that goes on after one that has ended."""
        attempt = self._await_standby(job, progress)
        while attempt is None:
            if not self._may_retry(job, progress, failure):
                return failure
            if progress.is_often_refused:
                eventlet.sleep(RESUME_INTERVAL_SECONDS)
            found = self._open_with_retry(job, progress)
            if not isinstance(found, failures.Failure):
                return found
            is_final = found.reason is failures.Reason.CRASHES_SERVERS
            if is_final or not progress.has_begun:
                return found
            # Its caller would lose what it has got.
            failure = found
            eventlet.sleep(RESUME_INTERVAL_SECONDS)
        return attempt

    def _may_retry(
        self,
        job: jobs.Job,
        progress: stream_progress.Progress,
        failure: failures.Failure,
    ) -> bool:
        """Return whether the route and the deadline allow another attempt."""
        if job.seconds_left <= 0 or not progress.can_resume:
            return False
        if progress.possible_runs and (
            not job.is_idempotent
            or self._first_servers(job, progress).is_empty
        ):
            return False
        return progress.has_begun or not progress.is_often_refused

    def _await_standby(
        self, job: jobs.Job, progress: stream_progress.Progress
    ) -> stream_attempts.StreamAttempt | None:
        """Return the first standby attempt that delivers, if any does."""
        while progress.standbys:
            for standby in progress.standbys:
                if standby.state is stream_standbys.State.READY:
                    progress.standbys.remove(standby)
                    return standby.attempt
            progress.drop_failed_standbys()
            if progress.standbys:
                if job.seconds_left <= 0:
                    return None
                progress.standbys[-1].wait(STANDBY_POLL_SECONDS)
        return None

    def _record_end(
        self,
        job: jobs.Job,
        progress: stream_progress.Progress,
        attempt: stream_attempts.StreamAttempt,
        failure: failures.Failure,
    ) -> None:
        """Record an attempt that failed, and its likely failed servers."""
        first = attempt.path[0].server
        if failure.outcome is outcomes.Outcome.NOT_RUN:
            progress.refusals += 1
        else:
            progress.record_run(attempt)
            if progress.has_begun and not attempt.has_events:
                progress.refusals += 1
        if attempt.is_out_of_order:
            self._metrics.count('streams.out_of_order')
        if attempt.has_crashed:
            self._metrics.count('streams.server_crashed')
            if progress.has_begun:
                progress.ran_at.discard(first.incarnation)
        match failure:
            case failures.Failure(step=upstream.NOT_SENT_STEP):
                pass
            case failures.Failure(step='backend.connect'):
                progress.failed_servers.append(first.id)
                self._view.record_failure(
                    first.id,
                    server_states.evidence_of(failure),
                    failure.detail,
                    job.id,
                )
                self._path_selector.reports.record_lost(first.id)
            case failures.Failure(reason=failures.Reason.ENGINE_REFUSED):
                culprit = next(
                    (
                        stage.server
                        for stage in attempt.path
                        if stage.server.address == failure.peer
                    ),
                    first,
                )
                progress.failed_servers.append(culprit.id)
                self._back_off(job, culprit, failure)
                if not self._dependencies.leaving.includes(culprit):
                    self._path_selector.record_rejection(job)
            case failures.Failure(
                reason=failures.Reason.PEER_SILENT | failures.Reason.DEADLINE
            ):
                progress.failed_servers.extend(attempt.record_lost_servers())
            case _:
                progress.failed_servers.append(first.id)
                if attempt.head is None and not attempt.has_crashed:
                    self._view.record_failed_request(
                        first.id, failure.detail, job.id
                    )

    def _back_off(
        self,
        job: jobs.Job,
        server: backends.BackendServer,
        failure: failures.Failure,
    ) -> None:
        """Send a server that rejected a request none for a moment."""
        if self._view.admission_policy(job.service.id).is_contended:
            self._path_selector.record_full(job, server)
        else:
            self._view.rest(server.id, failure.detail, job.id)

    def _log_abort(
        self,
        job: jobs.Job,
        progress: stream_progress.Progress,
        failure: failures.Failure,
    ) -> None:
        """Log what was left to a stream that is cut."""
        LOG.info(
            'no attempt is left to a stream that has begun',
            extra={
                'request': job.id,
                'reason': failure.reason.value,
                'step': failure.step,
                'peer': failure.peer,
                'attempts': progress.attempts,
                'possible_runs': progress.possible_runs,
                'ran_at': [i.server for i in progress.ran_at],
                'max_attempts': job.route.max_attempts,
                'has_budget': self._budget.can_withdraw(
                    job.service.id, progress.has_begun
                ),
                'left': round(job.seconds_left, 3),
                'last_event': progress.last_event_id,
                'can_resume': progress.can_resume,
                'admitted_by': job.configuration_version,
            },
        )
