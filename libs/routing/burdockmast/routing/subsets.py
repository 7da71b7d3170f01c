"""Limits each entry to a subset of the fleet's servers.

Servers that hold the same layers of a model, or run the same plain service,
are interchangeable and form a group. An entry uses a few servers of each
group, those with the lowest hash of entry and server. Subsets hardly change
as servers come and go, and many entries spread evenly over the servers. A
change of one server costs work for its group only, however large the fleet
is.
"""

import bisect
import collections

from burdockmast.base import ids
from burdockmast.base import rendezvous
from burdockmast.fleet import changes
from burdockmast.fleet import configuration

# Key of a group: what its servers have in common.
Group = tuple[str | int, ...]
RankedServer = tuple[bytes, ids.ServerId]


class Subset:
    """The servers that one process uses, updated with the configuration."""

    def __init__(self, process: str, group_limit: int):
        """Create the subset of an empty fleet.

        :param process: id that servers are hashed with
        :param group_limit: servers taken from each group
        """
        self.servers: list[changes.Server] = []
        self._process = process
        self._group_limit = group_limit
        self._group_by_server: dict[ids.ServerId, Group] = {}
        self._ranked_by_group: dict[Group, list[RankedServer]] = {}
        self._service_by_server: dict[ids.ServerId, ids.ServiceId] = {}
        self._count_by_service: collections.Counter[ids.ServiceId] = (
            collections.Counter()
        )

    def knows_service(self, service: ids.ServiceId) -> bool:
        """Tell whether any server of the fleet runs a plain service."""
        return self._count_by_service[service] > 0

    def apply_change(
        self,
        current: configuration.Configuration,
        change: changes.Body | None,
    ) -> None:
        """Update the subset after a change of configuration.

        :param current: the configuration with the change applied
        :param change: None if any part may have changed
        """
        match change:
            case changes.PutPreset():
                pass
            case changes.AddServer(server=changes.Server(id=server)):
                self._update(current, server)
            case changes.RetireServer(server=server):
                self._update(current, server)
            case changes.RemoveServer(server=server):
                self._update(current, server)
            case changes.SwitchPreset() | None:
                self._rebuild(current)

    def _rebuild(self, current: configuration.Configuration) -> None:
        self._group_by_server.clear()
        self._ranked_by_group.clear()
        self._service_by_server.clear()
        self._count_by_service.clear()
        for server in current.server_by_id:
            self._insert(current, server)
        self._refresh_servers(current)

    def _update(
        self, current: configuration.Configuration, server: ids.ServerId
    ) -> None:
        self._remove(server)
        self._insert(current, server)
        self._refresh_servers(current)

    def _remove(self, server: ids.ServerId) -> None:
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

    def _insert(
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

    def _refresh_servers(self, current: configuration.Configuration) -> None:
        self.servers = [
            current.server_by_id[server]
            for ranked in self._ranked_by_group.values()
            for _, server in ranked[: self._group_limit]
        ]

    def _rank(self, server: ids.ServerId) -> RankedServer:
        return rendezvous.rank(self._process, server), server


def _group(
    current: configuration.Configuration, server: changes.Server
) -> Group | None:
    """Return the group of a server, None if it must not get work."""
    if server.state is not changes.ServerState.ACTIVE:
        return None
    if server.kind is changes.ServerKind.SERVICE:
        return ('service', server.service)
    placed = current.placement(server.id)
    if not placed:
        return None
    return (placed.model, placed.first, placed.end)
