"""A retry budget for each service.

Every attempt of a request after the first takes one retry from the budget.
When many servers fail under high load, retries add only a limited share to
the load, however many requests fail.
"""

import collections
from collections.abc import Callable

from burdockmast.base import ids
from burdockmast.base import timers

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
# Share of its retries that a gateway uses for new requests. A refused request
# may come again; a begun stream that is not resumed is cut.
NEW_REQUESTS_SHARE = 0.6


class Budget:
    """Limits the retries of each service in a sliding window."""

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: float,
        now: Callable[[], float] = timers.now,
    ):
        """Create a budget that no request has used.

        :param ratio: retries for each request, over all gateways
        :param slack: further retries in a window, over all gateways
        :param window: length of the sliding window in seconds
        """
        self._ratio = ratio * RATIO_SHARE
        self._slack = slack * SLACK_SHARE
        self.gateway_count = ASSUMED_GATEWAY_COUNT
        self._window = window
        self._now = now
        self._requests: dict[ids.ServiceId, collections.deque[float]] = {}
        self._retries: dict[ids.ServiceId, collections.deque[float]] = {}

    def deposit(self, service: ids.ServiceId) -> None:
        """Record a request."""
        self._recent_times(self._requests, service).append(self._now())

    def withdraw(
        self, service: ids.ServiceId, has_begun: bool = False
    ) -> bool:
        """Take one retry; return false if none is left."""
        if not self.can_withdraw(service, has_begun):
            return False
        self._retries[service].append(self._now())
        return True

    def can_withdraw(
        self, service: ids.ServiceId, has_begun: bool = False
    ) -> bool:
        """Tell whether a retry is left.

        :param has_begun: the retry resumes what has begun, and may use the
            part that is kept from new requests
        """
        retries = self._recent_times(self._retries, service)
        requests = self._recent_times(self._requests, service)
        allowed = self._slack / self.gateway_count + self._ratio * len(
            requests
        )
        if not has_begun:
            allowed *= NEW_REQUESTS_SHARE
        return len(retries) < allowed

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
