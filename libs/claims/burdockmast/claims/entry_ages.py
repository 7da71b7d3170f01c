"""When the entries of a journal were seen, so that old ones can go."""

import collections

from burdockmast.base import timers

# Cuts of a journal in the time for which keys are remembered.
TRUNCATIONS_PER_RETENTION = 8


class EntryAges:
    """When places of a journal were seen, by this process's own clock.

    Clocks of other processes are not asked: an entry is never thought to
    be older than it is.
    """

    def __init__(self, retention: float):
        """Create an empty record.

        :param retention: seconds until an entry is old
        """
        self._retention = retention
        self._seen: collections.deque[tuple[float, int]] = collections.deque()

    def record(self, index: int) -> None:
        """Note that an index is taken, coarsely."""
        now = timers.now()
        step = self._retention / TRUNCATIONS_PER_RETENTION
        if not self._seen or now - self._seen[-1][0] >= step:
            self._seen.append((now, index))

    def expired_through(self) -> int:
        """Return the last index that is old enough to be cut, or 0."""
        through = 0
        for seen_at, index in self._seen:
            if timers.now() - seen_at < self._retention:
                break
            through = index
        return through

    def forget(self, through: int) -> None:
        """Forget places through ``through``."""
        while self._seen and self._seen[0][1] <= through:
            self._seen.popleft()
