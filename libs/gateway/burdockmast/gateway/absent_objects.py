"""Decides about objects that are missing in the store, or were removed.

Objects that their writers renew expire while the store is away, and are back
soon after its return if the writers live. A store that is restored from an
older copy holds objects again that had been removed.
"""

from collections.abc import Callable
import math
from typing import Generic
from typing import TypeVar

from burdockmast.base import timers

# Time after an outage of the store in which live writers renew the entries
# that expired meanwhile: about 2 s by the platform's documentation.
EXPIRY_GRACE_SECONDS = 2.0
# Most removed objects that are remembered, the latest.
MAX_REMOVED_OBJECTS = 10000

T = TypeVar('T')


class AbsentObjects(Generic[T]):
    """The objects of one kind that are missing or were removed.

    :ivar drop_at_by_name: monotonic seconds at which objects that went missing
        around an outage are dropped
    :ivar store_back_at: monotonic seconds of the end of the last outage
    """

    def __init__(
        self, keeps_expired: bool, is_older: Callable[[T, T], bool] | None
    ):
        """Create a record without objects.

        :param keeps_expired: objects expire unless they are renewed
        :param is_older: returns whether its first argument was written before
            the second, by its writer's own count
        """
        self.drop_at_by_name: dict[str, float] = {}
        self.store_back_at = -math.inf
        self._keeps_expired = keeps_expired
        self._is_older = is_older
        # The last version of each object that was removed, with the era in
        # which it was.
        self._removed_by_name: dict[str, tuple[int, T]] = {}

    @property
    def next_drop_at(self) -> float:
        """Monotonic seconds at which the next object is dropped."""
        return min(self.drop_at_by_name.values(), default=math.inf)

    def record_outage_end(self, at: float) -> None:
        """Record that an outage of the store ended, in monotonic seconds."""
        self.store_back_at = max(self.store_back_at, at)

    def is_kept(self, name: str) -> bool:
        """Return whether a missing object may have expired in an outage."""
        if not self._keeps_expired:
            return False
        known_drop_at = self.drop_at_by_name.get(name)
        if known_drop_at is not None:
            return timers.now() < known_drop_at
        drop_at = self.store_back_at + EXPIRY_GRACE_SECONDS
        if timers.now() >= drop_at:
            return False
        self.drop_at_by_name[name] = drop_at
        return True

    def record_present(self, name: str) -> None:
        """Record that an object is in the store."""
        self.drop_at_by_name.pop(name, None)

    def take_expired(self) -> list[str]:
        """Return the objects that were not renewed in time, once."""
        now = timers.now()
        expired = [n for n, at in self.drop_at_by_name.items() if now >= at]
        for name in expired:
            del self.drop_at_by_name[name]
        return expired

    def record_removed(self, name: str, item: T, era: int) -> None:
        """Remember an object that its writer has removed, or let expire."""
        if self._is_older is None:
            return
        self._removed_by_name.pop(name, None)
        self._removed_by_name[name] = era, item
        while len(self._removed_by_name) > MAX_REMOVED_OBJECTS:
            del self._removed_by_name[next(iter(self._removed_by_name))]

    def was_removed(self, name: str, item: T, era: int) -> bool:
        """Return whether an object was removed in an earlier history.

        A restored store holds it again as it was before, until its writer
        writes a newer one.
        """
        removed_era, removed = self._removed_by_name.get(name, (era, None))
        return removed_era < era and not self._is_older(removed, item)
