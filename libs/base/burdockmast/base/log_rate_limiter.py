"""How many lines of each kind a process may write."""

import collections
from collections.abc import Callable

# Lines of one kind in a second, and at once. An entry serves 23 requests a
# second at the target; this leaves room for several times as many.
LINES_PER_SECOND = 100.0
BURST_LINES = 200.0
# Kinds that are told apart; all others share one budget.
MAX_KINDS = 512
OTHER_KINDS = ('other',)

Kind = tuple[str, ...]


class LogRateLimiter:
    """A token bucket for each kind of line, and a count of the rest."""

    def __init__(self, now: Callable[[], float]):
        """Create full buckets.

        :param now: monotonic seconds
        """
        self._now = now
        self._left_by_kind: dict[Kind, float] = {}
        self._filled_at_by_kind: dict[Kind, float] = {}
        self._left_out: collections.Counter[Kind] = collections.Counter()

    def allow(self, kind: Kind) -> bool:
        """Take one line of a kind; false if it has to be left out."""
        if (
            kind not in self._left_by_kind
            and len(self._left_by_kind) >= MAX_KINDS
        ):
            kind = OTHER_KINDS
        left = self._filled(kind)
        if left < 1:
            self._left_out[kind] += 1
            return False
        self._left_by_kind[kind] = left - 1
        return True

    def take_suppressed_counts(self) -> dict[Kind, int]:
        """Return how many lines were left out since the last call."""
        found = dict(self._left_out)
        self._left_out.clear()
        return found

    def _filled(self, kind: Kind) -> float:
        now = self._now()
        before = self._filled_at_by_kind.get(kind, now)
        left = self._left_by_kind.get(kind, BURST_LINES)
        left = min(BURST_LINES, left + (now - before) * LINES_PER_SECOND)
        self._left_by_kind[kind] = left
        self._filled_at_by_kind[kind] = now
        return left
