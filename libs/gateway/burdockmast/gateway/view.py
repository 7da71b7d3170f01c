"""A gateway's view of the configuration and the backend servers."""

import collections
from collections.abc import Collection
from collections.abc import Iterable
import math

from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import config
from burdockmast.gateway import failing_servers
from burdockmast.gateway import leaving_servers
from burdockmast.gateway import object_follower
from burdockmast.gateway import server_states
from burdockmast.gateway.admission import policy

LOG = logs.get('view')

# Time for which a server that refused a request gets none: a full server has
# room again when one of its answers ends.
REST_SECONDS = 0.3
# Faults of a configuration that a log line shows.
MAX_LOGGED_FAULTS = 5


class View:
    """The newest configuration, the listed servers and their local state.

    The state is which servers have failed or rest, when each was last active
    and how many plain calls of this gateway run there.
    """

    def __init__(
        self,
        configurations: object_follower.Follower[config.Configuration],
        servers: object_follower.Follower[backends.BackendServer],
        leaving: leaving_servers.LeavingServers,
    ):
        """Create a view of the followed configurations and servers.

        :param leaving: servers that are not ready, whatever the store says
        """
        self._leaving = leaving
        self._configurations = configurations
        self._servers = servers
        self._rests_until: dict[ids.ServerId, float] = {}
        self._states = server_states.ServerStates()
        self._failing = failing_servers.FailingServers()
        self._running_by_server: collections.Counter[ids.ServerId] = (
            collections.Counter()
        )
        self._configuration: config.Configuration | None = None
        self._pause_objective_by_service: dict[ids.ServiceId, float] = {}
        self._policy_by_service: dict[ids.ServiceId, policy.Policy] = {}
        # Since when the store has held none that can be read.
        self._unreadable_since: float | None = None
        configurations.on_change.append(self._apply_newest)
        self._last_activity: dict[ids.ServerId, float] = {}
        self._ready_servers: set[ids.ServerId] = set()
        servers.on_change.append(self._drop_unlisted)
        servers.on_change.append(self._log_leaving)

    @property
    def configuration(self) -> config.Configuration | None:
        """The newest configuration, None before the first is known."""
        return self._configuration

    def caller_limits(self) -> config.CallerLimits:
        """Return the limits in force, or defaults before any are known."""
        if self._configuration is None:
            return config.CallerLimits()
        return self._configuration.limits

    def _apply_newest(self) -> None:
        """Put the newest configuration in force.

        A store that was restored may hold an older one for a while, which does
        not replace it.
        """
        self._check_readable()
        for found in self._configurations.item_by_name.values():
            before = self._configuration.version if self._configuration else 0
            if self._configuration is None or found.version > before:
                self._configuration = found
                self._pause_objective_by_service = _pause_objectives(found)
                self._policy_by_service = policy.policy_by_service(found)
                LOG.info(
                    'configuration applied',
                    extra={
                        'version': found.version,
                        'before': before,
                        'era': self._configurations.era,
                        'api_keys': _key_count(found.authentication),
                        'controls_admission': self.controls_admission,
                    },
                )
                _log_faults(found)

    @property
    def configuration_faults(self) -> int:
        """Number of fields of the configuration that can't be read."""
        return len(self._configuration.faults) if self._configuration else 0

    @property
    def is_configuration_unreadable(self) -> bool:
        """Whether the store holds a configuration of which nothing is read."""
        return self._unreadable_since is not None

    def _check_readable(self) -> None:
        """Record since when the store has held no readable configuration."""
        if self._configurations.item_by_name:
            self._unreadable_since = None
        elif self._configuration and self._unreadable_since is None:
            # It may have become unreadable right after the last check.
            self._unreadable_since = timers.boottime_now() - (
                self._configurations.age
            )
            LOG.warning(
                'store holds no readable configuration; keeping the last one',
                extra={'version': self._configuration.version},
            )

    @property
    def configuration_age(self) -> float:
        """Seconds since the configuration was last confirmed.

        One that can't be read confirms nothing: it may have revoked keys.
        """
        if self._unreadable_since is None:
            return self._configurations.age
        unreadable_seconds = timers.boottime_now() - self._unreadable_since
        return max(self._configurations.age, unreadable_seconds)

    @property
    def server_list_age(self) -> float:
        """Seconds since the list of servers was last confirmed."""
        return self._servers.age

    def model_services(self) -> list[config.Service]:
        """Return the services whose servers hold layers of a model."""
        current = self.configuration
        if current is None:
            return []
        return [s for s in current.service_by_id.values() if s.engine]

    def pause_objective(self, service: ids.ServiceId) -> float:
        """Return the strictest pause between events that routes allow.

        It is in seconds, 0 if no route to the service names any.
        """
        return self._pause_objective_by_service.get(service, 0.0)

    def admission_policy(self, service: ids.ServiceId) -> policy.Policy:
        """Return which admission decisions apply to a service."""
        return self._policy_by_service.get(service, policy.OFF)

    @property
    def controls_admission(self) -> bool:
        """Whether admission decisions apply to any service."""
        return any(p.is_contended for p in self._policy_by_service.values())

    def listed(self, service: ids.ServiceId) -> list[backends.BackendServer]:
        """Return all listed servers of a service."""
        return [
            self._leaving.as_known(server)
            for server in self._servers.item_by_name.values()
            if server.service == service
        ]

    def server(self, server: ids.ServerId) -> backends.BackendServer | None:
        """Return a listed server."""
        found = self._servers.item_by_name.get(server)
        return self._leaving.as_known(found) if found else None

    def usable(
        self,
        service: ids.ServiceId,
        excluded: Iterable[ids.ServerId] = (),
        may_rest: bool = False,
    ) -> list[backends.BackendServer]:
        """Return servers that may get new requests, those to avoid last.

        :param may_rest: include those that have just refused a request
        """
        now = timers.now()
        lost = self._states.in_state(server_states.State.LOST)
        found = [
            server
            for server in self.listed(service)
            if server.is_ready
            and server.id not in excluded
            and server.id not in lost
            and (may_rest or self._rests_until.get(server.id, 0.0) <= now)
        ]
        avoided = self._avoided()
        if avoided:
            found.sort(key=lambda server: server.id in avoided)
        return found

    def preferred(
        self,
        service: config.Service,
        excluded: Iterable[ids.ServerId] = (),
        may_rest: bool = False,
    ) -> list[backends.BackendServer]:
        """Return the usable servers, those to avoid only if needed.

        :param may_rest: see ``usable``
        """
        return server_states.spare(
            service.engine,
            self.usable(service.id, excluded, may_rest),
            self._avoided(),
        )

    def _avoided(self) -> set[ids.ServerId]:
        """Return the servers that don't answer, or fail what they get."""
        unresponsive = self._states.in_state(server_states.State.UNRESPONSIVE)
        return unresponsive | self._failing.resting()

    def is_avoided(self, server: ids.ServerId) -> bool:
        """Return whether others are to be preferred to a server."""
        return server in self._avoided()

    def has_ended(self, incarnation: backends.Incarnation) -> bool:
        """Return whether an incarnation of a server has certainly ended."""
        listed = self._servers.item_by_name.get(incarnation.server)
        if listed is None:
            return False
        if listed.started_ms == incarnation.started_ms:
            return self._states.refuses_connections(incarnation.server)
        return listed.started_ms > incarnation.started_ms

    def fate_of(self, server: backends.BackendServer) -> server_states.Fate:
        """Return what has become of a start of a server, by the list.

        One whose entry is gone has ended unless it was leaving. Another start
        may have another id, at the same address.
        """
        listed = self._servers.item_by_name.get(server.id)
        if listed is None:
            if self._leaving.includes(server):
                return server_states.Fate.LEAVES
            return server_states.Fate.ENDED
        if any(
            other.started_ms > server.started_ms
            for other in self._servers.item_by_name.values()
            if other.id == server.id or other.address == server.address
        ):
            return server_states.Fate.ENDED
        if self._leaving.as_known(listed).is_ready:
            return server_states.Fate.RUNS
        return server_states.Fate.LEAVES

    def is_unresponsive(self, server: ids.ServerId) -> bool:
        """Return whether a server does not answer, but may be sound."""
        return self._states.state(server) is server_states.State.UNRESPONSIVE

    def _drop_unlisted(self) -> None:
        """Drop the state of servers that are no longer listed."""
        listed = self._servers.item_by_name
        for known in (self._rests_until, self._last_activity):
            for server in known.keys() - listed.keys():
                del known[server]
        self._states.keep_listed(listed)
        self._failing.keep(server.incarnation for server in listed.values())

    def _log_leaving(self) -> None:
        """Log servers that no longer accept requests, and who said so."""
        listed = self._servers.item_by_name
        ready = {server.id for server in listed.values() if server.is_ready}
        for server in self._ready_servers - ready:
            LOG.info(
                'server accepts no more requests',
                extra={
                    'server': server,
                    'listed': server in listed,
                    'source': self._servers.source.value,
                    'revision': self._servers.revision,
                    'list_age': round(self.server_list_age, 3),
                },
            )
        self._ready_servers = ready

    def running_requests(self, server: ids.ServerId) -> int:
        """Return how many requests of this gateway run at a server."""
        return self._running_by_server[server]

    def add_request(self, servers: Iterable[ids.ServerId]) -> None:
        """Count a request as running at servers."""
        self._running_by_server.update(servers)

    def remove_request(self, servers: Iterable[ids.ServerId]) -> None:
        """Stop counting a request at servers."""
        self._running_by_server.subtract(servers)

    def record_activity(self, servers: Iterable[ids.ServerId]) -> None:
        """Record that a stream through these servers just sent an event."""
        now = timers.now()
        for server in servers:
            self._last_activity[server] = now
            if self._states.record_event(server):
                self._log_answer(server)

    def all_active_since(
        self, servers: Iterable[ids.ServerId], since: float
    ) -> bool:
        """Return whether all of the servers were active since a time.

        :param since: monotonic seconds
        """
        return all(self._last_activity.get(s, 0.0) >= since for s in servers)

    def failed_since(
        self, servers: Iterable[ids.ServerId], since: float
    ) -> list[ids.ServerId]:
        """Return those of the servers that are not sound since a time.

        :param since: monotonic seconds
        """
        return self._states.failed_since(servers, since)

    def is_lost(self, server: ids.ServerId) -> bool:
        """Return whether a server was found lost."""
        return self._states.state(server) is server_states.State.LOST

    def rest(self, server: ids.ServerId, reason: str, request: str) -> None:
        """Give a server that refused a request a rest from new ones."""
        self._rests_until[server] = timers.now() + REST_SECONDS
        self._log_ejection(server, reason, request, 'rests')

    def record_failed_request(
        self, server: ids.ServerId, reason: str, request: str
    ) -> None:
        """Record that a server failed a request that began at it."""
        listed = self._servers.item_by_name.get(server)
        if listed and self._failing.record_failure(listed.incarnation):
            self._log_ejection(server, reason, request, 'fails requests')

    def record_served_request(self, server: ids.ServerId) -> None:
        """Record that a server serves a request that began at it."""
        listed = self._servers.item_by_name.get(server)
        if listed:
            self._failing.record_success(listed.incarnation)

    def record_failure(
        self,
        server: ids.ServerId,
        evidence: server_states.Evidence,
        reason: str,
        request: str,
    ) -> None:
        """Record evidence that a server may be lost."""
        listed = self._servers.item_by_name.get(server)
        if listed is None:
            return
        self._states.record(listed, evidence)
        state = self._states.state(server)
        self._log_ejection(server, reason, request, state.value)

    def record_failure_at(
        self,
        addresses: Collection[ids.Address],
        evidence: server_states.Evidence,
        reason: str,
        request: str,
    ) -> None:
        """Record evidence against the servers at some addresses.

        :param addresses: a set; a server in trouble may name many
        """
        for server in self._servers.item_by_name.values():
            if server.address in addresses:
                self.record_failure(server.id, evidence, reason, request)

    def record_answer(self, server: ids.ServerId) -> None:
        """Record that a server has answered this gateway."""
        if self._states.record_answer(server):
            self._log_answer(server)

    def _log_ejection(
        self, server: ids.ServerId, reason: str, request: str, state: str
    ) -> None:
        LOG.info(
            'server ejected',
            extra={
                'server': server,
                'state': state,
                'reason': reason,
                'request': request,
                'list_age': round(self.server_list_age, 3),
            },
        )

    def _log_answer(self, server: ids.ServerId) -> None:
        LOG.info('server answers again', extra={'server': server})


def _log_faults(configuration: config.Configuration) -> None:
    if configuration.faults:
        LOG.warning(
            'fields of the configuration cannot be read',
            extra={
                'version': configuration.version,
                'count': len(configuration.faults),
                'first': configuration.faults[:MAX_LOGGED_FAULTS],
            },
        )


def _pause_objectives(
    configuration: config.Configuration,
) -> dict[ids.ServiceId, float]:
    """Return the strictest pause objective of the routes to each service."""
    found: dict[ids.ServiceId, float] = {}
    for routes in configuration.routes_by_host.values():
        for route in routes:
            if not route.gap_objective_seconds:
                continue
            for service in route.weight_by_service:
                found[service] = min(
                    route.gap_objective_seconds,
                    found.get(service, math.inf),
                )
    return found


def _key_count(authentication: config.Authentication) -> int | None:
    """Return how many API keys are in force, None if callers need none."""
    match authentication:
        case config.NoAuthentication():
            return None
        case config.ApiKeyAuthentication(organisation_by_api_key=holders):
            return len(holders)
