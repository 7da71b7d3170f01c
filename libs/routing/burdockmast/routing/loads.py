"""What an entry believes of its backend servers' load.

Reports lag, so the answers that this entry has sent since a report are
counted on top of it, and an old report is taken with caution.
"""

import collections
import dataclasses

from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.wire import messages

# Periods of a server's reports after which one says nothing any more.
REPORT_TTL_PERIODS = 4
# Seconds after which the measured time of an idle server may no longer hold:
# about as long as a disturbance of an instance lasts.
MEASUREMENT_TTL_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class Report:
    """A server's last report.

    :ivar own_answers: answers of this entry that ran there when it came
    :ivar measured_at: monotonic seconds at which the time of a layer was
        last seen to change, as it does whenever the server runs anything
    """

    load: messages.Load
    received_at: float
    own_answers: int
    period_seconds: float
    measured_at: float


class LoadTable:
    """Loads by backend server, as one entry sees them."""

    def __init__(self):
        """Create an empty table."""
        self.report_by_server: dict[ids.ServerId, Report] = {}
        self._own_by_server: collections.Counter[ids.ServerId] = (
            collections.Counter()
        )
        self._rtt_by_link: dict[tuple[ids.ServerId, ids.Address], float] = {}

    def apply_report(self, load: messages.Load, period_seconds: float) -> None:
        """Take in a report.

        :param period_seconds: seconds until the next one
        """
        own = self._own_by_server[load.server]
        now = timers.now()
        earlier = self.report_by_server.get(load.server)
        measured_at = now
        if earlier and earlier.load.layer_ns == load.layer_ns:
            measured_at = earlier.measured_at
        report = Report(load, now, own, period_seconds, measured_at)
        self.report_by_server[load.server] = report
        for link in load.links:
            key = (load.server, link.address)
            self._rtt_by_link[key] = link.rtt_us / 1e6

    def forget(self, server: ids.ServerId) -> None:
        """Drop what is known of a server that is gone."""
        self.report_by_server.pop(server, None)

    def add_attempt(self, hops: tuple[messages.Hop, ...]) -> None:
        """Count an answer on its servers."""
        for hop in hops:
            self._own_by_server[hop.server] += 1

    def remove_attempt(self, hops: tuple[messages.Hop, ...]) -> None:
        """Count an answer no longer."""
        for hop in hops:
            self._own_by_server[hop.server] -= 1

    def mark_full(self, server: ids.ServerId) -> None:
        """Note that a server has just refused for want of a slot."""
        report = self.report_by_server.get(server)
        if report:
            # It stays full in our eyes until its next report.
            report.own_answers = (
                self._own_by_server[server] - report.load.slots
            )

    def usable_load(self, server: ids.ServerId) -> messages.Load | None:
        """Return the report of a server that may get new work."""
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
        """Tell whether a server may soon hold what is placed on it."""
        report = self.report_by_server.get(server)
        if report is None:
            return True
        return not report.load.leaving and not report.load.is_engine_lost

    def running_count(self, server: ids.ServerId) -> int:
        """Return how many answers probably run on a server now."""
        report = self.report_by_server[server]
        since = self._own_by_server[server] - report.own_answers
        return max(0, report.load.running + since)

    def measurement_age(self, server: ids.ServerId) -> float:
        """Return the seconds since a server's time was measured or tried."""
        return timers.now() - self.report_by_server[server].measured_at

    def is_measurement_stale(self, server: ids.ServerId) -> bool:
        """Tell whether a server has been idle since its time was measured."""
        age = self.measurement_age(server)
        return age > MEASUREMENT_TTL_SECONDS and not self.running_count(server)

    def reset_measurement_age(self, server: ids.ServerId) -> None:
        """Note that an answer is sent to a server to measure it again."""
        self.report_by_server[server].measured_at = timers.now()

    def occupancy(self, server: ids.ServerId) -> float:
        """Return the share of a server's slots that is taken."""
        slots = self.report_by_server[server].load.slots
        return self.running_count(server) / slots if slots else 1.0

    def describe(self, server: ids.ServerId) -> dict[str, str | float]:
        """Return what is believed of a server, and how old that is."""
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
        """Return the one-way time of a link between two sides."""
        rtt = self._rtt_by_link.get((server, address))
        return rtt / 2 if rtt else default
