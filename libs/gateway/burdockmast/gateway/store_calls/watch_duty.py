"""Decides which gateways of a zone watch the store for the others.

The load: watches that wait are most of the calls of a calm day. The first
gateway of a zone watches. The second one is a standby: it relies on the first
as the others do, and watches as soon as it does not hear the first, or its
copy of the configuration is not confirmed.
"""

from collections.abc import Callable
import math

from burdockmast.base import timers
from burdockmast.gateway import neighbours

# Time without a message after which the first watcher counts as failed.
# Messages come every 0.1 s, in large zones every 0.4 s.
SILENT_SECONDS = 0.6
# Age of the standby's copy at which the first one counts as failed: a watch
# takes up to 1.4 s, and the message that confirms it arrives 0.2 s later.
UNCONFIRMED_SECONDS = 1.7
# Time for which a standby watches after it has found the first one failed. The
# first may seem sound as soon as the standby confirms both their copies.
STAND_IN_SECONDS = 10.0


class WatchDuty:
    """Whether this gateway watches the store, and others rely on that."""

    def __init__(
        self,
        known: neighbours.Neighbours,
        is_enabled: Callable[[], bool],
        copy_age: Callable[[], float],
        now: Callable[[], float] = timers.now,
    ):
        """Create the duty of one gateway.

        :param is_enabled: returns whether the second watcher is a standby
        :param copy_age: returns the seconds since this gateway's copy of the
            configuration was confirmed
        """
        self._neighbours = known
        self._is_enabled = is_enabled
        self._copy_age = copy_age
        self._now = now
        self._stands_in_until = -math.inf

    def watches(self) -> bool:
        """Return whether this gateway watches the store for its neighbours."""
        if not self._neighbours.is_watcher():
            return False
        first = self._neighbours.first_neighbour()
        if first is None or not self._is_enabled():
            return True
        now = self._now()
        if (
            now - first.heard_at > SILENT_SECONDS
            or UNCONFIRMED_SECONDS < self._copy_age() < math.inf
        ):
            self._stands_in_until = now + STAND_IN_SECONDS
        return now < self._stands_in_until

    def is_relied_on(self) -> bool:
        """Return whether a neighbour may rely on this gateway's watches."""
        if self._is_enabled():
            return bool(self._neighbours.alive_neighbours())
        return self._neighbours.is_relied_on()
