"""What one entry sees of the fleet, and its links to it."""

import eventlet

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.fleet import changes
from burdockmast.node import node
from burdockmast.routing import affinity
from burdockmast.routing import demands
from burdockmast.routing import loads
from burdockmast.routing import paths
from burdockmast.routing import policies
from burdockmast.routing import subsets
from burdockmast.wire import links
from burdockmast.wire import messages

LOG = logs.get('fleet')

# Seconds between looks for servers of the subset without a link.
DIAL_SECONDS = 0.5


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
            self.peers.get(address)
        finally:
            self._dialling.discard(address)

    def choose(
        self,
        model: changes.Model,
        excluded: frozenset[ids.ServerId],
        demand: demands.Demand,
    ) -> tuple[messages.Hop, ...] | failures.Failure:
        """Return a path for an answer."""
        return self._router.choose(model, self.servers, excluded, demand)

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
        self.peers.forget(link)
        self.loads.forget(link.hello.server)
        self.affinity.forget(link.hello.server)
