"""Which layers an empty server should hold.

Answers two loads. At a start, all servers are empty: each availability zone
gets whole pipelines of its own, since prompts are large on the links between
zones. Later, servers come and go one by one: a new one takes over what its
zone has least of, or what the whole fleet lacks.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from burdockmast.base import ids
from burdockmast.gateway import backends
from burdockmast.gateway import deployment

# Requests whose caches must fit beside a server's layers: what a zone's
# share of the peak keeps in flight, with half as many again.
ROOM_REQUESTS = 24
MEGABYTE = 1e6
# Share of what a server may hold below which it takes more layers than are
# left of a pipeline.
SHORT_REST = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A server and the layers that it is to hold."""

    server: backends.BackendServer
    layers: backends.LayerRange


def most_layers(engine: deployment.Engine, kind: str) -> int:
    """Return how many layers a server holds with room for requests."""
    found = engine.kind_by_name.get(kind)
    if found is None:
        return 0
    tokens = engine.usual_prompt + engine.usual_answer
    cache_mb = engine.cache_bytes / engine.layers * tokens / MEGABYTE
    room = engine.layer_mb + ROOM_REQUESTS * cache_mb
    by_room = int(found.memory_mb / room)
    # A server that is short of room still holds something.
    return min(engine.layers, max(by_room, 1))


def plan(
    engine: deployment.Engine,
    servers: Iterable[backends.BackendServer],
    pending: Mapping[ids.ServerId, backends.LayerRange],
) -> list[Placement]:
    """Return placements for servers that are empty and have no order.

    :param pending: layers that servers have been ordered to hold
    """
    live = [server for server in servers if server.is_ready]
    by_zone: dict[ids.ZoneId, list[int]] = {}
    fleet = [0] * engine.layers
    empty: list[backends.BackendServer] = []
    room_by_zone: collections.Counter[ids.ZoneId] = collections.Counter()
    for server in live:
        held = pending.get(server.id, server.held)
        room_by_zone[server.zone] += most_layers(engine, server.kind)
        zone = by_zone.setdefault(server.zone, [0] * engine.layers)
        if not len(held):
            empty.append(server)
            continue
        for layer in range(held.first, min(held.end, engine.layers)):
            zone[layer] += 1
            fleet[layer] += 1
    # Servers with much room first: a pipeline of few stages is faster.
    empty.sort(key=lambda s: (-most_layers(engine, s.kind), s.id))
    placements = []
    for server in empty:
        size = most_layers(engine, server.kind)
        if not size:
            continue
        zone = by_zone[server.zone]
        layers = _window(
            zone, fleet, size, room_by_zone[server.zone] >= engine.layers
        )
        placements.append(Placement(server, layers))
        for layer in range(layers.first, layers.end):
            zone[layer] += 1
            fleet[layer] += 1
    return placements


def _window(
    zone: list[int], fleet: list[int], size: int, is_whole: bool
) -> backends.LayerRange:
    """Return the layers that are held least.

    They begin where the least held run begins, so that ranges meet.

    :param is_whole: the zone has room for a pipeline of its own; if not, what
        nobody holds goes first
    """
    if is_whole and not min(zone):
        # The zone's first pipeline has its ranges in order, whatever others
        # hold.
        needs = [(0, in_zone, 0) for in_zone in zone]
    else:
        needs = [
            (not is_whole and anywhere > 0, in_zone, anywhere)
            for in_zone, anywhere in zip(zone, fleet, strict=True)
        ]
    least = min(needs)
    first = needs.index(least)
    end = min(first + size, len(zone))
    # A short rest is not worth a server of its own.
    if end - first < size * SHORT_REST:
        first = max(0, end - size)
    return backends.LayerRange(first, end)
