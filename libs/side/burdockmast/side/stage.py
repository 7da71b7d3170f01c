"""One stage of many answers: runs their steps on the engine's layers.

Each step carries answer, attempt, index and next layer. A stage runs a step
only if it directly follows the one that it ran before. So for each token,
every layer runs exactly once and in order, even if messages arrive late or
twice.
"""

import eventlet

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.limits import crash_reports
from burdockmast.node import node
from burdockmast.side import batch_scheduler
from burdockmast.side import engine
from burdockmast.side import layer_reconciler
from burdockmast.side import prefix_cache
from burdockmast.side import stage_attempts
from burdockmast.wire import links
from burdockmast.wire import messages

OVERLOAD_RETRY_MS = 500
# Batches that wait at the engine while another one runs.
QUEUED_BATCH_COUNT = 1
STATE_BYTES = 4


class Stage:
    """The attempts that run on one engine."""

    def __init__(
        self,
        process: node.Node,
        engine_client: engine.Client,
        reconciler: layer_reconciler.LayerReconciler,
        slots: int,
    ):
        """Create a stage; ``start`` starts its tasks."""
        self.attempt_by_answer: dict[
            ids.RequestId, stage_attempts.StageAttempt
        ] = {}
        self.is_draining = False
        self.scheduler = batch_scheduler.BatchScheduler(engine_client, self)
        self.prefix_cache = prefix_cache.PrefixCacheEstimate(engine_client)
        self._server = process.peers.hello.server
        self._reconciler = reconciler
        self._peers = process.peers
        self._slots = slots
        self._crash_reports = process.crash_reports
        self._events = process.events
        self._metrics = process.metrics

    def start(self) -> None:
        """Start the tasks that call the engine."""
        self.scheduler.start()

    def receive(self, link: links.Link, message: messages.AnyMessage) -> bool:
        """Handle a message about an answer; tell whether it was one."""
        match message:
            case messages.Step():
                self.on_step(link, message)
            case messages.Token():
                self.on_token(message)
            case messages.Start():
                self.on_start(link, message)
            case messages.Opened():
                self.on_opened(message)
            case messages.Cancel():
                self.on_cancel(message)
            case messages.Failed():
                self.on_failed(message)
            case _:
                return False
        return True

    @property
    def free_slots(self) -> int:
        """Number of answers that may still be accepted."""
        if self.is_draining or not self.scheduler.is_ready:
            return 0
        return max(0, self._slots - len(self.attempt_by_answer))

    def on_start(self, link: links.Link, start: messages.Start) -> None:
        """Accept or refuse an attempt."""
        self._events.advance_clock(start.clock)
        refusal = self._refusal_reason(start)
        if refusal:
            self._metrics.count('stage.refused')
            link.send(self._failed_message(start, refusal, messages.OPEN_STEP))
            return
        earlier = self.attempt_by_answer.pop(start.answer, None)
        if earlier:
            self.scheduler.close(earlier.sequence_id)
        deadline = timers.now() + start.budget_ms / 1000
        cached = (*start.cached, self.prefix_cache.record_prompt(start.tokens))
        attempt = stage_attempts.StageAttempt(start, link, deadline, cached)
        self.attempt_by_answer[start.answer] = attempt
        self._events.add('stage.opened', start.answer, attempt=start.attempt)
        self.scheduler.open(attempt)
        if attempt.next_hop:
            self._forward_start(attempt, attempt.next_hop)
        elif start.position == 0:
            self._begin_answer(attempt, cached)
        else:
            opened = messages.Opened(
                start.answer, start.attempt, self._events.clock, cached
            )
            self._send(attempt, start.hops[0], opened)

    def on_opened(self, opened: messages.Opened) -> None:
        """Begin an answer that all stages of its path have accepted."""
        self._events.advance_clock(opened.clock)
        attempt = self._find_attempt(opened.answer, opened.attempt)
        if attempt and attempt.start.position == 0 and not attempt.next_index:
            self._begin_answer(attempt, opened.cached)

    def _begin_answer(
        self, attempt: stage_attempts.StageAttempt, cached: tuple[int, ...]
    ) -> None:
        start = attempt.start
        attempt.upstream.send(
            messages.Begun(
                start.answer, start.attempt, cached, self._events.clock
            )
        )
        self._enqueue_step(attempt, 0, None, None)

    def on_step(self, link: links.Link, step: messages.Step) -> None:
        """Queue a step with the state that the stage before sent."""
        attempt = self._find_attempt(step.answer, step.attempt)
        if not attempt:
            self._metrics.count('stage.stale_step')
            return
        if (
            step.index != attempt.next_index
            or step.next_layer != attempt.hop.first
        ):
            self._fail(attempt, failures.Reason.OUT_OF_ORDER, 'stage.step', '')
            return
        state = int.from_bytes(step.state, 'big')
        self._enqueue_step(attempt, step.index, state, None)

    def on_token(self, token: messages.Token) -> None:
        """Deliver a finished token that the last stage sent back."""
        attempt = self._find_attempt(token.answer, token.attempt)
        if not attempt or attempt.start.position != 0:
            self._metrics.count('stage.stale_token')
            return
        if token.index != attempt.sent_count:
            self._fail(
                attempt, failures.Reason.OUT_OF_ORDER, 'stage.token', ''
            )
            return
        self._deliver(attempt, token)

    def on_failed(self, failed: messages.Failed) -> None:
        """Forward a later stage's failure towards the entry."""
        attempt = self._find_attempt(failed.answer, failed.attempt)
        if attempt:
            self._events.advance_clock(failed.clock)
            attempt.upstream.send(failed)
            self._remove(attempt)

    def on_cancel(self, cancel: messages.Cancel) -> None:
        """Remove a cancelled attempt, here and on the stages after."""
        attempt = self._find_attempt(cancel.answer, cancel.attempt)
        if attempt:
            self._remove(attempt)
            self._cancel_downstream(attempt)

    def on_link_closed(
        self, link: links.Link, failure: failures.Failure
    ) -> None:
        """End the attempts that depended on a closed connection."""
        for attempt in list(self.attempt_by_answer.values()):
            next_hop = attempt.next_hop
            if attempt.upstream is link:
                self._remove(attempt)
                self._cancel_downstream(attempt)
            elif next_hop and next_hop.address == link.address:
                self._fail(
                    attempt, failure.reason, failure.step, next_hop.server
                )

    def _find_attempt(
        self, answer: ids.RequestId, number: int
    ) -> stage_attempts.StageAttempt | None:
        attempt = self.attempt_by_answer.get(answer)
        if attempt and attempt.start.attempt == number:
            return attempt
        return None

    def _refusal_reason(self, start: messages.Start) -> failures.Reason | None:
        attempt = self.attempt_by_answer.get(start.answer)
        if attempt and attempt.start.attempt >= start.attempt:
            return failures.Reason.OUT_OF_ORDER
        if self.is_draining:
            return failures.Reason.LEAVING
        hop = start.hops[start.position]
        if not self.scheduler.is_ready:
            return failures.Reason.ENGINE_LOST
        if hop.server != self._server or not self._reconciler.covers(
            start.model, hop.first, hop.end
        ):
            return failures.Reason.NO_PATH
        if start.budget_ms <= 0:
            return failures.Reason.DEADLINE
        if not attempt and self.free_slots == 0:
            return failures.Reason.OVERLOADED
        if self._crash_reports.is_quarantined(start.fingerprint):
            return failures.Reason.CRASHES_SERVERS
        if self._is_suspect(start) and any(
            self._is_suspect(other.start)
            for other in self.attempt_by_answer.values()
        ):
            return failures.Reason.OVERLOADED
        return None

    def _is_suspect(self, start: messages.Start) -> bool:
        """Tell whether a request must not run beside another suspect.

        The entry's count is checked as well, since crash reports may not have
        reached this process yet.
        """
        return (
            start.strikes >= crash_reports.SUSPECT_CRASH_COUNT
            or self._crash_reports.is_suspect(start.fingerprint)
        )

    def _forward_start(
        self, attempt: stage_attempts.StageAttempt, next_hop: messages.Hop
    ) -> None:
        start = attempt.start
        forwarded = messages.Start(
            start.answer,
            start.attempt,
            start.model,
            start.hops,
            start.position + 1,
            start.tokens,
            start.prompt_length,
            start.max_tokens,
            int((attempt.deadline - timers.now()) * 1000),
            start.priority,
            start.fingerprint,
            self._events.clock,
            start.strikes,
            attempt.cached_tokens,
        )
        self._send(attempt, next_hop, forwarded)

    def _send(
        self,
        attempt: stage_attempts.StageAttempt,
        hop: messages.Hop,
        message: messages.Message,
    ) -> None:
        link = self._peers.link_by_address.get(hop.address)
        if link and link.send(message):
            return
        self._peers.post(
            hop.address,
            message,
            lambda failure: self._fail(
                attempt, failure.reason, failure.step, hop.server
            ),
        )

    def _enqueue_step(
        self,
        attempt: stage_attempts.StageAttempt,
        index: int,
        state: int | None,
        token: int | None,
    ) -> None:
        step = engine.Step(attempt.sequence_id, index, state, token)
        attempt.next_index = index + 1
        self.scheduler.step(attempt, step)

    def batch_limit(self) -> int:
        """Return the largest number of steps in one iteration.

        If a stage ran all answers in one batch, the other stages of their
        paths would idle meanwhile. So the answers are divided into as many
        batches as the longest path has stages, and one more that waits for
        the engine here.
        """
        attempt_count = len(self.attempt_by_answer)
        stage_count = max(
            (
                len(attempt.start.hops)
                for attempt in self.attempt_by_answer.values()
            ),
            default=1,
        )
        batch_count = stage_count + QUEUED_BATCH_COUNT
        return max(1, -(-attempt_count // batch_count))

    def is_live(self, attempt: stage_attempts.StageAttempt) -> bool:
        """Tell whether an attempt runs here; fail it past its deadline."""
        if self.attempt_by_answer.get(attempt.start.answer) is not attempt:
            return False
        if timers.now() > attempt.deadline:
            self._fail(attempt, failures.Reason.DEADLINE, 'stage.iterate', '')
            return False
        return True

    def on_result(
        self,
        attempt: stage_attempts.StageAttempt,
        index: int,
        result: engine.StepResult,
    ) -> None:
        """Forward a step's result to the next stage or towards the entry."""
        if result.error:
            eventlet.spawn(self._reconciler.poll_engine)
            self._fail(
                attempt,
                failures.Reason.ENGINE_REFUSED,
                'stage.iterate',
                result.error,
            )
            return
        start = attempt.start
        next_hop = attempt.next_hop
        if next_hop:
            state = result.state.to_bytes(STATE_BYTES, 'big')
            step = messages.Step(
                start.answer, start.attempt, index, next_hop.first, state
            )
            self._send(attempt, next_hop, step)
            return
        token = messages.Token(
            start.answer, start.attempt, index, result.token
        )
        if start.position == 0:
            self._deliver(attempt, token)
        else:
            self._send(attempt, start.hops[0], token)

    def _deliver(
        self, attempt: stage_attempts.StageAttempt, token: messages.Token
    ) -> None:
        start = attempt.start
        attempt.sent_count += 1
        attempt.upstream.send(token)
        if attempt.sent_count < start.max_tokens:
            self._enqueue_step(attempt, attempt.sent_count, None, token.token)
            return
        clock = self._events.add(
            'stage.finished', start.answer, attempt=start.attempt
        )
        attempt.upstream.send(
            messages.Finished(
                start.answer, start.attempt, attempt.sent_count, clock
            )
        )
        self._remove(attempt)
        self._cancel_downstream(attempt)

    def on_engine_lost(
        self,
        failure: failures.Failure,
        batch: list[stage_attempts.StageAttempt],
    ) -> None:
        """Fail all attempts; report a crash for those that had started.

        If the engine refused the connection, it was down before the call, so
        no request is blamed.

        :param batch: attempts of the failed call, including any that were
            given up meanwhile
        """
        crash_id = (
            '' if failure.outcome is outcomes.Outcome.NOT_RUN else ids.new_id()
        )
        self.prefix_cache.clear()
        self._events.add('engine.lost', crash=crash_id)
        self._metrics.count('engine.lost')
        started = [
            attempt
            for attempt in self.attempt_by_answer.values()
            if attempt.next_index
        ]
        if crash_id:
            for attempt in (*batch, *started):
                self._crash_reports.add(attempt.start.fingerprint, crash_id)
        self._peers.send_heartbeats()
        for attempt in list(self.attempt_by_answer.values()):
            blamed_crash_id = crash_id if attempt.next_index else ''
            self._fail(
                attempt, failure.reason, failure.step, '', blamed_crash_id
            )

    def on_engine_recovered(self) -> None:
        """Load the layers again, and send the new state to all peers."""
        self._reconciler.reload()
        self._peers.send_heartbeats()

    def _fail(
        self,
        attempt: stage_attempts.StageAttempt,
        reason: failures.Reason,
        step: str,
        peer: str,
        crash_id: str = '',
    ) -> None:
        if (
            self._find_attempt(attempt.start.answer, attempt.start.attempt)
            is None
        ):
            return
        attempt.upstream.send(
            self._failed_message(attempt.start, reason, step, peer, crash_id)
        )
        self._remove(attempt)
        self._cancel_downstream(attempt)

    def _failed_message(
        self,
        start: messages.Start,
        reason: failures.Reason,
        step: str,
        peer: str = '',
        crash_id: str = '',
    ) -> messages.Failed:
        clock = self._events.add(
            'stage.failed',
            start.answer,
            attempt=start.attempt,
            reason=reason.value,
            step=step,
            peer=peer,
        )
        is_overloaded = reason is failures.Reason.OVERLOADED
        return messages.Failed(
            start.answer,
            start.attempt,
            reason,
            step,
            peer,
            self._server,
            clock,
            OVERLOAD_RETRY_MS if is_overloaded else 0,
            crash_id,
        )

    def _remove(self, attempt: stage_attempts.StageAttempt) -> None:
        del self.attempt_by_answer[attempt.start.answer]
        self.scheduler.close(attempt.sequence_id)

    def _cancel_downstream(self, attempt: stage_attempts.StageAttempt) -> None:
        next_hop = attempt.next_hop
        if next_hop:
            cancel = messages.Cancel(
                attempt.start.answer, attempt.start.attempt
            )
            link = self._peers.link_by_address.get(next_hop.address)
            if link:
                link.send(cancel)
