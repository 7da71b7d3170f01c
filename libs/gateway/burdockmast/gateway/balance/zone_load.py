"""Tells how much room zones have for requests, and how much their callers use.

The load: the callers of one zone ask for several times what its servers hold,
so that these run out of memory while other zones have room. Memory is counted
in tokens of the KV cache over all layers, in which capacity and use compare
whatever servers hold which layers.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from burdockmast.gateway import backends
from burdockmast.gateway import config
from burdockmast.gateway import loads
from burdockmast.gateway import memory

# Room of a zone whose memory is not known, which is never full.
UNKNOWN_TOKENS = 1e12


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneLoad:
    """The room of a zone, and what its callers use of all zones.

    :ivar capacity_tokens: that fit on the zone's servers, 0 if these lack a
        layer
    :ivar demand_tokens: that requests of the zone's callers need, wherever
        they run
    """

    capacity_tokens: float
    demand_tokens: float


def capacity_tokens(
    engine: config.Engine, servers: Iterable[backends.BackendServer]
) -> float:
    """Return the tokens that fit in the layer with the least room."""
    tokens_by_layer = [0.0] * engine.layers
    for server in servers:
        held = len(server.layers)
        if not held:
            continue
        tokens = memory.cache_capacity(engine, server) / held
        for layer in range(server.layers.first, server.layers.end):
            if layer < engine.layers:
                tokens_by_layer[layer] += tokens
    return min([UNKNOWN_TOKENS, *tokens_by_layer])


def demand_tokens(
    engine: config.Engine,
    load_by_server: loads.LoadByServer,
    servers: Iterable[backends.BackendServer],
) -> float:
    """Return the tokens over all layers of some requests.

    :param load_by_server: of these requests
    :param servers: of the service
    """
    cache = sum(
        load_by_server.get(server.id, loads.NO_LOAD)[1] for server in servers
    )
    return cache / engine.layers


def silent_demand_tokens(
    engine: config.Engine,
    servers: Iterable[backends.BackendServer],
    known_load: loads.LoadByServer,
    occupancy: Callable[[backends.BackendServer], float],
    usual_share: float,
) -> float:
    """Return what is taken in a zone that does not tell its demand.

    It has no room beyond what all its servers report as free.

    :param known_load: of all gateways that are heard
    :param occupancy: returns the share of a server's memory that it reported
        to be in use, 0 if unknown
    :param usual_share: of the zone's capacity that is assumed to be in use if
        a server has reported nothing
    """
    servers = list(servers)
    capacity = capacity_tokens(engine, servers)
    share = 0.0
    for server in servers:
        if not len(server.layers):
            continue
        reported = occupancy(server)
        if not reported:
            return usual_share * capacity
        _, cache = known_load.get(server.id, loads.NO_LOAD)
        known = cache / memory.cache_capacity(engine, server)
        share = max(share, reported, known)
    return share * capacity
