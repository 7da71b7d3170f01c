"""Fetches reports of servers on paths whose answers are slow or refused.

A server that turns slow delays every answer on its paths, but no request
fails. Reports have a cost, so they are fetched only from servers on such
paths, and at a limited rate. Gateways of a zone tell each other what they have
fetched.
"""

from collections.abc import Iterable
import dataclasses
import functools
import random

import eventlet
import msgspec

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import interfaces
from burdockmast.gateway import server_states
from burdockmast.gateway import view

LOG = logs.get('reports')

# Time for which a reported slowdown is valid. After that, the server gets some
# requests, and another report is fetched if those are slow.
SLOWDOWN_VALID_SECONDS = 3.0
# Time for which a reported occupancy is valid: about the length of an answer.
OCCUPANCY_VALID_SECONDS = 1.5
# Minimum time between two reports of the same server, and the largest random
# share added to it: whoever asks first tells its neighbours.
FETCH_INTERVAL_SECONDS = 1.0
FETCH_JITTER_SHARE = 0.5
# Time after which a server that has not answered yet may be lost.
# Servers answer within some milliseconds.
ANSWER_SECONDS = 0.05
# Longest wait for a report. The answer of a silent server ends its state.
MAX_WAIT_SECONDS = 2.0
# Time for which a neighbour's finding that a server does not answer is valid.
UNRESPONSIVE_VALID_SECONDS = 1.0
# Slowdown that is assumed of a server that does not answer, so that paths
# avoid it where they can.
UNRESPONSIVE_SLOWDOWN = 4.0
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


class SharedReport(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway tells its neighbours of a report that it fetched."""

    server: str
    slowdown: float
    occupancy: float


class ServerReports:
    """The latest reports of servers to one gateway."""

    def __init__(
        self,
        fleet: view.View,
        engines: interfaces.EngineClient,
        rng: random.Random,
    ):
        """Create a record without reports."""
        self._rng = rng
        self._new_reports: list[SharedReport] = []
        self._new_lost: set[ids.ServerId] = set()
        # Monotonic seconds at which an outstanding report was requested, and
        # until which a neighbour's finding is valid.
        self._asked_at: dict[ids.ServerId, float] = {}
        # Servers whose outstanding report is late.
        self._late: set[ids.ServerId] = set()
        self._unresponsive_until: dict[ids.ServerId, float] = {}
        self._view = fleet
        self._engines = engines
        self._report_by_server: dict[ids.ServerId, _LastReport] = {}
        self._next_fetch_at: dict[ids.ServerId, float] = {}

    def slowdown(self, server: backends.BackendServer) -> float:
        """Return how many times slower than usual a server is.

        It is 1 without a valid report.
        """
        now = timers.now()
        if (
            self._asked_at.get(server.id, now) < now - ANSWER_SECONDS
            or self._unresponsive_until.get(server.id, 0.0) > now
            or self._view.is_unresponsive(server.id)
        ):
            return UNRESPONSIVE_SLOWDOWN
        last = self._report_by_server.get(server.id)
        if last is None or now - last.received_at > SLOWDOWN_VALID_SECONDS:
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
            if self._may_ask(server.id, now):
                self._start_fetch(server, request)

    def _may_ask(self, server: ids.ServerId, now: float) -> bool:
        return server not in self._asked_at and (
            now >= self._next_fetch_at.get(server, 0.0)
        )

    def _start_fetch(
        self, server: backends.BackendServer, request: str
    ) -> None:
        self._delay_fetch(server.id)
        self._asked_at[server.id] = timers.now()
        eventlet.spawn_n(self._fetch, server, request)

    def _delay_fetch(self, server: ids.ServerId) -> None:
        share = 1 + FETCH_JITTER_SHARE * self._rng.random()
        self._next_fetch_at[server] = (
            timers.now() + FETCH_INTERVAL_SECONDS * share
        )

    def drop_unlisted(self) -> None:
        """Drop what is known of servers that are no longer listed."""
        for known in (
            self._report_by_server,
            self._next_fetch_at,
            self._unresponsive_until,
        ):
            for server in list(known):
                if self._view.server(server) is None:
                    del known[server]

    def take_new(self) -> list[SharedReport]:
        """Return the reports that were fetched since the last call."""
        taken, self._new_reports = self._new_reports, []
        return taken

    def record_lost(self, server: ids.ServerId) -> None:
        """Let neighbours check a server that is not reachable from here."""
        self._new_lost.add(server)

    def take_unresponsive(self) -> list[ids.ServerId]:
        """Return the servers that neighbours should check.

        They were found lost since the last call, or have not answered yet.
        """
        latest = timers.now() - ANSWER_SECONDS
        waiting = {s for s, at in self._asked_at.items() if at < latest}
        taken, self._new_lost = self._new_lost | waiting, set()
        return list(taken)

    def check(self, servers: Iterable[str]) -> None:
        """Avoid servers that a neighbour gets no answer from, and ask them.

        Only the link of that neighbour may be broken.
        """
        now = timers.now()
        for name in servers:
            server = self._view.server(ids.ServerId(name))
            if server is None or not self._may_ask(server.id, now):
                continue
            if self._view.failed_since(
                [server.id], now - server_states.EVIDENCE_VALID_SECONDS
            ):
                continue
            self._unresponsive_until[server.id] = (
                now + UNRESPONSIVE_VALID_SECONDS
            )
            self._start_fetch(server, 'told by a neighbour')

    def take_over(self, shared: Iterable[SharedReport]) -> None:
        """Take over reports that a neighbour has just fetched."""
        for report in shared:
            server = ids.ServerId(report.server)
            self._report_by_server[server] = _LastReport(
                report.slowdown, report.occupancy, timers.now()
            )
            self._delay_fetch(server)

    def _fetch(self, server: backends.BackendServer, request: str) -> None:
        try:
            report = self._engines.fetch_report(
                server, functools.partial(self._keep_waiting, server, request)
            )
        finally:
            was_late = server.id in self._late
            self._late.discard(server.id)
            del self._asked_at[server.id]
        if isinstance(report, failures.Failure):
            evidence = server_states.evidence_of(report)
            is_known = (
                was_late and evidence is server_states.Evidence.NO_ANSWER
            )
            if report.reason is not failures.Reason.PROTOCOL and not is_known:
                self._record_failure(server, evidence, str(report), request)
            return
        self._view.record_answer(server.id)
        self._unresponsive_until.pop(server.id, None)
        self._report_by_server[server.id] = _LastReport(
            report.slowdown, report.occupancy, timers.now()
        )
        self._new_reports.append(
            SharedReport(server.id, report.slowdown, report.occupancy)
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
        if report.stalled:
            self._view.record_failure_at(
                {stalled.address for stalled in report.stalled},
                server_states.Evidence.REQUESTS_STALL,
                'requests stall',
                request,
            )

    def _keep_waiting(
        self, server: backends.BackendServer, request: str
    ) -> bool:
        """Record that a report is late, and wait on for it."""
        if server.id not in self._late:
            self._late.add(server.id)
            self._record_failure(
                server,
                server_states.Evidence.NO_ANSWER,
                'no answer yet',
                request,
            )
        return timers.now() < self._asked_at[server.id] + MAX_WAIT_SECONDS

    def _record_failure(
        self,
        server: backends.BackendServer,
        evidence: server_states.Evidence,
        reason: str,
        request: str,
    ) -> None:
        self._view.record_failure(
            server.id, evidence, f'no report: {reason}', request
        )
        self.record_lost(server.id)
