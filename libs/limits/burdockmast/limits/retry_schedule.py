"""Schedules the retries of refused callers.

In a burst, far more callers arrive at once than can be served. If all were
given the same delay, they would retry together and be refused again, and a
caller who has waited for long would have no better chance than a newcomer. So
each refusal takes the next free time in a schedule, which leaves capacity for
newcomers.
"""

import random

# Shortest and longest delay that a refused caller is given. Callers have
# deadlines of a minute, and a retry after more than half of it is too late.
MIN_DELAY_SECONDS = 0.5
MAX_DELAY_SECONDS = 30.0
# Share of the served requests that the schedule leaves to retries.
RETRY_SHARE = 0.5


class RetrySchedule:
    """Spreads the retries of the callers that one queue refuses."""

    def __init__(self, source: random.Random):
        """Create an empty schedule.

        :param source: draws the delays for which the schedule has no room
        """
        self._random = source
        self._last_retry_at = float('-inf')

    def next_delay(
        self, now: float, wait_seconds: float, interval_seconds: float
    ) -> float:
        """Return the seconds after which a refused caller may retry.

        :param now: monotonic seconds
        :param wait_seconds: that a new request would wait now
        :param interval_seconds: between served requests
        """
        earliest = now + max(wait_seconds, MIN_DELAY_SECONDS)
        retry_at = max(
            earliest, self._last_retry_at + interval_seconds / RETRY_SHARE
        )
        if retry_at - now > MAX_DELAY_SECONDS:
            return self._random.uniform(
                MAX_DELAY_SECONDS / 2, MAX_DELAY_SECONDS
            )
        self._last_retry_at = retry_at
        return retry_at - now


def add_jitter(seconds: float, source: random.Random) -> float:
    """Return a random delay of one to two times ``seconds``.

    Used where no admission rate is known, so that callers who were refused
    during an outage don't all retry at its end.
    """
    return seconds * source.uniform(1.0, 2.0)
