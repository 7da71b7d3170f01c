"""What the readers of all callers' bodies share."""

from collections.abc import Iterator
import contextlib

from burdockmast.base import metrics
from burdockmast.base import timers
from burdockmast.gateway import buffers
from burdockmast.gateway import busy_readers
from burdockmast.gateway.intake import connection_limits
from burdockmast.gateway.intake import limits
from burdockmast.gateway.intake import progress
from burdockmast.gateway.intake import work_budget


class Intake:
    """The limits on callers and what they have taken so far.

    :ivar limits: from the settings
    :ivar pool: room for all heads and bodies
    """

    def __init__(
        self,
        intake_limits: limits.Limits | None = None,
        measures: metrics.Metrics | None = None,
        pool: buffers.BufferPool | None = None,
    ):
        """Create the state of a process.

        :param pool: without a limit if none is given
        """
        self.limits = intake_limits or limits.Limits()
        self.pool = pool or buffers.BufferPool()
        self._metrics = measures
        self._schedule = busy_readers.Schedule()
        self._waiting: set[buffers.Buffer] = set()

    def new_work(self) -> work_budget.WorkBudget:
        """Return the budget of a body."""
        return work_budget.WorkBudget(
            self._schedule, self.limits.min_chunk_bytes
        )

    def new_progress(self) -> progress.Progress:
        """Return the progress of a body that is read from now on."""
        return progress.Progress(
            timers.now(),
            self.limits.body_progress_seconds,
            self.limits.body_progress_bytes,
        )

    def count(self, kind: str) -> None:
        """Count a refusal or a closed connection."""
        if self._metrics:
            self._metrics.count(f'intake.{kind}')

    @property
    def waiting_count(self) -> int:
        """Number of bodies that are waited for."""
        return len(self._waiting)

    @contextlib.contextmanager
    def waiting(self, buffer: buffers.Buffer) -> Iterator[None]:
        """Count a body while it is read.

        :raises buffers.BufferFull: if too many others are on their way
        """
        if len(self._waiting) >= self.limits.max_waiting_bodies:
            found = connection_limits.slowest(self._waiting, timers.now())
            self.count('waiting_bodies_exceeded')
            if found is None:
                raise buffers.BufferFull('too many bodies are on their way')
            found.give_up()
            self._waiting.discard(found)
        self._waiting.add(buffer)
        try:
            yield
        finally:
            self._waiting.discard(buffer)
