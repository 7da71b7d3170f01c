"""Ways to choose among paths; the project's own and its baselines."""

import dataclasses
import enum


class CacheUse(enum.Enum):
    """What is made of engines' caches of prompt prefixes."""

    IGNORED = 'ignored'
    # Servers that this entry has sent a prefix to.
    OWN = 'own'
    # Beside these an owner that all entries agree on.
    OWNERS = 'owners'


@dataclasses.dataclass(frozen=True, slots=True)
class LowestCost:
    """Shortest path by measured stage and link times under load.

    A stage's time is that of all the answers which run there, and one more.

    :ivar sample_size: servers sampled of each group of equal layer ranges
    """

    sample_size: int = 3
    cache_use: CacheUse = CacheUse.OWNERS


@dataclasses.dataclass(frozen=True, slots=True)
class ShortestPath:
    """Shortest path by stage and link times, whatever the load."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeastLoaded:
    """At each stage the server with the fewest answers."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoundRobin:
    """At each stage the servers in turn."""


Policy = LowestCost | ShortestPath | LeastLoaded | RoundRobin

POLICY_BY_NAME: dict[str, Policy] = {
    'lowest-cost': LowestCost(),
    'lowest-cost-own-caches': LowestCost(cache_use=CacheUse.OWN),
    'lowest-cost-no-caches': LowestCost(cache_use=CacheUse.IGNORED),
    'shortest-path': ShortestPath(),
    'least-loaded': LeastLoaded(),
    'round-robin': RoundRobin(),
}
