"""Feeds the engine beside this process, one batch of steps after another.

While the engine runs one batch, a full next one is already sent, so that
it does not stand idle for the time of a call; a batch that is not full
waits for more steps until the engine is free.
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

# Calls to the engine at once: one that runs, and the next.
CONCURRENT_CALL_COUNT = 2
# Weight of the newest sample in the smoothed times of a layer.
SMOOTHING_FACTOR = 0.1
# Seconds between looks for an engine that was lost.
PROBE_INTERVAL_SECONDS = 0.2
# Seconds that ended sequences wait to be closed along with other work.
CLOSE_DELAY_SECONDS = 0.2


class Owner(Protocol):
    """Whose steps a driver runs."""

    def is_live(self, attempt: stage_attempts.StageAttempt) -> bool:
        """Tell whether a run still goes on here."""

    def batch_limit(self) -> int:
        """Return how many steps go into one iteration."""

    def on_result(
        self,
        attempt: stage_attempts.StageAttempt,
        index: int,
        result: engine.StepResult,
    ) -> None:
        """Take in the result of a step."""

    def on_engine_lost(
        self, why: failures.Failure, batch: list[stage_attempts.StageAttempt]
    ) -> None:
        """End all runs; ``batch`` is what the engine was asked to run."""

    def on_engine_recovered(self) -> None:
        """Begin anew with an engine that holds nothing of ours."""


class BatchScheduler:
    """What waits for one engine, and the tasks that call it."""

    def __init__(self, client: engine.Client, owner: Owner):
        """Create a driver; ``start`` begins its work."""
        self.is_ready = True
        # Of one layer, for a token of one sequence and of a prompt.
        self.layer_seconds = 0.0
        self.prefill_seconds = 0.0
        self._engine = client
        self._owner = owner
        self._opens: list[engine.OpenSequence] = []
        self._steps: list[tuple[stage_attempts.StageAttempt, engine.Step]] = []
        self._closes: list[str] = []
        # Sequences whose opening is on its way to the engine.
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
        """Prepare a sequence, along with the next steps."""
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
        """Run a step in one of the next iterations."""
        self._steps.append((attempt, step))
        # A wake-up that is still to be taken serves this step, too.
        if self._wake.balance <= 0:
            self._wake.release()

    def close(self, sequence: str) -> None:
        """Free a sequence, along with other work or a little later."""
        self._closes.append(sequence)
        if len(self._closes) == 1:
            eventlet.spawn_after(CLOSE_DELAY_SECONDS, self._wake.release)

    def on_engine_unreachable(self, why: failures.Failure) -> None:
        """Take in that the engine could not be reached."""
        if self.is_ready:
            self._on_loss(why, [])

    def _run_iterations(self) -> None:
        while True:
            self._wake.acquire()
            # Let all that has arrived by now join this iteration.
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
        """Make one call; tell whether there was anything to do."""
        batch = self._take_batch()
        opens, self._opens = self._opens, []
        closes, self._closes = self._closes, []
        if not batch and not opens and not closes:
            return False
        opening = {opened.sequence for opened in opens}
        self._opening_sequences |= opening
        self._calls_in_flight += 1
        loss_count = self._loss_count
        started_at = timers.now()
        try:
            results = self._engine.iterate(
                engine.Iteration(opens, [step for _, step in batch], closes)
            )
        finally:
            self._calls_in_flight -= 1
            self._opening_sequences -= opening
            self._wake.release()
        if loss_count != self._loss_count:
            # The loss that another call found has ended these runs, too.
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
        """Take the steps of the next iteration, the oldest first."""
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
        """Take in an iteration's time.

        What it took longer than its steps is the time of its prompts.
        """
        # It waited for the one before it.
        started_at = max(started_at, self._last_ended_at)
        self._last_ended_at = timers.now()
        seconds = self._last_ended_at - started_at
        layers = sum(attempt.layer_count for attempt, _ in batch)
        prefilled = sum(
            attempt.uncached_tokens * attempt.layer_count
            for attempt, step in batch
            if not step.index
        )
        if not prefilled or not self.layer_seconds:
            self.layer_seconds = _smoothed(
                self.layer_seconds, seconds / max(1, layers)
            )
            return
        rest = max(0.0, seconds - self.layer_seconds * layers)
        self.prefill_seconds = _smoothed(
            self.prefill_seconds, rest / prefilled
        )

    def _on_loss(
        self, why: failures.Failure, batch: list[stage_attempts.StageAttempt]
    ) -> None:
        LOG.warning('Engine lost: {}.', why)
        if self._calls_in_flight:
            # What another call ran may have made the engine crash.
            why = dataclasses.replace(why, outcome=outcomes.Outcome.UNKNOWN)
        self._loss_count += 1
        self.is_ready = False
        self._owner.on_engine_lost(why, batch)
        eventlet.spawn(self._await_engine)

    def _await_engine(self) -> None:
        while isinstance(self._engine.status(), failures.Failure):
            eventlet.sleep(PROBE_INTERVAL_SECONDS)
        self._opens, self._steps, self._closes = [], [], []
        self.is_ready = True
        LOG.info('Engine is back.')
        self._owner.on_engine_recovered()


def _smoothed(value: float, sample: float) -> float:
    """Return a smoothed value with one more sample, the first as it is."""
    if not value:
        return sample
    return value + SMOOTHING_FACTOR * (sample - value)
