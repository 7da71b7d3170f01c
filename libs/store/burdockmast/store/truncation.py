"""A journal whose old entries are removed.

A truncation point in the store says through which index entries are gone; it
moves before they go, and only up. A writer that was paused for long may create
an entry where one was removed. So whoever has created an entry reads the point
after that: an entry at or below it stands nowhere.
"""

import dataclasses

import eventlet
import msgspec

from burdockmast.base import failures
from burdockmast.base import outcomes
from burdockmast.store import journals
from burdockmast.store import objects

TRUNCATION_POINTS_KIND = 'journal-marks'
# Time between two removals. They come out of the store's writes, and have to
# outpace a journal's growth of ten entries a second.
REMOVE_INTERVAL_SECONDS = 0.05


class TruncationPoint(msgspec.Struct, frozen=True):
    """How far a journal is cut.

    :ivar through: entries through this index count no more
    :ivar removed: entries through this index are no longer in the store
    """

    through: int = 0
    removed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Truncated:
    """An index where the journal has been cut away.

    An entry there stands nowhere; who reads or writes there begins anew.
    """

    index: int


class TruncatableJournal:
    """A journal, and the mark below which it is cut."""

    def __init__(self, store: objects.ObjectClient, kind: str):
        """Open a journal; indexes count from 1."""
        self._store = store
        self._kind = kind
        self._journal = journals.Journal(store, kind)

    def truncation_point(self) -> TruncationPoint | failures.Failure:
        """Read how far the journal is cut."""
        found = self._read_point()
        if isinstance(found, failures.Failure):
            return found
        return _point_of(found)

    def append(
        self, index: int, entry: journals.Entry, seconds: float
    ) -> journals.Appended | journals.Occupied | Truncated | failures.Failure:
        """Write ``entry`` at ``index`` unless that index is taken or cut."""
        result = self._journal.append(index, entry, seconds)
        if not isinstance(result, journals.Appended):
            return result
        match self.truncation_point():
            case failures.Failure() as failure:
                return dataclasses.replace(
                    failure, outcome=outcomes.Outcome.UNKNOWN
                )
            case TruncationPoint(through=through) if index <= through:
                # Nobody reads it; it would only lie there for good.
                self._journal.remove(index)
                return Truncated(index)
        return result

    def read(
        self, start: int
    ) -> list[tuple[int, journals.Entry]] | failures.Failure:
        """Return entries from ``start`` on, in order and without gaps."""
        return self._journal.read(start)

    def follow(
        self, start: int, wait: float = 0.0
    ) -> list[tuple[int, journals.Entry]] | Truncated | failures.Failure:
        """Return entries from ``start`` on, if the journal is not cut there.

        :param wait: seconds to wait until there is one
        """
        entries = self._journal.read(start, wait)
        if isinstance(entries, failures.Failure):
            return entries
        # The mark is read last: what a late writer creates where entries
        # were removed is below it.
        point = self.truncation_point()
        if isinstance(point, failures.Failure):
            return point
        if point.through >= start:
            return Truncated(start)
        return entries

    def truncate(self, through: int) -> failures.Failure | None:
        """Remove the entries through ``through``.

        Any number of processes may do this at once, and each may stop in
        the middle: the next cut goes on where the point says.
        """
        found = self._read_point()
        if isinstance(found, failures.Failure):
            return found
        point = _point_of(found)
        cut = TruncationPoint(max(point.through, through), point.removed)
        stored = self._write_point(found, cut)
        if not isinstance(stored, objects.Stored):
            return _as_failure(stored, self._kind)
        for index in range(cut.removed + 1, cut.through + 1):
            failure = self._journal.remove(index)
            if failure:
                return failure
            eventlet.sleep(REMOVE_INTERVAL_SECONDS)
        done = TruncationPoint(cut.through, cut.through)
        result = self._write_point(stored, done)
        if isinstance(result, objects.Stored):
            return None
        return _as_failure(result, self._kind)

    def _read_point(
        self,
    ) -> objects.Stored | objects.Absent | failures.Failure:
        return self._store.get(TRUNCATION_POINTS_KIND, self._kind)

    def _write_point(
        self, found: objects.Stored | objects.Absent, point: TruncationPoint
    ) -> objects.Stored | objects.Conflict | failures.Failure:
        if isinstance(found, objects.Absent):
            return self._store.create(
                TRUNCATION_POINTS_KIND, self._kind, point
            )
        return self._store.update(
            TRUNCATION_POINTS_KIND, self._kind, point, found.revision
        )


def _point_of(found: objects.Stored | objects.Absent) -> TruncationPoint:
    if isinstance(found, objects.Absent):
        return TruncationPoint()
    return msgspec.convert(found.value, TruncationPoint)


def _as_failure(
    result: objects.Conflict | failures.Failure, kind: str
) -> failures.Failure:
    if isinstance(result, failures.Failure):
        return result
    return failures.Failure(
        failures.Reason.STORE_CONFLICT,
        'journal.cut',
        kind,
        'another process moved the mark',
        outcomes.Outcome.NOT_RUN,
    )
