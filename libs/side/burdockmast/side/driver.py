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
from burdockmast.side import runs

LOG = logs.get('driver')

# Calls to the engine at once: one that runs, and the next.
CALLS = 2
# Weight of the newest sample in the smoothed times of a layer.
TIME_WEIGHT = 0.1
# Seconds between looks for an engine that was lost.
PROBE_SECONDS = 0.2
# Seconds that ended sequences wait to be closed along with other work.
CLOSE_SECONDS = 0.2


class Owner(Protocol):
    """Whose steps a driver runs."""

    def is_live(self, running: runs.Run) -> bool:
        """Tell whether a run still goes on here."""

    def batch_limit(self) -> int:
        """Return how many steps go into one iteration."""

    def take_result(
        self, running: runs.Run, index: int, result: engine.Result
    ) -> None:
        """Take in the result of a step."""

    def engine_lost(
        self, why: failures.Failure, batch: list[runs.Run]
    ) -> None:
        """End all runs; ``batch`` is what the engine was asked to run."""

    def engine_back(self) -> None:
        """Begin anew with an engine that holds nothing of ours."""


class Driver:
    """What waits for one engine, and the tasks that call it."""

    def __init__(self, client: engine.Engine, owner: Owner):
        """Create a driver; ``start`` begins its work."""
        self.ready = True
        # Of one layer, for a token of one sequence and of a prompt.
        self.layer_seconds = 0.0
        self.prefill_seconds = 0.0
        self._engine = client
        self._owner = owner
        self._opens: list[engine.Open] = []
        self._steps: list[tuple[runs.Run, engine.Step]] = []
        self._closes: list[str] = []
        # Sequences whose opening is on its way to the engine.
        self._opening: set[str] = set()
        self._calls = 0
        self._losses = 0
        self._ended_at = timers.now()
        self._wake = eventlet.semaphore.Semaphore(0)

    def start(self) -> None:
        """Start the tasks that call the engine."""
        for _ in range(CALLS):
            eventlet.spawn(self._drive)

    def open(self, running: runs.Run) -> None:
        """Prepare a sequence, along with the next steps."""
        start = running.start
        hop = running.hop
        self._opens.append(
            engine.Open(
                running.sequence, start.model, start.tokens, hop.first, hop.end
            )
        )

    def step(self, running: runs.Run, step: engine.Step) -> None:
        """Run a step in one of the next iterations."""
        self._steps.append((running, step))
        # A wake-up that is still to be taken serves this step, too.
        if self._wake.balance <= 0:
            self._wake.release()

    def close(self, sequence: str) -> None:
        """Free a sequence, along with other work or a little later."""
        self._closes.append(sequence)
        if len(self._closes) == 1:
            eventlet.spawn_after(CLOSE_SECONDS, self._wake.release)

    def found_dead(self, why: failures.Failure) -> None:
        """Take in that the engine could not be reached."""
        if self.ready:
            self._lose(why, [])

    def _drive(self) -> None:
        while True:
            self._wake.acquire()
            # Let all that has arrived by now join this iteration.
            eventlet.sleep(0)
            while self.ready and self._may_call():
                if not self._iterate():
                    break

    def _may_call(self) -> bool:
        if not self._steps and not self._closes:
            return False
        return not self._calls or len(self._steps) >= self._owner.batch_limit()

    def _iterate(self) -> bool:
        """Make one call; tell whether there was anything to do."""
        batch = self._choose()
        opens, self._opens = self._opens, []
        closes, self._closes = self._closes, []
        if not batch and not opens and not closes:
            return False
        opening = {opened.sequence for opened in opens}
        self._opening |= opening
        self._calls += 1
        losses = self._losses
        began = timers.now()
        try:
            results = self._engine.iterate(
                engine.Iteration(opens, [step for _, step in batch], closes)
            )
        finally:
            self._calls -= 1
            self._opening -= opening
            self._wake.release()
        if losses != self._losses:
            # The loss that another call found has ended these runs, too.
            return True
        if isinstance(results, failures.Failure):
            self._lose(results, [running for running, _ in batch])
            return True
        self._note_time(began, batch)
        for (running, step), result in zip(batch, results, strict=True):
            if self._owner.is_live(running):
                self._owner.take_result(running, step.index, result)
        return True

    def _choose(self) -> list[tuple[runs.Run, engine.Step]]:
        """Take the steps of the next iteration, the oldest first."""
        limit = self._owner.batch_limit()
        batch: list[tuple[runs.Run, engine.Step]] = []
        rest: list[tuple[runs.Run, engine.Step]] = []
        for running, step in self._steps:
            if not self._owner.is_live(running):
                continue
            if len(batch) == limit or running.sequence in self._opening:
                rest.append((running, step))
            else:
                batch.append((running, step))
        self._steps = rest
        return batch

    def _note_time(
        self, began: float, batch: list[tuple[runs.Run, engine.Step]]
    ) -> None:
        """Take in an iteration's time.

        What it took longer than its steps is the time of its prompts.
        """
        # It waited for the one before it.
        began = max(began, self._ended_at)
        self._ended_at = timers.now()
        seconds = self._ended_at - began
        layers = sum(r.layers for r, _ in batch)
        prefilled = sum(
            r.uncached * r.layers for r, step in batch if not step.index
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

    def _lose(self, why: failures.Failure, batch: list[runs.Run]) -> None:
        LOG.warning('Engine lost: {}.', why)
        if self._calls:
            # What another call ran may have made the engine crash.
            why = dataclasses.replace(why, outcome=outcomes.Outcome.UNKNOWN)
        self._losses += 1
        self.ready = False
        self._owner.engine_lost(why, batch)
        eventlet.spawn(self._await_engine)

    def _await_engine(self) -> None:
        while isinstance(self._engine.status(), failures.Failure):
            eventlet.sleep(PROBE_SECONDS)
        self._opens, self._steps, self._closes = [], [], []
        self.ready = True
        LOG.info('Engine is back.')
        self._owner.engine_back()


def _smoothed(value: float, sample: float) -> float:
    """Return a smoothed value with one more sample, the first as it is."""
    if not value:
        return sample
    return value + TIME_WEIGHT * (sample - value)
