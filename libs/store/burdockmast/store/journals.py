"""An ordered log kept in the store, safe with any number of writers.

Entry ``n`` is an object named ``n`` that is created only if it does not
exist. So each place has one winner, no writer needs a lease, and a paused
writer that wakes can't overwrite anything. Each entry carries its writer's
change id: a create whose answer was lost is simply repeated, and the entry
that is found there tells whether it was ours.
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
PAGE = 200
# Seconds between repeats of a create whose answer was lost.
REPEAT_SECONDS = 0.2


class Entry(msgspec.Struct):
    """What is stored at one place of a journal."""

    change: ids.ChangeId
    body: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The entry is in the journal at ``place``."""

    place: int


@dataclasses.dataclass(frozen=True, slots=True)
class Occupied:
    """Another writer's entry is at ``place``; ours was not written."""

    place: int
    entry: Entry


class Journal:
    """One journal, named by its kind in the store."""

    def __init__(self, store: objects.Objects, kind: str):
        """Open a journal; places count from 1."""
        self._store = store
        self._kind = kind

    def append(
        self, place: int, entry: Entry, seconds: float
    ) -> Appended | Occupied | failures.Failure:
        """Write ``entry`` at ``place`` unless that place is taken.

        A failure's outcome is ``UNKNOWN`` if the entry may be there.

        :param seconds: how long to go on trying
        """
        deadline = timers.now() + seconds
        outcome = outcomes.Outcome.NOT_RUN
        while True:
            result = self._store.create(self._kind, _name(place), entry)
            match result:
                case objects.Stored():
                    return Appended(place)
                case objects.Conflict():
                    result = self._occupant(place, entry)
            match result:
                case Appended() | Occupied():
                    return result
                case failures.Failure() as failure:
                    if failure.outcome is outcomes.Outcome.UNKNOWN:
                        outcome = failure.outcome
            if timers.now() + REPEAT_SECONDS > deadline:
                return dataclasses.replace(failure, outcome=outcome)
            eventlet.sleep(REPEAT_SECONDS)

    def read(
        self, start: int, wait: float = 0.0
    ) -> list[tuple[int, Entry]] | failures.Failure:
        """Return entries from ``start`` on, in order and without gaps.

        :param wait: seconds to wait until there is one
        """
        items = self._store.list(self._kind, _name(start), PAGE, wait)
        if isinstance(items, failures.Failure):
            return items
        entries: list[tuple[int, Entry]] = []
        for item in items:
            place = int(item.name)
            if place != start + len(entries):
                break
            entries.append((place, msgspec.convert(item.value, Entry)))
        return entries

    def remove(self, place: int) -> failures.Failure | None:
        """Remove the entry at ``place``; see :mod:`.cuts` for when."""
        return self._store.delete(self._kind, _name(place))

    def _occupant(
        self, place: int, entry: Entry
    ) -> Appended | Occupied | failures.Failure:
        match self._store.get(self._kind, _name(place)):
            case objects.Stored(value=value):
                found = msgspec.convert(value, Entry)
                if found.change == entry.change:
                    return Appended(place)
                return Occupied(place, found)
            case objects.Absent():
                return failures.Failure(
                    failures.Reason.STORE_CONFLICT,
                    'journal.append',
                    self._kind,
                    f'place {place} was taken and is now empty',
                    outcomes.Outcome.UNKNOWN,
                )
            case failure:
                return dataclasses.replace(
                    failure, outcome=outcomes.Outcome.UNKNOWN
                )


def _name(place: int) -> str:
    return f'{place:0{NAME_DIGITS}d}'
