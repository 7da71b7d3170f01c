"""Fetches reports of servers on paths whose answers are slow or refused.

A server that turns slow delays every answer on its paths, but no request
fails. Reports have a cost, so they are fetched only from servers on suspect
paths, and at a limited rate.
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

# Time for which a reported slowdown is valid. After that, the server gets some
# requests, and another report is fetched if those are slow.
SLOWDOWN_VALID_SECONDS = 3.0
# Time for which a reported occupancy is valid: about the length of an answer.
OCCUPANCY_VALID_SECONDS = 1.5
# Minimum time between two reports of the same server.
FETCH_INTERVAL_SECONDS = 1.0
# Slowdown from which a server's report is logged.
SLOW_THRESHOLD = 1.3


@dataclasses.dataclass(frozen=True, slots=True)
class _LastReport:
    """The latest report of a server.

    :ivar received_at: monotonic seconds
    """

    slowdown: float
    occupancy: float
    received_at: float


class ServerReports:
    """The latest reports of servers to one gateway."""

    def __init__(self, fleet: view.View, engines: interfaces.EngineClient):
        """Create a record without reports."""
        self._view = fleet
        self._engines = engines
        self._report_by_server: dict[ids.ServerId, _LastReport] = {}
        self._fetched_at: dict[ids.ServerId, float] = {}

    def slowdown(self, server: backends.BackendServer) -> float:
        """Return how many times slower than usual a server is.

        It is 1 without a valid report.
        """
        last = self._report_by_server.get(server.id)
        if (
            last is None
            or timers.now() - last.received_at > SLOWDOWN_VALID_SECONDS
        ):
            return 1.0
        return last.slowdown

    def occupancy(self, server: backends.BackendServer) -> float:
        """Return the share of a server's memory that is in use.

        It is 0 without a valid report.
        """
        last = self._report_by_server.get(server.id)
        if (
            last is None
            or timers.now() - last.received_at > OCCUPANCY_VALID_SECONDS
        ):
            return 0.0
        return last.occupancy

    def fetch(
        self, servers: Iterable[backends.BackendServer], request: str
    ) -> None:
        """Fetch reports in background tasks, skipping servers just asked.

        :param request: id of the request that was slow or refused, for logs
        """
        now = timers.now()
        for server in servers:
            if (
                now - self._fetched_at.get(server.id, 0.0)
                < FETCH_INTERVAL_SECONDS
            ):
                continue
            self._fetched_at[server.id] = now
            eventlet.spawn_n(self._fetch, server, request)

    def _fetch(self, server: backends.BackendServer, request: str) -> None:
        report = self._engines.fetch_report(server)
        if isinstance(report, failures.Failure):
            self._view.eject(server.id, f'no report: {report.detail}', request)
            return
        self._report_by_server[server.id] = _LastReport(
            report.slowdown, report.occupancy, timers.now()
        )
        if report.slowdown >= SLOW_THRESHOLD or report.stalled:
            LOG.info(
                'server reports slowness or stalled requests',
                extra={
                    'server': server.id,
                    'request': request,
                    'pace': report.slowdown,
                    'occupancy': round(report.occupancy, 3),
                    'stalled': len(report.stalled),
                },
            )
        for address in {stalled.address for stalled in report.stalled}:
            self._view.eject_address(address, 'requests stall', request)
