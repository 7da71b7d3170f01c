"""Which side processes write a shard's claims."""

import heapq

from burdockmast.base import ids
from burdockmast.base import ranks
from burdockmast.fleet import changes
from burdockmast.fleet import follower

# Processes that are tried for a shard, one after the other.
CANDIDATE_COUNT = 3


class WriterDirectory:
    """The side processes that write each shard, as one process sees it."""

    def __init__(self, configuration: follower.Follower):
        """Create a directory that follows the configuration."""
        self._follower = configuration
        self._version = ids.Version(-1)
        self._candidates_by_shard: dict[int, list[ids.Address]] = {}

    def candidates(self, shard: int) -> list[ids.Address]:
        """Return the processes for a shard, the preferred one first."""
        if self._version != self._follower.version:
            self._version = self._follower.version
            self._candidates_by_shard.clear()
        found = self._candidates_by_shard.get(shard)
        if found is None:
            found = self._rank_candidates(shard)
            self._candidates_by_shard[shard] = found
        return found

    def _rank_candidates(self, shard: int) -> list[ids.Address]:
        active = [
            server
            for server in self._follower.configuration.server_by_id.values()
            if server.state is changes.ServerState.ACTIVE
        ]
        first = heapq.nsmallest(
            CANDIDATE_COUNT,
            active,
            key=lambda server: ranks.rank(str(shard), server.id),
        )
        return [server.address for server in first]
