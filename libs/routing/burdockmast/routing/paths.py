"""Chooses paths through all layers of a model, by a routing policy."""

import collections
from collections.abc import Callable
import itertools
import random

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.fleet import changes
from burdockmast.fleet import ranges
from burdockmast.routing import demands
from burdockmast.routing import loads
from burdockmast.routing import policies
from burdockmast.routing import rendezvous
from burdockmast.routing import search
from burdockmast.wire import messages

# One-way link times assumed until links are measured.
SAME_ZONE_LINK_SECONDS = 0.0001
OTHER_ZONE_LINK_SECONDS = 0.001
# Layer time assumed for a server that has not run anything yet.
DEFAULT_LAYER_SECONDS = 0.0001
# Time of a prompt token until measured, as a share of an answer token's time.
DEFAULT_PREFILL_SHARE = 0.02
# Prefill delays the answers that run on the same engine, at this stage and at
# the other stages of their paths. Its time therefore counts more than once.
PREFILL_WEIGHT = 3.0
# One choice in this many may go through a server whose layer time is stale.
# The target allows 5% of callers a slow answer; 1% stays well below that.
CHOICES_PER_MEASUREMENT = 100
DEFAULT_DEMAND = demands.Demand()

Path = tuple[messages.Hop, ...]
# Interchangeable candidates, by the layer range that they hold.
Groups = dict[tuple[int, int], list[search.Candidate]]


class Router:
    """Chooses paths for one entry."""

    def __init__(
        self,
        table: loads.LoadTable,
        policy: policies.Policy,
        seed: int | None = None,
    ):
        """Create a router.

        :param seed: makes sampling repeatable
        """
        self._loads = table
        self._policy = policy
        self._random = random.Random(seed)
        self._round_robin_count = itertools.count()
        self._choice_count = 0

    def choose(
        self,
        model: changes.Model,
        servers: list[changes.Server],
        excluded: frozenset[ids.ServerId] = frozenset(),
        demand: demands.Demand = DEFAULT_DEMAND,
    ) -> Path | failures.Failure:
        """Return the stages of a path through all layers of ``model``.

        :param excluded: servers that just failed this request
        """
        held = self._candidates(model, servers)
        usable = [c for c in held if c.server.id not in excluded]
        # Servers that failed this request are used if no others are free.
        for candidates in (usable, held):
            free = [c for c in candidates if self._has_free_slot(c)]
            path = self._find_path(model, free, demand)
            if path:
                return path
        return self._no_path_failure(model, held)

    def _candidates(
        self, model: changes.Model, servers: list[changes.Server]
    ) -> list[search.Candidate]:
        found: list[search.Candidate] = []
        for server in servers:
            load = self._loads.usable_load(server.id)
            if not load:
                continue
            for held in load.held:
                if held.model == model.id:
                    found.append(
                        search.Candidate(server, held.first, held.end)
                    )
        return found

    def _has_free_slot(self, candidate: search.Candidate) -> bool:
        return self._loads.occupancy(candidate.server.id) < 1

    def _no_path_failure(
        self, model: changes.Model, held: list[search.Candidate]
    ) -> failures.Failure:
        reached = ranges.first_uncovered((c.first, c.end) for c in held)
        if reached < model.layers:
            return failures.Failure(
                failures.Reason.NO_PATH,
                'routing.choose',
                detail=f'no server holds layer {reached} of {model.id}',
                retry_after=1.0,
            )
        return failures.Failure(
            failures.Reason.OVERLOADED,
            'routing.choose',
            detail=f'all servers of {model.id} are full',
            retry_after=1.0,
        )

    def _find_path(
        self,
        model: changes.Model,
        free: list[search.Candidate],
        demand: demands.Demand,
    ) -> Path:
        match self._policy:
            case policies.LowestCost() as policy:
                return self._lowest_cost(model, free, demand, policy)
            case policies.ShortestPath():
                costs = {c.server.id: self._layer_seconds(c) for c in free}
                return self._cheapest_path(model, free, costs)
            case policies.LeastLoaded():
                return self._greedy(model, free, self._least_loaded)
            case policies.RoundRobin():
                return self._greedy(model, free, self._round_robin)

    def _lowest_cost(
        self,
        model: changes.Model,
        free: list[search.Candidate],
        demand: demands.Demand,
        policy: policies.LowestCost,
    ) -> Path:
        groups = _groups(free)
        cached = frozenset(demand.cached_tokens_by_server)
        owners = frozenset()
        match policy.cache_use:
            case policies.CacheUse.IGNORED:
                cached = frozenset()
                demand = DEFAULT_DEMAND
            case policies.CacheUse.OWNERS if demand.prefix_key:
                owners = _owners(groups, demand.prefix_key)
        costs = {
            c.server.id: self._answer_layer_seconds(
                c, demand, c.server.id in owners
            )
            for c in free
        }
        measured = self._due_for_measurement(free)
        # At no cost, the path goes through the server to be measured.
        costs.update(dict.fromkeys(measured, 0.0))
        sampled = self._sample(
            groups, policy.sample_size, cached | owners | measured
        )
        path = self._cheapest_path(model, sampled, costs)
        # The sample may lack a path that all candidates together have.
        return path or self._cheapest_path(model, free, costs)

    def _due_for_measurement(
        self, free: list[search.Candidate]
    ) -> frozenset[ids.ServerId]:
        """Return at times the idle server whose layer time is the oldest.

        Under low load, the servers that seem fastest get all the work. A
        server that was slow for a moment would get none, so its layer time
        would never be measured again.
        """
        self._choice_count += 1
        if self._choice_count % CHOICES_PER_MEASUREMENT:
            return frozenset()
        servers = [c.server.id for c in free]
        due = [s for s in servers if self._loads.is_measurement_stale(s)]
        if not due:
            return frozenset()
        oldest = max(due, key=self._loads.measurement_age)
        self._loads.reset_measurement_age(oldest)
        return frozenset((oldest,))

    def _sample(
        self,
        groups: Groups,
        sample_size: int,
        required: frozenset[ids.ServerId],
    ) -> list[search.Candidate]:
        """Return a random sample of each group, and all required servers."""
        sampled: list[search.Candidate] = []
        for group in groups.values():
            count = min(sample_size, len(group))
            picked = self._random.sample(group, count)
            sampled.extend(picked)
            sampled.extend(
                candidate
                for candidate in group
                if candidate.server.id in required and candidate not in picked
            )
        return sampled

    def _cheapest_path(
        self,
        model: changes.Model,
        candidates: list[search.Candidate],
        layer_seconds_by_server: dict[ids.ServerId, float],
    ) -> Path:
        costs = search.Costs(layer_seconds_by_server, self._link_seconds)
        return search.cheapest_path(model.layers, candidates, costs)

    def _layer_seconds(self, candidate: search.Candidate) -> float:
        """Return the time of one layer for one sequence."""
        load = self._loads.report_by_server[candidate.server.id].load
        return load.layer_ns / 1e9 or DEFAULT_LAYER_SECONDS

    def _answer_layer_seconds(
        self,
        candidate: search.Candidate,
        demand: demands.Demand,
        is_owner: bool,
    ) -> float:
        """Estimate the time of one layer for each token of an answer.

        Includes the other answers that run on the server, and the prefill of
        the uncached prompt tokens, spread over the answer's tokens.
        """
        server = candidate.server.id
        load = self._loads.report_by_server[server].load
        seconds = self._layer_seconds(candidate)
        prefill = load.prefill_ns / 1e9 or seconds * DEFAULT_PREFILL_SHARE
        uncached = demand.uncached_tokens(server, is_owner)
        prefill_seconds = PREFILL_WEIGHT * uncached * prefill
        seconds += prefill_seconds / max(1, demand.answer_tokens)
        return seconds * (1 + self._loads.running_count(server))

    def _link_seconds(
        self, here: search.Candidate, there: search.Candidate
    ) -> float:
        same = here.server.zone == there.server.zone
        return self._loads.link_seconds(
            here.server.id,
            there.server.address,
            SAME_ZONE_LINK_SECONDS if same else OTHER_ZONE_LINK_SECONDS,
        )

    def _greedy(
        self,
        model: changes.Model,
        free: list[search.Candidate],
        pick: Callable[[list[search.Candidate]], search.Candidate],
    ) -> Path:
        path: list[messages.Hop] = []
        reached = 0
        while reached < model.layers:
            fitting = [c for c in free if c.first <= reached < c.end]
            if not fitting:
                return ()
            chosen = pick(fitting)
            path.append(chosen.hop(reached, chosen.end))
            reached = chosen.end
        return tuple(path)

    def _least_loaded(
        self, fitting: list[search.Candidate]
    ) -> search.Candidate:
        return min(
            fitting, key=lambda c: self._loads.running_count(c.server.id)
        )

    def _round_robin(
        self, fitting: list[search.Candidate]
    ) -> search.Candidate:
        return fitting[next(self._round_robin_count) % len(fitting)]


def _groups(candidates: list[search.Candidate]) -> Groups:
    groups: Groups = collections.defaultdict(list)
    for candidate in candidates:
        groups[candidate.first, candidate.end].append(candidate)
    return groups


def _owners(groups: Groups, key: bytes) -> frozenset[ids.ServerId]:
    """Return the owner of a prefix key in each group."""
    return frozenset(
        rendezvous.owner(key, [c.server.id for c in group])
        for group in groups.values()
    )
