"""Streams of events that go on over the loss of a path."""

from collections.abc import Iterator
import dataclasses
import functools

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import metrics
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import events
from burdockmast.gateway import interfaces
from burdockmast.gateway import jobs
from burdockmast.gateway import path_selector
from burdockmast.gateway import retries
from burdockmast.gateway import upstream
from burdockmast.gateway import view

LOG = logs.get('streams')

# Seconds until the first event after which another path is tried. Callers
# leave after 2 s, so this leaves time for one more path.
FIRST_EVENT_SECONDS = 1.0
# Seconds without an event for which a path is waited for that is busy, or that
# can't be replaced: callers leave after 2 s.
CALLER_SECONDS = 1.9
# Seconds for which a path that was heard counts as alive.
HEARD_SECONDS = 0.4
# Seconds for a head whose first bytes are there.
HEAD_SECONDS = 0.1
# Seconds between events after which a stream goes on elsewhere.
PAUSE_SECONDS = 0.6
# Share of the objective for pauses from which a path counts as slow.
SLOW_SHARE = 0.4
# Largest event, in bytes.
EVENT_BYTES = 1024 * 1024
OK = 200


class Cut(Exception):
    """A stream that has begun can't be brought to its end."""


@dataclasses.dataclass(slots=True)
class _Progress:
    """How far a stream has come.

    :ivar last: id of the last event that the caller has
    :ivar sends: to any server
    :ivar runs: sends that may have run
    """

    last: int | None
    sends: int = 0
    runs: int = 0
    events: int = 0
    longest_pause: float = 0.0
    has_begun: bool = False
    lost: list[ids.ServerId] = dataclasses.field(default_factory=list)


class Streams:
    """Streamed answers of one gateway."""

    def __init__(
        self,
        fleet: view.View,
        dialect: interfaces.HeaderCodec,
        budget: retries.Budget,
        chooser: path_selector.PathSelector,
        measures: metrics.Metrics,
    ):
        """Create a relay of streams."""
        self._view = fleet
        self._dialect = dialect
        self._budget = budget
        self._chooser = chooser
        self._metrics = measures

    def stream(
        self, job: jobs.Job
    ) -> Iterator[jobs.Reply | failures.Failure | bytes]:
        """Yield the head or a refusal, then whole events.

        :raises Cut: if the stream can't be brought to its end
        """
        progress = _Progress(job.request.last_event_id)
        while True:
            path = self._chooser.wait_for_path(
                job, progress.lost, progress.has_begun
            )
            failure = None
            if isinstance(path, failures.Failure):
                failure, path = path, ()
            if path:
                failure = yield from self._attempt(job, path, progress)
                if failure is None:
                    return
            failure = failure or self._chooser.no_path_failure(job)
            if path and self._may_go_on(job, progress, failure):
                continue
            if progress.runs:
                # An earlier attempt may have run, whatever the last one did.
                failure = dataclasses.replace(
                    failure, outcome=outcomes.Outcome.UNKNOWN
                )
            if progress.has_begun:
                raise Cut(str(failure))
            yield failure
            return

    def _may_go_on(
        self, job: jobs.Job, progress: _Progress, failure: failures.Failure
    ) -> bool:
        if failure.outcome is not outcomes.Outcome.NOT_RUN:
            if not job.may_repeat or progress.runs >= job.route.max_attempts:
                return False
        elif progress.sends - progress.runs >= retries.UNRUN_SENDS:
            return False
        if job.left <= 0:
            return False
        if self._budget.withdraw(job.service.id):
            return True
        LOG.info(
            'retry budget spent',
            extra={'request': job.id, 'sends': progress.sends},
        )
        return False

    def _attempt(
        self,
        job: jobs.Job,
        path: tuple[backends.Stage, ...],
        progress: _Progress,
    ) -> Iterator[jobs.Reply | bytes]:
        """Relay one attempt's events; return why it ended early, or None."""
        exchange = upstream.Exchange(path[0].server)
        began = timers.now()
        first = progress.events
        self._chooser.reserve(job, path)
        progress.sends += 1
        try:
            failure = yield from self._relay(job, exchange, path, progress)
        finally:
            exchange.close()
            self._chooser.release(job, path)
        LOG.info(
            'stream ended' if failure is None else 'stream broke',
            extra={
                'request': job.id,
                'path': [
                    f'{stage.server.id}={stage.first}-{stage.end}'
                    for stage in path
                ],
                'events': progress.events - first,
                'last_event': progress.last,
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
            progress.runs += 1
        self._blame(job, path, progress, failure)
        return failure

    def _relay(
        self,
        job: jobs.Job,
        exchange: upstream.Exchange,
        path: tuple[backends.Stage, ...],
        progress: _Progress,
    ) -> Iterator[jobs.Reply | bytes]:
        sending = interfaces.Attempt(
            exchange.server,
            job.organisation,
            job.left,
            path if job.service.engine else (),
            progress.last,
            min(9, job.priority),
        )
        headers = self._dialect.backend_headers(job.request, sending)
        failure = exchange.send(job.request, headers)
        if failure:
            return failure
        self._wait_for_head(job, exchange, path, progress)
        head = exchange.head(
            job.id, timers.now() + HEAD_SECONDS, self._dialect
        )
        if isinstance(head, failures.Failure):
            return head
        if head.facts.is_not_run:
            return exchange.refused(head, path_selector.RETRY_AFTER_SECONDS)
        if head.status != OK:
            return (
                yield from self._other_status(job, exchange, head, progress)
            )
        if not head.facts.is_signed or head.facts.is_encoded:
            return exchange.lost('events', 'answer without signature')
        return (yield from self._events(job, exchange, path, head, progress))

    def _wait_for_head(
        self,
        job: jobs.Job,
        exchange: upstream.Exchange,
        path: tuple[backends.Stage, ...],
        progress: _Progress,
    ) -> None:
        """Wait for the reply, longer on a path that is busy."""
        servers = [stage.server.id for stage in path]
        began = timers.now()
        if exchange.wait(min(job.left, FIRST_EVENT_SECONDS)):
            return
        while self._is_patient(job, progress, servers, began):
            if exchange.wait(min(job.left, HEARD_SECONDS)):
                return

    def _is_patient(
        self,
        job: jobs.Job,
        progress: _Progress,
        servers: list[ids.ServerId],
        since: float,
    ) -> bool:
        """Tell whether to wait on for a path that is silent.

        Answers overload: a path that serves others is busy and not dead, and
        without another try left, a late event is better than none.

        :param since: monotonic seconds of the last event, or of the sending
        """
        now = timers.now()
        if job.left <= 0 or now - since > CALLER_SECONDS:
            return False
        has_try = job.may_repeat and progress.runs + 1 < job.route.max_attempts
        if not has_try or not self._budget.has_left(job.service.id):
            return True
        return self._view.all_active_since(servers, now - HEARD_SECONDS)

    def _other_status(
        self,
        job: jobs.Job,
        exchange: upstream.Exchange,
        head: upstream.Head,
        progress: _Progress,
    ) -> Iterator[jobs.Reply]:
        """Pass a server's own failure on, unless the stream has begun."""
        if progress.has_begun or (
            job.may_repeat and progress.runs + 1 < job.route.max_attempts
        ):
            return exchange.lost('events', f'status {head.status}')
        try:
            body = exchange.whole(job.deadline, EVENT_BYTES)
        except (upstream.Broken, TimeoutError) as error:
            return exchange.lost('events', f'body: {error}')
        yield jobs.Reply.from_head(head, self._dialect, body)
        return None

    def _events(
        self,
        job: jobs.Job,
        exchange: upstream.Exchange,
        path: tuple[backends.Stage, ...],
        head: upstream.Head,
        progress: _Progress,
    ) -> Iterator[jobs.Reply | bytes]:
        reader = events.Reader(progress.last)
        servers = [stage.server.id for stage in path]
        waited_since = timers.now()
        patience = min(job.deadline, timers.now() + FIRST_EVENT_SECONDS)
        while True:
            try:
                data = exchange.some(
                    patience,
                    functools.partial(
                        self._is_patient, job, progress, servers, waited_since
                    ),
                )
            except TimeoutError:
                return self._silent(exchange)
            except upstream.Broken as error:
                return exchange.lost('events', str(error))
            if not data:
                if reader.rest or not exchange.is_framed:
                    return exchange.lost('events', 'ended without its end')
                if not progress.has_begun:
                    progress.has_begun = True
                    yield jobs.Reply.from_head(head, self._dialect)
                return None
            now = timers.now()
            pause = now - waited_since
            waited_since = now
            self._look_at_pause(job, path, pause)
            progress.longest_pause = max(progress.longest_pause, pause)
            whole = reader.feed(data)
            if reader.is_broken:
                return exchange.lost('events', 'events out of order')
            if not whole:
                continue
            if not progress.has_begun:
                progress.has_begun = True
                self._metrics.timing(
                    'stream.first_event', timers.now() - job.began
                )
                yield jobs.Reply.from_head(head, self._dialect)
            progress.last = reader.last
            progress.events += reader.count
            self._view.record_activity(servers)
            yield whole
            patience = min(job.deadline, timers.now() + PAUSE_SECONDS)

    def _look_at_pause(
        self,
        job: jobs.Job,
        path: tuple[backends.Stage, ...],
        seconds: float,
    ) -> None:
        """Ask the servers of a path that is slow what is the matter."""
        aim = job.route.gap_objective_seconds or PAUSE_SECONDS
        if job.service.engine and seconds > aim * SLOW_SHARE:
            self._chooser.reports.fetch(
                [stage.server for stage in path], job.id
            )

    def _silent(self, exchange: upstream.Exchange) -> failures.Failure:
        return failures.Failure(
            failures.Reason.PEER_SILENT,
            'backend.events',
            exchange.server.id,
            'no event in time',
            outcomes.Outcome.UNKNOWN,
        )

    def _blame(
        self,
        job: jobs.Job,
        path: tuple[backends.Stage, ...],
        progress: _Progress,
        failure: failures.Failure,
    ) -> None:
        """Note which server of a path is likely to have failed."""
        first = path[0].server
        match failure:
            case failures.Failure(step='backend.connect'):
                progress.lost.append(first.id)
                self._view.eject(first.id, failure.detail, job.id)
            case failures.Failure(reason=failures.Reason.ENGINE_REFUSED):
                culprit = next(
                    (
                        stage.server.id
                        for stage in path
                        if stage.server.address == failure.peer
                    ),
                    first.id,
                )
                progress.lost.append(culprit)
                self._view.eject(
                    culprit, failure.detail, job.id, view.REFUSAL_EJECT_SECONDS
                )
            case failures.Failure(
                reason=failures.Reason.PEER_SILENT | failures.Reason.DEADLINE
            ):
                progress.lost.extend(stage.server.id for stage in path)
                self._chooser.reports.fetch(
                    [stage.server for stage in path], job.id
                )
            case _:
                progress.lost.append(first.id)
