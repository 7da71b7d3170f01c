"""Assembles a gateway process and runs it until it is told to stop."""

import dataclasses
import random
import signal
import socket

import eventlet
import eventlet.event
import eventlet.wsgi
import prometheus_client

from burdockmast.base import addresses
from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import metrics
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import callers
from burdockmast.gateway import calls
from burdockmast.gateway import config
from burdockmast.gateway import interfaces
from burdockmast.gateway import memory
from burdockmast.gateway import object_follower
from burdockmast.gateway import path_selector
from burdockmast.gateway import planner
from burdockmast.gateway import reports
from burdockmast.gateway import retries
from burdockmast.gateway import settings
from burdockmast.gateway import streams
from burdockmast.gateway import view

LOG = logs.get('gateway')

# Connections that wait to be accepted.
BACKLOG = 1024
# Connections that are served at once.
CONNECTIONS = 3000
# Seconds that one call waits for a change of the configuration. Keys are
# trusted while it was confirmed within the time to revoke them.
CONFIGURATION_WAIT_SECONDS = 1.4
# Seconds that one call waits for a change of the list of servers.
SERVERS_WAIT_SECONDS = 3.0
# Share of the time to revoke keys for which an old configuration is trusted;
# the rest is for requests that are on their way here.
TRUSTED_SHARE = 0.95
# Share of that time after which new callers are sent elsewhere, if others can
# reach the store.
READY_SHARE = 0.5
# Seconds for which a leaving process still accepts connections: the balancer
# asks once a second and gives up after two misses.
ACCEPT_SECONDS = 3.0
# Seconds before the end of the grace at which a leaving process exits.
EXIT_MARGIN_SECONDS = 0.5
# Seconds for which a caller's connection may stand still while it is read or
# written.
SOCKET_SECONDS = 20.0
DEFAULT_IDLE_SECONDS = 15.0
POLL_SECONDS = 0.05
# Seconds between counts of gateways.
ROSTER_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """The platform that a gateway runs on."""

    deployments: interfaces.Feed[config.Configuration]
    servers: interfaces.Feed[backends.BackendServer]
    seat: interfaces.PlannerLock
    roster: interfaces.GatewayRegistry
    engines: interfaces.EngineClient
    dialect: interfaces.HeaderCodec


class Gateway:
    """One gateway process."""

    def __init__(self, given: settings.Settings, platform: Platform):
        """Create the parts; nothing runs yet."""
        source = random.Random()
        self._settings = given
        self._metrics = metrics.Metrics()
        self._timers = timers.TimerService()
        self._log = logs.Log.from_config(
            'info', {'instance': given.instance, 'zone': given.zone}
        )
        self._deployments = object_follower.Follower(
            'configuration', platform.deployments, CONFIGURATION_WAIT_SECONDS
        )
        self._servers = object_follower.Follower(
            'servers',
            platform.servers,
            SERVERS_WAIT_SECONDS,
            keeps_expired=True,
            is_older=backends.BackendServer.is_older_than,
        )
        self.view = view.View(self._deployments, self._servers)
        budget = retries.Budget(
            given.retry_ratio, given.retry_slack, given.retry_window
        )
        usage = memory.Usage()
        self._chooser = path_selector.PathSelector(
            self.view,
            reports.ServerReports(self.view, platform.engines),
            usage,
            given.zone,
            source,
        )
        self.application = callers.Application(
            self.view,
            platform.dialect,
            calls.Calls(
                self.view, platform.dialect, budget, given.zone, source
            ),
            streams.Streams(
                self.view,
                platform.dialect,
                budget,
                self._chooser,
                self._metrics,
            ),
            budget,
            self._metrics,
            given.revoke_seconds * TRUSTED_SHARE,
            given.revoke_seconds * READY_SHARE,
            source,
        )
        self._planner = planner.Planner(
            self.view,
            platform.seat,
            platform.engines,
            given.instance,
            source,
        )
        self._budget = budget
        self._roster = platform.roster
        self._has_joined = False
        self._stopped = eventlet.event.Event()

    def run(self) -> None:
        """Serve until a signal to stop, then end what runs."""
        signal.signal(signal.SIGTERM, self._stop)
        signal.signal(signal.SIGINT, self._stop)
        signal.signal(signal.SIGHUP, self._reload)
        self._deployments.start()
        self._servers.start()
        self._timers.subscribe(
            'logs', logs.REPORT_SECONDS, self._log.handler.report
        )
        self._timers.subscribe(
            'planner', planner.POLL_SECONDS, self._planner.poll
        )
        self._timers.subscribe(
            'queue',
            path_selector.WAKE_INTERVAL_SECONDS,
            self._chooser.wake_waiter,
        )
        eventlet.spawn(self._count)
        self._timers.subscribe('roster', ROSTER_SECONDS, self._count)
        self._serve_metrics()
        self._listen(
            self._settings.ready_address, callers.Readiness(self.application)
        )
        listener = self._listen(
            self._settings.callers_address, self.application
        )
        LOG.info(
            'started',
            extra={
                'callers': self._settings.callers_address,
                'ready': self._settings.ready_address,
                'metrics': self._settings.metrics_address,
            },
        )
        self._stopped.wait()
        self._leave(listener)

    def _count(self) -> None:
        """Count the gateways that share the budget of retries."""
        if not self._has_joined:
            failure = self._roster.register()
            if failure:
                LOG.warning(
                    'not on the roster', extra={'reason': str(failure)}
                )
                return
            self._has_joined = True
        found = self._roster.count()
        if isinstance(found, failures.Failure):
            LOG.warning('roster not read', extra={'reason': str(found)})
            return
        count = max(1, found)
        if count != self._budget.gateways:
            LOG.info(
                'gateways counted',
                extra={'count': count, 'before': self._budget.gateways},
            )
        self._budget.gateways = count
        self._chooser.gateway_count = count

    def store_answered(
        self, call: str, seconds: float, failure: failures.Failure | None
    ) -> None:
        """Measure the end of a call to the store."""
        self._metrics.timing('store.call', seconds)
        if failure:
            self._metrics.count('store.failed')

    def _leave(self, listener: object) -> None:
        """Refuse nothing, but end: new callers are sent elsewhere."""
        began = timers.now()
        self.application.is_leaving = True
        LOG.info('stopping', extra={'running': self.application.running})
        eventlet.sleep(ACCEPT_SECONDS)
        # Callers that still come are refused unrun, or find no listener: what
        # is begun now might not end before the process is killed.
        self.application.is_closed = True
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        until = began + self._settings.grace_seconds - EXIT_MARGIN_SECONDS
        while self.application.running and timers.now() < until:
            eventlet.sleep(POLL_SECONDS)
        LOG.info(
            'stopped',
            extra={
                'running': self.application.running,
                'seconds': round(timers.now() - began, 3),
            },
        )
        self._log.close()

    def _listen(self, address: ids.Address, application: object) -> object:
        sock = eventlet.listen(addresses.split(address), backlog=BACKLOG)
        eventlet.spawn(
            eventlet.wsgi.server,
            sock,
            application,
            log_output=False,
            keepalive=DEFAULT_IDLE_SECONDS,
            socket_timeout=SOCKET_SECONDS,
            max_size=CONNECTIONS,
            minimum_chunk_size=1,
            debug=False,
        )
        return sock

    def _serve_metrics(self) -> None:
        self._metrics.gauge('log.lines_dropped', lambda: self._log.dropped)
        self._metrics.gauge(
            'configuration.age_seconds', lambda: self.view.configuration_age
        )
        self._metrics.gauge(
            'servers.age_seconds', lambda: self.view.server_list_age
        )
        self._metrics.gauge(
            'requests.running', lambda: self.application.running
        )
        self._listen(
            self._settings.metrics_address,
            prometheus_client.make_wsgi_app(self._metrics.registry),
        )

    def _stop(self, number: int, frame: object) -> None:
        if not self._stopped.ready():
            self._stopped.send(number)

    def _reload(self, number: int, frame: object) -> None:
        LOG.info('reload asked for; all settings hold until the next start')
