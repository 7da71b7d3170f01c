"""A retry budget for each service.

Every attempt of a request after the first takes one retry from the budget.
When many servers fail under high load, retries add only a limited share to
the load, however many requests fail.

Each gateway has its own part of the budget. The rest is shared by the begun
streams of all: gateways tell each other what they have taken of it. What one
takes before the others hear of it is limited so that all may do so at once.
"""

import collections
from collections.abc import Callable
import dataclasses
import random

from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.gateway import retry_counts

# Attempts of a request that are certain not to have run.
MAX_NOT_RUN_ATTEMPTS = 4
# Number of gateways that share the slack, assumed until they are counted. It
# exceeds the largest known deployment, so that all shares add up to less than
# the slack.
ASSUMED_GATEWAY_COUNT = 256
# Share of the slack that is used; the rest is left to gateways that have
# started since the last count.
SLACK_SHARE = 0.7
# Share of the ratio that is used; the rest is a margin, as requests may arrive
# unevenly in the two windows that are compared.
RATIO_SHARE = 0.75
# Share of the budget that gateways have of their own, for all retries. A
# refused request may come again; a begun stream that is not resumed is cut.
OWN_SHARE = 0.6
# The rest of the budget, which only begun streams use.
SHARED_SHARE = 1 - OWN_SHARE
# Time in which all gateways hear of a retry, with one lost message.
UNTOLD_SECONDS = 1.5


class Budget:
    """Limits the retries of each service in a sliding window."""

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: float,
        now: Callable[[], float] = timers.now,
        others: retry_counts.CountTable | None = None,
        rng: random.Random | None = None,
    ):
        """Create a budget that no request has used.

        :param ratio: retries for each request, over all gateways
        :param slack: further retries in a window, over all gateways
        :param window: length of the sliding window in seconds
        :param others: what the other gateways count
        """
        self._ratio = ratio * RATIO_SHARE
        self._slack = slack * SLACK_SHARE
        self.gateway_count = ASSUMED_GATEWAY_COUNT
        self._window = window
        self._now = now
        self._others = others or retry_counts.CountTable(window, now)
        self._rng = rng or random.Random()
        self._created_at = now()
        self._requests: dict[ids.ServiceId, collections.deque[float]] = {}
        self._own_retries: dict[ids.ServiceId, collections.deque[float]] = {}
        self._shared_retries: dict[
            ids.ServiceId, collections.deque[float]
        ] = {}
        self._asked: dict[ids.ServiceId, _Asked] = {}
        self._rounding = _Rounding(self._rng)

    def deposit(self, service: ids.ServiceId) -> None:
        """Record a request."""
        self._recent_times(self._requests, service).append(self._now())

    def withdraw(
        self, service: ids.ServiceId, has_begun: bool = False
    ) -> bool:
        """Take one retry; return false if none is left."""
        if self._has_own(service):
            self._own_retries[service].append(self._now())
            return True
        if has_begun and self._has_shared(service):
            self._shared_retries[service].append(self._now())
            return True
        return False

    def can_withdraw(
        self, service: ids.ServiceId, has_begun: bool = False
    ) -> bool:
        """Tell whether a retry is left.

        :param has_begun: the retry resumes what has begun, and may use the
            part that gateways share
        """
        return self._has_own(service) or (
            has_begun and self._has_shared(service)
        )

    def counts(self) -> retry_counts.SourceCounts:
        """Return what to tell other gateways."""
        return retry_counts.SourceCounts(
            1,
            {
                service: counts
                for service in self._requests
                if (counts := self._counts_of(service))
                != retry_counts.NO_SERVICE_COUNTS
            },
        )

    def _counts_of(self, service: ids.ServiceId) -> retry_counts.ServiceCounts:
        asked = self._asked.get(service)
        return retry_counts.ServiceCounts(
            len(self._recent_times(self._requests, service)),
            len(self._recent_times(self._shared_retries, service)),
            int(asked is not None and asked.last > self._now() - self._window),
        )

    def _has_own(self, service: ids.ServiceId) -> bool:
        retries = self._recent_times(self._own_retries, service)
        return len(retries) < OWN_SHARE * self._fair_part(service)

    def _fair_part(self, service: ids.ServiceId) -> float:
        """Return the retries of one gateway if none are shared."""
        requests = self._recent_times(self._requests, service)
        return self._slack / self.gateway_count + self._ratio * len(requests)

    def _has_shared(self, service: ids.ServiceId) -> bool:
        """Tell whether a retry is left of the part that gateways share."""
        taken = self._recent_times(self._shared_retries, service)
        sharing_since = self._record_asked(service)
        others = self._others.sum(service)
        if not others.gateways:
            own = len(self._own_retries[service])
            return own + len(taken) < self._fair_part(service)
        if self._is_new():
            return False
        untold_since = self._now() - UNTOLD_SECONDS
        untold = sum(time > untold_since for time in taken)
        # Half of what is left is for gateways that are known to take some,
        # half for all that may begin to.
        rivals = 2 * (
            1 + others.counts.takers
            if sharing_since <= untold_since
            else 1 + others.gateways
        )
        left = self._shared_left(service, others) - len(taken) + untold
        return untold + 1 <= left / rivals + self._rounding.draw(self._now())

    def _is_new(self) -> bool:
        """Tell whether retries from before a restart may still count."""
        return self._now() < self._created_at + self._window

    def _record_asked(self, service: ids.ServiceId) -> float:
        """Return since when others are told that this gateway takes some."""
        now = self._now()
        asked = self._asked.get(service)
        if asked is None or asked.last <= now - self._window:
            asked = self._asked[service] = _Asked(now, now)
        asked.last = now
        return asked.first

    def _shared_left(
        self, service: ids.ServiceId, others: retry_counts.Sum
    ) -> float:
        """Return what other gateways have left, as far as they have told."""
        count = max(self.gateway_count, 1 + others.gateways)
        requests = len(self._requests.get(service, ()))
        allowed = self._slack + self._ratio * (
            requests + others.counts.requests
        )
        unheard = (count - 1 - others.gateways) * self._slack / count
        # Each gateway may take one of its own, however small its part is.
        shared = min(SHARED_SHARE * allowed, allowed - count)
        return (
            shared
            - others.counts.shared_retries
            - max(0.0, SHARED_SHARE * unheard - others.silent_retries)
        )

    def _recent_times(
        self,
        times_by_service: dict[ids.ServiceId, collections.deque[float]],
        service: ids.ServiceId,
    ) -> collections.deque[float]:
        times = times_by_service.setdefault(service, collections.deque())
        since = self._now() - self._window
        while times and times[0] < since:
            times.popleft()
        return times


@dataclasses.dataclass(slots=True)
class _Asked:
    """When shared retries were asked for, without a window's pause.

    :ivar first: monotonic seconds
    :ivar last: monotonic seconds
    """

    first: float
    last: float


class _Rounding:
    """Rounds parts of retries up or down at random.

    Where there are more gateways than retries, some of them get one.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._drawn = 0.0
        self._drawn_at = float('-inf')

    def draw(self, now: float) -> float:
        """Return what to add before rounding down, the same for some time."""
        if now - self._drawn_at >= UNTOLD_SECONDS:
            self._drawn = self._rng.random()
            self._drawn_at = now
        return self._drawn
