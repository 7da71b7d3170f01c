"""When journal entries were read or written, to find expired ones."""

import collections

from burdockmast.base import timers

# Truncations of a journal within the time for which keys are remembered.
TRUNCATIONS_PER_RETENTION = 8


class EntryAges:
    """When journal entries were first seen, by this process's own clock.

    An entry's age counts from when this process read or wrote it, not from
    another process's clock, so it is never taken to be older than it is.
    """

    def __init__(self, retention: float):
        """Create an empty record.

        :param retention: seconds until an entry expires
        """
        self._retention = retention
        self._seen: collections.deque[tuple[float, int]] = collections.deque()

    def record(self, index: int) -> None:
        """Record that the entry at ``index`` was seen now.

        At most one index is kept in each step of ``retention /
        TRUNCATIONS_PER_RETENTION`` seconds.
        """
        now = timers.now()
        step = self._retention / TRUNCATIONS_PER_RETENTION
        if not self._seen or now - self._seen[-1][0] >= step:
            self._seen.append((now, index))

    def expired_through(self) -> int:
        """Return the last recorded index that has expired, or 0."""
        through = 0
        for seen_at, index in self._seen:
            if timers.now() - seen_at < self._retention:
                break
            through = index
        return through

    def forget(self, through: int) -> None:
        """Discard the records of indexes through ``through``."""
        while self._seen and self._seen[0][1] <= through:
            self._seen.popleft()
