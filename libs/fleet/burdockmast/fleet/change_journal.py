"""The journal of configuration changes, and its writer for operators."""

import dataclasses

import msgspec

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.fleet import changes
from burdockmast.fleet import configuration
from burdockmast.fleet import snapshots
from burdockmast.store import journals
from burdockmast.store import objects
from burdockmast.store import truncation

CHANGES_KIND = 'config-change'


def open_journal(store: objects.ObjectClient) -> truncation.TruncatableJournal:
    """Open the journal of configuration changes."""
    return truncation.TruncatableJournal(store, CHANGES_KIND)


def encode(change: changes.Change) -> journals.Entry:
    """Return a change as a journal entry."""
    return journals.Entry(change.id, msgspec.to_builtins(change))


def decode(entry: journals.Entry) -> changes.Change:
    """Return the change of a journal entry."""
    return msgspec.convert(entry.body, changes.Change)


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in the journal and is part of ``version``."""

    version: ids.Version


class ChangeWriter:
    """Checks and appends the changes of one operator."""

    def __init__(self, store: objects.ObjectClient, author: str):
        """Create a writer.

        :param author: named in the refusals of other operators' switches
        """
        self._journal = open_journal(store)
        self._snapshots = snapshots.Snapshots(store, self._journal)
        self._author = author
        self.configuration = configuration.Configuration()

    def refresh(self) -> failures.Failure | None:
        """Bring the configuration up to date with the journal."""
        while True:
            entries = self._journal.follow(self.configuration.version + 1)
            match entries:
                case failures.Failure():
                    return entries
                case truncation.Truncated():
                    failure = self._restore()
                    if failure:
                        return failure
                case []:
                    return None
                case _:
                    for _, entry in entries:
                        self.configuration.apply(decode(entry))

    def _restore(self) -> failures.Failure | None:
        """Load the snapshot that replaces truncated entries of the journal."""
        found = self._snapshots.read()
        if isinstance(found, failures.Failure):
            return found
        self.configuration = found
        return None

    def submit(
        self, body: changes.Body, seconds: float = 10.0
    ) -> Accepted | failures.Failure:
        """Append a change to the journal, if it is valid.

        If another operator's change comes first, the change is checked
        again on top of that. The outcome of a failure tells whether the
        change was not accepted or may have been.

        :param seconds: how long to go on trying
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
                case journals.Appended(index=place):
                    self.configuration.apply(change)
                    return Accepted(ids.Version(place))
                case journals.Occupied(entry=entry):
                    self.configuration.apply(decode(entry))
                case truncation.Truncated():
                    return _place_truncated()
                case failures.Failure():
                    return result
            if timers.now() > deadline:
                return failures.Failure(
                    failures.Reason.STORE_CONFLICT,
                    'operation.submit',
                    detail='other operators kept writing first',
                    outcome=outcomes.Outcome.NOT_RUN,
                )


def _place_truncated() -> failures.Failure:
    """Return the failure of a writer that was paused during a truncation.

    Its change may have been accepted, and truncated with others since.
    """
    return failures.Failure(
        failures.Reason.STORE_CONFLICT,
        'operation.submit',
        detail='the journal was truncated meanwhile; check whether the '
        'change has taken effect before repeating it',
        outcome=outcomes.Outcome.UNKNOWN,
    )
