"""Tries of a call that may be repeated: one after another, or hedged.

A hedge is a second try that starts while the first is slower than nearly
all recent ones. The first good answer is taken. Source: J. Dean and L. A.
Barroso, "The Tail at Scale", Communications of the ACM 56(2), 2013.
"""

import collections
from collections.abc import Callable
import dataclasses
import math
from typing import Generic
from typing import TypeVar

import eventlet
import eventlet.queue

from burdockmast.base import failures
from burdockmast.base import outcomes
from burdockmast.base import timers

Result = TypeVar('Result')

# Tries of one call, and those of them that are under way at once.
MAX_ATTEMPTS = 4
MAX_CONCURRENT_ATTEMPTS = 2
# Share of recent calls that are faster than the delay of a hedge.
HEDGE_QUANTILE = 0.95
# Recent calls that the delay is taken from, and how many it takes at least.
SAMPLE_COUNT = 200
MIN_SAMPLE_COUNT = 20
# Shortest delay of a hedge, in seconds.
MIN_DELAY_SECONDS = 0.02


class Latencies:
    """Times of the recent good answers of one service."""

    def __init__(self):
        """Create a record without calls."""
        self._recent: collections.deque[float] = collections.deque(
            maxlen=SAMPLE_COUNT
        )

    def record(self, seconds: float) -> None:
        """Take in the time of a good answer."""
        self._recent.append(seconds)

    def hedge_delay(self) -> float:
        """Return the seconds after which a call is slow.

        It is infinite while too little is known.
        """
        if len(self._recent) < MIN_SAMPLE_COUNT:
            return math.inf
        ordered = sorted(self._recent)
        slow = ordered[int(len(ordered) * HEDGE_QUANTILE)]
        return max(MIN_DELAY_SECONDS, slow)


class HedgedCall(Generic[Result]):
    """The tries of one call; at most ``OPEN_TRIES`` are under way."""

    def __init__(
        self,
        attempt: Callable[[], Result | failures.Failure],
        may_retry: Callable[[bool], bool],
        deadline: float,
    ):
        """Prepare a call; ``run`` makes it.

        :param attempt: makes one try on a server not tried before
        :param may_repeat: tells whether one more try is within the budget;
            it is told whether no other is under way, and may wait then
        :param deadline: monotonic seconds
        """
        self._attempt = attempt
        self._may_retry = may_retry
        self._deadline = deadline
        self._results: eventlet.queue.LightQueue = eventlet.queue.LightQueue()
        self._started_count = 0
        self._running_count = 0
        self._may_have_run = False

    def run(self, hedge_after: float) -> Result | failures.Failure:
        """Return the first good answer, or the failure of the last try.

        :param hedge_after: seconds until a second try is made beside a
            slow one, and between looks whether it may be made
        """
        self._start()
        hedge_at = timers.now() + hedge_after
        while True:
            result = self._wait(min(hedge_at, self._deadline))
            if result is None and timers.now() >= self._deadline:
                return _deadline_passed()
            if result is None:
                # A server may join, or the budget recover, while we wait.
                hedge_at = timers.now() + hedge_after
                self._hedge()
                continue
            self._running_count -= 1
            if not isinstance(result, failures.Failure):
                return result
            self._record_failure(result)
            if not self._running_count and not self._retry():
                return self._final_failure(result)

    def _record_failure(self, failure: failures.Failure) -> None:
        if failure.outcome is not outcomes.Outcome.NOT_RUN:
            self._may_have_run = True

    def _final_failure(self, failure: failures.Failure) -> failures.Failure:
        """Return the last failure, 'not run' only if no try has run."""
        if not self._may_have_run:
            return failure
        return dataclasses.replace(failure, outcome=outcomes.Outcome.UNKNOWN)

    def _start(self) -> None:
        self._started_count += 1
        self._running_count += 1
        eventlet.spawn(lambda: self._results.put(self._attempt()))

    def _hedge(self) -> None:
        if self._running_count < MAX_CONCURRENT_ATTEMPTS:
            self._retry()

    def _retry(self) -> bool:
        """Start one more try if that is allowed; tell whether it was."""
        if (
            self._started_count == MAX_ATTEMPTS
            or timers.now() >= self._deadline
        ):
            return False
        if not self._may_retry(not self._running_count):
            return False
        self._start()
        return True

    def _wait(self, until: float) -> Result | failures.Failure | None:
        seconds = max(0.0, until - timers.now())
        try:
            return self._results.get(timeout=seconds)
        except eventlet.queue.Empty:
            return None


def _deadline_passed() -> failures.Failure:
    return failures.Failure(
        failures.Reason.DEADLINE,
        'service.execute',
        detail='no server answered in time',
        outcome=outcomes.Outcome.UNKNOWN,
    )
