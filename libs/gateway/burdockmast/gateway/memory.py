"""Estimates how full the memory of servers is.

In bursts, or if servers are slow, requests run longer and their KV caches pile
up on the fastest path; servers that run out of memory restart some of the
requests. Each gateway adds up what its own requests will need and what other
gateways say that theirs will, and selects paths that avoid servers with little
memory left.
"""

import collections
from collections.abc import Iterable
import math

from burdockmast.base import ids
from burdockmast.gateway import backends
from burdockmast.gateway import config
from burdockmast.gateway import loads

BYTES_PER_MB = 1e6
# Factor on the gateway's own use while no other gateway is heard. Most
# gateways use servers of their own zone; the assumption that all use the same
# servers sent many requests over inter-zone links, which cost more than it
# saved.
OWN_USAGE_FACTOR = 2
# Limit on the gateways that are assumed to use the same servers when a server
# is tested for being overfull: more gateways spread over more servers.
MAX_SHARING_GATEWAYS = 4
# Factor on the cost of a full server: a detour within the zone is cheaper, one
# over an inter-zone link is not.
FULL_COST_FACTOR = 5.0
# The same if the use of all gateways is known. Memory that is in use costs
# little until it is full, whereas a detour occupies an inter-zone link.
KNOWN_FULL_COST_FACTOR = 1.5
# Share of its memory from which a server is a last resort, and the factor on
# its cost, with which it is about as expensive as a detour over an inter-zone
# link. Reports are up to a second old, and a fifth of the memory may fill in
# that time.
OVERFULL_SHARE = 0.8
OVERFULL_COST_FACTOR = 6.0
# Reserved share of its memory from which a server gets no new request, if the
# use of all gateways is known. A server that runs out of memory restarts
# requests that have begun, so that waiting for room is better for all callers.
# Requests use less than is reserved for them, as most are not at their ends.
FULL_SHARE = 1.1


def cache_capacity(
    engine: config.Engine, server: backends.BackendServer
) -> float:
    """Return the KV cache that fits on a server, in tokens times layers."""
    kind = engine.accelerator_by_name.get(server.accelerator)
    if kind is None or not engine.cache_bytes_per_token:
        return float('inf')
    free_mb = kind.memory_mb - len(server.layers) * engine.layer_mb
    return max(
        1.0,
        free_mb * BYTES_PER_MB / engine.cache_bytes_per_token * engine.layers,
    )


class Usage:
    """Requests of this gateway and the memory they need, by server."""

    def __init__(self):
        """Create a record without requests."""
        self._running_by_server: collections.Counter[ids.ServerId] = (
            collections.Counter()
        )
        self._reserved_by_server: collections.Counter[ids.ServerId] = (
            collections.Counter()
        )

    def reserve(self, path: Iterable[backends.Stage], tokens: int) -> None:
        """Add a request of ``tokens`` on a path."""
        self._add(path, tokens, 1)

    def release(self, path: Iterable[backends.Stage], tokens: int) -> None:
        """Remove a request that was added by ``reserve``."""
        self._add(path, tokens, -1)

    def _add(
        self, path: Iterable[backends.Stage], tokens: int, sign: int
    ) -> None:
        for stage in path:
            layers = stage.end - stage.first
            server = stage.server.id
            self._running_by_server[server] += sign
            self._reserved_by_server[server] += sign * tokens * layers
            if not self._running_by_server[server]:
                del self._running_by_server[server]
                del self._reserved_by_server[server]

    def load_by_server(self) -> dict[ids.ServerId, loads.Load]:
        """Return the requests and their KV caches."""
        return {
            server: (running, self._reserved_by_server[server])
            for server, running in self._running_by_server.items()
            if running
        }


def cost_factor(
    own_share: float, gateway_count: int, reported_share: float
) -> float:
    """Return the factor on a server's cost while no other gateway is heard.

    :param own_share: of its memory that this gateway's requests will need
    :param gateway_count: gateways that share the fleet
    :param reported_share: of its memory that is in use, 0 if unknown
    """
    alike = own_share * min(gateway_count, MAX_SHARING_GATEWAYS)
    if max(alike, reported_share) >= OVERFULL_SHARE:
        return OVERFULL_COST_FACTOR
    occupancy = max(own_share * OWN_USAGE_FACTOR, reported_share)
    return _gradual_factor(occupancy, FULL_COST_FACTOR)


def informed_cost_factor(
    share: float,
    reported_share: float,
    may_overfill: bool,
    full_share: float = FULL_SHARE,
) -> float:
    """Return the factor on a server's cost if the use of all is known.

    It is infinite if the server has no room for another request.

    :param share: of its memory that all requests there will need
    :param reported_share: of its memory that is in use, 0 if unknown
    :param may_overfill: use a full server as a last resort
    :param full_share: of its memory, from which it has no room
    """
    occupancy = max(share, reported_share)
    if occupancy >= full_share:
        return OVERFULL_COST_FACTOR if may_overfill else math.inf
    return _gradual_factor(occupancy, KNOWN_FULL_COST_FACTOR)


def _gradual_factor(occupancy: float, at_full: float) -> float:
    return 1.0 + (at_full - 1.0) * min(occupancy, 1.0) ** 2
