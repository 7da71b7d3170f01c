"""Routing policies: the default and the baselines to compare it with."""

import dataclasses
import enum


class CacheUse(enum.Enum):
    """Which knowledge of engines' prefix caches a policy uses."""

    IGNORED = 'ignored'
    # Servers that this entry has sent the prefix to.
    OWN = 'own'
    # These, and the owners of the prefix, on which all entries agree.
    OWNERS = 'owners'


@dataclasses.dataclass(frozen=True, slots=True)
class LowestCost:
    """Takes the path with the lowest measured stage and link times under load.

    A stage's time covers all answers that run there and the new one.

    :ivar sample_size: servers drawn from each group with equal layer ranges
    """

    sample_size: int = 3
    cache_use: CacheUse = CacheUse.OWNERS


@dataclasses.dataclass(frozen=True, slots=True)
class ShortestPath:
    """Takes the path with the lowest stage and link times without load."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeastLoaded:
    """Takes the server with the fewest running answers at each stage."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoundRobin:
    """Takes the servers of each stage in turn."""


Policy = LowestCost | ShortestPath | LeastLoaded | RoundRobin

POLICY_BY_NAME: dict[str, Policy] = {
    'lowest-cost': LowestCost(),
    'lowest-cost-own-caches': LowestCost(cache_use=CacheUse.OWN),
    'lowest-cost-no-caches': LowestCost(cache_use=CacheUse.IGNORED),
    'shortest-path': ShortestPath(),
    'least-loaded': LeastLoaded(),
    'round-robin': RoundRobin(),
}
