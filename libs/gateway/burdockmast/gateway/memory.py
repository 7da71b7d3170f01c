"""How full the memory of servers is, as far as one gateway can know.

Answers bursts and slow servers: requests stay longer, their caches pile up on
the fastest path, and servers that run out of memory start some anew. Each
gateway counts what its own requests will need at their end, and takes paths
around servers that fill up.
"""

import collections
from collections.abc import Iterable

from burdockmast.base import ids
from burdockmast.gateway import backends
from burdockmast.gateway import deployment

MEGABYTE = 1e6
# Gateways that are taken to use a server as much as this one does. Most use
# those of their own zone; taking all gateways to do alike sent many requests
# over the links between zones, which cost more than it saved.
ALIKE = 2
# By how much a full server's cost is multiplied: a detour within the zone is
# worth it, one over a link between zones is not.
FULL_FACTOR = 3.0
# Occupancy from which a server is a last resort, and its factor.
OVERFULL = 1.25
OVERFULL_FACTOR = 10.0


def capacity(
    engine: deployment.Engine, server: backends.BackendServer
) -> float:
    """Return the cache entries that fit, in tokens times layers."""
    kind = engine.kind_by_name.get(server.kind)
    if kind is None or not engine.cache_bytes:
        return float('inf')
    free_mb = kind.memory_mb - len(server.held) * engine.layer_mb
    return max(1.0, free_mb * MEGABYTE / engine.cache_bytes * engine.layers)


class Reservations:
    """Cache entries that this gateway's requests need at servers."""

    def __init__(self):
        """Create an empty record."""
        self._reserved: collections.Counter[ids.ServerId] = (
            collections.Counter()
        )

    def reserve(self, path: Iterable[backends.Stage], tokens: int) -> None:
        """Count a request of ``tokens`` on a path."""
        for stage in path:
            self._reserved[stage.server.id] += tokens * (
                stage.end - stage.first
            )

    def release(self, path: Iterable[backends.Stage], tokens: int) -> None:
        """Count a request no longer."""
        for stage in path:
            self._reserved[stage.server.id] -= tokens * (
                stage.end - stage.first
            )

    def occupancy(
        self,
        engine: deployment.Engine,
        server: backends.BackendServer,
        gateways: int,
    ) -> float:
        """Return the share of a server's memory that is likely in use.

        :param gateways: how many there are
        """
        used = min(ALIKE, gateways) * self._reserved[server.id]
        return used / capacity(engine, server)


def crowding(occupancy: float) -> float:
    """Return by how much a full server's cost is multiplied."""
    if occupancy >= OVERFULL:
        return OVERFULL_FACTOR
    return 1.0 + (FULL_FACTOR - 1.0) * min(occupancy, 1.0) ** 2
