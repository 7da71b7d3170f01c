"""Keeps the quarantine of requests in the platform's store.

What gateways learn of crashes they tell each other, but when all of them end
at once, only the store remembers it. A gateway reads the records once, when it
starts. Those that watch the store for their zones write them.
"""

from collections.abc import Callable

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.gateway import crash_suspects
from burdockmast.gateway import interfaces

LOG = logs.get('quarantine')

SYNC_INTERVAL_SECONDS = 1.0


class QuarantineKeeper:
    """Reads quarantine records at the start, and writes new ones."""

    def __init__(
        self,
        suspects: crash_suspects.CrashSuspects,
        registry: interfaces.QuarantineRegistry,
        is_watcher: Callable[[], bool],
    ):
        """Create a keeper that has read nothing yet."""
        self._suspects = suspects
        self._registry = registry
        self._is_watcher = is_watcher
        self._is_loaded = False
        self._known: set[ids.Fingerprint] = set()

    def sync(self) -> None:
        """Read the records if that has not succeeded yet, then write."""
        if not self._is_loaded and not self._load():
            return
        quarantined = {r.fingerprint: r for r in self._suspects.quarantined()}
        for fingerprint, record in quarantined.items():
            if fingerprint not in self._known:
                self._add(record)
        for fingerprint in self._known - quarantined.keys():
            self._remove(fingerprint)

    def write_again(self) -> None:
        """Let the next ``sync`` write all records, which the store lost."""
        self._known.clear()

    def _load(self) -> bool:
        records = self._registry.list()
        if isinstance(records, failures.Failure):
            LOG.warning(
                'quarantine records not read; retrying later',
                extra={'reason': str(records)},
            )
            return False
        self._is_loaded = True
        for record in records:
            self._known.add(record.fingerprint)
            self._suspects.restore(record)
        if records:
            LOG.info('quarantine records read', extra={'count': len(records)})
        return True

    def _add(self, record: interfaces.QuarantineRecord) -> None:
        LOG.warning(
            'requests that crash servers are quarantined',
            extra={
                'fingerprint': record.fingerprint,
                'crashes': record.crashes,
                'age': round(record.age_seconds, 3),
            },
        )
        if self._is_watcher() and self._failed(
            record.fingerprint, self._registry.add(record)
        ):
            return
        self._known.add(record.fingerprint)

    def _remove(self, fingerprint: ids.Fingerprint) -> None:
        LOG.info(
            'quarantine ended; such a request ran well, or time has passed',
            extra={'fingerprint': fingerprint},
        )
        if self._is_watcher() and self._failed(
            fingerprint, self._registry.remove(fingerprint)
        ):
            return
        self._known.discard(fingerprint)

    def _failed(
        self,
        fingerprint: ids.Fingerprint,
        failure: failures.Failure | None,
    ) -> bool:
        if failure is None:
            return False
        LOG.warning(
            'quarantine record not written; retrying later',
            extra={'fingerprint': fingerprint, 'reason': str(failure)},
        )
        return True
