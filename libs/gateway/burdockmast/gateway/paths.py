"""Finds the cheapest path through all layers of a model.

Servers differ in speed, and their layer ranges overlap. Each request takes the
path that is likely to complete its answer first, by the cost of the stages and
by the requests that already run on them. The search is a dynamic program over
the boundaries of layer ranges and over availability zones, which is cheap
enough for each request.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import itertools
import math
import random
from typing import NamedTuple

from burdockmast.base import ids
from burdockmast.gateway import backends
from burdockmast.gateway import config
from burdockmast.gateway import links

# Cost of a stage: a transfer and the wait for the server's current step.
STAGE_HOP_MS_PER_TOKEN = 0.3
# Cost of a hop to another availability zone: 0.25 ms one way by the platform's
# data sheet, and the wait for other transfers on the link.
ZONE_HOP_MS_PER_TOKEN = 0.4
# Factor on the time for which a prompt occupies an inter-zone link, since the
# tokens of all other answers on the link wait meanwhile. A prompt of 800
# tokens occupies it for 37 ms, which led to pauses of over 150 ms, so that a
# detour within the zone is better.
LINK_SHARING_FACTOR = 30.0
# Cost of a first stage outside the caller's zone. Only the request and its
# events cross between zones then, but such traffic still has its price.
REMOTE_ENTRY_MS = 60.0
# Mean wait of a token at a busy stage, as a share of a step: it arrives in the
# middle of a step of others, and all that wait are batched in the next one.
STEP_WAIT_SHARE = 0.5
# Other requests at a stage with which half of that wait is reached.
HALF_WAIT_REQUESTS = 4
# Share of the expected answer for which a server's memory is reserved.
RESERVED_ANSWER_SHARE = 0.8
# Largest random share added to costs, so that gateways with the same data
# don't all choose the same path.
NOISE_SHARE = 0.05
BITS_PER_BYTE = 8


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSize:
    """Numbers of tokens of a request, or means of many.

    :ivar answer_tokens: expected length of the answer
    """

    prompt_tokens: float
    answer_tokens: float

    @property
    def total_tokens(self) -> float:
        """Tokens in the KV cache at the end of the answer."""
        return self.prompt_tokens + self.answer_tokens

    @property
    def reserved_tokens(self) -> float:
        """Tokens in the KV cache for which room is kept.

        Not all requests at a server are at their ends at the same time.
        """
        answer_tokens = int(RESERVED_ANSWER_SHARE * self.answer_tokens)
        return self.prompt_tokens + answer_tokens


def stage_ms(
    engine: config.Engine,
    server: backends.BackendServer,
    layers: int,
    size: RequestSize,
    running_requests: int,
    slowdown: float = 1.0,
) -> float:
    """Return the time that a stage adds to a complete answer.

    Times and costs of answers are in milliseconds.

    :param running_requests: other requests that run at the server
    :param slowdown: how many times slower than usual the server is
    """
    kind = engine.accelerator_by_name.get(server.accelerator)
    step_slowdown = kind.step_slowdown if kind else 1.0
    prefill_slowdown = kind.prefill_slowdown if kind else 1.0
    share = layers / engine.layers
    # A request spends about as much of its time at a server as that holds of
    # the layers, so that only this share of the running ones is in a batch.
    batch = 1 + running_requests * len(server.layers) / engine.layers
    step = engine.step_ms + batch * (
        engine.sequence_ms + engine.context_ms * size.total_tokens / 1000
    )
    wait = STEP_WAIT_SHARE * (
        running_requests / (running_requests + HALF_WAIT_REQUESTS)
    )
    step *= step_slowdown * share * (1 + wait)
    prefill = (
        size.prompt_tokens
        / engine.prefill_tokens_per_second
        * 1000
        * prefill_slowdown
        * share
    )
    prefill *= 1 + wait
    return slowdown * (step * size.answer_tokens + prefill)


def transfer_ms(engine: config.Engine, size: RequestSize) -> float:
    """Return the time for which a prompt occupies an inter-zone link."""
    if not engine.zone_link_mbps:
        return 0.0
    bits = engine.activation_bytes_per_token * BITS_PER_BYTE
    return size.prompt_tokens * bits / engine.zone_link_mbps / 1000


def delays_answers(engine: config.Engine, pause_seconds: float) -> bool:
    """Return whether usual prompts between zones make other answers late.

    :param pause_seconds: objective for the time between two events, 0 if
        there is none
    """
    size = RequestSize(engine.mean_prompt_tokens, engine.mean_answer_tokens)
    return pause_seconds > 0 and links.delays_answers(
        transfer_ms(engine, size) / 1000, pause_seconds
    )


def zone_crossing_ms(engine: config.Engine, size: RequestSize) -> float:
    """Return the cost of a crossing to another zone for a complete answer."""
    shared = LINK_SHARING_FACTOR * transfer_ms(engine, size)
    return ZONE_HOP_MS_PER_TOKEN * size.answer_tokens + shared


class _Partial(NamedTuple):
    """A path for the layers below a boundary, as a linked list of stages.

    :ivar cost_ms: of all stages up to the boundary
    :ivar server: of the last stage, which begins at the layer ``first``
    :ivar previous: the path up to that stage, None if it is the first
    """

    cost_ms: float
    server: backends.BackendServer | None
    first: int
    previous: '_Partial | None'


class _Costs:
    """What a request costs at each server, and between zones."""

    def __init__(
        self,
        engine: config.Engine,
        size: RequestSize,
        zones: set[ids.ZoneId],
        is_full: Callable[[links.Link], bool],
    ):
        one_crossing_ms = zone_crossing_ms(engine, size)
        self.hop_ms = STAGE_HOP_MS_PER_TOKEN * size.answer_tokens
        self.crossing_ms = {
            link: math.inf if is_full(link) else one_crossing_ms
            for link in itertools.permutations(zones, 2)
        }
        self.layer_ms: dict[ids.ServerId, float] = {}


def cheapest(
    engine: config.Engine,
    servers: Iterable[backends.BackendServer],
    size: RequestSize,
    zone: ids.ZoneId,
    running_requests: Callable[[ids.ServerId], int],
    memory_factor: Callable[[backends.BackendServer], float],
    slowdown: Callable[[backends.BackendServer], float],
    is_full: Callable[[links.Link], bool],
    rng: random.Random,
    entry_ms: Callable[[ids.ZoneId], float] = lambda zone: REMOTE_ENTRY_MS,
    layers: backends.LayerRange | None = None,
) -> tuple[backends.Stage, ...]:
    """Return the stages of the cheapest path, empty if there is none.

    :param zone: of the caller
    :param memory_factor: factor on a server's cost for its memory use,
        infinite if it gets no request
    :param slowdown: how many times slower than usual a server is
    :param is_full: whether an inter-zone link has no room for a prompt
    :param entry_ms: cost of a first stage in another zone
    :param layers: that the path runs, None for all
    """
    layers = layers or backends.LayerRange(0, engine.layers)
    holding = [
        (server, factor)
        for server in servers
        if len(server.layers)
        and not math.isinf(factor := memory_factor(server))
    ]
    zones = {server.zone for server, _ in holding}
    costs = _Costs(engine, size, zones, is_full)
    for server, factor in holding:
        costs.layer_ms[server.id] = (
            factor
            * (1 + NOISE_SHARE * rng.random())
            * stage_ms(
                engine,
                server,
                1,
                size,
                running_requests(server.id),
                slowdown(server),
            )
        )
    entry_ms_by_link = {
        (zone, other): entry_ms(other) for other in zones - {zone}
    }
    found = _search(
        layers, [s for s, _ in holding], zone, entry_ms_by_link, costs
    )
    return _merge_repeated_servers(_stages(found, layers.end))


def _search(
    layers: backends.LayerRange,
    servers: list[backends.BackendServer],
    zone: ids.ZoneId,
    entry_ms: dict[links.Link, float],
    costs: _Costs,
) -> _Partial | None:
    """Return the cheapest path through a range of layers.

    Between two boundaries of layer ranges, a path either stays at its server
    or moves on to another, so that the work grows with the layers that all
    servers hold together.
    """
    servers = [
        s
        for s in servers
        if s.layers.first < layers.end and s.layers.end > layers.first
    ]
    boundaries = sorted(
        {layers.first, layers.end}
        | {max(s.layers.first, layers.first) for s in servers}
        | {min(s.layers.end, layers.end) for s in servers}
    )
    starting_at: dict[int, list[backends.BackendServer]] = {}
    for server in servers:
        first = max(server.layers.first, layers.first)
        starting_at.setdefault(first, []).append(server)
    best_by_zone = {zone: _Partial(0.0, None, layers.first, None)}
    partials: list[tuple[backends.BackendServer, _Partial | None]] = []
    for first, end in itertools.pairwise(boundaries):
        partials = [p for p in partials if p[0].layers.end > first]
        partials += [(s, None) for s in starting_at.get(first, ())]
        prefixes = _cheapest_prefixes(
            best_by_zone,
            {s.zone for s, _ in partials},
            costs.crossing_ms if first > layers.first else entry_ms,
        )
        best_by_zone = {}
        for index, (server, partial) in enumerate(partials):
            prefix_ms, prefix = prefixes[server.zone]
            prefix_ms += costs.hop_ms
            if partial is None or prefix_ms < partial.cost_ms:
                partial = _Partial(prefix_ms, server, first, prefix)
            cost_ms = (
                partial.cost_ms + (end - first) * (costs.layer_ms[server.id])
            )
            partial = partial._replace(cost_ms=cost_ms)
            partials[index] = (server, partial)
            best = best_by_zone.get(server.zone)
            if best is None or cost_ms < best.cost_ms:
                best_by_zone[server.zone] = partial
        if not best_by_zone:
            return None
    found = min(best_by_zone.values(), key=lambda partial: partial.cost_ms)
    return None if math.isinf(found.cost_ms) else found


def _cheapest_prefixes(
    best_by_zone: dict[ids.ZoneId, _Partial],
    zones: set[ids.ZoneId],
    cost_by_link: dict[links.Link, float],
) -> dict[ids.ZoneId, tuple[float, _Partial]]:
    """Return the cheapest path to extend in each zone, and its cost there."""
    found = {}
    for zone in zones:
        cost_ms, last_zone = min(
            (
                partial.cost_ms
                + (0.0 if last == zone else cost_by_link[last, zone]),
                last,
            )
            for last, partial in best_by_zone.items()
        )
        found[zone] = (cost_ms, best_by_zone[last_zone])
    return found


def _stages(found: _Partial | None, layers: int) -> tuple[backends.Stage, ...]:
    """Return the stages of a linked list."""
    stages = []
    end = layers
    while found is not None and found.server is not None:
        stages.append(backends.Stage(found.server, found.first, end))
        end = found.first
        found = found.previous
    return tuple(reversed(stages))


def _merge_repeated_servers(
    stages: tuple[backends.Stage, ...],
) -> tuple[backends.Stage, ...]:
    """Let a server that occurs twice run the layers in between as well."""
    kept: list[backends.Stage] = []
    for stage in stages:
        for index, earlier in enumerate(kept):
            if earlier.server.id == stage.server.id:
                stage = backends.Stage(
                    earlier.server, earlier.first, stage.end
                )
                del kept[index:]
                break
        kept.append(stage)
    return tuple(kept)


def first_uncovered_layer(
    engine: config.Engine, servers: Iterable[backends.BackendServer]
) -> int | None:
    """Return the first layer that no server holds, None if all are held."""
    reached = 0
    for held in sorted(
        (s.layers for s in servers if len(s.layers)), key=lambda r: r.first
    ):
        if held.first > reached:
            return reached
        reached = max(reached, held.end)
    return reached if reached < engine.layers else None
