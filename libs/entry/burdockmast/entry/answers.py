"""One answer: path, start, tokens, and resuming when a stage is lost.

The entry keeps the prompt and the tokens that the caller already has. When
an attempt ends early, the next one continues behind them by token index,
on another path; the caller sees each token once, in order.
"""

from collections.abc import Generator
from collections.abc import Iterator
import dataclasses

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.entry import attempt_starter
from burdockmast.entry import attempts
from burdockmast.entry import durations
from burdockmast.entry import fleet
from burdockmast.entry import stalls
from burdockmast.limits import queues
from burdockmast.node import node
from burdockmast.wire import links
from burdockmast.wire import messages

# Attempts of one answer beside those refused for want of a slot.
MAX_ATTEMPTS = 8
# Seconds until a caller may come back after many attempts have failed.
RETRY_SECONDS = 2.0
# Reasons for which a caller should not ask again.
FINAL_REASONS = frozenset(
    (failures.Reason.CRASHES_SERVERS, failures.Reason.DEADLINE)
)


class Answers:
    """All answers that one entry is giving."""

    def __init__(
        self,
        process: node.Node,
        view: fleet.FleetView,
        queue: queues.FairQueue,
    ):
        """Create the record of answers, empty."""
        self._attempt_starter = attempt_starter.AttemptStarter(
            process, view, queue
        )
        self._crash_reports = process.strikes
        self._view = view
        self._queue = queue
        self._durations = durations.AnswerDurations()
        self._events = process.events
        self._metrics = process.metrics
        self.stall_detector = stalls.StallDetector(
            self._attempt_starter.attempt_by_answer,
            view,
            process.metrics,
            process.events,
        )

    def receive(
        self, message: messages.Token | messages.Finished | messages.Failed
    ) -> None:
        """Hand a message to its attempt; drop those of earlier ones."""
        attempt = self._attempt_starter.attempt_by_answer.get(message.answer)
        if attempt is None or attempt.number != message.attempt:
            self._metrics.count('answers.late_message')
            return
        attempt.mailbox.put(message)

    def on_begun(self, begun: messages.Begun) -> None:
        """Learn what the stages of an attempt had cached of its prompt."""
        self._events.witness(begun.clock)
        attempt = self._attempt_starter.attempt_by_answer.get(begun.answer)
        if attempt is None or attempt.number != begun.attempt:
            return
        demand = attempt.demand
        self._view.affinity.correct(demand, attempt.hops, begun.cached)
        self._metrics.count(
            'prompts.tokens', demand.prompt * len(begun.cached)
        )
        self._metrics.count('prompts.cached', sum(begun.cached))
        self._events.add(
            'answer.opened',
            begun.answer,
            attempt=begun.attempt,
            cached=list(begun.cached),
        )

    def on_link_closed(self, link: links.Link, why: failures.Failure) -> None:
        """Tell the attempts on a lost link."""
        for attempt in self._attempt_starter.attempt_by_answer.values():
            if attempt.link is link:
                attempt.mailbox.put(why)

    def stream(
        self, request: attempts.Request
    ) -> Iterator[list[int] | failures.Failure]:
        """Yield tokens as they come; a failure ends the answer.

        Without a failure the answer is whole.
        """
        progress = attempts.Progress()
        began: float | None = None
        failure: failures.Failure | None = None
        for _ in range(MAX_ATTEMPTS):
            if self._crash_reports.is_convicted(request.fingerprint):
                failure = self._quarantined(request)
                break
            attempt = self._admit(request, progress)
            if isinstance(attempt, failures.Failure):
                failure = attempt
                break
            began = began or timers.now()
            failure = yield from self._run_attempt(request, attempt, progress)
            if failure is None:
                self._record_completion(
                    request, progress, timers.now() - began
                )
                return
            self._record_failed_attempt(request, attempt, failure, progress)
            if timers.now() >= request.deadline:
                failure = self._deadline_passed(failure)
                break
        yield self._final_failure(failure, progress)

    def _run_attempt(
        self,
        request: attempts.Request,
        attempt: attempts.Attempt,
        progress: attempts.Progress,
    ) -> Generator[list[int], None, failures.Failure | None]:
        """Yield an attempt's tokens; return why it ended early, if so."""
        progress.may_have_run = True
        try:
            for item in self._receive(request, attempt, progress.delivered):
                if isinstance(item, failures.Failure):
                    return item
                yield item
            return None
        finally:
            self._attempt_starter.end(request, attempt)

    def _record_completion(
        self,
        request: attempts.Request,
        progress: attempts.Progress,
        seconds: float,
    ) -> None:
        self._crash_reports.clear(request.fingerprint)
        count = len(progress.delivered)
        self._durations.record(
            request.model.id, count, request.max_tokens, seconds
        )
        self._events.add(
            'answer.ended',
            request.id,
            tokens=count,
            attempts=progress.number,
            seconds=round(seconds, 3),
            late_seconds=round(max(0.0, timers.now() - request.deadline), 3),
        )

    def _final_failure(
        self, failure: failures.Failure, progress: attempts.Progress
    ) -> failures.Failure:
        """Return a refusal that says 'not run' only if nothing ran."""
        if not progress.may_have_run:
            return failure
        retry_after = failure.retry_after
        if failure.reason not in FINAL_REASONS and retry_after is None:
            retry_after = RETRY_SECONDS
        return dataclasses.replace(
            failure,
            outcome=outcomes.Outcome.UNKNOWN,
            retry_after=retry_after,
        )

    def _admit(
        self, request: attempts.Request, progress: attempts.Progress
    ) -> attempts.Attempt | failures.Failure:
        organisation = request.organisation
        waiter = queues.Waiter(
            organisation.id, request.priority, organisation.weight
        )
        latest_start = request.deadline
        if not progress.delivered:
            # An answer that begins too late to be whole is work for nothing.
            latest_start -= self._durations.expected_seconds(
                request.model.id, request.max_tokens
            )
        admitted = queues.admit(
            self._queue,
            waiter,
            latest_start,
            lambda: self._attempt_starter.start(request, progress),
        )
        match admitted:
            case failures.Failure(reason=failures.Reason.CRASHES_SERVERS):
                return self._quarantined(request)
            case failures.Failure(step=queues.WAIT_STEP) if (
                timers.now() < request.deadline
            ):
                return self._too_late_to_begin(admitted, waiter)
        return admitted

    def _too_late_to_begin(
        self, refusal: failures.Failure, waiter: queues.Waiter
    ) -> failures.Failure:
        return dataclasses.replace(
            refusal,
            reason=failures.Reason.OVERLOADED,
            detail='the answer would not be whole in time',
            retry_after=self._queue.retry_after(waiter),
        )

    def _receive(
        self,
        request: attempts.Request,
        attempt: attempts.Attempt,
        delivered: list[int],
    ) -> Iterator[list[int] | failures.Failure]:
        """Yield an attempt's tokens; a failure or nothing ends it."""
        received = attempt.opening_messages
        while True:
            tokens, end = self._next_tokens(attempt, received, len(delivered))
            if tokens:
                delivered.extend(tokens)
                yield tokens
            match end:
                case messages.Finished():
                    self._events.witness(end.clock)
                    if len(delivered) != request.max_tokens:
                        yield self._out_of_order(attempt, 'answer.finish')
                    return
                case messages.Failed():
                    yield self._failure_of(request, end)
                    return
                case failures.Failure():
                    yield end
                    return
            stalls.record_progress(attempt, request.deadline)
            received = attempt.mailbox.take_all()

    def _next_tokens(
        self,
        attempt: attempts.Attempt,
        received: list[attempts.Received],
        count: int,
    ) -> tuple[list[int], attempts.Received | None]:
        """Return the tokens that continue an answer, and what ends them.

        :param count: tokens that the caller already has
        """
        tokens: list[int] = []
        expected = count - attempt.first_index
        for item in received:
            if not isinstance(item, messages.Token):
                return tokens, item
            if item.index != expected:
                return tokens, self._out_of_order(attempt, 'answer.token')
            tokens.append(item.token)
            expected += 1
        return tokens, None

    def _out_of_order(
        self, attempt: attempts.Attempt, step: str
    ) -> failures.Failure:
        return self._failure(attempt, failures.Reason.OUT_OF_ORDER, step)

    def _failure(
        self, attempt: attempts.Attempt, reason: failures.Reason, step: str
    ) -> failures.Failure:
        return failures.Failure(reason, step, attempt.hops[0].server)

    def _failure_of(
        self, request: attempts.Request, failed: messages.Failed
    ) -> failures.Failure:
        self._events.witness(failed.clock)
        if failed.crash:
            self._crash_reports.add(request.fingerprint, failed.crash)
        peer = failed.peer or failed.server
        return failures.Failure(failed.reason, failed.step, peer)

    def _record_failed_attempt(
        self,
        request: attempts.Request,
        attempt: attempts.Attempt,
        ended: failures.Failure,
        progress: attempts.Progress,
    ) -> None:
        self._metrics.count(f'answers.attempt_failed.{ended.reason.value}')
        self._events.add(
            'answer.attempt_failed',
            request.id,
            attempt=attempt.number,
            reason=ended.reason.value,
            step=ended.step,
            peer=ended.peer,
            path=[hop.server for hop in attempt.hops],
            delivered=len(progress.delivered),
            silent_ms=int((timers.now() - attempt.last_token_at) * 1000),
        )
        path_servers = {hop.server for hop in attempt.hops}
        if ended.step == stalls.PROGRESS_STEP:
            # Any of them may be the one that stands still.
            progress.excluded |= path_servers
        elif ended.peer in path_servers:
            progress.excluded.add(ids.ServerId(ended.peer))
        else:
            progress.excluded.add(attempt.hops[0].server)

    def _quarantined(self, request: attempts.Request) -> failures.Failure:
        self._metrics.count('answers.convicted')
        self._events.add('answer.convicted', request.id)
        return failures.Failure(
            failures.Reason.CRASHES_SERVERS,
            'answer.strikes',
            detail='backend servers crashed each time this request ran',
            outcome=outcomes.Outcome.UNKNOWN,
        )

    def _deadline_passed(self, ended: failures.Failure) -> failures.Failure:
        return failures.Failure(
            failures.Reason.DEADLINE,
            ended.step,
            ended.peer,
            f'the deadline passed after {ended.reason.value}',
        )
