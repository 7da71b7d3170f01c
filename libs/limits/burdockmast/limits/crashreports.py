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
# Seconds for which a strike counts.
MEMORY_SECONDS = 600.0
# Seconds for which a strike is passed on to neighbours.
NEWS_SECONDS = 5.0
# Strikes passed on in one heartbeat.
NEWS_COUNT = 32


class CrashReports:
    """Strikes known to one process."""

    def __init__(self):
        """Create an empty record."""
        self._crashes_by_fingerprint: dict[
            ids.Fingerprint, dict[str, float]
        ] = {}

    def add(self, fingerprint: ids.Fingerprint, crash: str) -> None:
        """Note that a request was running at a crash."""
        crashes = self._crashes_by_fingerprint.setdefault(fingerprint, {})
        crashes.setdefault(crash, timers.now())

    def clear(self, fingerprint: ids.Fingerprint) -> None:
        """Forget the strikes of a request that ran to its end."""
        self._crashes_by_fingerprint.pop(fingerprint, None)

    def count(self, fingerprint: ids.Fingerprint) -> int:
        """Return how many crashes a request was running at."""
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if not crashes:
            return 0
        since = timers.now() - MEMORY_SECONDS
        return sum(at >= since for at in crashes.values())

    def is_suspect(self, fingerprint: ids.Fingerprint) -> bool:
        """Tell whether a request must not run beside another suspect."""
        return self.count(fingerprint) >= SUSPECT_CRASH_COUNT

    def is_quarantined(self, fingerprint: ids.Fingerprint) -> bool:
        """Tell whether a request must not run again."""
        return self.count(fingerprint) >= QUARANTINE_CRASH_COUNT

    def recent(self) -> list[tuple[ids.Fingerprint, str]]:
        """Return the newest strikes to pass on, most struck first."""
        since = timers.now() - NEWS_SECONDS
        fresh = [
            (len(crashes), fingerprint, crash)
            for fingerprint, crashes in self._crashes_by_fingerprint.items()
            for crash, at in crashes.items()
            if at >= since
        ]
        worst = heapq.nlargest(NEWS_COUNT, fresh)
        return [(fingerprint, crash) for _, fingerprint, crash in worst]

    def drop_expired(self) -> None:
        """Drop what no longer counts."""
        since = timers.now() - MEMORY_SECONDS
        for fingerprint, crashes in list(self._crashes_by_fingerprint.items()):
            if max(crashes.values()) < since:
                del self._crashes_by_fingerprint[fingerprint]
