"""Shares processor time between the readers of callers' bodies and the rest.

The load: many callers send as fast as they can, some in chunks of a byte. A
reader whose caller always has sent more would never let others run.
"""

from burdockmast.gateway import busy_readers

# Work for the framing of a chunk, as that for so many bytes of content.
BYTES_PER_CHUNK = 2048
# Work of a turn, after which others run, and about the time that it takes.
TURN_BYTES = 1024 * 1024
TURN_SECONDS = 0.0005
# A body of as many chunks may have chunks of any size.
FREE_CHUNKS = 4096


class WorkBudget:
    """Counts the work for one body."""

    def __init__(self, schedule: busy_readers.Schedule, min_chunk_bytes: int):
        """Create a budget of which nothing is used.

        :param schedule: turns of all readers
        :param min_chunk_bytes: mean size of chunks that is accepted
        """
        self._schedule = schedule
        self._min_chunk_bytes = min_chunk_bytes
        self._spent_bytes = 0
        self._content_bytes = 0
        self._chunk_count = 0

    def add_chunks(self, count: int) -> None:
        """Count the framing of chunks."""
        self._chunk_count += count
        self._spent_bytes += count * BYTES_PER_CHUNK

    def add_bytes(self, count: int) -> None:
        """Count bytes that were read."""
        self._content_bytes += count
        self._spent_bytes += count

    def add_read_ahead(self, count: int) -> None:
        """Count bytes that were read but not parsed yet."""
        self._spent_bytes += count

    @property
    def has_excessive_framing(self) -> bool:
        """Whether the chunks cost more work than what they contain."""
        counted = self._chunk_count - FREE_CHUNKS
        return counted * self._min_chunk_bytes > self._content_bytes

    @property
    def has_many_chunks(self) -> bool:
        """Whether reading on chunk by chunk costs much more than its bytes."""
        return self._chunk_count > FREE_CHUNKS

    def pause_seconds(self) -> float | None:
        """Return how long to let others run, None within a turn."""
        if self._spent_bytes < TURN_BYTES:
            return None
        turns = self._spent_bytes / TURN_BYTES
        self._spent_bytes = 0
        return self._schedule.pause_after(turns * TURN_SECONDS)
