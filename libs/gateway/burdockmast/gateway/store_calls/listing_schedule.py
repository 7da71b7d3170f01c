"""Decides when a gateway lists the registered gateways again.

The load: dozens of gateways that each list all of them every few seconds,
though the same ones are registered for minutes. Neighbours that start are
known by their messages at once; a listing is needed for the number of all
gateways, and for those of other zones.
"""

from collections.abc import Callable
from collections.abc import Collection

from burdockmast.base import timers
from burdockmast.gateway import interfaces

# Interval after a listing that differs from the one before.
MIN_INTERVAL_SECONDS = 4.0
# Longest interval, which a gateway whose registration was removed by mistake
# takes to notice it.
MAX_INTERVAL_SECONDS = 16.0
# A listing is due by up to this much earlier, as periodic calls vary.
TOLERANCE_SECONDS = 2.0


class ListingSchedule:
    """Doubles the interval while listings show the same gateways."""

    def __init__(
        self,
        is_enabled: Callable[[], bool],
        now: Callable[[], float] = timers.now,
    ):
        """Create a schedule by which a listing is due.

        :param is_enabled: returns whether any listing may be left out
        """
        self._is_enabled = is_enabled
        self._now = now
        self._interval = MIN_INTERVAL_SECONDS
        self._listed_at = float('-inf')
        self._listed: frozenset[interfaces.GatewayRecord] = frozenset()

    def is_due(self) -> bool:
        """Return whether the gateways are to be listed now."""
        due_at = self._listed_at + self._interval - TOLERANCE_SECONDS
        return not self._is_enabled() or self._now() >= due_at

    def record(self, gateways: Collection[interfaces.GatewayRecord]) -> None:
        """Record the gateways of a listing."""
        listed = frozenset(gateways)
        self._interval = (
            min(2 * self._interval, MAX_INTERVAL_SECONDS)
            if listed == self._listed
            else MIN_INTERVAL_SECONDS
        )
        self._listed = listed
        self._listed_at = self._now()
