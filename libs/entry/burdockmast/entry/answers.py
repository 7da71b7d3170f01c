"""Streams answers of models, and resumes them when a stage is lost.

The entry keeps the prompt and the tokens already delivered to the caller.
When an attempt ends early, the next one continues on another path at the
next token index, so the caller sees each token once, in order.
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

# Attempts at one answer, not counting those refused because no slot was free.
MAX_ATTEMPTS = 8
# Retry-After of an answer that failed after a stage may have run it.
RETRY_AFTER_SECONDS = 2.0
# Failures that a caller should not retry.
NON_RETRYABLE_REASONS = frozenset(
    (failures.Reason.CRASHES_SERVERS, failures.Reason.DEADLINE)
)


class Answers:
    """Serves all answers of one entry process."""

    def __init__(
        self,
        process: node.Node,
        view: fleet.FleetView,
        queue: queues.FairQueue,
    ):
        """Create the service with no answers running."""
        self._attempt_starter = attempt_starter.AttemptStarter(
            process, view, queue
        )
        self._crash_reports = process.crash_reports
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
        """Pass a message to its attempt; drop messages of ended attempts."""
        attempt = self._attempt_starter.attempt_by_answer.get(message.answer)
        if attempt is None or attempt.number != message.attempt:
            self._metrics.count('answers.late_message')
            return
        attempt.mailbox.put(message)

    def on_begun(self, begun: messages.Begun) -> None:
        """Record how much of a prompt the stages of an attempt had cached."""
        self._events.advance_clock(begun.clock)
        attempt = self._attempt_starter.attempt_by_answer.get(begun.answer)
        if attempt is None or attempt.number != begun.attempt:
            return
        demand = attempt.demand
        self._view.affinity.apply_reports(demand, attempt.hops, begun.cached)
        self._metrics.count(
            'prompts.tokens', demand.prompt_tokens * len(begun.cached)
        )
        self._metrics.count('prompts.cached', sum(begun.cached))
        self._events.add(
            'answer.opened',
            begun.answer,
            attempt=begun.attempt,
            cached=list(begun.cached),
        )

    def on_link_closed(
        self, link: links.Link, failure: failures.Failure
    ) -> None:
        """Fail the attempts that used a lost link."""
        for attempt in self._attempt_starter.attempt_by_answer.values():
            if attempt.link is link:
                attempt.mailbox.put(failure)

    def stream(
        self, request: attempts.Request
    ) -> Iterator[list[int] | failures.Failure]:
        """Yield tokens as they arrive, and a failure if the answer ends early.

        An answer that ends without a failure is complete.
        """
        progress = attempts.Progress()
        admitted_at: float | None = None
        failure: failures.Failure | None = None
        for _ in range(MAX_ATTEMPTS):
            if self._crash_reports.is_quarantined(request.fingerprint):
                failure = self._quarantined(request)
                break
            attempt = self._admit(request, progress)
            if isinstance(attempt, failures.Failure):
                failure = attempt
                break
            admitted_at = admitted_at or timers.now()
            failure = yield from self._run_attempt(request, attempt, progress)
            if failure is None:
                self._record_completion(
                    request, progress, timers.now() - admitted_at
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
        """Yield an attempt's tokens; return a failure if it ended early."""
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
        """Return the failure; its outcome is unknown if an attempt opened."""
        if not progress.may_have_run:
            return failure
        retry_after = failure.retry_after
        if failure.reason not in NON_RETRYABLE_REASONS and retry_after is None:
            retry_after = RETRY_AFTER_SECONDS
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
            # An answer that can't complete before the deadline wastes capacity
            # if it is started.
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
            detail='the answer would not complete before the deadline',
            retry_after=self._queue.retry_after(waiter),
        )

    def _receive(
        self,
        request: attempts.Request,
        attempt: attempts.Attempt,
        delivered: list[int],
    ) -> Iterator[list[int] | failures.Failure]:
        """Yield an attempt's tokens, and a failure if it ends early."""
        received = attempt.opening_messages
        while True:
            tokens, end = self._next_tokens(attempt, received, len(delivered))
            if tokens:
                delivered.extend(tokens)
                yield tokens
            match end:
                case messages.Finished():
                    self._events.advance_clock(end.clock)
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
        delivered_count: int,
    ) -> tuple[list[int], attempts.Received | None]:
        """Return the next tokens of an answer, and the item that ends it.

        :param delivered_count: tokens already delivered to the caller
        """
        tokens: list[int] = []
        expected = delivered_count - attempt.first_index
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
        self._events.advance_clock(failed.clock)
        if failed.crash:
            self._crash_reports.add(request.fingerprint, failed.crash)
        peer = failed.peer or failed.server
        return failures.Failure(failed.reason, failed.step, peer)

    def _record_failed_attempt(
        self,
        request: attempts.Request,
        attempt: attempts.Attempt,
        failure: failures.Failure,
        progress: attempts.Progress,
    ) -> None:
        self._metrics.count(f'answers.attempt_failed.{failure.reason.value}')
        self._events.add(
            'answer.attempt_failed',
            request.id,
            attempt=attempt.number,
            reason=failure.reason.value,
            step=failure.step,
            peer=failure.peer,
            path=[hop.server for hop in attempt.hops],
            delivered=len(progress.delivered),
            silent_ms=int((timers.now() - attempt.last_token_at) * 1000),
        )
        path_servers = {hop.server for hop in attempt.hops}
        if failure.step == stalls.PROGRESS_STEP:
            # Any server of the path may be the one that stalls.
            progress.excluded |= path_servers
        elif failure.peer in path_servers:
            progress.excluded.add(ids.ServerId(failure.peer))
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

    def _deadline_passed(self, failure: failures.Failure) -> failures.Failure:
        return failures.Failure(
            failures.Reason.DEADLINE,
            failure.step,
            failure.peer,
            f'deadline passed; last attempt failed: {failure.reason.value}',
        )
