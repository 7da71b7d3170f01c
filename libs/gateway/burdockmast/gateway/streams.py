"""Proxies event streams, resuming them on another path after a failure."""

from collections.abc import Iterator
import dataclasses
import functools

from burdockmast.base import failures
from burdockmast.base import logs
from burdockmast.base import metrics
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import crash_checks
from burdockmast.gateway import crash_suspects
from burdockmast.gateway import interfaces
from burdockmast.gateway import jobs
from burdockmast.gateway import leaving_servers
from burdockmast.gateway import path_selector
from burdockmast.gateway import retries
from burdockmast.gateway import server_limits
from burdockmast.gateway import silence
from burdockmast.gateway import sse
from burdockmast.gateway import stream_progress
from burdockmast.gateway import suspect_trials
from burdockmast.gateway import upstream
from burdockmast.gateway import view

LOG = logs.get('streams')

# Another path is tried if the first event takes longer than this. Callers
# disconnect after 2 s without an event, so one more path can still be tried.
FIRST_EVENT_TIMEOUT_SECONDS = 1.0
# A server counts as alive for this long after it relayed an event.
RECENT_EVENT_SECONDS = 0.4
# Time to read the reply head after waiting for its first bytes.
HEAD_TIMEOUT_SECONDS = 0.1
# A pause between events after which a stream is resumed on another path.
PAUSE_TIMEOUT_SECONDS = 0.6
# A path counts as slow if a pause exceeds this share of the route's objective
# for pauses.
SLOW_PAUSE_SHARE = 0.4
# Largest event of a stream.
MAX_EVENT_BYTES = 1024 * 1024
# Largest body of a server's error reply that is forwarded to the caller.
MAX_ERROR_BODY_BYTES = 1024 * 1024
STATUS_OK = 200


class StreamAborted(Exception):
    """A stream of which the caller has events can't be completed."""


class StreamProxy:
    """Forwards requests that are answered by an event stream."""

    def __init__(
        self,
        fleet: view.View,
        header_codec: interfaces.HeaderCodec,
        budget: retries.Budget,
        selector: path_selector.PathSelector,
        measures: metrics.Metrics,
        suspects: crash_suspects.CrashSuspects,
        limits: server_limits.ServerLimits,
        leaving: leaving_servers.LeavingServers,
    ):
        """Create a proxy that chooses paths and retries within the budget."""
        self._view = fleet
        self._header_codec = header_codec
        self._budget = budget
        self._path_selector = selector
        self._metrics = measures
        self._suspects = suspects
        self._limits = limits
        self._leaving = leaving
        self._crash_checks = crash_checks.CrashChecks()

    def forward(
        self, job: jobs.Job
    ) -> Iterator[jobs.Reply | failures.Failure | bytes]:
        """Yield a failure or the reply, then complete events.

        :raises StreamAborted: if a stream that has begun can't be completed
        """
        progress = stream_progress.Progress(
            job.request.last_event_id, job.fingerprints
        )
        while True:
            path = self._wait_for_path(job, progress)
            failure = None
            if isinstance(path, failures.Failure):
                failure, path = path, ()
            if path:
                failure = yield from self._attempt(job, path, progress)
                if failure is None:
                    return
            failure = failure or self._path_selector.no_path_failure(job)
            if path and self._may_retry(job, progress, failure):
                continue
            if progress.possible_runs:
                # The last attempt may not have run, but an earlier one may.
                failure = dataclasses.replace(
                    failure, outcome=outcomes.Outcome.UNKNOWN
                )
            if progress.has_begun:
                self._log_abort(job, progress, failure)
                raise StreamAborted(str(failure))
            yield failure
            return

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
                'ended_runs': progress.ended_runs,
                'max_attempts': job.route.max_attempts,
                'has_budget': self._budget.can_withdraw(job.service.id),
                'left': round(job.seconds_left, 3),
                'last_event': progress.last_event_id,
                'admitted_by': job.configuration_version,
            },
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
        return self._path_selector.wait_for_path(
            job,
            progress.failed_servers,
            progress.has_begun,
            verdict is not crash_suspects.Verdict.SOUND,
        )

    def _may_retry(
        self,
        job: jobs.Job,
        progress: stream_progress.Progress,
        failure: failures.Failure,
    ) -> bool:
        if failure.outcome is not outcomes.Outcome.NOT_RUN:
            if (
                not job.is_idempotent
                or progress.possible_runs - progress.ended_runs
                >= job.route.max_attempts
            ):
                return False
        elif (
            progress.attempts - progress.possible_runs
            >= retries.MAX_NOT_RUN_ATTEMPTS
        ):
            return False
        if job.seconds_left <= 0:
            return False
        if self._budget.withdraw(job.service.id):
            return True
        LOG.info(
            'retry budget exhausted; request is not retried',
            extra={'request': job.id, 'sends': progress.attempts},
        )
        return False

    def _attempt(
        self,
        job: jobs.Job,
        path: tuple[backends.Stage, ...],
        progress: stream_progress.Progress,
    ) -> Iterator[jobs.Reply | bytes]:
        """Forward one attempt's events; return its failure, if any."""
        exchange = upstream.Exchange(path[0].server)
        began = timers.now()
        events_before = progress.event_count
        self._path_selector.reserve(job, path)
        progress.attempts += 1
        progress.tracked = self._suspects.track(
            progress.fingerprints, exchange.server
        )
        try:
            failure = yield from self._relay(job, exchange, path, progress)
            if failure is None:
                self._suspects.record_answer(progress.tracked)
            else:
                self._check_for_crash(job, exchange.server, progress, failure)
        finally:
            exchange.close()
            self._suspects.untrack(progress.tracked)
            self._path_selector.release(job, path)
        LOG.info(
            'stream completed' if failure is None else 'stream attempt failed',
            extra={
                'request': job.id,
                'path': [
                    f'{stage.server.id}={stage.first}-{stage.end}'
                    for stage in path
                ],
                'events': progress.event_count - events_before,
                'last_event': progress.last_event_id,
                'prompt_tokens': job.request.prompt_tokens,
                'answer_tokens': job.request.max_answer_tokens,
                'length_hint': job.request.length_hint,
                'longest_pause': round(progress.longest_pause, 3),
                'seconds': round(timers.now() - began, 3),
                'list_age': round(self._view.server_list_age, 3),
                'outcome': str(failure) if failure else 'whole',
            },
        )
        if failure is None:
            return None
        if failure.outcome is not outcomes.Outcome.NOT_RUN:
            progress.possible_runs += 1
        self._record_failure(job, path, progress, failure, began)
        return failure

    def _check_for_crash(
        self,
        job: jobs.Job,
        server: backends.BackendServer,
        progress: stream_progress.Progress,
        failure: failures.Failure,
    ) -> None:
        if (
            failure.reason is not failures.Reason.ENGINE_LOST
            or failure.step == 'backend.connect'
            or not self._crash_checks.has_crashed(server)
        ):
            return
        self._suspects.record_crash(progress.tracked)
        if progress.has_begun:
            progress.ended_runs += 1
        self._metrics.count('streams.server_crashed')
        LOG.info(
            'server crashed during a stream',
            extra={
                'request': job.id,
                'server': server.id,
                'started_ms': server.started_ms,
                'prompt_parts': job.request.prompt_parts,
                'events': progress.event_count,
                'step': failure.step,
            },
        )

    def _relay(
        self,
        job: jobs.Job,
        exchange: upstream.Exchange,
        path: tuple[backends.Stage, ...],
        progress: stream_progress.Progress,
    ) -> Iterator[jobs.Reply | bytes]:
        attempt = interfaces.Attempt(
            exchange.server,
            job.organisation,
            job.seconds_left,
            path if job.service.engine else (),
            progress.last_event_id,
            min(9, job.priority),
        )
        headers = self._header_codec.backend_headers(job.request, attempt)
        self._limits.record_sent(exchange.server)
        failure = exchange.send(job.request, headers)
        if failure:
            return failure
        self._wait_for_head(
            exchange,
            stream_progress.Waiting(
                job,
                path,
                progress,
                timers.now(),
                FIRST_EVENT_TIMEOUT_SECONDS,
            ),
        )
        head = exchange.read_head(
            job.id, timers.now() + HEAD_TIMEOUT_SECONDS, self._header_codec
        )
        if isinstance(head, failures.Failure):
            return head
        self._limits.record_reply(
            exchange.server, head.metadata, head.status, job.id
        )
        if head.metadata.is_leaving:
            self._leaving.record(
                exchange.server.id, exchange.server.started_ms, job.id
            )
        self._suspects.record_head(progress.tracked)
        if head.metadata.is_not_run:
            return exchange.refusal(head, path_selector.RETRY_AFTER_SECONDS)
        if head.status != STATUS_OK:
            return (
                yield from self._forward_error_reply(
                    job, exchange, head, progress
                )
            )
        if not head.metadata.is_signed or head.metadata.is_encoded:
            return exchange.unknown_outcome(
                'events', 'reply is unsigned or content-encoded'
            )
        return (
            yield from self._forward_events(
                job, exchange, path, head, progress
            )
        )

    def _wait_for_head(
        self, exchange: upstream.Exchange, waiting: stream_progress.Waiting
    ) -> None:
        """Wait for the reply, longer while the path serves other requests."""
        seconds = silence.CHECK_SECONDS
        while not exchange.wait_for_reply(
            min(waiting.job.seconds_left, seconds)
        ):
            if not self._should_keep_waiting(waiting):
                return
            seconds = upstream.SILENCE_RECHECK_SECONDS

    def _should_keep_waiting(self, waiting: stream_progress.Waiting) -> bool:
        """Return whether to keep waiting for a path that sends nothing.

        Its servers are asked for reports, which show those that are lost.
        """
        now = timers.now()
        job, progress = waiting.job, waiting.progress
        if job.service.engine:
            self._path_selector.reports.fetch(
                [stage.server for stage in waiting.path], job.id
            )
        servers = [stage.server.id for stage in waiting.path]
        may_retry = (
            job.is_idempotent
            and progress.possible_runs - progress.ended_runs + 1
            < job.route.max_attempts
            and self._budget.can_withdraw(job.service.id)
        )
        found = silence.Silence(
            now - waiting.since,
            waiting.limit_seconds,
            job.seconds_left,
            may_retry,
            bool(self._view.lost_since(servers, waiting.since)),
            self._view.all_active_since(servers, now - RECENT_EVENT_SECONDS),
        )
        if silence.should_wait(found):
            return True
        LOG.info(
            'stream leaves a silent path',
            extra={
                'request': job.id,
                'path': servers,
                'last_event': progress.last_event_id,
                **dataclasses.asdict(found),
            },
        )
        return False

    def _forward_error_reply(
        self,
        job: jobs.Job,
        exchange: upstream.Exchange,
        head: upstream.Head,
        progress: stream_progress.Progress,
    ) -> Iterator[jobs.Reply]:
        """Forward a server's error reply unless the request can be retried."""
        if progress.has_begun or (
            job.is_idempotent
            and progress.possible_runs + 1 < job.route.max_attempts
        ):
            return exchange.unknown_outcome(
                'events', f'server replied with status {head.status}'
            )
        try:
            body = exchange.read_body(job.deadline, MAX_ERROR_BODY_BYTES)
        except (upstream.IncompleteReply, TimeoutError) as error:
            return exchange.unknown_outcome(
                'events', f'reading the error body failed: {error}'
            )
        yield jobs.Reply.from_head(head, self._header_codec, body)
        return None

    def _forward_events(
        self,
        job: jobs.Job,
        exchange: upstream.Exchange,
        path: tuple[backends.Stage, ...],
        head: upstream.Head,
        progress: stream_progress.Progress,
    ) -> Iterator[jobs.Reply | bytes]:
        splitter = sse.EventSplitter(progress.last_event_id)
        servers = [stage.server.id for stage in path]
        last_event_at = timers.now()
        limit_seconds = FIRST_EVENT_TIMEOUT_SECONDS
        has_events = False
        while True:
            waiting = stream_progress.Waiting(
                job, path, progress, last_event_at, limit_seconds
            )
            try:
                data = exchange.read_some(
                    min(job.deadline, last_event_at + silence.CHECK_SECONDS),
                    functools.partial(self._should_keep_waiting, waiting),
                )
            except TimeoutError:
                return self._timeout_failure(exchange)
            except upstream.IncompleteReply as error:
                return exchange.unknown_outcome('events', str(error))
            if not data:
                if splitter.incomplete:
                    return exchange.unknown_outcome(
                        'events', 'stream ended inside an event'
                    )
                if not exchange.is_framed and (
                    not has_events
                    or self._crash_checks.has_crashed(exchange.server)
                ):
                    # Only such a stream looks complete when it is broken off.
                    return exchange.unknown_outcome(
                        'events', 'connection of an unframed stream ended'
                    )
                if not progress.has_begun:
                    progress.has_begun = True
                    yield jobs.Reply.from_head(head, self._header_codec)
                return None
            complete_events = splitter.feed(data)
            if splitter.is_out_of_order:
                return exchange.unknown_outcome(
                    'events', 'event ids do not increase'
                )
            if len(splitter.incomplete) > MAX_EVENT_BYTES:
                return exchange.unknown_outcome('events', 'event is too large')
            if not complete_events:
                continue
            now = timers.now()
            pause = now - last_event_at
            last_event_at = now
            self._check_pause(job, path, pause)
            progress.longest_pause = max(progress.longest_pause, pause)
            if not progress.has_begun:
                progress.has_begun = True
                self._metrics.timing(
                    'stream.first_event', timers.now() - job.arrived_at
                )
                yield jobs.Reply.from_head(head, self._header_codec)
            progress.last_event_id = splitter.last_id
            progress.event_count += splitter.completed_count
            self._view.record_activity(servers)
            self._suspects.record_event(progress.tracked)
            has_events = True
            yield complete_events
            limit_seconds = PAUSE_TIMEOUT_SECONDS

    def _check_pause(
        self,
        job: jobs.Job,
        path: tuple[backends.Stage, ...],
        seconds: float,
    ) -> None:
        """Request reports from the servers of a path that is slow."""
        objective = job.route.gap_objective_seconds or PAUSE_TIMEOUT_SECONDS
        if job.service.engine and seconds > objective * SLOW_PAUSE_SHARE:
            self._path_selector.reports.fetch(
                [stage.server for stage in path], job.id
            )

    def _timeout_failure(
        self, exchange: upstream.Exchange
    ) -> failures.Failure:
        return failures.Failure(
            failures.Reason.PEER_SILENT,
            'backend.events',
            exchange.server.id,
            'no event within the time limit',
            outcomes.Outcome.UNKNOWN,
        )

    def _record_failure(
        self,
        job: jobs.Job,
        path: tuple[backends.Stage, ...],
        progress: stream_progress.Progress,
        failure: failures.Failure,
        began: float,
    ) -> None:
        """Record the likely failed servers; eject them or request reports.

        :param began: monotonic seconds at which the attempt began
        """
        first = path[0].server
        match failure:
            case failures.Failure(step='backend.connect'):
                progress.failed_servers.append(first.id)
                self._view.eject(first.id, failure.detail, job.id)
                self._path_selector.reports.record_lost(first.id)
            case failures.Failure(reason=failures.Reason.ENGINE_REFUSED):
                culprit = next(
                    (
                        stage.server.id
                        for stage in path
                        if stage.server.address == failure.peer
                    ),
                    first.id,
                )
                progress.failed_servers.append(culprit)
                self._view.eject(
                    culprit, failure.detail, job.id, view.REFUSAL_EJECT_SECONDS
                )
            case failures.Failure(
                reason=failures.Reason.PEER_SILENT | failures.Reason.DEADLINE
            ):
                servers = [stage.server.id for stage in path]
                lost = self._view.lost_since(servers, began)
                progress.failed_servers.extend(lost or servers)
                self._path_selector.reports.fetch(
                    [stage.server for stage in path], job.id
                )
            case _:
                progress.failed_servers.append(first.id)
