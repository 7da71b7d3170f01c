"""Retries and hedges calls that may be repeated.

A hedge is a second attempt that starts when the first takes longer than
nearly all recent calls. The first reply is used. Source: J. Dean and L. A.
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

# Attempts of one call, in all and at the same time.
MAX_ATTEMPTS = 4
MAX_CONCURRENT_ATTEMPTS = 2
# Quantile of the recent latencies that is the delay of a hedge.
HEDGE_QUANTILE = 0.95
# Recent latencies that are kept, and the fewest from which a delay is derived.
SAMPLE_COUNT = 200
MIN_SAMPLE_COUNT = 20
MIN_HEDGE_DELAY_SECONDS = 0.02


class Latencies:
    """Latencies of the recent successful calls to one service."""

    def __init__(self):
        """Create a record without latencies."""
        self._recent: collections.deque[float] = collections.deque(
            maxlen=SAMPLE_COUNT
        )

    def record(self, seconds: float) -> None:
        """Add the latency of a successful call."""
        self._recent.append(seconds)

    def hedge_delay(self) -> float:
        """Return the seconds after which a slow call is hedged.

        The delay is infinite until ``MIN_SAMPLE_COUNT`` calls are recorded.
        """
        if len(self._recent) < MIN_SAMPLE_COUNT:
            return math.inf
        ordered = sorted(self._recent)
        slow = ordered[int(len(ordered) * HEDGE_QUANTILE)]
        return max(MIN_HEDGE_DELAY_SECONDS, slow)


class HedgedCall(Generic[Result]):
    """One call, made by up to ``MAX_ATTEMPTS`` attempts on several servers."""

    def __init__(
        self,
        attempt: Callable[[], Result | failures.Failure],
        may_retry: Callable[[bool], bool],
        deadline: float,
    ):
        """Prepare a call; ``run`` makes it.

        :param attempt: makes one attempt on a server not tried before
        :param may_retry: tells whether another attempt is allowed; its
            argument says whether none is running, and only then may it wait
            for a server
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
        """Return the first successful result, or the last failure.

        :param hedge_after: seconds until a slow attempt is hedged; while a
            hedge is not possible, it is checked again at this interval
        """
        self._start()
        hedge_at = timers.now() + hedge_after
        while True:
            result = self._wait(min(hedge_at, self._deadline))
            if result is None and timers.now() >= self._deadline:
                return _deadline_passed()
            if result is None:
                # A hedge may become possible later: a server may join, or
                # the retry budget may recover.
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
        """Return the failure; its outcome is unknown if any attempt's was."""
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
        """Start another attempt if it is allowed; tell whether it started."""
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
        detail='no server replied before the deadline',
        outcome=outcomes.Outcome.UNKNOWN,
    )
