"""Finds out which servers of a silent path accept connections.

The load: a server dies that dozens of answers pass. A report would tell, but
servers are asked for those about once a second, and busy ones answer late. A
server that runs accepts a connection within a round trip, however busy it is.
"""

from collections.abc import Iterable
import socket

import eventlet

from burdockmast.base import addresses
from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import reports
from burdockmast.gateway import server_states
from burdockmast.gateway import upstream
from burdockmast.gateway import view

# Least time between two probes of a server.
INTERVAL_SECONDS = 0.25


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
        # Monotonic seconds at which the latest probe of a server began, and
        # at which it last accepted one.
        self._began_at: dict[ids.ServerId, float] = {}
        self._accepted_at: dict[ids.ServerId, float] = {}

    def ask(
        self, servers: Iterable[backends.BackendServer], request: ids.RequestId
    ) -> None:
        """Probe servers in background tasks, skipping those just probed.

        :param request: that is silent, for logs
        """
        now = timers.now()
        for server in servers:
            began_at = self._began_at.get(server.id)
            if began_at is None or now >= began_at + INTERVAL_SECONDS:
                self._began_at[server.id] = now
                eventlet.spawn_n(self._probe, server, request)

    def has_accepted_since(self, server: ids.ServerId, since: float) -> bool:
        """Return whether a server is known to run since a time.

        One that was probed just before is not asked again.

        :param since: monotonic seconds
        """
        accepted_at = self._accepted_at.get(server, float('-inf'))
        return accepted_at >= since - INTERVAL_SECONDS

    def unanswered_seconds(self, server: ids.ServerId) -> float:
        """Return for how long the latest probe has not been accepted.

        It is 0 if the server has relayed an event since the probe began.
        """
        began_at = self._began_at.get(server)
        if (
            began_at is None
            or began_at <= self._accepted_at.get(server, float('-inf'))
            or self._view.all_active_since([server], began_at)
        ):
            return 0.0
        return timers.now() - began_at

    def drop_unlisted(self) -> None:
        """Drop what is known of servers that are no longer listed."""
        for known in (self._began_at, self._accepted_at):
            for server in list(known):
                if self._view.server(server) is None:
                    del known[server]

    def _probe(
        self, server: backends.BackendServer, request: ids.RequestId
    ) -> None:
        with upstream.BoundedSocket(
            socket.AF_INET, socket.SOCK_STREAM
        ) as sock:
            sock.settimeout(upstream.CONNECT_TIMEOUT_SECONDS)
            try:
                sock.connect(addresses.split(server.address))
            except ConnectionRefusedError as error:
                self._view.record_failure(
                    server.id,
                    server_states.Evidence.CONNECTION_REFUSED,
                    f'probe failed: {error}',
                    request,
                )
                self._reports.record_lost(server.id)
            except OSError:
                # It may only be cut off; its age tells.
                return
            else:
                self._accepted_at[server.id] = timers.now()
