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
from burdockmast.gateway import config

BYTES_PER_MB = 1e6
# Requests and cache entries at a server that runs none.
NO_USAGE = (0, 0.0)
# By how much own use is multiplied for what other gateways use. Most gateways
# use servers of their own zone; taking all to do alike sent many requests over
# the links between zones, which cost more than it saved.
OWN_USAGE_FACTOR = 2
# Gateways that are taken to fill the same servers where it matters whether one
# is overfull, at most: more of them are spread over more servers.
MAX_SHARING_GATEWAYS = 4
# By how much a full server's cost is multiplied: a detour within the zone is
# worth it, one over a link between zones is not.
FULL_COST_FACTOR = 5.0
# Occupancy from which a server is a last resort, and its factor: a detour over
# a link between zones costs about as much. What is known of it is up to a
# second old, in which a fifth of it may be added.
OVERFULL_SHARE = 0.8
OVERFULL_COST_FACTOR = 6.0


def cache_capacity(
    engine: config.Engine, server: backends.BackendServer
) -> float:
    """Return the cache entries that fit, in tokens times layers."""
    kind = engine.accelerator_by_name.get(server.accelerator)
    if kind is None or not engine.cache_bytes_per_token:
        return float('inf')
    free_mb = kind.memory_mb - len(server.layers) * engine.layer_mb
    return max(
        1.0,
        free_mb * BYTES_PER_MB / engine.cache_bytes_per_token * engine.layers,
    )


class Usage:
    """What this gateway's requests use of servers."""

    def __init__(self):
        """Create an empty record."""
        self._running: collections.Counter[ids.ServerId] = (
            collections.Counter()
        )
        self._reserved: collections.Counter[ids.ServerId] = (
            collections.Counter()
        )

    def reserve(self, path: Iterable[backends.Stage], tokens: int) -> None:
        """Count a request of ``tokens`` on a path."""
        self._add(path, tokens, 1)

    def release(self, path: Iterable[backends.Stage], tokens: int) -> None:
        """Count a request no longer."""
        self._add(path, tokens, -1)

    def _add(
        self, path: Iterable[backends.Stage], tokens: int, sign: int
    ) -> None:
        for stage in path:
            layers = stage.end - stage.first
            self._running[stage.server.id] += sign
            self._reserved[stage.server.id] += sign * tokens * layers

    def usage_by_server(self) -> dict[ids.ServerId, tuple[int, float]]:
        """Return what this gateway's requests use."""
        return {
            server: (running, self._reserved[server])
            for server, running in self._running.items()
            if running
        }


def cost_factor(own: float, gateway_count: int, reported: float) -> float:
    """Return by how much a server's cost is multiplied.

    :param own: share of the memory that this gateway's requests will need
    :param gateways: that share the fleet
    :param reported: share that was in use just now, 0 if unknown
    """
    if (
        max(own * min(gateway_count, MAX_SHARING_GATEWAYS), reported)
        >= OVERFULL_SHARE
    ):
        return OVERFULL_COST_FACTOR
    occupancy = max(own * OWN_USAGE_FACTOR, reported)
    return 1.0 + (FULL_COST_FACTOR - 1.0) * min(occupancy, 1.0) ** 2
