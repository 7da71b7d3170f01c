"""Asks servers for reports, where answers are slow or refused.

Answers servers that turn slow: every answer through such a server is late,
and nothing fails. Reports cost, so only servers are asked whose paths give
reason to, and each one seldom.
"""

from collections.abc import Iterable
import dataclasses

import eventlet

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import interfaces
from burdockmast.gateway import view

LOG = logs.get('reports')

# Seconds for which a report of a slow server holds; then it gets some work,
# and is asked again if that is slow.
HOLD_SECONDS = 3.0
# Seconds for which a report of used memory holds: about an answer's length.
OCCUPANCY_SECONDS = 1.5
# Seconds between two questions to the same server.
ASK_SECONDS = 1.0
# Pace from which a server counts as slow.
SLOW_PACE = 1.3


@dataclasses.dataclass(frozen=True, slots=True)
class _Known:
    """What a server reported, and when in monotonic seconds."""

    slowdown: float
    occupancy: float
    at: float


class ServerReports:
    """What servers last reported to one gateway."""

    def __init__(self, fleet: view.View, engines: interfaces.EngineClient):
        """Create an empty record."""
        self._view = fleet
        self._engines = engines
        self._known_by_server: dict[ids.ServerId, _Known] = {}
        self._asked_at: dict[ids.ServerId, float] = {}

    def slowdown(self, server: backends.BackendServer) -> float:
        """Return how many times slower than usual a server is."""
        known = self._known_by_server.get(server.id)
        if known is None or timers.now() - known.at > HOLD_SECONDS:
            return 1.0
        return known.slowdown

    def occupancy(self, server: backends.BackendServer) -> float:
        """Return the share of a server's memory that was in use just now."""
        known = self._known_by_server.get(server.id)
        if known is None or timers.now() - known.at > OCCUPANCY_SECONDS:
            return 0.0
        return known.occupancy

    def fetch(
        self, servers: Iterable[backends.BackendServer], request: str
    ) -> None:
        """Ask servers, in tasks of their own, unless just asked.

        :param request: the request that gave reason to
        """
        now = timers.now()
        for server in servers:
            if now - self._asked_at.get(server.id, 0.0) < ASK_SECONDS:
                continue
            self._asked_at[server.id] = now
            eventlet.spawn_n(self._ask, server, request)

    def _ask(self, server: backends.BackendServer, request: str) -> None:
        found = self._engines.fetch_report(server)
        if isinstance(found, failures.Failure):
            self._view.eject(server.id, f'no report: {found.detail}', request)
            return
        self._known_by_server[server.id] = _Known(
            found.slowdown, found.occupancy, timers.now()
        )
        if found.slowdown >= SLOW_PACE or found.stalled:
            LOG.info(
                'server reported',
                extra={
                    'server': server.id,
                    'request': request,
                    'pace': found.slowdown,
                    'occupancy': round(found.occupancy, 3),
                    'stalled': len(found.stalled),
                },
            )
        for address in {stalled.address for stalled in found.stalled}:
            self._view.eject_address(address, 'requests stall', request)
