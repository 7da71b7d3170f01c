"""Bounds what a process holds of bodies, of all requests together.

The load: servers in trouble send replies without end to many requests at once,
or many callers send large bodies. A bound on each body alone allows as many
times as much as there are requests.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

# Share of the instance's memory that all replies may take, and all requests.
REPLIES_SHARE = 0.2
REQUESTS_SHARE = 0.2
BYTES_PER_MB = 1024 * 1024


class BufferFull(Exception):
    """A body is given up, as there is no room for it."""


@dataclasses.dataclass(slots=True, eq=False)
class Buffer:
    """What is held of one body.

    :ivar is_complete: its end has come, so that it is not given up
    :ivar is_given_up: another body needed the room
    :ivar progressed_at: time at which it has grown last
    :ivar on_give_up: frees the body's bytes at that moment
    """

    pool: 'BufferPool'
    size_bytes: int = 0
    is_complete: bool = False
    is_given_up: bool = False
    progressed_at: float = 0.0
    on_give_up: Callable[[], object] | None = None

    def grow(self, added_bytes: int) -> None:
        """Take room for more of the body.

        :raises BufferFull: if the body is to be given up
        """
        if self.is_given_up:
            raise BufferFull('another body needed the room')
        self.pool.make_room(self, added_bytes)
        self.size_bytes += added_bytes
        self.pool.held_bytes += added_bytes

    def resize(self, size_bytes: int) -> None:
        """Take or give back room, for a body that is passed on in parts.

        :raises BufferFull: if the body is to be given up
        """
        if size_bytes <= self.size_bytes:
            self._give_back(self.size_bytes - size_bytes)
        else:
            self.grow(size_bytes - self.size_bytes)

    def give_up(self) -> None:
        """Give back all room; the next growth fails."""
        self.is_given_up = True
        self._give_back(self.size_bytes)
        if self.on_give_up:
            self.on_give_up()

    def restart(self) -> None:
        """Begin with another body."""
        self.is_complete = self.is_given_up = False
        self._give_back(self.size_bytes)

    def close(self) -> None:
        """Give back all room."""
        self._give_back(self.size_bytes)
        self.pool.buffers.discard(self)

    def _give_back(self, freed_bytes: int) -> None:
        self.size_bytes -= freed_bytes
        self.pool.held_bytes -= freed_bytes


def largest(buffers: Iterable[Buffer]) -> Buffer | None:
    """Return the incomplete body that takes most room, if there is one.

    A body without end outgrows sound ones, so that these go on.
    """
    return max(
        (b for b in buffers if not b.is_complete),
        key=lambda b: b.size_bytes,
        default=None,
    )


def larger_than_grown(
    buffers: Iterable[Buffer], growing: Buffer, added_bytes: int
) -> Buffer | None:
    """Return the body to give up for one that grows, None for that one."""
    found = largest(buffers)
    if found is None or found.size_bytes <= growing.size_bytes + added_bytes:
        return None
    return found


class BufferPool:
    """The room for bodies of one kind.

    :ivar held_bytes: that are in use
    :ivar given_up_count: bodies that were given up for want of room
    """

    def __init__(
        self,
        limit_bytes: float = math.inf,
        choose: Callable[
            [Iterable[Buffer], Buffer, int], Buffer | None
        ] = larger_than_grown,
    ):
        """Create a pool without bodies.

        :param choose: returns the body to give up for one that grows by some
            bytes, None if that is the one itself
        """
        self.limit_bytes = limit_bytes
        self._choose = choose
        self.held_bytes = 0
        self.given_up_count = 0
        self.buffers: set[Buffer] = set()

    def open(self) -> Buffer:
        """Return a buffer for one body; it must be closed."""
        buffer = Buffer(self)
        self.buffers.add(buffer)
        return buffer

    def sum_bytes(self, is_complete: bool) -> int:
        """Return what bodies take whose ends have come, or have not."""
        return sum(
            buffer.size_bytes
            for buffer in self.buffers
            if buffer.is_complete == is_complete
        )

    def make_room(self, buffer: Buffer, added_bytes: int) -> None:
        """Give up other bodies until there is room for more of one.

        :raises BufferFull: if that one is given up
        """
        while self.held_bytes + added_bytes > self.limit_bytes:
            found = self._choose(self.buffers, buffer, added_bytes)
            self.given_up_count += 1
            if found is None:
                buffer.give_up()
                raise BufferFull(
                    f'all bodies together exceed {self.limit_bytes:.0f} bytes'
                )
            found.give_up()
