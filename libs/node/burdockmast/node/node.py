"""A process of the system: identity, links, configuration, records."""

from collections.abc import Callable
import dataclasses

import eventlet
import eventlet.wsgi
import prometheus_client

from burdockmast.base import addresses
from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import metrics
from burdockmast.base import timeline
from burdockmast.base import timers
from burdockmast.fleet import draining_instances
from burdockmast.fleet import follower
from burdockmast.limits import crash_reports
from burdockmast.node import dependencies
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
    instances: draining_instances.DrainingInstances
    strikes: crash_reports.CrashReports
    timers: timers.TimerService
    dependencies: dependencies.Dependencies
    log: logs.Log
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
        measures = metrics.Metrics.from_config(
            settings.statsd_address, role.value
        )
        depended = dependencies.Dependencies(events, measures)
        store = objects.Objects(settings.store_url)
        store.answered.append(depended.store_answered)
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
        process_peers.connected.append(depended.connected)
        configuration.peer_links = process_peers.all
        configuration.heartbeat_period = process_peers.period
        listing = None
        if settings.instances_url:
            listing = instancelist.InstanceList(settings.instances_url)
        return cls(
            settings,
            events,
            measures,
            store,
            configuration,
            process_peers,
            draining_instances.DrainingInstances(
                listing, settings.instance, configuration
            ),
            crash_reports.CrashReports(),
            timers.TimerService(),
            depended,
            cls._log(settings, events, hello),
        )

    @staticmethod
    def _log(
        settings: models.Settings,
        events: timeline.Timeline,
        hello: messages.Hello,
    ) -> logs.Log:
        """Send this process's log, with all its events, to standard output."""
        log = logs.Log.from_config(
            settings.log_level,
            {
                'process': hello.process,
                'role': hello.role.value,
                'zone': hello.zone,
                **({'beside': hello.server} if hello.server else {}),
            },
        )
        events.subscribers.append(logs.event)
        return log

    def start(self) -> None:
        """Listen for peers and begin to follow the configuration.

        :raises OSError: if the address is taken
        """
        self.peers.listen(self.settings.peer_address)
        self._serve_metrics()
        self.events.add(
            'process.started',
            peer_address=self.settings.peer_address,
            store=self.settings.store_url,
        )
        self.follower.start()
        self.timers.subscribe(
            'logs', logs.REPORT_SECONDS, self.log.handler.report
        )
        self.timers.subscribe(
            'strikes', CLEAR_SECONDS, self.strikes.drop_expired
        )
        self.timers.subscribe(
            'instances', draining_instances.POLL_SECONDS, self.instances.poll
        )
        for address in self.settings.peers:
            eventlet.spawn(self.peers.get, address)

    def _serve_metrics(self) -> None:
        """Serve metrics, if the settings name an address for them.

        :raises OSError: if the address is taken
        """
        self.metrics.gauge('log.lines_dropped', lambda: self.log.dropped)
        self.metrics.gauge(
            'configuration.version', lambda: self.follower.version
        )
        self.metrics.gauge(
            'configuration.age_seconds',
            lambda: self.follower.store_age_seconds,
        )
        if not self.settings.metrics_address:
            return
        sock = eventlet.listen(addresses.split(self.settings.metrics_address))
        application = prometheus_client.make_wsgi_app(self.metrics.registry)
        eventlet.spawn(
            eventlet.wsgi.server, sock, application, log_output=False
        )

    def closed(self, link: links.Link, why: failures.Failure) -> None:
        """Forget a link that has ended."""
        self.peers.forget(link)
        self.dependencies.lost(link, why)

    def receive(self, link: links.Link, message: messages.AnyMessage) -> bool:
        """Handle what concerns every role; tell whether it did."""
        match message:
            case messages.Heartbeat():
                self._heard(link, message)
            case messages.ChangesWanted(version=version):
                self.follower.send_changes_since(link, version)
            case messages.Changes():
                self.follower.apply_changes(link, message)
            case messages.Snapshot():
                self.follower.apply_snapshot(link, message)
            case messages.Leaving():
                self.instances.apply_update(link, message)
            case messages.Query():
                link.send(inspection.answer(self, message))
            case _:
                return False
        return True

    def _heard(self, link: links.Link, heartbeat: messages.Heartbeat) -> None:
        self.events.witness(heartbeat.clock)
        self.follower.on_heartbeat(link, heartbeat)
        self.instances.on_heartbeat(link, heartbeat)
        for strike in heartbeat.strikes:
            self.strikes.add(strike.fingerprint, strike.crash)

    def heartbeat(
        self, load: messages.Load | None = None
    ) -> messages.Heartbeat:
        """Return the heartbeat of this moment."""
        news = tuple(
            messages.Strike(fingerprint, crash)
            for fingerprint, crash in self.strikes.recent()
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
