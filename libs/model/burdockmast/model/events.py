"""A queue of future events in virtual time."""

from collections.abc import Callable
import heapq
import itertools


class Timeline:
    """Runs calls at their virtual times, in order.

    :ivar now: virtual seconds
    """

    def __init__(self):
        """Create an empty timeline at time zero."""
        self.now = 0.0
        self._numbers = itertools.count()
        self._calls: list[tuple[float, int, Callable[[], None]]] = []

    def time(self) -> float:
        """Return the virtual time, as a clock for the product's code."""
        return self.now

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Run ``call`` after some virtual seconds."""
        heapq.heappush(
            self._calls, (self.now + seconds, next(self._numbers), call)
        )

    def run(self, until: float) -> None:
        """Run all calls up to a virtual time."""
        while self._calls and self._calls[0][0] <= until:
            self.now, _, call = heapq.heappop(self._calls)
            call()
        self.now = until
