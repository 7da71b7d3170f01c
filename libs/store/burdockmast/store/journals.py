"""An ordered journal in the object store, safe with any number of writers.

Entry ``n`` is an object named ``n`` that is created only if it does not
exist. So one writer wins each index, no writer needs a lease, and a writer
that resumes after a pause can't overwrite an entry. Each entry carries its
writer's change id: a create whose response was lost is repeated, and the
change id of the entry found there tells whether this writer created it.
"""

import dataclasses
from typing import Any

import eventlet
import msgspec

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.store import objects

NAME_DIGITS = 12
PAGE_ENTRY_COUNT = 200
# Time between repeats of a create that failed or whose response was lost.
RETRY_INTERVAL_SECONDS = 0.2


class Entry(msgspec.Struct):
    """The stored value of one journal entry."""

    change: ids.ChangeId
    body: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The entry is in the journal at ``index``."""

    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Occupied:
    """Another writer's entry is at ``index``; the given one isn't written."""

    index: int
    entry: Entry


class Journal:
    """One journal, named by its kind in the store."""

    def __init__(self, store: objects.ObjectClient, kind: str):
        """Open a journal; the first index is 1."""
        self._store = store
        self._kind = kind

    def append(
        self, index: int, entry: Entry, seconds: float
    ) -> Appended | Occupied | failures.Failure:
        """Write ``entry`` at ``index`` unless that index is occupied.

        A failure's outcome is ``UNKNOWN`` if the entry may have been written.

        :param seconds: how long to keep retrying
        """
        deadline = timers.now() + seconds
        outcome = outcomes.Outcome.NOT_RUN
        while True:
            result = self._store.create(self._kind, _name(index), entry)
            match result:
                case objects.Stored():
                    return Appended(index)
                case objects.Conflict():
                    result = self._occupant(index, entry)
            match result:
                case Appended() | Occupied():
                    return result
                case failures.Failure() as failure:
                    if failure.outcome is outcomes.Outcome.UNKNOWN:
                        outcome = failure.outcome
            if timers.now() + RETRY_INTERVAL_SECONDS > deadline:
                return dataclasses.replace(failure, outcome=outcome)
            eventlet.sleep(RETRY_INTERVAL_SECONDS)

    def read(
        self, start: int, wait: float = 0.0
    ) -> list[tuple[int, Entry]] | failures.Failure:
        """Return entries from ``start`` on, in order and without gaps.

        :param wait: seconds to wait for the first such entry
        """
        items = self._store.list(
            self._kind, _name(start), PAGE_ENTRY_COUNT, wait
        )
        if isinstance(items, failures.Failure):
            return items
        entries: list[tuple[int, Entry]] = []
        for item in items:
            index = int(item.name)
            if index != start + len(entries):
                break
            entries.append((index, msgspec.convert(item.value, Entry)))
        return entries

    def remove(self, index: int) -> failures.Failure | None:
        """Remove the entry at ``index``; :mod:`.truncation` says when."""
        return self._store.delete(self._kind, _name(index))

    def _occupant(
        self, index: int, entry: Entry
    ) -> Appended | Occupied | failures.Failure:
        match self._store.get(self._kind, _name(index)):
            case objects.Stored(value=value):
                found = msgspec.convert(value, Entry)
                if found.change == entry.change:
                    return Appended(index)
                return Occupied(index, found)
            case objects.Absent():
                return failures.Failure(
                    failures.Reason.STORE_CONFLICT,
                    'journal.append',
                    self._kind,
                    f'index {index} was occupied and is now empty',
                    outcomes.Outcome.UNKNOWN,
                )
            case failure:
                return dataclasses.replace(
                    failure, outcome=outcomes.Outcome.UNKNOWN
                )


def _name(index: int) -> str:
    return f'{index:0{NAME_DIGITS}d}'
