"""The common parts of entry and side processes.

Identity, links, configuration, events, metrics and logs.
"""

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
from burdockmast.base import request_heads
from burdockmast.base import timeline
from burdockmast.base import timers
from burdockmast.fleet import draining_instances
from burdockmast.fleet import follower
from burdockmast.limits import crash_reports
from burdockmast.node import dependency_monitor
from burdockmast.node import inspection
from burdockmast.settings import models
from burdockmast.store import instance_list
from burdockmast.store import objects
from burdockmast.wire import links
from burdockmast.wire import messages
from burdockmast.wire import peers

# Interval at which expired crash reports are dropped.
CRASH_REPORT_CLEANUP_SECONDS = 60.0
NO_SERVER = ids.ServerId('')


@dataclasses.dataclass(slots=True)
class Node:
    """The parts that entry and side processes share.

    :ivar describe_role: returns the details that the role adds to the
        status
    """

    settings: models.Settings
    events: timeline.Timeline
    metrics: metrics.Metrics
    store: objects.ObjectClient
    follower: follower.Follower
    peers: peers.Peers
    draining_instances: draining_instances.DrainingInstances
    crash_reports: crash_reports.CrashReports
    timers: timers.TimerService
    dependency_monitor: dependency_monitor.DependencyMonitor
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

        :param handler: receives all messages and passes those that concern
            every role to ``receive``
        :param server: the backend server that the process runs beside,
            empty if none
        """
        events = timeline.Timeline(ids.new_id())
        measures = metrics.Metrics.from_config(
            settings.statsd_address, role.value
        )
        monitor = dependency_monitor.DependencyMonitor(events, measures)
        store = objects.ObjectClient(settings.store_url)
        store.call_observers.append(monitor.on_store_call_ended)
        configuration = follower.Follower(store, server, settings.zone, events)
        hello = messages.Hello(
            messages.PROTOCOL_VERSION,
            role,
            ids.InstanceId(events.process),
            ids.Address(settings.peer_address),
            settings.zone,
            server,
        )
        process_peers = peers.Peers(hello, handler)
        process_peers.connect_subscribers.append(monitor.on_connected)
        configuration.peer_links = process_peers.all
        configuration.heartbeat_period = process_peers.heartbeat_period
        listing = None
        if settings.instances_url:
            listing = instance_list.InstanceList(settings.instances_url)
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
            monitor,
            cls._log(settings, events, hello),
        )

    @staticmethod
    def _log(
        settings: models.Settings,
        events: timeline.Timeline,
        hello: messages.Hello,
    ) -> logs.Log:
        """Write the process's log and its events to standard output."""
        log = logs.Log.from_config(
            settings.log_level,
            {
                'process': hello.process,
                'role': hello.role.value,
                'zone': hello.zone,
                **({'beside': hello.server} if hello.server else {}),
            },
        )
        events.subscribers.append(logs.log_event)
        return log

    def start(self) -> None:
        """Listen for peers, serve metrics and start the periodic tasks.

        :raises OSError: if an address is in use
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
            'logs', logs.REPORT_SECONDS, self.log.handler.report_lost_lines
        )
        self.timers.subscribe(
            'strikes',
            CRASH_REPORT_CLEANUP_SECONDS,
            self.crash_reports.drop_expired,
        )
        self.timers.subscribe(
            'instances',
            draining_instances.POLL_SECONDS,
            self.draining_instances.poll,
        )
        for address in self.settings.peers:
            eventlet.spawn(self.peers.get, address)

    def _serve_metrics(self) -> None:
        """Serve metrics over HTTP if the settings name an address for them.

        :raises OSError: if the address is in use
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
            eventlet.wsgi.server,
            sock,
            application,
            log_output=False,
            protocol=request_heads.Protocol,
        )

    def on_closed(self, link: links.Link, why: failures.Failure) -> None:
        """Remove a closed link and record why it was closed."""
        self.peers.forget(link)
        self.dependency_monitor.on_disconnected(link, why)

    def receive(self, link: links.Link, message: messages.AnyMessage) -> bool:
        """Handle a message that concerns every role.

        Returns whether the message was handled.
        """
        match message:
            case messages.Heartbeat():
                self._on_heartbeat(link, message)
            case messages.ChangesWanted(version=version):
                self.follower.send_changes_since(link, version)
            case messages.Changes():
                self.follower.apply_changes(link, message)
            case messages.Snapshot():
                self.follower.apply_snapshot(link, message)
            case messages.Leaving():
                self.draining_instances.apply_update(link, message)
            case messages.Query():
                link.send(inspection.answer_query(self, message))
            case _:
                return False
        return True

    def _on_heartbeat(
        self, link: links.Link, heartbeat: messages.Heartbeat
    ) -> None:
        self.events.advance_clock(heartbeat.clock)
        self.follower.on_heartbeat(link, heartbeat)
        self.draining_instances.on_heartbeat(link, heartbeat)
        for strike in heartbeat.strikes:
            self.crash_reports.add(strike.fingerprint, strike.crash)

    def heartbeat(
        self, load: messages.Load | None = None
    ) -> messages.Heartbeat:
        """Return a heartbeat with this process's current state.

        The link fills in the time stamps and the period.
        """
        crash_reports = tuple(
            messages.Strike(fingerprint, crash)
            for fingerprint, crash in self.crash_reports.recent()
        )
        return messages.Heartbeat(
            self.events.clock,
            self.follower.version,
            self.follower.store_age_ms(),
            0,
            0,
            0,
            load,
            crash_reports,
            list_revision=self.draining_instances.revision,
        )
