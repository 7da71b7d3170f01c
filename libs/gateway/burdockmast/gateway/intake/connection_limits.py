"""Bounds callers' connections and the bodies that are waited for.

The load: callers open connections and send nothing, or only part of a
request. Each takes a descriptor, of which the instance has a number.
"""

import collections
from collections.abc import Iterable

from burdockmast.gateway import buffers

# Share of the descriptors that callers' connections may take; requests to
# servers take as many again.
DESCRIPTOR_SHARE = 0.4
# A body that has grown within this time is not evicted for another.
GROWING_SECONDS = 1.0


class ConnectionCount:
    """Connections that are open, by address of the caller."""

    def __init__(self, max_count: int, max_per_address: int):
        """Create a count without connections."""
        self.max_count = max_count
        self.open_count = 0
        self._max_per_address = max_per_address
        self._count_by_address: collections.Counter[str] = (
            collections.Counter()
        )

    def is_address_full(self, address: str) -> bool:
        """Whether one more connection from an address is too many."""
        return self._count_by_address[address] >= self._max_per_address

    def add(self, address: str) -> None:
        """Count a connection."""
        self.open_count += 1
        self._count_by_address[address] += 1

    def remove(self, address: str) -> None:
        """Stop counting a connection."""
        self.open_count -= 1
        self._count_by_address[address] -= 1
        if not self._count_by_address[address]:
            del self._count_by_address[address]


def max_connections(configured: int, max_descriptors: float) -> int:
    """Return the limit that leaves descriptors for the rest."""
    return max(1, int(min(configured, max_descriptors * DESCRIPTOR_SHARE)))


def slowest(
    waiting: Iterable[buffers.Buffer], now: float
) -> buffers.Buffer | None:
    """Return the body to evict for another, None if all of them grow."""
    found = min(waiting, key=lambda b: b.progressed_at, default=None)
    if found is None or now - found.progressed_at < GROWING_SECONDS:
        return None
    return found
