"""Shares the processor between servers that always send and other requests.

The load: replies without end, to many requests at once. A task that always
finds data would else take as long turns as there are such tasks, and sound
requests would miss their deadlines.
"""

from collections.abc import Callable

from burdockmast.base import timers

# Processor time that all busy readers take together, as a share of the time.
MAX_SHARE = 0.4


class Schedule:
    """The turns of all readers that found data without waiting for it."""

    def __init__(self, now: Callable[[], float] = timers.now):
        """Create a schedule without turns."""
        self._now = now
        self._free_at = 0.0

    def pause_after(self, spent_seconds: float) -> float:
        """Return how long a reader pauses after a turn.

        :param spent_seconds: that the turn took
        """
        now = self._now()
        pause = max(0.0, self._free_at - now)
        self._free_at = max(now, self._free_at) + spent_seconds / MAX_SHARE
        return pause
