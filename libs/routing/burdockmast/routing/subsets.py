"""The bounded part of the fleet that one entry talks to.

Of each group of servers that can stand in for each other (same layers of a
model, or same plain service) an entry takes a few, ranked by a hash of both:
stable as servers come and go, and even over many entries. A change of one
server costs the work for its group only, however large the fleet is.
"""

import bisect
import collections

from burdockmast.base import ids
from burdockmast.base import ranks
from burdockmast.fleet import changes
from burdockmast.fleet import configuration

# What the servers of a group have in common.
Group = tuple[str | int, ...]
Ranked = tuple[bytes, ids.ServerId]


class Subset:
    """The servers of one process, kept up to date with the configuration."""

    def __init__(self, process: str, size: int):
        """Create the subset of an empty fleet.

        :param size: servers taken of each group
        """
        self.servers: list[changes.Server] = []
        self._process = process
        self._size = size
        self._group_by_server: dict[ids.ServerId, Group] = {}
        self._ranked_by_group: dict[Group, list[Ranked]] = {}
        self._service_by_server: dict[ids.ServerId, ids.ServiceId] = {}
        self._count_by_service: collections.Counter[ids.ServiceId] = (
            collections.Counter()
        )

    def knows_service(self, service: ids.ServiceId) -> bool:
        """Tell whether any server of the fleet is of a plain service."""
        return self._count_by_service[service] > 0

    def apply_change(
        self,
        current: configuration.Configuration,
        change: changes.Body | None,
    ) -> None:
        """Follow a change that ``current`` has just taken in.

        :param change: None if any part may have changed
        """
        match change:
            case changes.PutPreset():
                pass
            case changes.AddServer(server=changes.Server(id=server)):
                self._follow(current, server)
            case changes.RetireServer(server=server):
                self._follow(current, server)
            case changes.RemoveServer(server=server):
                self._follow(current, server)
            case changes.SwitchPreset() | None:
                self._rebuild(current)

    def _rebuild(self, current: configuration.Configuration) -> None:
        self._group_by_server.clear()
        self._ranked_by_group.clear()
        self._service_by_server.clear()
        self._count_by_service.clear()
        for server in current.server_by_id:
            self._place(current, server)
        self._list(current)

    def _follow(
        self, current: configuration.Configuration, server: ids.ServerId
    ) -> None:
        self._forget(server)
        self._place(current, server)
        self._list(current)

    def _forget(self, server: ids.ServerId) -> None:
        service = self._service_by_server.pop(server, None)
        if service:
            self._count_by_service[service] -= 1
        group = self._group_by_server.pop(server, None)
        if group is None:
            return
        ranked = self._ranked_by_group[group]
        ranked.remove(self._rank(server))
        if not ranked:
            del self._ranked_by_group[group]

    def _place(
        self, current: configuration.Configuration, server: ids.ServerId
    ) -> None:
        found = current.server_by_id.get(server)
        if not found:
            return
        if found.service:
            self._service_by_server[server] = found.service
            self._count_by_service[found.service] += 1
        group = _group(current, found)
        if group is None:
            return
        self._group_by_server[server] = group
        ranked = self._ranked_by_group.setdefault(group, [])
        bisect.insort(ranked, self._rank(server))

    def _list(self, current: configuration.Configuration) -> None:
        self.servers = [
            current.server_by_id[server]
            for ranked in self._ranked_by_group.values()
            for _, server in ranked[: self._size]
        ]

    def _rank(self, server: ids.ServerId) -> Ranked:
        return ranks.rank(self._process, server), server


def _group(
    current: configuration.Configuration, server: changes.Server
) -> Group | None:
    """Return the group of a server that may get work, None of others."""
    if server.state is not changes.ServerState.ACTIVE:
        return None
    if server.kind is changes.ServerKind.SERVICE:
        return ('service', server.service)
    placed = current.placement(server.id)
    if not placed:
        return None
    return (placed.model, placed.first, placed.end)
