"""Limits the rate of similar log lines."""

import collections
from collections.abc import Callable

# Rate and burst for lines of one kind. An entry serves 23 requests per
# second at the target load; the limits allow for several times as many.
LINES_PER_SECOND = 100.0
BURST_LINES = 200.0
# Kinds with a token bucket of their own; all others share one.
MAX_KINDS = 512
OTHER_KINDS = ('other',)

Kind = tuple[str, ...]


class LogRateLimiter:
    """A token bucket for each kind of line; counts the suppressed lines."""

    def __init__(self, now: Callable[[], float]):
        """Create full buckets.

        :param now: returns monotonic seconds
        """
        self._now = now
        self._tokens_by_kind: dict[Kind, float] = {}
        self._refilled_at_by_kind: dict[Kind, float] = {}
        self._suppressed: collections.Counter[Kind] = collections.Counter()

    def allow(self, kind: Kind) -> bool:
        """Return whether a line may be written; count it if it may not."""
        if (
            kind not in self._tokens_by_kind
            and len(self._tokens_by_kind) >= MAX_KINDS
        ):
            kind = OTHER_KINDS
        tokens = self._refill(kind)
        if tokens < 1:
            self._suppressed[kind] += 1
            return False
        self._tokens_by_kind[kind] = tokens - 1
        return True

    def take_suppressed_counts(self) -> dict[Kind, int]:
        """Return how many lines were suppressed since the last call."""
        counts = dict(self._suppressed)
        self._suppressed.clear()
        return counts

    def _refill(self, kind: Kind) -> float:
        now = self._now()
        refilled_at = self._refilled_at_by_kind.get(kind, now)
        tokens = self._tokens_by_kind.get(kind, BURST_LINES)
        tokens = min(
            BURST_LINES, tokens + (now - refilled_at) * LINES_PER_SECOND
        )
        self._tokens_by_kind[kind] = tokens
        self._refilled_at_by_kind[kind] = now
        return tokens
