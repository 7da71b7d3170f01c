"""One budget for all sends of a service's requests beyond the first.

Answers a failure of many servers in a busy hour: retries may add only a
share to the load, however many requests fail.
"""

import collections
from collections.abc import Callable

from burdockmast.base import ids
from burdockmast.base import timers

# Sends of a request while it is certain that none has run.
MAX_NOT_RUN_ATTEMPTS = 4
# Gateways that are assumed to share the slack until they are counted; more
# than the largest known deployment has, so that the sum stays below it.
ASSUMED_GATEWAY_COUNT = 32
# Share of the slack that is used; the rest is for gateways that came after
# the count.
SLACK_SHARE = 0.7
# Share of the allowed ratio that is used; the rest allows for requests that
# arrive unevenly in the two windows that are compared.
RATIO_SHARE = 0.75


class Budget:
    """Retries of each service in a sliding window."""

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: float,
        now: Callable[[], float] = timers.now,
    ):
        """Create an unspent budget.

        :param ratio: retries that each request pays for, over all gateways
        :param slack: retries beyond those in a window, over all gateways
        :param window: seconds
        """
        self._ratio = ratio * RATIO_SHARE
        self._slack = slack * SLACK_SHARE
        self.gateway_count = ASSUMED_GATEWAY_COUNT
        self._window = window
        self._now = now
        self._requests: dict[ids.ServiceId, collections.deque[float]] = {}
        self._retries: dict[ids.ServiceId, collections.deque[float]] = {}

    def deposit(self, service: ids.ServiceId) -> None:
        """Note a request."""
        self._recent(self._requests, service).append(self._now())

    def withdraw(self, service: ids.ServiceId) -> bool:
        """Take one retry; false if there is none left."""
        if not self.can_withdraw(service):
            return False
        self._retries[service].append(self._now())
        return True

    def can_withdraw(self, service: ids.ServiceId) -> bool:
        """Tell whether there is a retry left."""
        retries = self._recent(self._retries, service)
        requests = self._recent(self._requests, service)
        allowed = self._slack / self.gateway_count + self._ratio * len(
            requests
        )
        return len(retries) < allowed

    def _recent(
        self,
        times_by_service: dict[ids.ServiceId, collections.deque[float]],
        service: ids.ServiceId,
    ) -> collections.deque[float]:
        times = times_by_service.setdefault(service, collections.deque())
        since = self._now() - self._window
        while times and times[0] < since:
            times.popleft()
        return times
