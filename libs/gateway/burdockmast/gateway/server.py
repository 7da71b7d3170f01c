"""Assembles a gateway process and runs it until it gets a stop signal."""

from collections.abc import Callable
import dataclasses
import functools
import math
import random
import signal

import eventlet
import eventlet.event
import prometheus_client

from burdockmast.base import failures
from burdockmast.base import logs
from burdockmast.base import metrics
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import buffers
from burdockmast.gateway import caller_connections
from burdockmast.gateway import calls
from burdockmast.gateway import config
from burdockmast.gateway import crash_suspects
from burdockmast.gateway import interfaces
from burdockmast.gateway import leaving_servers
from burdockmast.gateway import memory
from burdockmast.gateway import neighbour_link
from burdockmast.gateway import neighbours
from burdockmast.gateway import object_follower
from burdockmast.gateway import path_selector
from burdockmast.gateway import planner
from burdockmast.gateway import quarantine
from burdockmast.gateway import relays
from burdockmast.gateway import reports
from burdockmast.gateway import retries
from burdockmast.gateway import retry_allowance
from burdockmast.gateway import retry_slots
from burdockmast.gateway import server_limits
from burdockmast.gateway import settings
from burdockmast.gateway import streams
from burdockmast.gateway import view
from burdockmast.gateway import wsgi
from burdockmast.gateway.admission import full_servers
from burdockmast.gateway.admission import pressure
from burdockmast.gateway.balance import zone_balance
from burdockmast.gateway.crashes import broken_attempts
from burdockmast.gateway.intake import connection_limits
from burdockmast.gateway.intake import held_bytes
from burdockmast.gateway.intake import limits
from burdockmast.gateway.intake import shared
from burdockmast.gateway.rerouting import probes
from burdockmast.gateway.rerouting import rerouter
from burdockmast.gateway.store_calls import listing_schedule
from burdockmast.gateway.store_calls import watch_duty

LOG = logs.get('gateway')

# Longest wait of one call for configuration changes. Keys are trusted only
# while the configuration was confirmed within the key revocation time.
CONFIGURATION_WAIT_SECONDS = 1.4
# Least time between two listings of the configuration that neighbours cause,
# where admission is controlled. In a quick series of changes, each gateway
# would otherwise list it for each of them.
CONFIGURATION_INTERVAL_SECONDS = 1.0
# Longest wait of one call for changes to the list of servers.
SERVERS_WAIT_SECONDS = 3.0
# Time for which a gateway that has started waits for news of others before it
# tells its own. They come every 0.1 s, in large zones every 0.4 s.
QUIET_SECONDS = 0.5
# Share of the key revocation time for which an unconfirmed configuration is
# trusted; the rest allows for requests in transit to this gateway.
TRUSTED_AGE_SHARE = 0.95
# Share of that time after which the readiness check fails, so that gateways
# that can reach the store get the new requests.
READY_AGE_SHARE = 0.5
# A gateway accepts requests for this long after its stop signal: the load
# balancer checks readiness once a second and gives up after two failures. What
# is sent later than 3 s after the signal must not be cut by the stop.
DRAIN_ACCEPT_SECONDS = 2.8
# The process exits this long before its grace period ends.
EXIT_MARGIN_SECONDS = 0.5
# Requests that still wait for an answer get one this long before the exit.
ANSWER_MARGIN_SECONDS = 0.3
DRAIN_POLL_SECONDS = 0.05
# Connections to the metrics address, of which a scraper needs one.
MAX_SCRAPERS = 50
# Time after which a registration shows in the list, which may be stale.
REGISTERED_SECONDS = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Adapters to the platform that a gateway runs on."""

    configurations: interfaces.Feed[config.Configuration]
    servers: interfaces.Feed[backends.BackendServer]
    planner_lock: interfaces.PlannerLock
    gateway_registry: interfaces.GatewayRegistry
    quarantine_registry: interfaces.QuarantineRegistry
    retry_slots: interfaces.RetrySlotRegistry
    engines: interfaces.EngineClient
    header_codec: interfaces.HeaderCodec


class Gateway:
    """One gateway process."""

    def __init__(
        self, gateway_settings: settings.Settings, platform: Platform
    ):
        """Create the components without starting them."""
        rng = random.Random()
        self._settings = gateway_settings
        self._metrics = metrics.Metrics()
        self._timers = timers.TimerService()
        self._log = logs.Log.from_config(
            'info',
            {
                'instance': gateway_settings.instance,
                'zone': gateway_settings.zone,
            },
        )
        self._neighbours = neighbours.Neighbours(gateway_settings.record, rng)
        duty = watch_duty.WatchDuty(
            self._neighbours,
            lambda: self.view.controls_admission,
            lambda: self._configurations,
        )
        self._configurations = object_follower.Follower(
            'configuration',
            platform.configurations,
            CONFIGURATION_WAIT_SECONDS,
            is_watcher=duty.watches,
            bound_seconds=gateway_settings.apply_seconds,
            is_relied_on=duty.is_relied_on,
            quiet_seconds=QUIET_SECONDS,
            change_interval=self._configuration_interval,
        )
        self._servers = object_follower.Follower(
            'servers',
            platform.servers,
            SERVERS_WAIT_SECONDS,
            keeps_expired=True,
            is_older=backends.BackendServer.is_older_than,
            is_watcher=duty.watches,
            relayed_type=backends.BackendServer,
            bound_seconds=gateway_settings.drain_seconds,
            is_relied_on=duty.is_relied_on,
            quiet_seconds=QUIET_SECONDS,
        )
        self._leaving = leaving_servers.LeavingServers()
        self.view = view.View(
            self._configurations, self._servers, self._leaving
        )
        split = retry_slots.Split.from_slack(gateway_settings.retry_slack)
        budget = retry_allowance.RetryAllowance(
            gateway_settings.neighbours_address,
            retries.Budget(
                gateway_settings.retry_ratio,
                split,
                gateway_settings.retry_window,
            ),
            retry_slots.SlotTable(
                gateway_settings.neighbours_address,
                split,
                gateway_settings.retry_window,
                platform.retry_slots.boot,
            ),
            platform.retry_slots,
            duty.watches,
            self._metrics,
            rng,
        )
        memory_bytes = gateway_settings.memory_mb * buffers.BYTES_PER_MB
        self._replies = buffers.BufferPool(
            memory_bytes * buffers.REPLIES_SHARE
        )
        self._uploads = buffers.BufferPool(
            memory_bytes * buffers.REQUESTS_SHARE, held_bytes.choose_evicted
        )
        self._intake = shared.Intake(
            dataclasses.replace(
                gateway_settings.intake,
                max_connections=connection_limits.max_connections(
                    gateway_settings.intake.max_connections,
                    gateway_settings.max_descriptors,
                ),
            ),
            self._metrics,
            self._uploads,
        )
        usage = memory.Usage()
        self._suspects = crash_suspects.CrashSuspects()
        self._limits = server_limits.ServerLimits(
            gateway_settings.instance, self._neighbours.known_gateways, rng
        )
        server_reports = reports.ServerReports(
            self.view, platform.engines, rng
        )
        self._servers.on_change.append(server_reports.drop_unlisted)
        self._pressure = pressure.Pressure(
            self.view.admission_policy, gateway_settings.zone
        )
        balance = zone_balance.ZoneBalance(
            gateway_settings.instance,
            gateway_settings.zone,
            self.view,
            usage,
            self._neighbours,
            server_reports,
            self._metrics,
            rng,
        )
        self._full = full_servers.FullServers(rng)
        self._servers.on_change.append(
            lambda: self._full.keep(self._servers.item_by_name.values())
        )
        self._path_selector = path_selector.PathSelector(
            self.view,
            server_reports,
            usage,
            self._neighbours,
            gateway_settings.zone,
            rng,
            self._limits,
            waiting=self._pressure,
            full=self._full,
            balance=balance,
        )
        connections = probes.ConnectionProbes(self.view, server_reports)
        self._servers.on_change.append(connections.drop_unlisted)
        broken = broken_attempts.BrokenAttempts(
            self._suspects, self.view.fate_of
        )
        self._servers.on_change.append(broken.check)
        self._neighbour_link = neighbour_link.NeighbourLink(
            gateway_settings.neighbours_address,
            self._neighbours,
            usage,
            server_reports,
            relays.Relay(
                gateway_settings.instance,
                {
                    'configuration': self._configurations,
                    'servers': self._servers,
                },
            ),
            self._suspects,
            self._limits,
            self._leaving,
            self._pressure,
            balance,
            self._full,
            lambda: self.view.configuration_age,
            gateway_settings.datagram_limits,
            self._intake.count,
        )
        self.application = wsgi.Application(
            self.view,
            platform.header_codec,
            calls.CallProxy(
                self.view,
                platform.header_codec,
                budget,
                gateway_settings.zone,
                rng,
                self._suspects,
                self._limits,
                self._leaving,
                broken,
            ),
            streams.StreamProxy(
                self.view,
                platform.header_codec,
                budget,
                self._path_selector,
                self._metrics,
                self._suspects,
                self._limits,
                self._leaving,
                self._replies,
                rerouter.Rerouter(
                    self.view,
                    platform.engines,
                    self._path_selector,
                    connections,
                    self._metrics,
                    gateway_settings.changes_paths,
                ),
                broken,
            ),
            budget,
            self._uploads,
            self._replies,
            self._metrics,
            gateway_settings.revoke_seconds * TRUSTED_AGE_SHARE,
            gateway_settings.revoke_seconds * READY_AGE_SHARE,
            rng,
            self._neighbours,
            self._intake,
        )
        self._planner = planner.Planner(
            self.view,
            platform.planner_lock,
            platform.engines,
            gateway_settings.instance,
            rng,
            self._neighbours.is_watcher,
        )
        self._quarantine_keeper = quarantine.QuarantineKeeper(
            self._suspects,
            platform.quarantine_registry,
            self._neighbours.is_watcher,
        )
        self._budget = budget
        self._gateway_registry = platform.gateway_registry
        self._listing_schedule = listing_schedule.ListingSchedule(
            lambda: self.view.controls_admission
        )
        self._is_registered = False
        self._registered_at = 0.0
        self._restored_at = float('-inf')
        self._configurations.on_restore.append(self._on_restore)
        self._stop_requested = eventlet.event.Event()
        self._stopped_at = math.inf

    def run(self) -> None:
        """Serve until a stop signal, then let running requests complete."""
        signal.signal(signal.SIGTERM, self._stop)
        signal.signal(signal.SIGINT, self._stop)
        signal.signal(signal.SIGHUP, self._ignore_reload)
        self.start_following()
        self._serve_metrics()
        caller_connections.CallerConnections(
            self._settings.ready_address,
            wsgi.Readiness(self.application),
            config.CallerLimits,
        )
        callers = caller_connections.CallerConnections(
            self._settings.callers_address,
            self.application,
            self.view.caller_limits,
            self._intake,
        )
        LOG.info(
            'started',
            extra={
                'callers': self._settings.callers_address,
                'ready': self._settings.ready_address,
                'metrics': self._settings.metrics_address,
            },
        )
        self._stop_requested.wait()
        self._shut_down(callers)

    def start_following(self) -> None:
        """Start to follow the store and to exchange messages."""
        self._configurations.start()
        self._servers.start()
        self._neighbour_link.start()
        self._timers.subscribe(
            'neighbours',
            neighbours.MIN_INTERVAL_SECONDS / 2,
            self._neighbour_link.send_due,
        )
        self._timers.subscribe(
            'logs', logs.REPORT_SECONDS, self._log.handler.report_lost_lines
        )
        self._timers.subscribe(
            'planner', planner.POLL_SECONDS, self._planner.poll
        )
        self._timers.subscribe(
            'queue',
            path_selector.WAKE_INTERVAL_SECONDS,
            self._path_selector.wake_waiter,
        )
        eventlet.spawn(self._count_gateways)
        self._timers.subscribe(
            'roster',
            listing_schedule.MIN_INTERVAL_SECONDS,
            self._count_gateways,
        )
        eventlet.spawn(self._quarantine_keeper.sync)
        self._timers.subscribe(
            'quarantine',
            quarantine.SYNC_INTERVAL_SECONDS,
            self._quarantine_keeper.sync,
        )
        eventlet.spawn(self._budget.sync)
        self._timers.subscribe(
            'retries', retry_allowance.SYNC_INTERVAL_SECONDS, self._budget.sync
        )

    def _configuration_interval(self) -> float:
        """Return the least seconds between listings of the configuration."""
        if self.view.controls_admission:
            return CONFIGURATION_INTERVAL_SECONDS
        return 0.0

    def _on_restore(self) -> None:
        """Write again what the store may have lost."""
        self._is_registered = False
        self._restored_at = timers.now()
        self._quarantine_keeper.write_again()

    def _count_gateways(self) -> None:
        """Register this gateway, then count all that share the fleet."""
        if not self._is_registered:
            failure = self._gateway_registry.register()
            if failure:
                LOG.warning(
                    'registering this gateway failed; retrying later',
                    extra={'reason': str(failure)},
                )
                return
            self._is_registered = True
            self._registered_at = timers.now()
        if timers.now() < self._restored_at + REGISTERED_SECONDS:
            # Others may not have registered again yet.
            return
        if not self._listing_schedule.is_due():
            return
        found = self._gateway_registry.list()
        if isinstance(found, failures.Failure):
            LOG.warning(
                'counting gateways failed; keeping the last count',
                extra={'reason': str(found)},
            )
            return
        self._listing_schedule.record(found)
        self._neighbours.set_registered(found)
        if (
            self._settings.record not in found
            and timers.now() > self._registered_at + REGISTERED_SECONDS
        ):
            # Another gateway may have taken this one for gone.
            self._is_registered = False
        self._unregister_gone()
        count = max(1, len(found))
        if count != self._budget.gateway_count:
            LOG.info(
                'number of gateways changed',
                extra={'count': count, 'before': self._budget.gateway_count},
            )
        self._budget.gateway_count = count
        names = sorted(gateway.name for gateway in found)
        self._budget.position = (
            names.index(self._settings.instance)
            if self._settings.instance in names
            else None
        )
        self._path_selector.gateway_count = count

    def _unregister_gone(self) -> None:
        for name in self._neighbours.gone_gateways():
            failure = self._gateway_registry.remove(name)
            LOG.info(
                'unregistering a gateway that is gone',
                extra={
                    'gateway': name,
                    'outcome': str(failure) if failure else 'removed',
                },
            )

    def record_store_call(
        self, call: str, seconds: float, failure: failures.Failure | None
    ) -> None:
        """Record a finished call to the store in the metrics."""
        self._metrics.timing('store.call', seconds)
        if failure:
            self._metrics.count('store.failed')

    def _shut_down(
        self, callers: caller_connections.CallerConnections
    ) -> None:
        """Fail the readiness check, then stop listening and drain."""
        began = self._stopped_at
        LOG.info('stopping', extra={'running': self.application.running_count})
        eventlet.sleep(max(0.0, began + DRAIN_ACCEPT_SECONDS - timers.now()))
        # Requests that still arrive find no listener, or are refused without
        # running: they might not complete before the process is killed.
        callers.stop_accepting()
        until = began + self._settings.grace_seconds - EXIT_MARGIN_SECONDS
        _wait_while(
            lambda: self.application.running_count,
            until - ANSWER_MARGIN_SECONDS,
        )
        self.application.end_unanswered()
        # The store may be silent; the stop doesn't wait for it.
        eventlet.spawn(self._budget.release_unused)
        callers.close_idle()
        _wait_while(lambda: callers.open_count, until)
        LOG.info(
            'stopped',
            extra={
                'running': self.application.running_count,
                'connections': callers.open_count,
                'seconds': round(timers.now() - began, 3),
            },
        )
        self._log.close()

    def _serve_metrics(self) -> None:
        self._metrics.gauge('log.lines_dropped', lambda: self._log.dropped)
        self._metrics.gauge(
            'configuration.age_seconds', lambda: self.view.configuration_age
        )
        self._metrics.gauge(
            'configuration.unreadable_fields',
            lambda: self.view.configuration_faults,
        )
        self._metrics.gauge(
            'configuration.is_unreadable',
            lambda: self.view.is_configuration_unreadable,
        )
        self._metrics.gauge(
            'servers.age_seconds', lambda: self.view.server_list_age
        )
        self._metrics.gauge(
            'quarantine.fingerprints',
            lambda: len(self._suspects.quarantined()),
        )
        for name, pool in (
            ('replies', self._replies),
            ('uploads', self._uploads),
        ):
            self._metrics.gauge(
                f'{name}.held_bytes',
                functools.partial(getattr, pool, 'held_bytes'),
            )
            self._metrics.gauge(
                f'{name}.given_up',
                functools.partial(getattr, pool, 'given_up_count'),
            )
        for name, is_complete in (('waiting', False), ('read', True)):
            self._metrics.gauge(
                f'intake.{name}_bytes',
                functools.partial(self._uploads.sum_bytes, is_complete),
            )
        self._metrics.gauge(
            'intake.waiting_bodies', lambda: self._intake.waiting_count
        )
        self._metrics.gauge(
            'neighbours.largest_sent_bytes',
            lambda: self._neighbour_link.largest_sent_bytes,
        )
        self._metrics.gauge(
            'servers.unreadable_limits', lambda: self._limits.unreadable_count
        )
        self._metrics.gauge(
            'servers.resting', lambda: self._limits.resting_count
        )
        self._metrics.gauge(
            'planner.refused_takeovers',
            lambda: self._planner.refused_takeovers,
        )
        self._metrics.gauge(
            'retries.slots_held', lambda: self._budget.held_count
        )
        self._metrics.gauge(
            'admission.limited_servers',
            lambda: self._full.limited_count(memory.FULL_SHARE),
        )
        self._metrics.gauges(
            'admission.share', 'priority', self._pressure.shares
        )
        self._metrics.gauge(
            'requests.running', lambda: self.application.running_count
        )
        caller_connections.CallerConnections(
            self._settings.metrics_address,
            prometheus_client.make_wsgi_app(self._metrics.registry),
            config.CallerLimits,
            shared.Intake(limits.Limits(MAX_SCRAPERS)),
        )

    def _stop(self, number: int, frame: object) -> None:
        if not self._stop_requested.ready():
            # The event loop may notice the request later.
            self._stopped_at = timers.now()
            self.application.is_draining = True
            # Compared when a request is admitted: a task that waits for this
            # time may run only after requests that came later have been read.
            self.application.rejects_at = (
                self._stopped_at + DRAIN_ACCEPT_SECONDS
            )
            self._stop_requested.send(number)

    def _ignore_reload(self, number: int, frame: object) -> None:
        LOG.info('reload signal ignored; settings change only on restart')


def _wait_while(condition: Callable[[], object], until: float) -> None:
    while condition() and timers.now() < until:
        eventlet.sleep(DRAIN_POLL_SECONDS)
