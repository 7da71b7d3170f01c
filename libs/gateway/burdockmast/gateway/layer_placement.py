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
from burdockmast.gateway import config
from burdockmast.gateway import memory

# Requests whose caches must fit beside a server's layers: what a zone's
# share keeps in flight in a burst of three times the usual load.
ROOM_REQUESTS = 48
# The same where servers are too few for that: what a zone's share of the
# usual load keeps in flight.
LEAST_ROOM_REQUESTS = 16
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


def max_layers(
    engine: config.Engine, kind: str, requests: int = ROOM_REQUESTS
) -> int:
    """Return how many layers a server holds with room for requests."""
    found = engine.accelerator_by_name.get(kind)
    if found is None:
        return 0
    tokens = engine.mean_prompt_tokens + engine.mean_answer_tokens
    cache_mb = (
        engine.cache_bytes_per_token
        / engine.layers
        * tokens
        / memory.BYTES_PER_MB
    )
    room = engine.layer_mb + requests * cache_mb
    by_room = int(found.memory_mb / room)
    # A server that is short of room still holds something.
    return min(engine.layers, max(by_room, 1))


class _Coverage:
    """How many servers hold each layer, in each zone and in all."""

    def __init__(self, engine: config.Engine):
        self.fleet = [0] * engine.layers
        self.by_zone: collections.defaultdict[ids.ZoneId, list[int]] = (
            collections.defaultdict(lambda: [0] * engine.layers)
        )
        self.room_by_zone: collections.Counter[ids.ZoneId] = (
            collections.Counter()
        )

    def add(self, zone: ids.ZoneId, layers: backends.LayerRange) -> None:
        """Count a server that holds layers."""
        _count(self.by_zone[zone], layers, 1)
        _count(self.fleet, layers, 1)

    def has_room(self, zone: ids.ZoneId) -> bool:
        """Tell whether a zone can hold a pipeline of its own."""
        return self.room_by_zone[zone] >= len(self.fleet)


def plan(
    engine: config.Engine,
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
        held = pending.get(server.id, server.layers)
        coverage.room_by_zone[server.zone] += max_layers(
            engine, server.accelerator, LEAST_ROOM_REQUESTS
        )
        if not len(held):
            empty.append(server)
            continue
        coverage.add(server.zone, held)
        if server.id not in pending:
            holding.append(server)
    # Servers with much room first: a pipeline of few stages is faster.
    empty.sort(key=lambda s: (-max_layers(engine, s.accelerator), s.id))
    placements = []
    for server in empty:
        size = max_layers(engine, server.accelerator)
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
    engine: config.Engine,
    holding: list[backends.BackendServer],
    coverage: _Coverage,
) -> list[Placement]:
    """Return moves that close holes: in the fleet first, then in zones."""
    if not min(coverage.fleet):
        return _close(engine, holding, coverage.fleet, is_urgent=True)
    for zone, in_zone in coverage.by_zone.items():
        if min(in_zone) or not coverage.has_room(zone):
            continue
        own = [server for server in holding if server.zone == zone]
        found = _close(engine, own, in_zone, is_urgent=False)
        if found:
            return found
    return []


def _close(
    engine: config.Engine,
    holding: list[backends.BackendServer],
    counts: list[int],
    is_urgent: bool,
) -> list[Placement]:
    """Return what closes all holes; nothing if a zone's can't be closed.

    :param counts: servers that hold each layer, where the holes are
    """
    counts = list(counts)
    left = list(holding)
    found: list[Placement] = []
    while not min(counts):
        hole = _first_hole(counts)
        placements = _widen(engine, left, hole) or _move(
            engine, left, hole, counts
        )
        if not placements:
            return found if is_urgent else []
        for placement in placements:
            left.remove(placement.server)
            _count(counts, placement.server.layers, -1)
            _count(counts, placement.layers, 1)
            found.append(dataclasses.replace(placement, is_urgent=is_urgent))
    return found


def _count(counts: list[int], layers: backends.LayerRange, by: int) -> None:
    for layer in range(layers.first, min(layers.end, len(counts))):
        counts[layer] += by


def _first_hole(counts: list[int]) -> backends.LayerRange:
    first = counts.index(0)
    end = next(
        (layer for layer in range(first, len(counts)) if counts[layer]),
        len(counts),
    )
    return backends.LayerRange(first, end)


def _widen(
    engine: config.Engine,
    servers: list[backends.BackendServer],
    hole: backends.LayerRange,
) -> list[Placement]:
    """Let the servers beside a hole hold it as well, if they can.

    They give up nothing meanwhile, and load only what is missing.
    """

    def spare(server: backends.BackendServer) -> int:
        most = max_layers(engine, server.accelerator, LEAST_ROOM_REQUESTS)
        return max(0, most - len(server.layers))

    below = [s for s in servers if s.layers.end == hole.first]
    above = [s for s in servers if s.layers.first == hole.end]
    low = max(below, key=lambda s: (spare(s), s.id), default=None)
    high = max(above, key=lambda s: (spare(s), s.id), default=None)
    up = min(len(hole), spare(low)) if low else 0
    down = len(hole) - up
    if down and (high is None or spare(high) < down):
        return []
    found = []
    if low and up:
        layers = backends.LayerRange(low.layers.first, low.layers.end + up)
        found.append(Placement(low, layers))
    if high and down:
        layers = backends.LayerRange(high.layers.first - down, high.layers.end)
        found.append(Placement(high, layers))
    return found


def _move(
    engine: config.Engine,
    servers: list[backends.BackendServer],
    hole: backends.LayerRange,
    counts: list[int],
) -> list[Placement]:
    """Let a server that nobody misses hold the first layers of a hole."""

    def size(server: backends.BackendServer) -> int:
        least = max_layers(engine, server.accelerator, LEAST_ROOM_REQUESTS)
        return max(
            max_layers(engine, server.accelerator), min(least, len(hole))
        )

    spare = [
        server
        for server in servers
        if len(server.layers)
        and all(
            counts[layer] > 1
            for layer in range(server.layers.first, server.layers.end)
        )
    ]
    if not spare:
        return []
    # The smallest server that closes the hole, or the largest there is.
    server = min(
        spare,
        key=lambda s: (max(0, len(hole) - size(s)), size(s), s.id),
    )
    end = min(hole.first + size(server), len(counts))
    layers = backends.LayerRange(max(0, end - size(server)), end)
    return [Placement(server, layers)]


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
