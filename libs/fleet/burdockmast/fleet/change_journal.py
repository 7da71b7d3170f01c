"""Operators' writes: check, append to the journal, report honestly."""

import dataclasses

import msgspec

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.fleet import changes
from burdockmast.fleet import configuration
from burdockmast.fleet import snapshots
from burdockmast.store import cuts
from burdockmast.store import journals
from burdockmast.store import objects

CHANGES_KIND = 'config-change'


def open_journal(store: objects.Objects) -> cuts.CutJournal:
    """Return the journal of configuration changes."""
    return cuts.CutJournal(store, CHANGES_KIND)


def encode(change: changes.Change) -> journals.Entry:
    """Return a change as a journal entry."""
    return journals.Entry(change.id, msgspec.to_builtins(change))


def decode(entry: journals.Entry) -> changes.Change:
    """Return the change of a journal entry."""
    return msgspec.convert(entry.body, changes.Change)


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A change is part of the configuration from ``version`` on."""

    version: ids.Version


class ChangeWriter:
    """Writes of one operator."""

    def __init__(self, store: objects.Objects, author: str):
        """Create a writer.

        :param author: who is named to operators that lose a race
        """
        self._journal = open_journal(store)
        self._snapshots = snapshots.Snapshots(store, self._journal)
        self._author = author
        self.configuration = configuration.Configuration()

    def refresh(self) -> failures.Failure | None:
        """Read all that was accepted so far."""
        while True:
            entries = self._journal.follow(self.configuration.version + 1)
            match entries:
                case failures.Failure():
                    return entries
                case cuts.Void():
                    failure = self._restore()
                    if failure:
                        return failure
                case []:
                    return None
                case _:
                    for _, entry in entries:
                        self.configuration.apply(decode(entry))

    def _restore(self) -> failures.Failure | None:
        """Begin with the snapshot that the journal was cut behind."""
        found = self._snapshots.read()
        if isinstance(found, failures.Failure):
            return found
        self.configuration = found
        return None

    def submit(
        self, body: changes.Body, seconds: float = 10.0
    ) -> Accepted | failures.Failure:
        """Have a change accepted.

        A failure tells whether the change was not accepted or may have
        been; another operator's change in between is checked against.
        """
        change = changes.Change(ids.ChangeId(ids.new_id()), self._author, body)
        deadline = timers.now() + seconds
        while True:
            refusal = self.refresh() or self.configuration.check(body)
            if refusal:
                return refusal
            place = self.configuration.version + 1
            result = self._journal.append(
                place, encode(change), deadline - timers.now()
            )
            match result:
                case journals.Appended(place=place):
                    self.configuration.apply(change)
                    return Accepted(ids.Version(place))
                case journals.Occupied(entry=entry):
                    self.configuration.apply(decode(entry))
                case cuts.Void():
                    return _fell_behind()
                case failures.Failure():
                    return result
            if timers.now() > deadline:
                return failures.Failure(
                    failures.Reason.STORE_CONFLICT,
                    'operation.submit',
                    detail='others kept writing first',
                    outcome=outcomes.Outcome.NOT_RUN,
                )


def _fell_behind() -> failures.Failure:
    """Return the failure of a writer that was paused over a cut.

    Its change may have been accepted, and removed with others since.
    """
    return failures.Failure(
        failures.Reason.STORE_CONFLICT,
        'operation.submit',
        detail='the journal was cut meanwhile; look before you repeat',
        outcome=outcomes.Outcome.UNKNOWN,
    )
