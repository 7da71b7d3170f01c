"""Which layers servers should hold.

Answers two loads. At a start, all servers are empty: each availability zone
gets whole pipelines of its own, since prompts are large on the links between
zones. Later, servers come and go one by one: a new one takes over what its
zone has least of, or what the whole fleet lacks. When servers leave and
nothing replaces them, one whose layers are held elsewhere takes over what
nobody holds, or what its zone needs for a pipeline of its own.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from burdockmast.base import ids
from burdockmast.gateway import backends
from burdockmast.gateway import deployment
from burdockmast.gateway import memory

# Requests whose caches must fit beside a server's layers: what a zone's
# share of the peak keeps in flight, with half as many again.
ROOM_REQUESTS = 24
# Share of what a server may hold below which it takes more layers than are
# left of a pipeline.
SHORT_REST = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A server and the layers that it is to hold.

    :ivar is_urgent: the server is empty, or nobody holds these layers
    """

    server: backends.BackendServer
    layers: backends.LayerRange
    is_urgent: bool = True


def most_layers(engine: deployment.Engine, kind: str) -> int:
    """Return how many layers a server holds with room for requests."""
    found = engine.kind_by_name.get(kind)
    if found is None:
        return 0
    tokens = engine.usual_prompt + engine.usual_answer
    cache_mb = engine.cache_bytes / engine.layers * tokens / memory.MEGABYTE
    room = engine.layer_mb + ROOM_REQUESTS * cache_mb
    by_room = int(found.memory_mb / room)
    # A server that is short of room still holds something.
    return min(engine.layers, max(by_room, 1))


class _Coverage:
    """How many servers hold each layer, in each zone and in all."""

    def __init__(self, engine: deployment.Engine):
        self.fleet = [0] * engine.layers
        self.by_zone: collections.defaultdict[ids.ZoneId, list[int]] = (
            collections.defaultdict(lambda: [0] * engine.layers)
        )
        self.room_by_zone: collections.Counter[ids.ZoneId] = (
            collections.Counter()
        )

    def add(
        self, zone: ids.ZoneId, layers: backends.LayerRange, count: int = 1
    ) -> None:
        """Count a server that holds layers."""
        in_zone = self.by_zone[zone]
        for layer in range(layers.first, min(layers.end, len(self.fleet))):
            in_zone[layer] += count
            self.fleet[layer] += count

    def has_room(self, zone: ids.ZoneId) -> bool:
        """Tell whether a zone can hold a pipeline of its own."""
        return self.room_by_zone[zone] >= len(self.fleet)


def plan(
    engine: deployment.Engine,
    servers: Iterable[backends.BackendServer],
    pending: Mapping[ids.ServerId, backends.LayerRange],
) -> list[Placement]:
    """Return placements for servers that have no order.

    :param pending: layers that servers have been ordered to hold
    """
    coverage = _Coverage(engine)
    empty: list[backends.BackendServer] = []
    holding: list[backends.BackendServer] = []
    for server in servers:
        if not server.is_ready:
            continue
        held = pending.get(server.id, server.held)
        coverage.room_by_zone[server.zone] += most_layers(engine, server.kind)
        if not len(held):
            empty.append(server)
            continue
        coverage.add(server.zone, held)
        if server.id not in pending:
            holding.append(server)
    # Servers with much room first: a pipeline of few stages is faster.
    empty.sort(key=lambda s: (-most_layers(engine, s.kind), s.id))
    placements = []
    for server in empty:
        size = most_layers(engine, server.kind)
        if not size:
            continue
        layers = _window(
            coverage.by_zone[server.zone],
            coverage.fleet,
            size,
            coverage.has_room(server.zone),
        )
        placements.append(Placement(server, layers))
        coverage.add(server.zone, layers)
    if holding and not placements:
        placements += _moves(engine, holding, coverage)
    return placements


def _moves(
    engine: deployment.Engine,
    holding: list[backends.BackendServer],
    coverage: _Coverage,
) -> list[Placement]:
    """Return moves that close holes: in the fleet first, then in zones."""
    if not min(coverage.fleet):
        return _close(engine, holding, coverage, coverage.fleet)
    for zone, in_zone in coverage.by_zone.items():
        if min(in_zone) or not coverage.has_room(zone):
            continue
        own = [server for server in holding if server.zone == zone]
        found = _close(engine, own, coverage, in_zone)
        if found:
            return found
    return []


def _close(
    engine: deployment.Engine,
    movable: list[backends.BackendServer],
    coverage: _Coverage,
    counts: list[int],
) -> list[Placement]:
    """Return the move of a server that nobody misses to the first hole.

    :param counts: servers that hold each layer, where the hole is
    """
    first = counts.index(0)
    spare = [
        server
        for server in movable
        if len(server.held)
        and all(
            counts[layer] > 1
            for layer in range(server.held.first, server.held.end)
        )
    ]
    if not spare:
        return []
    hole = next(
        (end for end in range(first, len(counts)) if counts[end]),
        len(counts),
    )
    # The smallest server that closes the hole, or the largest there is.
    server = min(
        spare,
        key=lambda s: (
            max(0, hole - first - most_layers(engine, s.kind)),
            most_layers(engine, s.kind),
            s.id,
        ),
    )
    size = most_layers(engine, server.kind)
    end = min(first + size, len(counts))
    layers = backends.LayerRange(max(0, end - size), end)
    coverage.add(server.zone, server.held, -1)
    coverage.add(server.zone, layers)
    return [Placement(server, layers, counts is coverage.fleet)]


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
