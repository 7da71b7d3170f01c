"""Batches the steps of all attempts into iterations of the engine.

While the engine runs one iteration, the next is already sent if its batch is
full, so that the engine doesn't idle for the round trip of a call. A batch
that is not full waits for more steps until the engine is free.
"""

import dataclasses
from typing import Protocol

import eventlet
import eventlet.semaphore

from burdockmast.base import failures
from burdockmast.base import logs
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.side import engine
from burdockmast.side import stage_attempts

LOG = logs.get('driver')

# One call that the engine runs, and one that is queued there.
CONCURRENT_CALL_COUNT = 2
# Weight of the newest sample in the moving averages of layer times.
SMOOTHING_FACTOR = 0.1
# Interval between status calls to an engine that was lost.
PROBE_INTERVAL_SECONDS = 0.2
# Ended sequences wait this long to be closed in a call with other work.
CLOSE_DELAY_SECONDS = 0.2


class Owner(Protocol):
    """The stage whose steps a scheduler runs."""

    def is_live(self, attempt: stage_attempts.StageAttempt) -> bool:
        """Tell whether an attempt still runs here."""

    def batch_limit(self) -> int:
        """Return the largest number of steps in one iteration."""

    def on_result(
        self,
        attempt: stage_attempts.StageAttempt,
        index: int,
        result: engine.StepResult,
    ) -> None:
        """Handle the result of a step."""

    def on_engine_lost(
        self,
        failure: failures.Failure,
        batch: list[stage_attempts.StageAttempt],
    ) -> None:
        """Fail all attempts; ``batch`` has those of the failed call."""

    def on_engine_recovered(self) -> None:
        """Treat the engine as restarted, without sequences and layers."""


class BatchScheduler:
    """Queues work for one engine, and runs the tasks that call it."""

    def __init__(self, client: engine.Client, owner: Owner):
        """Create a scheduler; ``start`` starts its tasks."""
        self.is_ready = True
        # Moving averages of the time of one layer, for one step of a sequence
        # and for one token of a prompt.
        self.layer_seconds = 0.0
        self.prefill_seconds = 0.0
        self._engine = client
        self._owner = owner
        self._opens: list[engine.OpenSequence] = []
        self._steps: list[tuple[stage_attempts.StageAttempt, engine.Step]] = []
        self._closes: list[str] = []
        # Sequences whose opening is in flight; their steps have to wait.
        self._opening_sequences: set[str] = set()
        self._calls_in_flight = 0
        self._loss_count = 0
        self._last_ended_at = timers.now()
        self._wake = eventlet.semaphore.Semaphore(0)

    def start(self) -> None:
        """Start the tasks that call the engine."""
        for _ in range(CONCURRENT_CALL_COUNT):
            eventlet.spawn(self._run_iterations)

    def open(self, attempt: stage_attempts.StageAttempt) -> None:
        """Queue the opening of a sequence, to be sent with the next steps."""
        start = attempt.start
        hop = attempt.hop
        self._opens.append(
            engine.OpenSequence(
                attempt.sequence_id,
                start.model,
                start.tokens,
                hop.first,
                hop.end,
            )
        )

    def step(
        self, attempt: stage_attempts.StageAttempt, step: engine.Step
    ) -> None:
        """Queue a step for one of the next iterations."""
        self._steps.append((attempt, step))
        # A wake-up that is still pending covers this step, too.
        if self._wake.balance <= 0:
            self._wake.release()

    def close(self, sequence: str) -> None:
        """Queue the closing of a sequence, sent with other work or alone."""
        self._closes.append(sequence)
        if len(self._closes) == 1:
            eventlet.spawn_after(CLOSE_DELAY_SECONDS, self._wake.release)

    def on_engine_unreachable(self, failure: failures.Failure) -> None:
        """Handle an engine that refuses connections as lost."""
        if self.is_ready:
            self._on_loss(failure, [])

    def _run_iterations(self) -> None:
        while True:
            self._wake.acquire()
            # Yield, so that steps that have arrived by now join this batch.
            eventlet.sleep(0)
            while self.is_ready and self._may_call():
                if not self._iterate():
                    break

    def _may_call(self) -> bool:
        if not self._steps and not self._closes:
            return False
        return (
            not self._calls_in_flight
            or len(self._steps) >= self._owner.batch_limit()
        )

    def _iterate(self) -> bool:
        """Run one iteration; tell whether there was anything to send."""
        batch = self._take_batch()
        opens, self._opens = self._opens, []
        closes, self._closes = self._closes, []
        if not batch and not opens and not closes:
            return False
        opened_sequences = {request.sequence for request in opens}
        self._opening_sequences |= opened_sequences
        self._calls_in_flight += 1
        loss_count = self._loss_count
        started_at = timers.now()
        try:
            results = self._engine.iterate(
                engine.Iteration(opens, [step for _, step in batch], closes)
            )
        finally:
            self._calls_in_flight -= 1
            self._opening_sequences -= opened_sequences
            self._wake.release()
        if loss_count != self._loss_count:
            # Another call found the engine lost, which failed these attempts.
            return True
        if isinstance(results, failures.Failure):
            self._on_loss(results, [attempt for attempt, _ in batch])
            return True
        self._record_time(started_at, batch)
        for (attempt, step), result in zip(batch, results, strict=True):
            if self._owner.is_live(attempt):
                self._owner.on_result(attempt, step.index, result)
        return True

    def _take_batch(
        self,
    ) -> list[tuple[stage_attempts.StageAttempt, engine.Step]]:
        """Dequeue the steps of the next iteration, oldest first."""
        limit = self._owner.batch_limit()
        batch: list[tuple[stage_attempts.StageAttempt, engine.Step]] = []
        rest: list[tuple[stage_attempts.StageAttempt, engine.Step]] = []
        for attempt, step in self._steps:
            if not self._owner.is_live(attempt):
                continue
            if (
                len(batch) == limit
                or attempt.sequence_id in self._opening_sequences
            ):
                rest.append((attempt, step))
            else:
                batch.append((attempt, step))
        self._steps = rest
        return batch

    def _record_time(
        self,
        started_at: float,
        batch: list[tuple[stage_attempts.StageAttempt, engine.Step]],
    ) -> None:
        """Update the averages with the time of one iteration.

        Time in excess of the average for its steps counts as prefill time.
        """
        # The engine runs one iteration at a time, so this one can't have begun
        # before the previous one ended.
        started_at = max(started_at, self._last_ended_at)
        self._last_ended_at = timers.now()
        seconds = self._last_ended_at - started_at
        step_layers = sum(attempt.layer_count for attempt, _ in batch)
        prefilled_token_layers = sum(
            attempt.uncached_tokens * attempt.layer_count
            for attempt, step in batch
            if not step.index
        )
        if not prefilled_token_layers or not self.layer_seconds:
            self.layer_seconds = _smoothed(
                self.layer_seconds, seconds / max(1, step_layers)
            )
            return
        excess_seconds = max(0.0, seconds - self.layer_seconds * step_layers)
        self.prefill_seconds = _smoothed(
            self.prefill_seconds, excess_seconds / prefilled_token_layers
        )

    def _on_loss(
        self,
        failure: failures.Failure,
        batch: list[stage_attempts.StageAttempt],
    ) -> None:
        LOG.warning('Engine lost, failing its attempts: {}.', failure)
        if self._calls_in_flight:
            # A request in the other call may have made the engine crash, so
            # the outcome is unknown even if this call was not sent.
            failure = dataclasses.replace(
                failure, outcome=outcomes.Outcome.UNKNOWN
            )
        self._loss_count += 1
        self.is_ready = False
        self._owner.on_engine_lost(failure, batch)
        eventlet.spawn(self._await_engine)

    def _await_engine(self) -> None:
        while isinstance(self._engine.status(), failures.Failure):
            eventlet.sleep(PROBE_INTERVAL_SECONDS)
        self._opens, self._steps, self._closes = [], [], []
        self.is_ready = True
        LOG.info('Engine is available again.')
        self._owner.on_engine_recovered()


def _smoothed(value: float, sample: float) -> float:
    """Return a moving average with one more sample; 0 means none yet."""
    if not value:
        return sample
    return value + SMOOTHING_FACTOR * (sample - value)
