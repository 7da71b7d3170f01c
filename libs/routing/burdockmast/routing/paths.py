"""Paths over the layer ranges of a model."""

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

# One-way link times assumed until measured, in seconds.
SAME_ZONE_SECONDS = 0.0001
OTHER_ZONE_SECONDS = 0.001
# Time of a layer assumed of a server that has not run anything, in seconds.
UNKNOWN_LAYER_SECONDS = 0.0001
# Time of a prompt's token until measured, as a share of an answer's.
UNKNOWN_PREFILL_SHARE = 0.02
# A prompt holds up the answers that run on its engine, there and at the
# other stages of their paths, so its time counts more than once.
PREFILL_WEIGHT = 3.0
# One choice in as many may go through a server whose measured time is old.
# The target allows five callers in a hundred a slow answer; this stays below.
TRIAL_CHOICES = 100
ANY_DEMAND = demands.Demand()

Path = tuple[messages.Hop, ...]
# Candidates that can stand in for each other, by the layers they hold.
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

        :param seed: makes the sampling repeatable
        """
        self._loads = table
        self._policy = policy
        self._random = random.Random(seed)
        self._turn = itertools.count()
        self._choices = 0

    def choose(
        self,
        model: changes.Model,
        servers: list[changes.Server],
        excluded: frozenset[ids.ServerId] = frozenset(),
        demand: demands.Demand = ANY_DEMAND,
    ) -> Path | failures.Failure:
        """Return the stages of a path through all layers of ``model``.

        :param excluded: servers that just failed this request
        """
        held = self._candidates(model, servers)
        usable = [c for c in held if c.server.id not in excluded]
        # With nowhere else to go, a server that failed before is tried.
        for candidates in (usable, held):
            free = [c for c in candidates if self._is_free(c)]
            path = self._search(model, free, demand)
            if path:
                return path
        return self._no_path(model, held)

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

    def _is_free(self, candidate: search.Candidate) -> bool:
        return self._loads.occupancy(candidate.server.id) < 1

    def _no_path(
        self, model: changes.Model, held: list[search.Candidate]
    ) -> failures.Failure:
        reached = ranges.reached((c.first, c.end) for c in held)
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

    def _search(
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
                return self._cheapest(model, free, costs)
            case policies.LeastLoaded():
                return self._greedy(model, free, self._least_loaded)
            case policies.RoundRobin():
                return self._greedy(model, free, self._in_turn)

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
                demand = ANY_DEMAND
            case policies.CacheUse.OWNERS if demand.prefix_key:
                owners = _owners(groups, demand.prefix_key)
        costs = {
            c.server.id: self._demand_seconds(c, demand, c.server.id in owners)
            for c in free
        }
        trial = self._trial(free)
        costs.update(dict.fromkeys(trial, 0.0))
        sampled = self._sample(
            groups, policy.sample_size, cached | owners | trial
        )
        path = self._cheapest(model, sampled, costs)
        # A sample may have holes that the whole does not have.
        return path or self._cheapest(model, free, costs)

    def _trial(self, free: list[search.Candidate]) -> frozenset[ids.ServerId]:
        """Now and then return one server that is due to be measured again.

        While there is little load, all of it goes to the server that seems
        fastest. One that was slow for a moment would never get work, and so
        never show that it is fast again.
        """
        self._choices += 1
        if self._choices % TRIAL_CHOICES:
            return frozenset()
        servers = [c.server.id for c in free]
        due = [s for s in servers if self._loads.is_measurement_stale(s)]
        if not due:
            return frozenset()
        oldest = max(due, key=self._loads.measurement_age)
        self._loads.reset_measurement_age(oldest)
        return frozenset((oldest,))

    def _sample(
        self, groups: Groups, choices: int, wanted: frozenset[ids.ServerId]
    ) -> list[search.Candidate]:
        """Return a few servers of each group, with those that are wanted."""
        sampled: list[search.Candidate] = []
        for group in groups.values():
            count = min(choices, len(group))
            some = self._random.sample(group, count)
            sampled.extend(some)
            sampled.extend(
                candidate
                for candidate in group
                if candidate.server.id in wanted and candidate not in some
            )
        return sampled

    def _cheapest(
        self,
        model: changes.Model,
        candidates: list[search.Candidate],
        layer_by_server: dict[ids.ServerId, float],
    ) -> Path:
        costs = search.Costs(layer_by_server, self._link_seconds)
        return search.cheapest_path(model.layers, candidates, costs)

    def _layer_seconds(self, candidate: search.Candidate) -> float:
        """Return the time of a layer for one sequence."""
        load = self._loads.report_by_server[candidate.server.id].load
        return load.layer_ns / 1e9 or UNKNOWN_LAYER_SECONDS

    def _demand_seconds(
        self,
        candidate: search.Candidate,
        demand: demands.Demand,
        is_owner: bool,
    ) -> float:
        """Return a layer's time for each token until an answer's turn ends.

        The tokens of the prompt that are not cached are spread over those
        of the answer.
        """
        server = candidate.server.id
        load = self._loads.report_by_server[server].load
        seconds = self._layer_seconds(candidate)
        prefill = load.prefill_ns / 1e9 or seconds * UNKNOWN_PREFILL_SHARE
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
            SAME_ZONE_SECONDS if same else OTHER_ZONE_SECONDS,
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

    def _in_turn(self, fitting: list[search.Candidate]) -> search.Candidate:
        return fitting[next(self._turn) % len(fitting)]


def _groups(candidates: list[search.Candidate]) -> Groups:
    groups: Groups = collections.defaultdict(list)
    for candidate in candidates:
        groups[candidate.first, candidate.end].append(candidate)
    return groups


def _owners(groups: Groups, key: bytes) -> frozenset[ids.ServerId]:
    """Return the owner of a key in each group."""
    return frozenset(
        rendezvous.owner(key, [c.server.id for c in group])
        for group in groups.values()
    )
