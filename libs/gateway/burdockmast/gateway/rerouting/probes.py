"""Finds out which servers of a silent path accept connections.

The load: a server dies that dozens of answers pass. A report would tell, but
servers are asked for those about once a second, and busy ones answer late. A
server that runs accepts a connection within a round trip, however busy it is.
"""

from collections.abc import Iterable
import dataclasses
import socket

import eventlet

from burdockmast.base import addresses
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import reports
from burdockmast.gateway import server_states
from burdockmast.gateway import upstream
from burdockmast.gateway import view

LOG = logs.get('rerouting')

# Least time between two probes of a server.
INTERVAL_SECONDS = 0.25
# Probes of this gateway, and most at once: as many as a path has servers. A
# slow phase silences many answers, and probes would slow the gateway further.
MAX_PER_SECOND = 32
MAX_AT_ONCE = 16
# Suspension of the machine after which probes say nothing any more: answers
# may have been lost, and what accepted a connection may have ended.
MAX_SUSPENDED_SECONDS = 0.02


@dataclasses.dataclass(slots=True)
class _Probe:
    """The latest probe of a server.

    :ivar began_at: monotonic seconds at which it was ordered, or at which it
        began to connect
    :ivar sock: that connects, None before it does and after a local error
    """

    began_at: float
    sock: upstream.BoundedSocket | None = None

    def is_unanswered(self) -> bool:
        """Return whether the server has not accepted the connection.

        The kernel is asked: the event loop, or the whole process, may have
        been held up since the connection was made.
        """
        if self.sock is None:
            return False
        try:
            self.sock.getpeername()
        except OSError:
            return True
        return False


class ConnectionProbes:
    """Connections to servers that are opened only to see whether they run."""

    def __init__(
        self, fleet: view.View, server_reports: reports.ServerReports
    ):
        """Create a record without probes.

        :param server_reports: are told about servers that refuse connections,
            so that neighbours look at them as well
        """
        self._view = fleet
        self._reports = server_reports
        self._latest: dict[ids.ServerId, _Probe] = {}
        # Monotonic seconds at which a server last accepted a probe.
        self._accepted_at: dict[ids.ServerId, float] = {}
        # Probes that may begin, as of a monotonic time.
        self._allowance = float(MAX_AT_ONCE)
        self._allowed_at = timers.now()
        self._suspended_seconds = _suspended_seconds()

    def ask(
        self, servers: Iterable[backends.BackendServer], request: ids.RequestId
    ) -> None:
        """Probe servers in background tasks, skipping those just probed.

        :param request: that is silent, for logs
        """
        self._forget_before_suspension()
        now = timers.now()
        self._allowance = min(
            MAX_AT_ONCE,
            self._allowance + (now - self._allowed_at) * MAX_PER_SECOND,
        )
        self._allowed_at = now
        for server in servers:
            if self._allowance < 1:
                return
            latest = self._latest.get(server.id)
            if latest is None or now >= latest.began_at + INTERVAL_SECONDS:
                probe = self._latest[server.id] = _Probe(now)
                self._allowance -= 1
                eventlet.spawn_n(self._run, probe, server, request)

    def has_accepted_since(self, server: ids.ServerId, since: float) -> bool:
        """Return whether a server is known to run since a time.

        One that was probed just before is not asked again.

        :param since: monotonic seconds
        """
        self._forget_before_suspension()
        accepted_at = self._accepted_at.get(server, float('-inf'))
        return accepted_at >= since - INTERVAL_SECONDS

    def unanswered_seconds(self, server: ids.ServerId) -> float:
        """Return for how long the latest probe has not been accepted.

        It is 0 if the server has relayed an event since the probe began.
        """
        self._forget_before_suspension()
        probe = self._latest.get(server)
        if (
            probe is None
            or not probe.is_unanswered()
            or self._view.all_active_since([server], probe.began_at)
        ):
            return 0.0
        return timers.now() - probe.began_at

    def _forget_before_suspension(self) -> None:
        """Forget all probes if the machine was suspended since."""
        suspended_seconds = _suspended_seconds()
        if suspended_seconds > self._suspended_seconds + MAX_SUSPENDED_SECONDS:
            self._latest.clear()
            self._accepted_at.clear()
        self._suspended_seconds = suspended_seconds

    def drop_unlisted(self) -> None:
        """Drop what is known of servers that are no longer listed."""
        for known in (self._latest, self._accepted_at):
            for server in list(known):
                if self._view.server(server) is None:
                    del known[server]

    def _run(
        self,
        probe: _Probe,
        server: backends.BackendServer,
        request: ids.RequestId,
    ) -> None:
        try:
            with upstream.BoundedSocket(
                socket.AF_INET, socket.SOCK_STREAM
            ) as sock:
                probe.sock = sock
                # The event loop may have been busy since it was ordered.
                probe.began_at = timers.now()
                sock.settimeout(upstream.CONNECT_TIMEOUT_SECONDS)
                sock.connect(addresses.split(server.address))
                self._accepted_at[server.id] = timers.now()
                probe.sock = None
        except ConnectionRefusedError as error:
            self._record_failure(
                server,
                server_states.Evidence.CONNECTION_REFUSED,
                str(error),
                request,
            )
        except TimeoutError as error:
            # The closed socket keeps the probe unanswered.
            self._forget_before_suspension()
            if self._latest.get(server.id) is probe:
                self._record_failure(
                    server,
                    server_states.Evidence.NO_ANSWER,
                    str(error),
                    request,
                )
        except OSError as error:
            # Too many open files, for instance, say nothing about the server.
            probe.sock = None
            LOG.warning(
                'server can not be probed',
                extra={'server': server.id, 'reason': str(error)},
            )

    def _record_failure(
        self,
        server: backends.BackendServer,
        evidence: server_states.Evidence,
        reason: str,
        request: ids.RequestId,
    ) -> None:
        self._view.record_failure(
            server.id, evidence, f'probe failed: {reason}', request
        )
        self._reports.record_lost(server.id)


def _suspended_seconds() -> float:
    """Return for how long the machine has been suspended since its start."""
    return timers.boottime_now() - timers.now()
