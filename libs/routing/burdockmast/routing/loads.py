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
REPORT_PERIODS = 4


@dataclasses.dataclass(slots=True)
class Report:
    """A server's last report.

    :ivar own: answers of this entry that ran there when it came
    """

    load: messages.Load
    at: float
    own: int
    period: float


class Loads:
    """Loads by backend server, as one entry sees them."""

    def __init__(self):
        """Create an empty table."""
        self.report_by_server: dict[ids.ServerId, Report] = {}
        self._own_by_server: collections.Counter[ids.ServerId] = (
            collections.Counter()
        )
        self._rtt_by_link: dict[tuple[ids.ServerId, ids.Address], float] = {}

    def learn(self, load: messages.Load, period: float) -> None:
        """Take in a report.

        :param period: seconds until the next one
        """
        own = self._own_by_server[load.server]
        report = Report(load, timers.now(), own, period)
        self.report_by_server[load.server] = report
        for link in load.links:
            key = (load.server, link.address)
            self._rtt_by_link[key] = link.rtt_us / 1e6

    def forget(self, server: ids.ServerId) -> None:
        """Drop what is known of a server that is gone."""
        self.report_by_server.pop(server, None)

    def begin(self, hops: tuple[messages.Hop, ...]) -> None:
        """Count an answer on its servers."""
        for hop in hops:
            self._own_by_server[hop.server] += 1

    def end(self, hops: tuple[messages.Hop, ...]) -> None:
        """Count an answer no longer."""
        for hop in hops:
            self._own_by_server[hop.server] -= 1

    def full(self, server: ids.ServerId) -> None:
        """Note that a server has just refused for want of a slot."""
        report = self.report_by_server.get(server)
        if report:
            # It stays full in our eyes until its next report.
            report.own = self._own_by_server[server] - report.load.slots

    def usable(self, server: ids.ServerId) -> messages.Load | None:
        """Return the report of a server that may get new work."""
        report = self.report_by_server.get(server)
        if not report or report.load.leaving or not report.load.held:
            return None
        if timers.now() - report.at > REPORT_PERIODS * report.period:
            return None
        return report.load

    def running(self, server: ids.ServerId) -> int:
        """Return how many answers probably run on a server now."""
        report = self.report_by_server[server]
        since = self._own_by_server[server] - report.own
        return max(0, report.load.running + since)

    def occupancy(self, server: ids.ServerId) -> float:
        """Return the share of a server's slots that is taken."""
        slots = self.report_by_server[server].load.slots
        return self.running(server) / slots if slots else 1.0

    def link_seconds(
        self, server: ids.ServerId, address: ids.Address, default: float
    ) -> float:
        """Return the one-way time of a link between two sides."""
        rtt = self._rtt_by_link.get((server, address))
        return rtt / 2 if rtt else default
