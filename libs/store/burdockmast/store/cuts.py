"""A journal whose old entries are removed.

A mark in the store says through which place entries are gone; it moves
before they go, and only up. A writer that was paused for long may create an
entry where one was removed. So whoever has created an entry reads the mark
after that: an entry at or below it stands nowhere.
"""

import dataclasses

import eventlet
import msgspec

from burdockmast.base import failures
from burdockmast.base import outcomes
from burdockmast.store import journals
from burdockmast.store import objects

MARKS_KIND = 'journal-marks'
# Time between two removals. They come out of the store's writes, and have to
# outpace a journal's growth of ten entries a second.
REMOVE_INTERVAL_SECONDS = 0.05


class Mark(msgspec.Struct, frozen=True):
    """How far a journal is cut.

    :ivar through: entries through this place count no more
    :ivar removed: entries through this place are no longer in the store
    """

    through: int = 0
    removed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Void:
    """A place where the journal has been cut away.

    An entry there stands nowhere; who reads or writes there begins anew.
    """

    place: int


class CutJournal:
    """A journal, and the mark below which it is cut."""

    def __init__(self, store: objects.Objects, kind: str):
        """Open a journal; places count from 1."""
        self._store = store
        self._kind = kind
        self._journal = journals.Journal(store, kind)

    def mark(self) -> Mark | failures.Failure:
        """Read how far the journal is cut."""
        found = self._read_mark()
        if isinstance(found, failures.Failure):
            return found
        return _mark_of(found)

    def append(
        self, place: int, entry: journals.Entry, seconds: float
    ) -> journals.Appended | journals.Occupied | Void | failures.Failure:
        """Write ``entry`` at ``place`` unless that place is taken or cut."""
        result = self._journal.append(place, entry, seconds)
        if not isinstance(result, journals.Appended):
            return result
        match self.mark():
            case failures.Failure() as failure:
                return dataclasses.replace(
                    failure, outcome=outcomes.Outcome.UNKNOWN
                )
            case Mark(through=through) if place <= through:
                # Nobody reads it; it would only lie there for good.
                self._journal.remove(place)
                return Void(place)
        return result

    def read(
        self, start: int
    ) -> list[tuple[int, journals.Entry]] | failures.Failure:
        """Return entries from ``start`` on, in order and without gaps."""
        return self._journal.read(start)

    def follow(
        self, start: int, wait: float = 0.0
    ) -> list[tuple[int, journals.Entry]] | Void | failures.Failure:
        """Return entries from ``start`` on, if the journal is not cut there.

        :param wait: seconds to wait until there is one
        """
        entries = self._journal.read(start, wait)
        if isinstance(entries, failures.Failure):
            return entries
        # The mark is read last: what a late writer creates where entries
        # were removed is below it.
        mark = self.mark()
        if isinstance(mark, failures.Failure):
            return mark
        if mark.through >= start:
            return Void(start)
        return entries

    def cut(self, through: int) -> failures.Failure | None:
        """Remove the entries through ``through``.

        Any number of processes may do this at once, and each may stop in
        the middle: the next cut goes on where the mark says.
        """
        found = self._read_mark()
        if isinstance(found, failures.Failure):
            return found
        mark = _mark_of(found)
        cut = Mark(max(mark.through, through), mark.removed)
        stored = self._write_mark(found, cut)
        if not isinstance(stored, objects.Stored):
            return _as_failure(stored, self._kind)
        for place in range(cut.removed + 1, cut.through + 1):
            failure = self._journal.remove(place)
            if failure:
                return failure
            eventlet.sleep(REMOVE_INTERVAL_SECONDS)
        done = Mark(cut.through, cut.through)
        result = self._write_mark(stored, done)
        if isinstance(result, objects.Stored):
            return None
        return _as_failure(result, self._kind)

    def _read_mark(
        self,
    ) -> objects.Stored | objects.Absent | failures.Failure:
        return self._store.get(MARKS_KIND, self._kind)

    def _write_mark(
        self, found: objects.Stored | objects.Absent, mark: Mark
    ) -> objects.Stored | objects.Conflict | failures.Failure:
        if isinstance(found, objects.Absent):
            return self._store.create(MARKS_KIND, self._kind, mark)
        return self._store.update(MARKS_KIND, self._kind, mark, found.revision)


def _mark_of(found: objects.Stored | objects.Absent) -> Mark:
    if isinstance(found, objects.Absent):
        return Mark()
    return msgspec.convert(found.value, Mark)


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
