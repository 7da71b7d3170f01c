"""Ends bodies that come too slowly.

The load: many callers each send a byte at a time, so that their requests stay
open. Time is over only when nothing has arrived by then, so that a pause of
the process ends no body.
"""


class TooSlow(TimeoutError):
    """A caller sends too slowly."""


class Progress:
    """The time by which more of a body must come.

    :ivar until: time at which a read that finds nothing fails
    """

    def __init__(self, started_at: float, seconds: float, min_bytes: int):
        """Start with a body of which nothing has come.

        :param seconds: within which ``min_bytes`` or the end must come
        """
        self.until = started_at + seconds
        self._seconds = seconds
        self._min_bytes = min_bytes
        self._counted_bytes = 0

    def add(self, count: int, now: float) -> None:
        """Count what has come."""
        self._counted_bytes += count
        if self._counted_bytes >= self._min_bytes:
            self._counted_bytes = 0
            self.until = now + self._seconds
