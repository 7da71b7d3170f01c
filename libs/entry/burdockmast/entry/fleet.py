"""What one entry sees of the fleet, and its links to it."""

from collections.abc import Mapping

import eventlet

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.fleet import changes
from burdockmast.fleet import ranges
from burdockmast.node import node
from burdockmast.routing import affinity
from burdockmast.routing import demands
from burdockmast.routing import loads
from burdockmast.routing import paths
from burdockmast.routing import policies
from burdockmast.routing import subsets
from burdockmast.wire import links
from burdockmast.wire import messages

# Seconds between looks for servers of the subset without a link.
DIAL_SECONDS = 0.5


def expected_ranges(
    model: changes.Model,
    placed_by_server: Mapping[ids.ServerId, changes.Placement | None],
    table: loads.Loads,
) -> list[tuple[int, int]]:
    """Return the layers of a model that servers hold, or are to hold soon.

    :param placed_by_server: what the preset places on servers that can be
        reached
    """
    found: list[tuple[int, int]] = []
    for server, placed in placed_by_server.items():
        load = table.usable(server)
        if load:
            found += [
                (held.first, held.end)
                for held in load.held
                if held.model == model.id
            ]
        if placed and placed.model == model.id and table.may_load(server):
            found.append((placed.first, placed.end))
    return found


def covers(model: changes.Model, held: list[tuple[int, int]]) -> bool:
    """Tell whether ranges hold every layer of a model."""
    return ranges.reached(held) >= model.layers


class FleetView:
    """An entry's subset of the fleet: links, loads and paths."""

    def __init__(
        self,
        process: node.Node,
        policy: policies.Policy,
        size: int,
        seed: int | None = None,
    ):
        """Create a view that knows nobody yet.

        :param size: servers taken of each group of equal ones
        """
        self.peers = process.peers
        self.follower = process.follower
        self.loads = loads.Loads()
        self.affinity = affinity.Affinity()
        self._subset = subsets.Subset(process.peers.hello.process, size)
        self._router = paths.Router(self.loads, policy, seed)
        self._dialling: set[ids.Address] = set()
        # Servers that did not answer when they were last dialled.
        self._unreachable: set[ids.Address] = set()
        self.follower.subscribers.append(self.refresh)

    @property
    def servers(self) -> list[changes.Server]:
        """The backend servers that this entry talks to."""
        return self._subset.servers

    def knows_service(self, service: ids.ServiceId) -> bool:
        """Tell whether there is such a plain service."""
        return self._subset.knows_service(service)

    def refresh(self, change: changes.Body | None) -> None:
        """Follow a change of configuration."""
        self._subset.learn(self.follower.configuration, change)
        self._unreachable.intersection_update(s.address for s in self.servers)
        self.dial()

    def dial(self) -> None:
        """Connect to the servers of the subset that have no link."""
        for server in self.servers:
            address = server.address
            if address in self.peers.link_by_address:
                continue
            if address not in self._dialling:
                self._dialling.add(address)
                eventlet.spawn(self._dial, address)

    def _dial(self, address: ids.Address) -> None:
        try:
            link = self.peers.get(address)
        finally:
            self._dialling.discard(address)
        if isinstance(link, failures.Failure):
            self._unreachable.add(address)
        else:
            self._unreachable.discard(address)

    def choose(
        self,
        model: changes.Model,
        excluded: frozenset[ids.ServerId],
        demand: demands.Demand,
    ) -> tuple[messages.Hop, ...] | failures.Failure:
        """Return a path for an answer."""
        return self._router.choose(model, self.servers, excluded, demand)

    def may_have_path(self, model: changes.Model) -> bool:
        """Tell whether waiting may help a request that found no path.

        It may while servers load what they are to hold, or have not been
        dialled since this entry learned of them or lost its connection.
        """
        current = self.follower.configuration
        placed = {
            server.id: current.placement(server.id)
            for server in self.servers
            if server.address in self.peers.link_by_address
            or server.address not in self._unreachable
        }
        return covers(model, expected_ranges(model, placed, self.loads))

    def services(self, service: ids.ServiceId) -> list[changes.Server]:
        """Return the connected servers of a plain service."""
        return [
            server
            for server in self.servers
            if server.service == service
            and server.address in self.peers.link_by_address
        ]

    def closed(self, link: links.Link) -> None:
        """Forget the load of a server whose link is gone."""
        self._unreachable.discard(link.address)
        self.loads.forget(link.hello.server)
        self.affinity.forget(link.hello.server)
