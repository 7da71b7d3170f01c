"""Quarantines requests that crash the backend servers that run them.

Each request that was running when a server crashed gets a crash report. It
is keyed by the id of the crash, so a crash that is reported over several
peers counts once. From ``SUSPECT_CRASH_COUNT`` reports on, a request is a
suspect, and a server runs at most one suspect at a time. So the crash that
quarantines a request involved no other suspect, and a harmless request
doesn't reach ``QUARANTINE_CRASH_COUNT`` merely by running beside others.
"""

import heapq

from burdockmast.base import ids
from burdockmast.base import timers

SUSPECT_CRASH_COUNT = 2
QUARANTINE_CRASH_COUNT = 3
# Age at which a report no longer counts.
REPORT_TTL_SECONDS = 600.0
# Age at which a report is no longer sent to peers.
GOSSIP_SECONDS = 5.0
# Most reports sent in one heartbeat.
GOSSIP_MAX_COUNT = 32


class CrashReports:
    """Crash reports known to one process, by request fingerprint."""

    def __init__(self):
        """Create an empty record."""
        self._crashes_by_fingerprint: dict[
            ids.Fingerprint, dict[str, float]
        ] = {}

    def add(self, fingerprint: ids.Fingerprint, crash_id: str) -> None:
        """Report that a request was running when a server crashed.

        :param crash_id: reports of the same crash count once
        """
        crashes = self._crashes_by_fingerprint.setdefault(fingerprint, {})
        crashes.setdefault(crash_id, timers.now())

    def clear(self, fingerprint: ids.Fingerprint) -> None:
        """Drop the reports of a request that has completed."""
        self._crashes_by_fingerprint.pop(fingerprint, None)

    def count(self, fingerprint: ids.Fingerprint) -> int:
        """Return the number of crashes at which a request was running."""
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if not crashes:
            return 0
        cutoff = timers.now() - REPORT_TTL_SECONDS
        return sum(at >= cutoff for at in crashes.values())

    def is_suspect(self, fingerprint: ids.Fingerprint) -> bool:
        """Tell whether a request must not run beside another suspect."""
        return self.count(fingerprint) >= SUSPECT_CRASH_COUNT

    def is_quarantined(self, fingerprint: ids.Fingerprint) -> bool:
        """Tell whether a request must not run again."""
        return self.count(fingerprint) >= QUARANTINE_CRASH_COUNT

    def recent(self) -> list[tuple[ids.Fingerprint, str]]:
        """Return recent reports to send, most reported requests first."""
        cutoff = timers.now() - GOSSIP_SECONDS
        candidates = [
            (len(crashes), fingerprint, crash)
            for fingerprint, crashes in self._crashes_by_fingerprint.items()
            for crash, at in crashes.items()
            if at >= cutoff
        ]
        sent = heapq.nlargest(GOSSIP_MAX_COUNT, candidates)
        return [(fingerprint, crash) for _, fingerprint, crash in sent]

    def drop_expired(self) -> None:
        """Drop requests whose reports no longer count."""
        cutoff = timers.now() - REPORT_TTL_SECONDS
        for fingerprint, crashes in list(self._crashes_by_fingerprint.items()):
            if max(crashes.values()) < cutoff:
                del self._crashes_by_fingerprint[fingerprint]
