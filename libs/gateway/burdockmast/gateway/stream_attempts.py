"""One attempt to have a stream served, on one path."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

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
from burdockmast.gateway import links
from burdockmast.gateway import path_selector
from burdockmast.gateway import server_limits
from burdockmast.gateway import server_states
from burdockmast.gateway import silence
from burdockmast.gateway import sse
from burdockmast.gateway import upstream
from burdockmast.gateway import view
from burdockmast.gateway.crashes import broken_attempts

LOG = logs.get('streams')

# Another path is tried if the first event takes longer than this.
FIRST_EVENT_TIMEOUT_SECONDS = 1.0
# Time to read the reply head after waiting for its first bytes.
HEAD_TIMEOUT_SECONDS = 0.1
# A pause between events after which another path is tried.
PAUSE_TIMEOUT_SECONDS = 0.6
# A path counts as slow if a pause exceeds this share of the route's objective
# for pauses.
SLOW_PAUSE_SHARE = 0.4
# Largest event of a stream.
MAX_EVENT_BYTES = 256 * 1024
# Largest body of a server's error reply that is forwarded to the caller.
MAX_ERROR_BODY_BYTES = 1024 * 1024
STATUS_OK = 200
FIRST_SERVER_ERROR_STATUS = 500
# A server's answer to a request that it could not serve in time.
DEADLINE_STATUS = 504


@dataclasses.dataclass(frozen=True, slots=True)
class Events:
    """Complete events of a stream.

    :ivar data: as the server sent them
    :ivar last_id: of the last of them
    :ivar count: number of events
    :ivar is_numbered: see ``sse.EventSplitter``
    """

    data: bytes
    last_id: ids.EventId | None
    count: int
    is_numbered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """The parts of the gateway that an attempt needs."""

    view: view.View
    header_codec: interfaces.HeaderCodec
    path_selector: path_selector.PathSelector
    suspects: crash_suspects.CrashSuspects
    limits: server_limits.ServerLimits
    leaving: leaving_servers.LeavingServers
    crash_checks: crash_checks.CrashChecks
    broken: broken_attempts.BrokenAttempts
    replies: buffers.BufferPool


class StreamAttempt:
    """One attempt to have a stream served.

    :ivar path: the servers that it passes
    :ivar head: of the reply, None before it was received
    :ivar has_crashed: the server broke off the reply by crashing
    :ivar is_out_of_order: the ids of its events did not increase
    :ivar silent_since: monotonic seconds of the last event, or of the start
    :ivar limit_seconds: see ``silence.Silence``
    :ivar keep_waiting: called again and again while nothing arrives; false
        ends the attempt
    :ivar is_checked_early: see ``check_early``
    :ivar is_rerouting: its path is being changed
    :ivar path_changes: of its path and those of earlier attempts
    :ivar rerouted_at: monotonic seconds at which the last change began, or
        was carried out
    :ivar forwards_errors: called for an error reply; true forwards it to the
        caller, false makes it a failure
    """

    def __init__(
        self,
        dependencies: Dependencies,
        job: jobs.Job,
        path: tuple[backends.Stage, ...],
        fingerprints: tuple[ids.Fingerprint, ...],
        last_event_id: ids.EventId | None,
    ):
        """Prepare an attempt that continues after ``last_event_id``."""
        self.path = path
        self.head: upstream.Head | None = None
        self.has_crashed = False
        self.is_out_of_order = False
        self.silent_since = timers.now()
        self.limit_seconds = FIRST_EVENT_TIMEOUT_SECONDS
        self.is_checked_early = False
        self.is_rerouting = False
        self.path_changes = 0
        self.rerouted_at = float('-inf')
        self.keep_waiting: Callable[[], bool] = lambda: job.seconds_left > 0
        self.forwards_errors: Callable[[], bool] = lambda: False
        self._dependencies = dependencies
        self._job = job
        self._fingerprints = fingerprints
        self._last_event_id = last_event_id
        self._exchange = upstream.Exchange(path[0].server)
        self._tracked: crash_suspects.Attempt | None = None
        self._began = timers.now()
        self._first_event_at: float | None = None
        self._event_count = 0
        self._longest_pause = 0.0
        self._has_ended = False
        self._check_seconds: Callable[[float], float] = lambda longest_pause: (
            silence.CHECK_SECONDS
        )
        self._buffer: buffers.Buffer | None = None
        self._items = self._run()
        self._received: list[Events | jobs.Reply] = []

    @property
    def servers(self) -> list[ids.ServerId]:
        """The servers of the path."""
        return [stage.server.id for stage in self.path]

    @property
    def last_event_id(self) -> ids.EventId | None:
        """The id of the last event that was received."""
        return self._last_event_id

    def check_early(self, check_seconds: Callable[[float], float]) -> None:
        """Call ``keep_waiting`` after less silence than usual.

        :param check_seconds: returns the silence for the longest pause so far
        """
        self.is_checked_early = True
        self._check_seconds = check_seconds

    def recheck_after(self, seconds: float) -> None:
        """Call ``keep_waiting`` again after such an interval."""
        self._exchange.recheck_seconds = seconds

    def change_path(self, path: tuple[backends.Stage, ...]) -> bool:
        """Account for the attempt on another path, unless it has ended."""
        if self._has_ended:
            return False
        self._dependencies.path_selector.move(self._job, self.path, path)
        self.path = path
        return True

    def restore_path(self, path: tuple[backends.Stage, ...]) -> None:
        """Account for the attempt on its path before a change that failed."""
        if not self._has_ended:
            selector = self._dependencies.path_selector
            selector.move(self._job, self.path, path, is_restored=True)
            self.path = path

    @property
    def has_events(self) -> bool:
        """Whether events were received."""
        return self._event_count > 0

    @property
    def silent_seconds(self) -> float:
        """Seconds without an event."""
        return timers.now() - self.silent_since

    def send_before(self, boottime: float) -> None:
        """Let the request be sent only until then."""
        self._exchange.send_before = boottime

    def receive_first(self) -> failures.Failure | None:
        """Wait for the first events, which ``receive`` then returns."""
        try:
            self._received.append(next(self._items))
        except StopIteration as end:
            return end.value
        return None

    def receive(self) -> Iterator[Events | jobs.Reply]:
        """Yield events, or an error reply; return the failure, if any."""
        while self._received:
            yield self._received.pop()
        return (yield from self._items)

    def close(self) -> None:
        """End the attempt, which cancels the request at its servers."""
        self._items.close()

    def record_lost_servers(self) -> list[ids.ServerId]:
        """Return the likely lost servers of a silent path.

        All of them get asked for reports.
        """
        self.fetch_reports()
        failed = self._dependencies.view.failed_since(
            self.servers, self._began
        )
        return failed or self.servers

    def fetch_reports(self) -> None:
        """Ask the path's servers for reports, which show lost ones."""
        if self._job.service.engine:
            self._dependencies.path_selector.reports.fetch(
                [stage.server for stage in self.path], self._job.id
            )

    def _run(self) -> Iterator[Events | jobs.Reply]:
        deps, exchange = self._dependencies, self._exchange
        deps.path_selector.reserve(self._job, self.path)
        self._tracked = deps.suspects.track(
            self._fingerprints, exchange.server
        )
        self._buffer = deps.replies.open()
        try:
            failure = yield from self._exchange_messages()
            if failure is None:
                deps.suspects.record_answer(self._tracked)
                deps.broken.record_answer(self._tracked)
            else:
                self._check_for_crash(failure)
        finally:
            exchange.close()
            self._buffer.close()
            deps.suspects.untrack(self._tracked)
            self._has_ended = True
            deps.path_selector.release(self._job, self.path)
        self._log_end(failure)
        return failure

    def _log_end(self, failure: failures.Failure | None) -> None:
        job = self._job
        LOG.info(
            'stream completed' if failure is None else 'stream attempt failed',
            extra={
                'request': job.id,
                'path': [
                    f'{stage.server.id}={stage.first}-{stage.end}'
                    for stage in self.path
                ],
                'events': self._event_count,
                'resumed_after': job.request.last_event_id,
                'last_event': self._last_event_id,
                'prompt_tokens': job.request.prompt_tokens,
                'answer_tokens': job.request.max_answer_tokens,
                'length_hint': job.request.length_hint,
                'crossings': len(links.inter_zone_links(self.path)),
                'waited': round(self._began - job.arrived_at, 3),
                'first_event': (
                    round(self._first_event_at - job.arrived_at, 3)
                    if self._first_event_at
                    else None
                ),
                'longest_pause': round(self._longest_pause, 3),
                'seconds': round(timers.now() - self._began, 3),
                'list_age': round(self._dependencies.view.server_list_age, 3),
                'outcome': str(failure) if failure else 'whole',
            },
        )

    def _check_for_crash(self, failure: failures.Failure) -> None:
        server = self._exchange.server
        if (
            failure.reason is not failures.Reason.ENGINE_LOST
            or failure.step == 'backend.connect'
        ):
            return
        if not self._dependencies.crash_checks.has_crashed(server):
            self._dependencies.broken.add(self._tracked)
            return
        self.has_crashed = True
        self._dependencies.suspects.record_crash(self._tracked)
        self._record_loss(server.id)
        LOG.info(
            'server crashed during a stream',
            extra={
                'request': self._job.id,
                'server': server.id,
                'started_ms': server.started_ms,
                'prompt_parts': self._job.request.prompt_parts,
                'events': self._event_count,
                'step': failure.step,
            },
        )

    def _record_loss(self, server: ids.ServerId) -> None:
        """Keep other requests from a server that crashed."""
        deps = self._dependencies
        deps.view.record_failure(
            server,
            server_states.Evidence.CONNECTION_REFUSED,
            'crashed during a stream',
            self._job.id,
        )
        if self._job.service.engine:
            deps.path_selector.reports.record_lost(server)

    def _exchange_messages(self) -> Iterator[Events | jobs.Reply]:
        deps, exchange, job = self._dependencies, self._exchange, self._job
        attempt = interfaces.Attempt(
            exchange.server,
            job.organisation,
            job.seconds_left,
            self.path if job.service.engine else (),
            self._last_event_id,
            min(9, job.priority),
        )
        headers = deps.header_codec.backend_headers(job.request, attempt)
        deps.limits.record_sent(exchange.server)
        failure = exchange.send(job.request, headers, job.deadline)
        if failure:
            return failure
        self.silent_since = timers.now()
        if not self._wait_for_head():
            return self._timeout_failure()
        head = exchange.read_head(
            job.id,
            timers.now() + HEAD_TIMEOUT_SECONDS,
            deps.header_codec,
            self._keep_waiting,
        )
        if isinstance(head, failures.Failure):
            return head
        deps.view.record_answer(exchange.server.id)
        deps.limits.record_reply(
            exchange.server, head.metadata, head.status, job.id
        )
        if head.metadata.is_leaving:
            deps.leaving.record(
                exchange.server.id, exchange.server.started_ms, job.id
            )
        deps.suspects.record_head(self._tracked)
        if head.metadata.is_not_run:
            return exchange.refusal(head, path_selector.RETRY_AFTER_SECONDS)
        deps.path_selector.record_accepted(self.path)
        self.head = head
        if (
            head.status >= FIRST_SERVER_ERROR_STATUS
            and head.status != DEADLINE_STATUS
        ):
            deps.view.record_failed_request(
                exchange.server.id, f'status {head.status}', job.id
            )
        if head.status != STATUS_OK:
            return (yield from self._forward_error_reply(head))
        if not head.metadata.is_signed or head.metadata.is_encoded:
            return exchange.unknown_outcome(
                'events', 'reply is unsigned or content-encoded'
            )
        return (yield from self._receive_events())

    def _wait_for_head(self) -> bool:
        """Wait for the reply; return false if the attempt is to end."""
        seconds = silence.CHECK_SECONDS
        while not self._exchange.wait_for_reply(
            min(self._job.seconds_left, seconds)
        ):
            if not self.keep_waiting():
                return False
            seconds = self._exchange.recheck_seconds
        return True

    def _forward_error_reply(
        self, head: upstream.Head
    ) -> Iterator[jobs.Reply]:
        """Forward a server's error reply unless the request can be retried."""
        exchange = self._exchange
        if not self.forwards_errors():
            return exchange.unknown_outcome(
                'events', f'server replied with status {head.status}'
            )
        try:
            body = exchange.read_body(
                self._job.deadline, MAX_ERROR_BODY_BYTES, self._buffer
            )
        except (upstream.IncompleteReply, TimeoutError) as error:
            return exchange.unknown_outcome(
                'events', f'reading the error body failed: {error}'
            )
        yield jobs.Reply.from_head(head, self._dependencies.header_codec, body)
        return None

    def _receive_events(self) -> Iterator[Events]:
        exchange = self._exchange
        splitter = sse.EventSplitter(self._last_event_id)
        self.silent_since = timers.now()
        while True:
            try:
                data = exchange.read_some(
                    min(
                        self._job.deadline,
                        self.silent_since
                        + self._check_seconds(self._longest_pause),
                    ),
                    self._keep_waiting,
                )
            except TimeoutError:
                return self._timeout_failure()
            except upstream.IncompleteReply as error:
                return exchange.unknown_outcome('events', str(error))
            if not data:
                return self._end_failure(splitter)
            complete_events = splitter.feed(data)
            if splitter.is_out_of_order:
                self.is_out_of_order = True
                return exchange.unknown_outcome(
                    'events', 'event ids do not increase'
                )
            excess = self._check_size(splitter)
            if excess:
                self._dependencies.view.record_failed_request(
                    exchange.server.id, excess, self._job.id
                )
                return exchange.unknown_outcome('events', excess)
            if complete_events:
                self._record_events(splitter)
                yield Events(
                    complete_events,
                    splitter.last_id,
                    splitter.completed_count,
                    splitter.is_numbered,
                )
                # The caller may have been slow to read them.
                self.silent_since = timers.now()

    def _check_size(self, splitter: sse.EventSplitter) -> str:
        """Return why an event that is not complete is given up, or nothing."""
        size = len(splitter.incomplete)
        if size > MAX_EVENT_BYTES:
            return 'event is too large'
        try:
            self._buffer.resize(size)
        except buffers.BufferFull as error:
            return str(error)
        return ''

    def _keep_waiting(self) -> bool:
        """Ask the current owner, which changes when a standby takes over."""
        return self.keep_waiting()

    def _end_failure(
        self, splitter: sse.EventSplitter
    ) -> failures.Failure | None:
        """Return why a stream that ended is not complete, None if it is."""
        exchange = self._exchange
        if splitter.incomplete:
            return exchange.unknown_outcome(
                'events', 'stream ended inside an event'
            )
        if not exchange.is_framed and (
            not self.has_events
            or self._dependencies.crash_checks.has_crashed(exchange.server)
        ):
            # Only such a stream looks complete when it is broken off.
            return exchange.unknown_outcome(
                'events', 'connection of an unframed stream ended'
            )
        return None

    def _record_events(self, splitter: sse.EventSplitter) -> None:
        if not self.has_events:
            self._dependencies.view.record_served_request(self.servers[0])
        pause = self.silent_seconds
        self.silent_since = timers.now()
        self.limit_seconds = PAUSE_TIMEOUT_SECONDS
        self._first_event_at = self._first_event_at or self.silent_since
        self._check_pause(pause)
        self._longest_pause = max(self._longest_pause, pause)
        self._last_event_id = splitter.last_id
        self._event_count += splitter.completed_count
        self._dependencies.view.record_activity(self.servers)
        self._dependencies.suspects.record_event(self._tracked)

    def _check_pause(self, seconds: float) -> None:
        """Request reports from the servers of a path that is slow."""
        objective = (
            self._job.route.gap_objective_seconds or PAUSE_TIMEOUT_SECONDS
        )
        if seconds > objective * SLOW_PAUSE_SHARE:
            self.fetch_reports()

    def _timeout_failure(self) -> failures.Failure:
        reason = failures.Reason.PEER_SILENT
        if self._job.seconds_left <= 0:
            reason = failures.Reason.DEADLINE
        return failures.Failure(
            reason,
            'backend.events',
            self._exchange.server.id,
            'no event within the time limit',
            outcomes.Outcome.UNKNOWN,
        )
