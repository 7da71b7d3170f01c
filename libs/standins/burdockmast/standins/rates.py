"""Limited rates of calls, for stand-ins."""

import time

BURST_SECONDS = 1.0


class Rate:
    """A token bucket.

    :ivar per_second: calls allowed in a second
    """

    def __init__(self, per_second: float):
        """Create a full bucket."""
        self.per_second = per_second
        self._tokens = per_second * BURST_SECONDS
        self._at = time.monotonic()

    def take(self) -> bool:
        """Take one token if there is one."""
        now = time.monotonic()
        gained = (now - self._at) * self.per_second
        most = self.per_second * BURST_SECONDS
        self._tokens = min(most, self._tokens + gained)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
