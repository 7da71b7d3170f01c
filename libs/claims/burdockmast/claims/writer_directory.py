"""Chooses the side processes that write a shard's claims."""

import heapq

from burdockmast.base import ids
from burdockmast.base import rendezvous
from burdockmast.fleet import changes
from burdockmast.fleet import follower

# Side processes that are tried for a shard, one after the other.
CANDIDATE_COUNT = 3


class WriterDirectory:
    """Candidate claim writers of each shard, from the local configuration."""

    def __init__(self, configuration: follower.Follower):
        """Create a directory that reads the configuration from a follower."""
        self._follower = configuration
        self._version = ids.Version(-1)
        self._candidates_by_shard: dict[int, list[ids.Address]] = {}

    def candidates(self, shard: int) -> list[ids.Address]:
        """Return the addresses of a shard's candidates, preferred first."""
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
        ranked = heapq.nsmallest(
            CANDIDATE_COUNT,
            active,
            key=lambda server: rendezvous.rank(str(shard), server.id),
        )
        return [server.address for server in ranked]
