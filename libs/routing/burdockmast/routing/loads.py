"""Load of the backend servers, as one entry estimates it.

Reports lag. Attempts that this entry has started since a server's last report
are counted on top of it, and a report that is too old is not used.
"""

import collections
import dataclasses

from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.wire import messages

# A report expires after this many of its server's report periods.
REPORT_TTL_PERIODS = 4
# Age at which the measured layer time of an idle server is no longer relied
# on. A disturbance of an instance lasts about as long.
MEASUREMENT_TTL_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class Report:
    """A server's last report.

    :ivar received_at: monotonic seconds
    :ivar own_attempts: attempts of this entry that ran on the server when the
        report was received
    :ivar period_seconds: until the server's next report
    :ivar measured_at: monotonic seconds at which the reported layer time last
        changed, as it does whenever the server runs anything, or was reset
    """

    load: messages.Load
    received_at: float
    own_attempts: int
    period_seconds: float
    measured_at: float


class LoadTable:
    """Reported and estimated load of each backend server."""

    def __init__(self):
        """Create an empty table."""
        self.report_by_server: dict[ids.ServerId, Report] = {}
        self._own_attempts_by_server: collections.Counter[ids.ServerId] = (
            collections.Counter()
        )
        self._rtt_seconds_by_link: dict[
            tuple[ids.ServerId, ids.Address], float
        ] = {}

    def apply_report(self, load: messages.Load, period_seconds: float) -> None:
        """Store a server's new report and the link times in it.

        :param period_seconds: until the next report
        """
        own_attempts = self._own_attempts_by_server[load.server]
        now = timers.now()
        earlier = self.report_by_server.get(load.server)
        measured_at = now
        if earlier and earlier.load.layer_ns == load.layer_ns:
            measured_at = earlier.measured_at
        report = Report(load, now, own_attempts, period_seconds, measured_at)
        self.report_by_server[load.server] = report
        for link in load.links:
            key = (load.server, link.address)
            self._rtt_seconds_by_link[key] = link.rtt_us / 1e6

    def forget(self, server: ids.ServerId) -> None:
        """Drop the report of a server that is no longer reached."""
        self.report_by_server.pop(server, None)

    def add_attempt(self, hops: tuple[messages.Hop, ...]) -> None:
        """Count an attempt on the servers of its path."""
        for hop in hops:
            self._own_attempts_by_server[hop.server] += 1

    def remove_attempt(self, hops: tuple[messages.Hop, ...]) -> None:
        """Stop counting an attempt on the servers of its path."""
        for hop in hops:
            self._own_attempts_by_server[hop.server] -= 1

    def mark_full(self, server: ids.ServerId) -> None:
        """Count a server that refused as full until its next report."""
        report = self.report_by_server.get(server)
        if report:
            # Makes running_count() at least the number of slots.
            report.own_attempts = (
                self._own_attempts_by_server[server] - report.load.slots
            )

    def usable_load(self, server: ids.ServerId) -> messages.Load | None:
        """Return a server's load if it may get new work, else None."""
        report = self.report_by_server.get(server)
        if not report or report.load.leaving or not report.load.held:
            return None
        if (
            timers.now() - report.received_at
            > REPORT_TTL_PERIODS * report.period_seconds
        ):
            return None
        return report.load

    def may_hold_soon(self, server: ids.ServerId) -> bool:
        """Tell whether a server may soon hold the layers placed on it."""
        report = self.report_by_server.get(server)
        if report is None:
            return True
        return not report.load.leaving and not report.load.is_engine_lost

    def running_count(self, server: ids.ServerId) -> int:
        """Estimate how many answers run on a server now."""
        report = self.report_by_server[server]
        since = self._own_attempts_by_server[server] - report.own_attempts
        return max(0, report.load.running + since)

    def measurement_age(self, server: ids.ServerId) -> float:
        """Return the seconds since a layer time was measured or reset."""
        return timers.now() - self.report_by_server[server].measured_at

    def is_measurement_stale(self, server: ids.ServerId) -> bool:
        """Tell whether a server is idle and its layer time out of date."""
        age = self.measurement_age(server)
        return age > MEASUREMENT_TTL_SECONDS and not self.running_count(server)

    def reset_measurement_age(self, server: ids.ServerId) -> None:
        """Restart a layer time's age when an answer is sent to measure it."""
        self.report_by_server[server].measured_at = timers.now()

    def occupancy(self, server: ids.ServerId) -> float:
        """Estimate the share of a server's slots that is taken."""
        slots = self.report_by_server[server].load.slots
        return self.running_count(server) / slots if slots else 1.0

    def describe(self, server: ids.ServerId) -> dict[str, str | float]:
        """Return a server's estimated load and its age for the timeline."""
        report = self.report_by_server.get(server)
        if not report:
            return {'server': server, 'reported': False}
        return {
            'server': server,
            'running': self.running_count(server),
            'slots': report.load.slots,
            'layer_us': report.load.layer_ns / 1000,
            'age_ms': int((timers.now() - report.received_at) * 1000),
        }

    def link_seconds(
        self, server: ids.ServerId, address: ids.Address, default: float
    ) -> float:
        """Return the one-way time of a link between two side processes.

        :param default: seconds assumed until the link has been measured
        """
        rtt = self._rtt_seconds_by_link.get((server, address))
        return rtt / 2 if rtt else default
