"""Decides what a gateway tells other gateways about its load, and to whom.

Within an availability zone each gateway tells every other one its own load.
Between zones only one gateway speaks for all of its zone, to one gateway of
each other zone, which passes that on to its neighbours. So a gateway handles
as many messages as its zone has gateways, and zones exchange few bytes.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
import random

import msgspec

from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.gateway import crash_suspects
from burdockmast.gateway import interfaces
from burdockmast.gateway import leaving_servers
from burdockmast.gateway import loads
from burdockmast.gateway import relays
from burdockmast.gateway import reports
from burdockmast.gateway import server_limits
from burdockmast.gateway.admission import full_servers
from burdockmast.gateway.admission import pressure as admission_pressure
from burdockmast.gateway.balance import demand as zone_demand

# Interval of messages within a zone. In a larger zone it is longer, so that a
# gateway handles at most this many messages a second.
MIN_INTERVAL_SECONDS = 0.1
MAX_MESSAGES_PER_SECOND = 150
# Messages to other zones in a second, at most one to each zone in the minimum
# interval.
REMOTE_MESSAGES_PER_SECOND = 12
MIN_REMOTE_INTERVAL_SECONDS = 0.3
# Interval at which a registered gateway that sends nothing is still told: it
# may have started just now.
SILENT_PEER_INTERVAL_SECONDS = 2.0
# Time after which a peer that sends nothing counts as silent.
SILENT_SECONDS = 2.0
# Time after which a registered gateway that sends nothing counts as gone.
GONE_SECONDS = 300.0
# Gateways of each zone that watch the store for their neighbours.
WATCHERS_PER_ZONE = 2


class SourceLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of one source: a gateway, or all gateways of a zone."""

    source: str
    load_by_server: dict[str, tuple[int, float]]


class ZoneNews(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway tells the others of its zone beside loads.

    :ivar stamp: seconds of the sender's ``boottime_now``
    :ivar reports: that the sender has fetched since its last message
    :ivar unresponsive: servers that it has found lost since then, or that have
        not answered it yet
    :ivar store: what it knows of the store, if it watches that
    """

    stamp: float
    reports: list[reports.SharedReport]
    unresponsive: list[str]
    store: relays.StoreNews | None


class Learned(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway has learned from servers' answers, for all gateways.

    :ivar crashes: requests that crash servers, if any are known
    :ivar limits: that servers have named
    :ivar leaving: servers that have said that they leave
    :ivar demand: of the sender's callers, and of whole zones
    :ivar pressure: requests that wait for room, by priority
    :ivar configuration_age: seconds since the sender's configuration was
        last confirmed
    :ivar full: servers that have rejected requests for want of memory
    """

    crashes: crash_suspects.CrashNews | None = None
    limits: list[server_limits.LimitNews] = []
    leaving: list[leaving_servers.LeavingNews] = []
    demand: list[zone_demand.DemandNews] = []
    pressure: list[admission_pressure.PressureNews] = []
    configuration_age: float = math.inf
    full: list[full_servers.FullNews] = []


NOTHING_LEARNED = Learned()


class Message(msgspec.Struct, frozen=True, array_like=True):
    """What one gateway tells another.

    :ivar address: at which the sender receives messages
    :ivar zone_news: only in messages to the sender's own zone
    """

    sender: str
    zone: str
    address: str
    loads: list[SourceLoad]
    zone_news: ZoneNews | None = None
    learned: Learned = NOTHING_LEARNED


@dataclasses.dataclass(slots=True)
class Peer:
    """Another gateway.

    :ivar known_since: monotonic seconds
    :ivar heard_at: monotonic seconds of its last message
    :ivar told_at: monotonic seconds of the last message to it
    :ivar confirmed_at: monotonic seconds at which its configuration was last
        confirmed
    """

    gateway: interfaces.GatewayRecord
    known_since: float
    heard_at: float = float('-inf')
    told_at: float = float('-inf')
    confirmed_at: float = float('-inf')


def zone_source(zone: ids.ZoneId) -> str:
    """Return the name under which the load of a whole zone is reported."""
    return f'zone {zone}'


class Neighbours:
    """The other gateways, and what they reported."""

    def __init__(
        self,
        own: interfaces.GatewayRecord,
        rng: random.Random,
        now: Callable[[], float] = timers.now,
    ):
        """Create a gateway that knows no others."""
        self._own = own
        self._rng = rng
        self._now = now
        self._peer_by_name: dict[str, Peer] = {}
        self._table = loads.LoadTable(now)
        self._relayed: dict[str, SourceLoad] = {}
        self._next_local_at = 0.0
        self._next_remote_at = 0.0
        self._remote_zone_index = 0

    @property
    def is_informed(self) -> bool:
        """Whether any other gateway was heard lately."""
        return bool(self._table.sources())

    def load_by_server(self) -> dict[ids.ServerId, loads.Load]:
        """Return the load of all other gateways that were heard lately."""
        return self._table.total()

    def load_by_source(self) -> dict[str, loads.LoadByServer]:
        """Return the load of each gateway or zone that was heard lately."""
        return {
            source: self._table.load_of(source)
            for source in self._table.sources()
        }

    def is_watcher(self) -> bool:
        """Return whether this gateway watches the store for its neighbours."""
        earlier = [n for n in self.alive_neighbours() if n < self._own.name]
        return len(earlier) < WATCHERS_PER_ZONE

    def first_neighbour(self) -> Peer | None:
        """Return the first watcher of this zone, None if it is this gateway.

        It was heard lately.
        """
        first = min([*self.alive_neighbours(), self._own.name])
        return self._peer_by_name.get(first)

    def is_relied_on(self) -> bool:
        """Return whether a neighbour may rely on this gateway's watches."""
        return len(self.alive_neighbours()) >= WATCHERS_PER_ZONE

    def known_gateways(self) -> list[str]:
        """Return the other gateways that may be running.

        Of those in this zone, if any is heard, only the ones heard lately.
        """
        alive = set(self.alive_neighbours())
        return [
            name
            for name, peer in self._peer_by_name.items()
            if not alive
            or name in alive
            or peer.gateway.zone != self._own.zone
        ]

    def alive_neighbours(self) -> list[str]:
        """Return the gateways of this zone that were heard lately."""
        return [
            name
            for name, peer in self._peer_by_name.items()
            if peer.gateway.zone == self._own.zone and self._is_alive(peer)
        ]

    def others_confirm(self, max_age_seconds: float) -> bool:
        """Return whether other gateways may know the configuration in force.

        One that hears nobody is likely to be cut off by itself.

        :param max_age_seconds: age up to which it counts as known
        """
        heard = [p for p in self._peer_by_name.values() if self._is_alive(p)]
        since = self._now() - max_age_seconds
        return not heard or any(p.confirmed_at > since for p in heard)

    def is_neighbour(self, name: str) -> bool:
        """Return whether a known gateway is in this zone."""
        peer = self._peer_by_name.get(name)
        return peer is not None and peer.gateway.zone == self._own.zone

    def set_registered(
        self, gateways: Iterable[interfaces.GatewayRecord]
    ) -> None:
        """Take over the registered gateways.

        Unregistered ones that send messages stay known.
        """
        registered = {g.name: g for g in gateways if g.name != self._own.name}
        for gateway in registered.values():
            self._learn(gateway)
        for name in self._peer_by_name.keys() - registered.keys():
            if not self._is_alive(self._peer_by_name[name]):
                del self._peer_by_name[name]

    def gone_gateways(self) -> list[str]:
        """Return the gateways of this zone that should be unregistered.

        Only one gateway of the zone returns any, and only while it hears
        others, so that one which is cut off does not take the rest for gone.
        """
        alive = self.alive_neighbours()
        if not alive or min(alive) < self._own.name:
            return []
        latest = self._now() - GONE_SECONDS
        return [
            name
            for name, peer in self._peer_by_name.items()
            if peer.gateway.zone == self._own.zone
            and max(peer.known_since, peer.heard_at) < latest
        ]

    def _learn(self, gateway: interfaces.GatewayRecord) -> Peer:
        peer = self._peer_by_name.get(gateway.name)
        if peer is None or peer.gateway != gateway:
            peer = self._peer_by_name[gateway.name] = Peer(
                gateway, self._now()
            )
        return peer

    def _is_alive(self, peer: Peer) -> bool:
        return self._now() - peer.heard_at < SILENT_SECONDS

    def receive(self, message: Message) -> None:
        """Take over what another gateway reports."""
        if message.sender == self._own.name:
            return
        gateway = interfaces.GatewayRecord(
            message.sender,
            ids.ZoneId(message.zone),
            ids.Address(message.address),
        )
        peer = self._learn(gateway)
        peer.heard_at = self._now()
        peer.confirmed_at = peer.heard_at - message.learned.configuration_age
        is_neighbour = gateway.zone == self._own.zone
        own_zone = zone_source(self._own.zone)
        for load in message.loads:
            if load.source in (self._own.name, own_zone):
                continue
            self._table.update(load.source, load.load_by_server)
            if not is_neighbour:
                self._relayed[load.source] = load

    def due_messages(
        self,
        own_load: loads.LoadByServer,
        zone_news: Callable[[], ZoneNews | None] = lambda: None,
        learned: Callable[[bool], Learned] = lambda _: NOTHING_LEARNED,
    ) -> list[tuple[ids.Address, Message]]:
        """Return the messages that are due now, with their receivers.

        :param zone_news: called if the messages to this zone are due
        :param learned: called if any messages are due, with whether they are
            for other zones
        """
        now = self._now()
        found = []
        if now >= self._next_local_at:
            found += self._local_messages(
                own_load, zone_news(), learned(False)
            )
        if now >= self._next_remote_at:
            found += self._remote_messages(own_load, learned)
        return found

    def _local_messages(
        self,
        own_load: loads.LoadByServer,
        zone_news: ZoneNews | None,
        learned: Learned,
    ) -> list[tuple[ids.Address, Message]]:
        neighbours = [
            peer
            for peer in self._peer_by_name.values()
            if peer.gateway.zone == self._own.zone
        ]
        interval = max(
            MIN_INTERVAL_SECONDS, len(neighbours) / MAX_MESSAGES_PER_SECOND
        )
        self._next_local_at = self._next_turn(self._next_local_at, interval)
        message = self._message(
            [
                SourceLoad(self._own.name, dict(own_load)),
                *self._relayed.values(),
            ],
            zone_news,
            learned,
        )
        self._relayed = {}
        return [
            (peer.gateway.address, message)
            for peer in neighbours
            if self._is_due(peer)
        ]

    def _next_turn(self, turn: float, interval: float) -> float:
        """Return the time of the turn after one that may be late."""
        return max(turn + interval, self._now() + interval / 2)

    def _is_due(self, peer: Peer) -> bool:
        now = self._now()
        if (
            not self._is_alive(peer)
            and now - peer.told_at < SILENT_PEER_INTERVAL_SECONDS
        ):
            return False
        peer.told_at = now
        return True

    def _remote_messages(
        self,
        own_load: loads.LoadByServer,
        learned: Callable[[bool], Learned],
    ) -> list[tuple[ids.Address, Message]]:
        """Return a message to the next zone if this gateway speaks for its."""
        peers_by_zone: dict[ids.ZoneId, list[Peer]] = {}
        for peer in self._peer_by_name.values():
            peers_by_zone.setdefault(peer.gateway.zone, []).append(peer)
        peers_by_zone.pop(self._own.zone, None)
        if not peers_by_zone:
            return []
        interval = max(
            1 / REMOTE_MESSAGES_PER_SECOND,
            MIN_REMOTE_INTERVAL_SECONDS / len(peers_by_zone),
        )
        self._next_remote_at = self._next_turn(self._next_remote_at, interval)
        alive = self.alive_neighbours()
        if any(name < self._own.name for name in alive):
            return []
        zones = sorted(peers_by_zone)
        self._remote_zone_index = (self._remote_zone_index + 1) % len(zones)
        peers = peers_by_zone[zones[self._remote_zone_index]]
        receivers = [peer for peer in peers if self._is_alive(peer)] or peers
        total = loads.add(
            own_load, *(self._table.load_of(name) for name in alive)
        )
        message = self._message(
            [SourceLoad(zone_source(self._own.zone), total)],
            learned=learned(True),
        )
        return [(self._rng.choice(receivers).gateway.address, message)]

    def _message(
        self,
        source_loads: list[SourceLoad],
        zone_news: ZoneNews | None = None,
        learned: Learned = NOTHING_LEARNED,
    ) -> Message:
        return Message(
            self._own.name,
            self._own.zone,
            self._own.address,
            source_loads,
            zone_news,
            learned,
        )
