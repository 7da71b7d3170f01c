"""A journal whose old entries are removed.

A truncation point in the store says through which index the journal has been
truncated. It is raised before entries are removed, and never lowered. A
writer that was paused for long may create an entry at an index whose entry
was removed. So each writer reads the truncation point after creating an
entry: an entry at or below the point is not part of the journal.
"""

import dataclasses

import eventlet
import msgspec

from burdockmast.base import failures
from burdockmast.base import outcomes
from burdockmast.store import journals
from burdockmast.store import objects

TRUNCATION_POINTS_KIND = 'journal-marks'
# Time between two removals. Removals use up the store's write rate, and have
# to outpace a journal that grows by ten entries a second.
REMOVE_INTERVAL_SECONDS = 0.05


class TruncationPoint(msgspec.Struct, frozen=True):
    """How far a journal is truncated.

    :ivar through: entries through this index are no longer part of the journal
    :ivar removed: entries through this index are no longer in the store
    """

    through: int = 0
    removed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Truncated:
    """The journal has been truncated past ``index``.

    An entry at that index is not part of the journal. Readers and writers
    have to reload the journal's state.
    """

    index: int


class TruncatableJournal:
    """A journal with its truncation point."""

    def __init__(self, store: objects.ObjectClient, kind: str):
        """Open a journal; the first index is 1."""
        self._store = store
        self._kind = kind
        self._journal = journals.Journal(store, kind)

    def truncation_point(self) -> TruncationPoint | failures.Failure:
        """Read how far the journal is truncated."""
        found = self._read_point()
        if isinstance(found, failures.Failure):
            return found
        return _point_of(found)

    def append(
        self, index: int, entry: journals.Entry, seconds: float
    ) -> journals.Appended | journals.Occupied | Truncated | failures.Failure:
        """Write ``entry`` at ``index`` unless it is taken or truncated."""
        result = self._journal.append(index, entry, seconds)
        if not isinstance(result, journals.Appended):
            return result
        match self.truncation_point():
            case failures.Failure() as failure:
                return dataclasses.replace(
                    failure, outcome=outcomes.Outcome.UNKNOWN
                )
            case TruncationPoint(through=through) if index <= through:
                # No reader gets it, and no later truncation removes it.
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
        """Return entries from ``start`` on, unless ``start`` is truncated.

        :param wait: seconds to wait for the first such entry
        """
        entries = self._journal.read(start, wait)
        if isinstance(entries, failures.Failure):
            return entries
        # Read the truncation point last: an entry that a delayed writer
        # created at a removed index is at or below it.
        point = self.truncation_point()
        if isinstance(point, failures.Failure):
            return point
        if point.through >= start:
            return Truncated(start)
        return entries

    def truncate(self, through: int) -> failures.Failure | None:
        """Remove the entries through ``through``.

        Several processes may do this at once, and each may stop midway. The
        next truncation continues from the stored truncation point.
        """
        found = self._read_point()
        if isinstance(found, failures.Failure):
            return found
        point = _point_of(found)
        target = TruncationPoint(max(point.through, through), point.removed)
        stored = self._write_point(found, target)
        if not isinstance(stored, objects.Stored):
            return _to_failure(stored, self._kind)
        for index in range(target.removed + 1, target.through + 1):
            failure = self._journal.remove(index)
            if failure:
                return failure
            eventlet.sleep(REMOVE_INTERVAL_SECONDS)
        completed = TruncationPoint(target.through, target.through)
        result = self._write_point(stored, completed)
        if isinstance(result, objects.Stored):
            return None
        return _to_failure(result, self._kind)

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


def _to_failure(
    result: objects.Conflict | failures.Failure, kind: str
) -> failures.Failure:
    if isinstance(result, failures.Failure):
        return result
    return failures.Failure(
        failures.Reason.STORE_CONFLICT,
        'journal.cut',
        kind,
        'another process changed the truncation point',
        outcomes.Outcome.NOT_RUN,
    )
