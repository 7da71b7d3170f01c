"""Keeps the content of bodies within the bytes that they may take.

The load: many callers send most of a large body and then nothing. When a body
is evicted, its bytes are freed at that moment, also while its reader waits for
the caller.
"""

from collections.abc import Callable
from collections.abc import Iterable

from burdockmast.base import timers
from burdockmast.gateway import buffers

# Smaller pieces are copied into blocks of this size: a piece of a few bytes
# takes many times its size. Blocks of one size don't fragment the heap.
BLOCK_BYTES = 32 * 1024
# A body that has not grown for this long is evicted before others.
STALLED_SECONDS = 1.0


def choose_evicted(
    bodies: Iterable[buffers.Buffer],
    growing: buffers.Buffer,
    added_bytes: int,
    now: Callable[[], float] = timers.now,
) -> buffers.Buffer | None:
    """Return the body to evict for one that grows, None for that one.

    It is the largest of those that have stalled, else the largest.
    """
    stalled_since = now() - STALLED_SECONDS
    candidates = [b for b in bodies if b.size_bytes and b is not growing]
    stalled = buffers.largest(
        b for b in candidates if b.progressed_at < stalled_since
    )
    return stalled or buffers.larger_than_grown(
        candidates, growing, added_bytes
    )


class Content:
    """What has come of one body."""

    def __init__(
        self,
        buffer: buffers.Buffer,
        on_evict: Callable[[], object] | None = None,
        now: Callable[[], float] = timers.now,
    ):
        """Create an empty body.

        :param buffer: its share of the bytes that all bodies may take
        :param on_evict: wakes the reader, which must not add any more
        """
        self.size_bytes = 0
        self._reserved_bytes = 0
        self._buffer = buffer
        self._on_evict = on_evict
        self._now = now
        self._blocks: list[bytes | bytearray] = []
        buffer.on_give_up = self._evict
        buffer.progressed_at = now()

    def reserve(self, size_bytes: int) -> None:
        """Take room for a body whose length is known.

        :raises buffers.BufferFull: if there is no room
        """
        self._buffer.grow(size_bytes)
        self._reserved_bytes = size_bytes

    def add(self, piece: bytes) -> None:
        """Add what has come.

        :raises buffers.BufferFull: if the body has been evicted
        """
        added_bytes = self.size_bytes + len(piece) - self._reserved_bytes
        self._buffer.grow(max(0, min(added_bytes, len(piece))))
        self._buffer.progressed_at = self._now()
        self.size_bytes += len(piece)
        if len(piece) >= BLOCK_BYTES // 2:
            self._blocks.append(piece)
            return
        last = self._blocks[-1] if self._blocks else b''
        if isinstance(last, bytes) or len(last) >= BLOCK_BYTES:
            last = bytearray()
            self._blocks.append(last)
        last += piece

    def hold_ahead(self, ahead_bytes: int) -> None:
        """Take room for bytes that have come and are not in the body yet.

        The body's length must not be known.

        :raises buffers.BufferFull: if the body has been evicted
        """
        self._buffer.resize(self.size_bytes + ahead_bytes)

    @property
    def limit_bytes(self) -> float:
        """The room of all bodies."""
        return self._buffer.pool.limit_bytes

    def complete(self) -> bytes:
        """Return the whole body, which is not evicted any more.

        :raises buffers.BufferFull: if it has been evicted
        """
        self._buffer.grow(0)
        self._buffer.is_complete = True
        whole = b''.join(self._blocks)
        self.close()
        return whole

    def close(self) -> None:
        """Free the bytes; the reader is not woken any more."""
        self._buffer.on_give_up = None
        self._blocks.clear()
        if not self._buffer.is_complete:
            self._buffer.resize(0)

    @property
    def stored_bytes(self) -> int:
        """The bytes that are held in memory."""
        return sum(map(len, self._blocks))

    def _evict(self) -> None:
        self._blocks.clear()
        if self._on_evict:
            self._on_evict()
