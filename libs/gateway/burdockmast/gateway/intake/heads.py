"""Keeps the heads of requests within the bytes that requests may take.

The load: many callers send long heads that never end. Heads share the room of
bodies; where it is full, the largest that has stalled is evicted, else the
largest, like among bodies.
"""

from collections.abc import Callable
import io

from burdockmast.base import timers
from burdockmast.gateway import buffers

# As much of each head takes no room, so that ordinary requests are admitted
# while the bodies of others take all of it. The number of connections bounds
# the sum.
FREE_BYTES = 4096


class CallerLeft(Exception):
    """The caller closed its connection within the head of a request."""


class HeadTooLarge(Exception):
    """The head of a request exceeds its limit."""


class HeldHead:
    """What is held of the head of one request, to the end of its answer.

    :ivar line: what has come of the current line
    """

    def __init__(
        self,
        pool: buffers.BufferPool,
        on_evict: Callable[[], object],
        now: Callable[[], float] = timers.now,
    ):
        """Create an empty head.

        :param on_evict: wakes the reader, which must not add any more
        """
        self.line = bytearray()
        self._size_bytes = 0
        self._ahead_bytes = 0
        self._on_evict = on_evict
        self._now = now
        self._buffer = pool.open()
        self._buffer.on_give_up = self._evict

    @property
    def is_evicted(self) -> bool:
        """Whether another request needed the room."""
        return self._buffer.is_given_up

    def add(self, piece: bytes) -> None:
        """Add what has come to the current line.

        :raises buffers.BufferFull: if the head has been evicted
        """
        self._size_bytes += len(piece)
        counted_bytes = max(0, self._size_bytes - FREE_BYTES)
        counted_bytes += self._ahead_bytes
        self._buffer.grow(counted_bytes - self._buffer.size_bytes)
        self._buffer.progressed_at = self._now()
        self.line += piece

    def hold_ahead(self, ahead_bytes: int) -> None:
        """Take room for what came with an earlier request, before any line.

        :raises buffers.BufferFull: if the head has been evicted
        """
        self._ahead_bytes = ahead_bytes
        self._buffer.grow(ahead_bytes)

    def take_line(self) -> bytes:
        """Return the current line and begin the next one."""
        line = bytes(self.line)
        self.line.clear()
        return line

    def complete(self) -> None:
        """Record that the end of the head has come; it isn't evicted now.

        :raises buffers.BufferFull: if it has been evicted
        """
        self._buffer.grow(0)
        self._buffer.is_complete = True
        self._buffer.on_give_up = None

    def close(self) -> None:
        """Give back all room."""
        self._buffer.on_give_up = None
        self._buffer.close()

    def _evict(self) -> None:
        self.line.clear()
        self._on_evict()


class HeadReader:
    """Reads lines of a request's head, up to a limit for all of them."""

    def __init__(
        self, received: io.BufferedReader, max_bytes: int, held: HeldHead
    ):
        """Read the lines that follow.

        :param held: what is read, also of a line that doesn't end
        """
        self._received = received
        self._left = max_bytes
        self._held = held

    def readline(self, size: int = -1) -> bytes:
        """Return the next line, also if it is longer than ``size``.

        :raises CallerLeft: if the connection ends before the line does
        :raises HeadTooLarge: if the limit is exceeded
        :raises buffers.BufferFull: if the head has been evicted
        """
        while True:
            # What has come is added at once, so that it is accounted for.
            buffered = self._received.peek(1)
            end = buffered.find(b'\n') + 1
            piece = self._received.read(end or len(buffered))
            if not piece:
                raise CallerLeft
            self._left -= len(piece)
            if self._left < 0:
                raise HeadTooLarge
            self._held.add(piece)
            if end:
                return self._held.take_line()
