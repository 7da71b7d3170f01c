"""The cheapest path through all layers of a model.

Answers a fleet of unequal servers whose ranges overlap: each request takes
the path that is likely to give its answer soonest, by what stages cost and
what already runs on them. The search goes over places where ranges begin or
end, and over availability zones, so it stays cheap for each request.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import itertools
import math
import random

from burdockmast.base import ids
from burdockmast.gateway import backends
from burdockmast.gateway import config
from burdockmast.gateway import links

# Milliseconds of one more stage for each token: a transfer and the wait for
# the server's present step.
HOP_MS = 0.3
# Milliseconds of a token's way to another availability zone and its share of
# what others send there; the users' sheets name 0.25 one way.
ZONE_HOP_MS = 0.4
# A link between zones is shared by all transfers, and a prompt of 800 tokens
# takes it for 37 ms, during which the tokens of all others wait. Pauses over
# 150 ms came from there, so a detour within the zone is better.
SHARED_LINK = 30.0
# Milliseconds that it is worth to begin in the caller's own zone: only the
# request and its events cross, but traffic between zones has its price.
ENTRY_ZONE_MS = 60.0
# Mean share of a step that a token waits for, of each request that runs at a
# stage: their steps are taken together, and their prompts in between.
SHARED_STEP = 0.03
# Random share added to costs, so that gateways which know the same do not
# all choose the same.
NOISE = 0.05
BITS_PER_BYTE = 8


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSize:
    """What a request asks of a path.

    :ivar prompt_tokens: tokens to read
    :ivar answer_tokens: tokens that are likely to be written
    """

    prompt_tokens: int
    answer_tokens: int

    @property
    def total_tokens(self) -> int:
        """Tokens that are in memory at the end."""
        return self.prompt_tokens + self.answer_tokens


def stage_ms(
    engine: config.Engine,
    server: backends.BackendServer,
    layers: int,
    size: RequestSize,
    running_requests: int,
    slowdown: float = 1.0,
) -> float:
    """Return milliseconds that a stage adds to a whole answer.

    :param running_requests: other requests that run at the server
    :param slowdown: how many times slower than usual the server is
    """
    kind = engine.accelerator_by_name.get(server.accelerator)
    step_slowdown = kind.step_slowdown if kind else 1.0
    prefill_slowdown = kind.prefill_slowdown if kind else 1.0
    share = layers / engine.layers
    step = engine.step_ms + engine.sequence_ms * (running_requests + 1)
    step += (
        engine.context_ms * (running_requests + 1) * size.total_tokens / 1000
    )
    step *= step_slowdown * share * (1 + SHARED_STEP * running_requests)
    prefill = (
        size.prompt_tokens
        / engine.prefill_tokens_per_second
        * 1000
        * prefill_slowdown
        * share
    )
    prefill *= 1 + SHARED_STEP * running_requests
    return slowdown * (step * size.answer_tokens + prefill)


def transfer_ms(engine: config.Engine, size: RequestSize) -> float:
    """Return milliseconds for which a prompt takes a link between zones."""
    if not engine.zone_link_mbps:
        return 0.0
    bits = engine.activation_bytes_per_token * BITS_PER_BYTE
    return size.prompt_tokens * bits / engine.zone_link_mbps / 1000


def zone_crossing_ms(engine: config.Engine, size: RequestSize) -> float:
    """Return milliseconds that a way to another zone adds to an answer."""
    shared = SHARED_LINK * transfer_ms(engine, size)
    return ZONE_HOP_MS * size.answer_tokens + shared


@dataclasses.dataclass(frozen=True, slots=True)
class _Reached:
    """The cheapest way to a layer that ends in a zone."""

    cost: float
    stages: tuple[backends.Stage, ...]


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
) -> tuple[backends.Stage, ...]:
    """Return the stages of the cheapest path, empty if there is none.

    :param zone: where the answer is wanted
    :param memory_factor: factor on the cost of a server whose memory fills up
    :param slowdown: how many times slower than usual a server is
    :param is_full: tells of a link between zones that it takes no more
    """
    holding = [s for s in servers if len(s.layers)]
    cuts = sorted(
        {0, engine.layers}
        | {s.layers.first for s in holding}
        | {s.layers.end for s in holding}
    )
    cuts = [cut for cut in cuts if cut <= engine.layers]
    factors = {
        s.id: memory_factor(s) * (1 + NOISE * rng.random()) for s in holding
    }
    paces = {s.id: slowdown(s) for s in holding}
    between_zones = zone_crossing_ms(engine, size)
    zones = {server.zone for server in holding}
    crossing = {
        link: math.inf if is_full(link) else between_zones
        for link in itertools.permutations(zones, 2)
    }
    entering = {(zone, other): ENTRY_ZONE_MS for other in zones}
    reached: dict[int, dict[ids.ZoneId, _Reached]] = {
        0: {zone: _Reached(0.0, ())}
    }
    for number, cut in enumerate(cuts):
        here = reached.get(cut)
        if not here:
            continue
        for server in holding:
            if not server.layers.first <= cut < server.layers.end:
                continue
            ways = crossing if cut else entering
            base, stages = _nearest(here, server.zone, ways)
            if math.isinf(base):
                continue
            base += HOP_MS * size.answer_tokens
            for end in cuts[number + 1 :]:
                if end > server.layers.end:
                    break
                cost = base + factors[server.id] * stage_ms(
                    engine,
                    server,
                    end - cut,
                    size,
                    running_requests(server.id),
                    paces[server.id],
                )
                best = reached.setdefault(end, {}).get(server.zone)
                if best is None or cost < best.cost:
                    stage = backends.Stage(server, cut, end)
                    reached[end][server.zone] = _Reached(
                        cost, (*stages, stage)
                    )
    found = reached.get(engine.layers)
    if not found:
        return ()
    best = min(found.values(), key=lambda way: way.cost)
    return _without_returns(best.stages)


def _nearest(
    here: dict[ids.ZoneId, _Reached],
    zone: ids.ZoneId,
    cost_by_link: dict[links.Link, float],
) -> tuple[float, tuple[backends.Stage, ...]]:
    """Return the cheapest way to go on in a zone, and what it costs."""
    costs = {
        before: way.cost
        + (0.0 if before == zone else cost_by_link[before, zone])
        for before, way in here.items()
    }
    before = min(costs, key=costs.__getitem__)
    return costs[before], here[before].stages


def _without_returns(
    stages: tuple[backends.Stage, ...],
) -> tuple[backends.Stage, ...]:
    """Let a server that comes twice run the layers in between as well."""
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
