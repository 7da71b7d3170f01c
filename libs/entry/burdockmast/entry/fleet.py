"""One entry's view of the fleet, and its links to the backend servers."""

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

# Interval at which servers of the subset that have no link are dialled.
DIAL_INTERVAL_SECONDS = 0.5
# Minimum time between two dials of a server that refuses connections; the
# same as the poll interval of a request that waits for a path.
MIN_REDIAL_SECONDS = 0.05
# A dial that fails within this time counts as refused; a later failure means
# that the server is silent, and requests don't wait for it. Half of the
# connection timeout.
REFUSED_DIAL_SECONDS = 0.5


def expected_ranges(
    model: changes.Model,
    placed_by_server: Mapping[ids.ServerId, changes.Placement | None],
    load_table: loads.LoadTable,
) -> list[tuple[int, int]]:
    """Return the layer ranges that servers hold, or will hold soon.

    :param placed_by_server: the preset's placements on the servers that can
        be reached
    """
    found: list[tuple[int, int]] = []
    for server, placed in placed_by_server.items():
        load = load_table.usable_load(server)
        if load:
            found += [
                (held.first, held.end)
                for held in load.held
                if held.model == model.id
            ]
        if (
            placed
            and placed.model == model.id
            and load_table.may_hold_soon(server)
        ):
            found.append((placed.first, placed.end))
    return found


def covers(model: changes.Model, held: list[tuple[int, int]]) -> bool:
    """Tell whether layer ranges cover every layer of a model."""
    return ranges.first_uncovered(held) >= model.layers


class FleetView:
    """An entry's subset of the fleet: links, loads and paths."""

    def __init__(
        self,
        process: node.Node,
        policy: policies.Policy,
        group_limit: int,
        seed: int | None = None,
    ):
        """Create a view without servers.

        :param group_limit: servers used of each group of interchangeable ones
        """
        self.peers = process.peers
        self.follower = process.follower
        self.loads = loads.LoadTable()
        self.affinity = affinity.Affinity()
        self._subset = subsets.Subset(process.peers.hello.process, group_limit)
        self._router = paths.Router(self.loads, policy, seed)
        self._dialling: set[ids.Address] = set()
        # Monotonic seconds at which the last failed dial of a server began,
        # infinite if the server was silent.
        self._failed_dial_at_by_address: dict[ids.Address, float] = {}
        self.follower.subscribers.append(self.on_configuration_change)

    @property
    def servers(self) -> list[changes.Server]:
        """The backend servers that this entry talks to."""
        return self._subset.servers

    def knows_service(self, service: ids.ServiceId) -> bool:
        """Tell whether a plain service exists."""
        return self._subset.knows_service(service)

    def on_configuration_change(self, change: changes.Body | None) -> None:
        """Apply a change of configuration and dial new servers."""
        self._subset.apply_change(self.follower.configuration, change)
        present = {server.address for server in self.servers}
        for address in self._failed_dial_at_by_address.keys() - present:
            del self._failed_dial_at_by_address[address]
        self.dial_unlinked()

    def dial_unlinked(self) -> None:
        """Dial the servers of the subset that have no link."""
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
        started_at = timers.now()
        try:
            link = self.peers.get(address)
        finally:
            self._dialling.discard(address)
        if isinstance(link, failures.Failure):
            is_refused = timers.now() - started_at < REFUSED_DIAL_SECONDS
            self._failed_dial_at_by_address[address] = (
                started_at if is_refused else math.inf
            )
        else:
            self._failed_dial_at_by_address.pop(address, None)

    def redial_refused(self, since: float) -> None:
        """Dial the servers that refused a connection before ``since``.

        A server that has just started is used without waiting for the next
        periodic dial.

        :param since: monotonic seconds at which the request arrived
        """
        for server in self.servers:
            address = server.address
            dialled_at = self._failed_dial_at_by_address.get(address, math.inf)
            is_due = timers.now() - dialled_at >= MIN_REDIAL_SECONDS
            if dialled_at < since and is_due:
                self._start_dial(address)

    def _may_be_reachable(self, server: changes.Server, since: float) -> bool:
        """Tell whether a server has a link, or may get one soon."""
        address = server.address
        if address in self.peers.link_by_address:
            return True
        dialled_at = self._failed_dial_at_by_address.get(address)
        return dialled_at is None or dialled_at < since

    def choose_path(
        self,
        model: changes.Model,
        excluded: frozenset[ids.ServerId],
        demand: demands.Demand,
    ) -> tuple[messages.Hop, ...] | failures.Failure:
        """Return a path for an answer, avoiding excluded servers."""
        return self._router.choose(model, self.servers, excluded, demand)

    def may_have_path(self, model: changes.Model, since: float) -> bool:
        """Tell whether a path may appear if the request waits.

        The layers must be covered by servers that hold them or may still load
        them. A server without a link counts unless a dial of it has failed
        since the request arrived, or its last dial found it silent. The loss
        of a link clears earlier failures.

        :param since: monotonic seconds at which the request arrived
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
        """Tell whether another server of a service has or may get a link.

        :param since: monotonic seconds at which the call arrived
        """
        return any(
            self._may_be_reachable(server, since)
            for server in self.servers
            if server.service == service and server.id not in tried
        )

    def on_link_closed(self, link: links.Link) -> None:
        """Discard the load and cache state of a server that lost its link."""
        self._failed_dial_at_by_address.pop(link.address, None)
        self.loads.forget(link.hello.server)
        self.affinity.forget(link.hello.server)
