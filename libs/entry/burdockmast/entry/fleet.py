"""What one entry sees of the fleet, and its links to it."""

from collections.abc import Collection
from collections.abc import Mapping
import math

import eventlet

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import timers
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
DIAL_INTERVAL_SECONDS = 0.5
# Shortest time between two dials of a server that refuses, in seconds: as
# long as a request that waits for it sleeps between its looks.
MIN_REDIAL_SECONDS = 0.05
# A dial that failed within this time was refused; others found silence, and
# are not worth waiting for. Half of the time that a connection may take.
REFUSED_DIAL_SECONDS = 0.5


def expected_ranges(
    model: changes.Model,
    placed_by_server: Mapping[ids.ServerId, changes.Placement | None],
    load_table: loads.Loads,
) -> list[tuple[int, int]]:
    """Return the layers of a model that servers hold, or are to hold soon.

    :param placed_by_server: what the preset places on servers that can be
        reached
    """
    found: list[tuple[int, int]] = []
    for server, placed in placed_by_server.items():
        load = load_table.usable(server)
        if load:
            found += [
                (held.first, held.end)
                for held in load.held
                if held.model == model.id
            ]
        if placed and placed.model == model.id and load_table.may_load(server):
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
        # Monotonic seconds at which the last dial of a server that can't be
        # reached was begun, infinite if it found silence.
        self._dial_failed_at_by_address: dict[ids.Address, float] = {}
        self.follower.subscribers.append(self.on_configuration_change)

    @property
    def servers(self) -> list[changes.Server]:
        """The backend servers that this entry talks to."""
        return self._subset.servers

    def knows_service(self, service: ids.ServiceId) -> bool:
        """Tell whether there is such a plain service."""
        return self._subset.knows_service(service)

    def on_configuration_change(self, change: changes.Body | None) -> None:
        """Follow a change of configuration."""
        self._subset.learn(self.follower.configuration, change)
        present = {server.address for server in self.servers}
        for address in self._dial_failed_at_by_address.keys() - present:
            del self._dial_failed_at_by_address[address]
        self.dial_unlinked()

    def dial_unlinked(self) -> None:
        """Connect to the servers of the subset that have no link."""
        for server in self.servers:
            address = server.address
            if address in self.peers.link_by_address:
                continue
            self._start_dial(address)

    def _start_dial(self, address: ids.Address) -> None:
        if address not in self._dialling:
            self._dialling.add(address)
            eventlet.spawn(self._dial, address)

    def _dial(self, address: ids.Address) -> None:
        began = timers.now()
        try:
            link = self.peers.get(address)
        finally:
            self._dialling.discard(address)
        if isinstance(link, failures.Failure):
            is_refused = timers.now() - began < REFUSED_DIAL_SECONDS
            self._dial_failed_at_by_address[address] = (
                began if is_refused else math.inf
            )
        else:
            self._dial_failed_at_by_address.pop(address, None)

    def redial_refused(self, since: float) -> None:
        """Dial again the servers that refused before a request came.

        A process that has just come up is not kept out until the next look.

        :param since: monotonic seconds
        """
        for server in self.servers:
            address = server.address
            failed_at = self._dial_failed_at_by_address.get(address, math.inf)
            is_due = timers.now() - failed_at >= MIN_REDIAL_SECONDS
            if failed_at < since and is_due:
                self._start_dial(address)

    def _may_be_reachable(self, server: changes.Server, since: float) -> bool:
        """Tell whether a server has a link, or may have one soon."""
        address = server.address
        if address in self.peers.link_by_address:
            return True
        failed_at = self._dial_failed_at_by_address.get(address)
        return failed_at is None or failed_at < since

    def choose(
        self,
        model: changes.Model,
        excluded: frozenset[ids.ServerId],
        demand: demands.Demand,
    ) -> tuple[messages.Hop, ...] | failures.Failure:
        """Return a path for an answer."""
        return self._router.choose(model, self.servers, excluded, demand)

    def may_have_path(self, model: changes.Model, since: float) -> bool:
        """Tell whether waiting may help a request that found no path.

        It may while servers load what they are to hold, or have not been
        dialled since the request came, or this entry learned of them or
        lost its connection.

        :param since: monotonic seconds at which the request came
        """
        current = self.follower.configuration
        placed = {
            server.id: current.placement(server.id)
            for server in self.servers
            if self._may_be_reachable(server, since)
        }
        return covers(model, expected_ranges(model, placed, self.loads))

    def connected_servers(
        self, service: ids.ServiceId
    ) -> list[changes.Server]:
        """Return the connected servers of a plain service."""
        return [
            server
            for server in self.servers
            if server.service == service
            and server.address in self.peers.link_by_address
        ]

    def may_have_service(
        self,
        service: ids.ServiceId,
        tried: Collection[ids.ServerId],
        since: float,
    ) -> bool:
        """Tell whether another server of a service has, or may get, a link.

        :param since: monotonic seconds at which the call came
        """
        return any(
            self._may_be_reachable(server, since)
            for server in self.servers
            if server.service == service and server.id not in tried
        )

    def on_link_closed(self, link: links.Link) -> None:
        """Forget the load of a server whose link is gone."""
        self._dial_failed_at_by_address.pop(link.address, None)
        self.loads.forget(link.hello.server)
        self.affinity.forget(link.hello.server)
