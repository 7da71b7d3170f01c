"""When refused callers are to come back.

Answers a rush: far more callers than are served, within a moment. Told the
same time, they would all come back at once and be refused again, and who has
waited longest would have no better chance than a newcomer. So each refusal
takes the next free place in a schedule of returns, which leaves room for
newcomers.
"""

import random

# Shortest and longest time that a refused caller is told to wait, in seconds.
# Callers ask with deadlines of a minute; later than half of it is too late.
MIN_DELAY_SECONDS = 0.5
MAX_DELAY_SECONDS = 30.0
# Share of what is served that is left to callers who come back.
RETRY_SHARE = 0.5


class RetrySchedule:
    """The schedule of returns of one queue."""

    def __init__(self, source: random.Random):
        """Create an empty schedule.

        :param source: spreads those for whom the schedule has no room
        """
        self._random = source
        self._last = float('-inf')

    def next_delay(self, now: float, wait: float, pace: float) -> float:
        """Return the seconds after which a caller may come back.

        :param now: monotonic seconds
        :param wait: seconds that a request would wait if it came now
        :param pace: seconds between requests that are served
        """
        earliest = now + max(wait, MIN_DELAY_SECONDS)
        at = max(earliest, self._last + pace / RETRY_SHARE)
        if at - now > MAX_DELAY_SECONDS:
            return self._random.uniform(
                MAX_DELAY_SECONDS / 2, MAX_DELAY_SECONDS
            )
        self._last = at
        return at - now


def add_jitter(seconds: float, source: random.Random) -> float:
    """Return a time up to twice as long, where no pace is known.

    Answers the end of an outage, when all that were refused come back.
    """
    return seconds * source.uniform(1.0, 2.0)
