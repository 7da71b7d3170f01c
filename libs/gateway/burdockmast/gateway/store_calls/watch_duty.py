"""Decides which gateways of a zone watch the store for the others.

The load: watches that wait are most of the calls of a calm day. The first
gateway of a zone watches. The second one is a standby: it relies on the first
as the others do, and watches as soon as it does not hear the first, or its
copy of the configuration is not confirmed.
"""

from collections.abc import Callable
import math
from typing import Any

from burdockmast.base import timers
from burdockmast.gateway import neighbours
from burdockmast.gateway import object_follower

# Time without a message after which the first watcher counts as failed.
# Messages come every 0.1 s, in large zones every 0.4 s.
SILENT_SECONDS = 0.6
# The first one also counts as failed this long before the standby's copy is
# too old to rely on others: all copies of the zone are about as old then.
AGE_MARGIN_SECONDS = 0.3
# Time for which a standby watches after it has found the first one failed. The
# first may seem sound as soon as the standby confirms both their copies.
STAND_IN_SECONDS = 10.0


class WatchDuty:
    """Whether this gateway watches the store, and others rely on that."""

    def __init__(
        self,
        known: neighbours.Neighbours,
        is_enabled: Callable[[], bool],
        followed: Callable[[], object_follower.Follower[Any]],
        now: Callable[[], float] = timers.now,
    ):
        """Create the duty of one gateway.

        :param is_enabled: returns whether the second watcher is a standby
        :param followed: returns this gateway's copy of the configuration
        """
        self._neighbours = known
        self._is_enabled = is_enabled
        self._followed = followed
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
        if now - first.heard_at > SILENT_SECONDS or self._is_copy_late():
            self._stands_in_until = now + STAND_IN_SECONDS
        return now < self._stands_in_until

    def _is_copy_late(self) -> bool:
        copy = self._followed()
        return (
            copy.revision is not None
            and copy.age > copy.max_relied_age - AGE_MARGIN_SECONDS
        )

    def is_relied_on(self) -> bool:
        """Return whether a neighbour may rely on this gateway's watches."""
        if self._is_enabled():
            return bool(self._neighbours.alive_neighbours())
        return self._neighbours.is_relied_on()
