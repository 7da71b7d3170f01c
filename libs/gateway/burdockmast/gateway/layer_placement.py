"""Plans which layers each server holds.

At a start, all servers are empty. Each availability zone gets complete
pipelines of its own, since prompts take much of the bandwidth between zones.

Later, servers come and go one by one. A new server takes the layers that the
fewest servers of its zone hold, or that are uncovered in the whole fleet. When
servers leave and are not replaced, a server whose layers are also held
elsewhere takes over uncovered layers, or those that its zone needs for a
pipeline of its own.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from burdockmast.base import ids
from burdockmast.gateway import backends
from burdockmast.gateway import config
from burdockmast.gateway import memory

# Requests whose KV caches are to fit beside a server's layers: a zone's share
# of the requests in flight in a burst of three times the usual load.
PREFERRED_CONCURRENT_REQUESTS = 48
# The same in a zone that then still has room for some pipelines. When servers
# are lost there, requests run longer and gather at the others.
AMPLE_CONCURRENT_REQUESTS = 72
AMPLE_PIPELINES = 2
# A zone with one pipeline holds at most this share of its layers twice, and
# none if it would be less than the other. The rest of its memory is for
# requests: where it is full, they have to go to other zones.
MAX_REDUNDANT_SHARE = 1 / 2
MIN_REDUNDANT_SHARE = 1 / 3
# Step in which the number of requests grows, and its limit.
REQUESTS_STEP = 8
MAX_CONCURRENT_REQUESTS = 256
# The same if there are too few servers for that: a zone's share of the
# requests in flight at the usual load.
MIN_CONCURRENT_REQUESTS = 16
# If the layers up to the end of the model are less than this share of what a
# server may hold, its range begins earlier.
MIN_RANGE_SHARE = 0.5


class Urgency(enum.IntEnum):
    """How long an order may wait for servers that come back.

    HIGH: the server is empty, or no server holds these layers.
    MEDIUM: the servers of a zone lack these layers.
    LOW: the same, and all of its servers would have to move.
    """

    LOW = 0
    MEDIUM = 1
    HIGH = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A server and the layers that it is to hold."""

    server: backends.BackendServer
    layers: backends.LayerRange
    urgency: Urgency = Urgency.HIGH


def max_layers(
    engine: config.Engine,
    accelerator: str,
    requests: int = PREFERRED_CONCURRENT_REQUESTS,
) -> int:
    """Return how many layers fit beside the caches of some requests."""
    found = engine.accelerator_by_name.get(accelerator)
    if found is None:
        return 0
    tokens = engine.mean_prompt_tokens + engine.mean_answer_tokens
    cache_mb = (
        engine.cache_bytes_per_token
        / engine.layers
        * tokens
        / memory.BYTES_PER_MB
    )
    layer_mb_with_caches = engine.layer_mb + requests * cache_mb
    by_memory = int(found.memory_mb / layer_mb_with_caches)
    # A server with too little memory still holds one layer.
    return min(engine.layers, max(by_memory, 1))


def _layers_that_fit(
    engine: config.Engine, accelerators: Iterable[str], requests: int
) -> int:
    """Return how many layers servers can hold beside some requests."""
    return sum(
        max_layers(engine, accelerator, requests)
        for accelerator in accelerators
    )


def _most_requests(
    engine: config.Engine,
    accelerators: Collection[str],
    least: int,
    layers: float,
) -> int:
    """Return for how many requests servers have room that hold some layers.

    :param least: the result if the layers don't fit beside more
    """
    requests = least
    while (
        requests < MAX_CONCURRENT_REQUESTS
        and _layers_that_fit(engine, accelerators, requests + REQUESTS_STEP)
        >= layers
    ):
        requests += REQUESTS_STEP
    return requests


class _Coverage:
    """Numbers of servers that hold each layer, by zone and in the fleet.

    ``max_layers_by_zone`` sums what the servers of a zone can hold.
    """

    def __init__(self, engine: config.Engine, are_zones_apart: bool):
        self._engine = engine
        self._are_zones_apart = are_zones_apart
        self._accelerators_by_zone: collections.defaultdict[
            ids.ZoneId, list[str]
        ] = collections.defaultdict(list)
        self.fleet_counts = [0] * engine.layers
        self.counts_by_zone: collections.defaultdict[ids.ZoneId, list[int]] = (
            collections.defaultdict(lambda: [0] * engine.layers)
        )
        self.max_layers_by_zone: collections.Counter[ids.ZoneId] = (
            collections.Counter()
        )

    def add(self, zone: ids.ZoneId, layers: backends.LayerRange) -> None:
        """Count a server that holds layers."""
        _add_to_counts(self.counts_by_zone[zone], layers, 1)
        _add_to_counts(self.fleet_counts, layers, 1)

    def preferred_layers(self, server: backends.BackendServer) -> int:
        """Return how many layers a server is to hold in its zone."""
        return max_layers(
            self._engine,
            server.accelerator,
            self.preferred_requests(server.zone),
        )

    def preferred_requests(self, zone: ids.ZoneId) -> int:
        """Return for how many requests the servers of a zone keep room."""
        if self._pipelines(zone, AMPLE_CONCURRENT_REQUESTS) >= AMPLE_PIPELINES:
            return AMPLE_CONCURRENT_REQUESTS
        requests = PREFERRED_CONCURRENT_REQUESTS
        if not self._are_zones_apart:
            return requests
        wanted = _wanted_pipelines(self._pipelines(zone, requests))
        return _most_requests(
            self._engine,
            self._accelerators_by_zone[zone],
            requests,
            wanted * self._engine.layers,
        )

    def _pipelines(self, zone: ids.ZoneId, requests: int) -> float:
        """Return how many copies of all layers fit beside some requests."""
        accelerators = self._accelerators_by_zone[zone]
        layers = _layers_that_fit(self._engine, accelerators, requests)
        return layers / self._engine.layers

    def add_capacity(self, server: backends.BackendServer) -> None:
        """Count what a server can hold."""
        self._accelerators_by_zone[server.zone].append(server.accelerator)
        self.max_layers_by_zone[server.zone] += max_layers(
            self._engine, server.accelerator, MIN_CONCURRENT_REQUESTS
        )

    def fits_pipeline(self, zone: ids.ZoneId) -> bool:
        """Return whether a zone has room for a pipeline of its own."""
        return self.max_layers_by_zone[zone] >= len(self.fleet_counts)


def _wanted_pipelines(possible: float) -> float:
    """Return how many copies of all layers a zone is to hold.

    :param possible: copies that fit beside the preferred number of requests
    """
    if 1 <= possible < 1 + MIN_REDUNDANT_SHARE:
        return 1.0
    if 1 + MAX_REDUNDANT_SHARE < possible < AMPLE_PIPELINES:
        return 1 + MAX_REDUNDANT_SHARE
    return possible


def plan(
    engine: config.Engine,
    servers: Iterable[backends.BackendServer],
    pending: Mapping[ids.ServerId, backends.LayerRange],
    are_zones_apart: bool = False,
) -> list[Placement]:
    """Return placements for servers without a pending order.

    :param pending: layers that servers have been ordered to hold
    :param are_zones_apart: a zone can't use the servers of others for part
        of a path
    """
    coverage = _Coverage(engine, are_zones_apart)
    empty: list[backends.BackendServer] = []
    holding: list[backends.BackendServer] = []
    for server in servers:
        if not server.is_ready:
            continue
        held = pending.get(server.id, server.layers)
        coverage.add_capacity(server)
        if not len(held):
            empty.append(server)
            continue
        coverage.add(server.zone, held)
        if server.id not in pending:
            holding.append(server)
    # The largest servers come first: a pipeline of few stages is faster.
    empty.sort(key=lambda s: (-coverage.preferred_layers(s), s.id))
    placements = []
    for server in empty:
        size = coverage.preferred_layers(server)
        if not size:
            continue
        layers = _least_held_range(
            coverage.counts_by_zone[server.zone],
            coverage.fleet_counts,
            size,
            coverage.fits_pipeline(server.zone),
        )
        placements.append(Placement(server, layers))
        coverage.add(server.zone, layers)
    if holding and not placements:
        placements += _layer_moves(engine, holding, coverage, are_zones_apart)
    return placements


def _layer_moves(
    engine: config.Engine,
    holding: list[backends.BackendServer],
    coverage: _Coverage,
    are_zones_apart: bool,
) -> list[Placement]:
    """Return layer moves that close gaps of the fleet, else of one zone."""
    if not min(coverage.fleet_counts):
        return _close_gaps(
            engine, holding, coverage, coverage.fleet_counts, Urgency.HIGH
        )
    broken_zones = [
        (zone_counts, [server for server in holding if server.zone == zone])
        for zone, zone_counts in coverage.counts_by_zone.items()
        if not min(zone_counts) and coverage.fits_pipeline(zone)
    ]
    for zone_counts, in_zone in broken_zones:
        found = _close_gaps(
            engine, in_zone, coverage, zone_counts, Urgency.MEDIUM
        )
        if found:
            return found
    for zone_counts, in_zone in broken_zones if are_zones_apart else ():
        found = _arrange_anew(engine, in_zone, coverage, zone_counts)
        if found:
            return found
    return []


def _arrange_anew(
    engine: config.Engine,
    servers: list[backends.BackendServer],
    coverage: _Coverage,
    zone_counts: list[int],
) -> list[Placement]:
    """Return moves that let a zone's servers hold one pipeline together.

    No server can spare its layers there, so that all of them hold more. Other
    zones have to hold every layer meanwhile.
    """
    elsewhere = (
        in_fleet - in_zone
        for in_fleet, in_zone in zip(
            coverage.fleet_counts, zone_counts, strict=True
        )
    )
    if not min(elsewhere):
        return []
    requests = _most_requests(
        engine,
        [server.accelerator for server in servers],
        MIN_CONCURRENT_REQUESTS,
        engine.layers,
    )
    found = []
    first = 0
    for server in sorted(servers, key=lambda s: (s.layers.first, s.id)):
        size = max_layers(engine, server.accelerator, requests)
        end = min(first + size, engine.layers)
        layers = backends.LayerRange(first, end)
        if len(layers) and layers != server.layers:
            found.append(Placement(server, layers, Urgency.LOW))
        first = end
    return found if first == engine.layers else []


def _close_gaps(
    engine: config.Engine,
    holding: list[backends.BackendServer],
    coverage: _Coverage,
    counts: list[int],
    urgency: Urgency,
) -> list[Placement]:
    """Return layer moves that close all gaps.

    If one can't be closed, an urgent plan closes just the gaps before it, and
    any other plan does nothing.

    :param counts: for each layer, the servers that hold it in the fleet or
        in the zone whose gaps are to be closed
    """
    counts = list(counts)
    left = list(holding)
    found: list[Placement] = []
    while not min(counts):
        gap = _first_gap(counts)
        placements = _extend_neighbours(
            engine, left, gap
        ) or _move_redundant_server(engine, coverage, left, gap, counts)
        if not placements:
            return found if urgency is Urgency.HIGH else []
        for placement in placements:
            left.remove(placement.server)
            _add_to_counts(counts, placement.server.layers, -1)
            _add_to_counts(counts, placement.layers, 1)
            found.append(dataclasses.replace(placement, urgency=urgency))
    return found


def _add_to_counts(
    counts: list[int], layers: backends.LayerRange, by: int
) -> None:
    for layer in range(layers.first, min(layers.end, len(counts))):
        counts[layer] += by


def _first_gap(counts: list[int]) -> backends.LayerRange:
    first = counts.index(0)
    end = next(
        (layer for layer in range(first, len(counts)) if counts[layer]),
        len(counts),
    )
    return backends.LayerRange(first, end)


def _extend_neighbours(
    engine: config.Engine,
    servers: list[backends.BackendServer],
    gap: backends.LayerRange,
) -> list[Placement]:
    """Extend the ranges of the servers beside a gap over it, if they fit.

    These servers keep what they hold, and load only the missing layers.
    """

    def spare(server: backends.BackendServer) -> int:
        most = max_layers(engine, server.accelerator, MIN_CONCURRENT_REQUESTS)
        return max(0, most - len(server.layers))

    below = [s for s in servers if s.layers.end == gap.first]
    above = [s for s in servers if s.layers.first == gap.end]
    low = max(below, key=lambda s: (spare(s), s.id), default=None)
    high = max(above, key=lambda s: (spare(s), s.id), default=None)
    up = min(len(gap), spare(low)) if low else 0
    down = len(gap) - up
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


def _move_redundant_server(
    engine: config.Engine,
    coverage: _Coverage,
    servers: list[backends.BackendServer],
    gap: backends.LayerRange,
    counts: list[int],
) -> list[Placement]:
    """Let a server whose layers others hold too take the start of a gap."""

    def size(server: backends.BackendServer) -> int:
        with_fewest_requests = max_layers(
            engine, server.accelerator, MIN_CONCURRENT_REQUESTS
        )
        return max(
            max_layers(engine, server.accelerator),
            min(with_fewest_requests, len(gap)),
        )

    redundant = [
        server
        for server in servers
        if len(server.layers)
        and all(
            counts[layer] > 1
            for layer in range(server.layers.first, server.layers.end)
        )
    ]
    if not redundant:
        return []
    # The smallest server that closes the gap, or else the largest one.
    server = min(
        redundant,
        key=lambda s: (max(0, len(gap) - size(s)), size(s), s.id),
    )
    end = min(gap.first + size(server), len(counts))
    layers = backends.LayerRange(max(0, end - size(server)), end)
    return [Placement(server, layers)]


def _least_held_range(
    zone_counts: list[int],
    fleet_counts: list[int],
    size: int,
    fits_pipeline: bool,
) -> backends.LayerRange:
    """Return the range of layers that the fewest servers hold.

    It begins at the first of these layers, so that ranges adjoin.

    :param fits_pipeline: the zone has room for a pipeline of its own; if not,
        layers that no server of the fleet holds come first
    """
    if fits_pipeline and not min(zone_counts):
        # The zone's first pipeline is filled in the order of its layers,
        # whatever other zones hold.
        priorities = [(0, in_zone, 0) for in_zone in zone_counts]
    else:
        priorities = [
            (not fits_pipeline and in_fleet > 0, in_zone, in_fleet)
            for in_zone, in_fleet in zip(
                zone_counts, fleet_counts, strict=True
            )
        ]
    lowest = min(priorities)
    first = priorities.index(lowest)
    end = min(first + size, len(zone_counts))
    # A few last layers are not worth a server of their own.
    if end - first < size * MIN_RANGE_SHARE:
        first = max(0, end - size)
    return backends.LayerRange(first, end)
