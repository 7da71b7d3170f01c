"""Which side processes write a shard's claims."""

import heapq

from burdockmast.base import ids
from burdockmast.base import rendezvous
from burdockmast.fleet import changes
from burdockmast.fleet import follower

# Processes that are tried for a shard, one after the other.
PLACES = 3


class Directory:
    """The side processes that write each shard, as one process sees it."""

    def __init__(self, configuration: follower.Follower):
        """Create a directory that follows the configuration."""
        self._follower = configuration
        self._version = ids.Version(-1)
        self._places_by_shard: dict[int, list[ids.Address]] = {}

    def places(self, shard: int) -> list[ids.Address]:
        """Return the processes for a shard, the preferred one first."""
        if self._version != self._follower.version:
            self._version = self._follower.version
            self._places_by_shard.clear()
        found = self._places_by_shard.get(shard)
        if found is None:
            found = self._rank_places(shard)
            self._places_by_shard[shard] = found
        return found

    def _rank_places(self, shard: int) -> list[ids.Address]:
        active = [
            server
            for server in self._follower.configuration.server_by_id.values()
            if server.state is changes.ServerState.ACTIVE
        ]
        first = heapq.nsmallest(
            PLACES,
            active,
            key=lambda server: rendezvous.rank(str(shard), server.id),
        )
        return [server.address for server in first]
