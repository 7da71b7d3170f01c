"""A process of the system: identity, links, configuration, records."""

from collections.abc import Callable
import dataclasses

import eventlet

from burdockmast.base import ids
from burdockmast.base import metrics
from burdockmast.base import timeline
from burdockmast.base import timers
from burdockmast.fleet import follower
from burdockmast.fleet import instances
from burdockmast.limits import strikes
from burdockmast.node import inspection
from burdockmast.settings import models
from burdockmast.store import instancelist
from burdockmast.store import objects
from burdockmast.wire import links
from burdockmast.wire import messages
from burdockmast.wire import peers

# Seconds between clearings of strikes that no longer count.
CLEAR_SECONDS = 60.0
NO_SERVER = ids.ServerId('')


@dataclasses.dataclass(slots=True)
class Node:
    """The parts that every process of the system has.

    :ivar describe_role: returns what the role adds to the status
    """

    settings: models.Settings
    events: timeline.Timeline
    metrics: metrics.Metrics
    store: objects.Objects
    follower: follower.Follower
    peers: peers.Peers
    instances: instances.Instances
    strikes: strikes.Strikes
    timers: timers.TimerService
    describe_role: Callable[[], dict] = dict

    @classmethod
    def from_config(
        cls,
        settings: models.Settings,
        role: messages.Role,
        handler: links.Handler,
        server: ids.ServerId = NO_SERVER,
    ) -> 'Node':
        """Build a process's common parts.

        :param handler: gets all messages, and may hand them to ``receive``
        :param server: the backend server beside it, empty if none
        """
        events = timeline.Timeline(ids.new_id())
        store = objects.Objects(settings.store_url)
        configuration = follower.Follower(store, server, settings.zone, events)
        hello = messages.Hello(
            messages.PROTOCOL,
            role,
            ids.InstanceId(events.process),
            ids.Address(settings.peer_address),
            settings.zone,
            server,
        )
        process_peers = peers.Peers(hello, handler)
        configuration.neighbours = process_peers.all
        configuration.period = process_peers.period
        listing = None
        if settings.instances_url:
            listing = instancelist.InstanceList(settings.instances_url)
        return cls(
            settings,
            events,
            metrics.Metrics.from_config(settings.statsd_address, role.value),
            store,
            configuration,
            process_peers,
            instances.Instances(listing, settings.instance, configuration),
            strikes.Strikes(),
            timers.TimerService(),
        )

    def start(self) -> None:
        """Listen for peers and begin to follow the configuration.

        :raises OSError: if the address is taken
        """
        self.peers.listen(self.settings.peer_address)
        self.follower.start()
        self.timers.subscribe(
            'strikes', CLEAR_SECONDS, self.strikes.forget_old
        )
        self.timers.subscribe(
            'instances', instances.LOOK_SECONDS, self.instances.look
        )
        for address in self.settings.peers:
            eventlet.spawn(self.peers.get, address)

    def receive(self, link: links.Link, message: messages.AnyMessage) -> bool:
        """Handle what concerns every role; tell whether it did."""
        match message:
            case messages.Heartbeat():
                self._heard(link, message)
            case messages.ChangesWanted(version=version):
                self.follower.wanted(link, version)
            case messages.Changes():
                self.follower.learn(link, message)
            case messages.Snapshot():
                self.follower.restore(link, message)
            case messages.Leaving():
                self.instances.learn(link, message)
            case messages.Query():
                link.send(inspection.answer(self, message))
            case _:
                return False
        return True

    def _heard(self, link: links.Link, heartbeat: messages.Heartbeat) -> None:
        self.events.witness(heartbeat.clock)
        self.follower.heard(link, heartbeat)
        self.instances.heard(link, heartbeat)
        for strike in heartbeat.strikes:
            self.strikes.add(strike.fingerprint, strike.crash)

    def heartbeat(
        self, load: messages.Load | None = None
    ) -> messages.Heartbeat:
        """Return the heartbeat of this moment."""
        news = tuple(
            messages.Strike(fingerprint, crash)
            for fingerprint, crash in self.strikes.news()
        )
        return messages.Heartbeat(
            self.events.clock,
            self.follower.version,
            self.follower.store_age_ms(),
            0,
            0,
            0,
            load,
            news,
            list_revision=self.instances.revision,
        )
