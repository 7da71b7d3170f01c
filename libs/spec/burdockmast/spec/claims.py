"""Claims: two copies of one request, one side that may be replaced.

Bounds: two entries with one copy each, three attempts, two incarnations of
the side. Entries may stop for good or pause at every step (any other step
may come in between), messages may be lost, and the side may be replaced at
any time.
"""

import dataclasses
import enum
from typing import NamedTuple

import minicheck

ENTRIES = 2
ATTEMPTS = 3
INCARNATIONS = 2


class Guards(NamedTuple):
    """What the protocol relies on; each may be taken out."""

    claims: bool = True
    names_incarnation: bool = True
    remembers_runs: bool = True
    bars_on_settle: bool = True
    keeps_unknown: bool = True


class At(enum.IntEnum):
    """Where an entry stands with its copy."""

    BEGIN = 0
    HOLDS = 1
    SENT = 2
    SETTLES = 3
    RELEASES = 4
    REPLIED = 5
    SAID_UNKNOWN = 6
    SAID_NOT_RUN = 7
    DEAD = 8


class Status(enum.IntEnum):
    """What the journal says of the key."""

    NONE = 0
    OPEN = 1
    RELEASED = 2


class Entry(NamedTuple):
    """An entry: where it stands, and the attempt that it deals with."""

    at: At = At.BEGIN
    attempt: int = 0
    incarnation: int = 0
    has_run: bool = False


class Book(NamedTuple):
    """The newest claim of the key in the journal."""

    status: Status = Status.NONE
    attempt: int = 0
    holder: int = -1
    incarnation: int = 0


class Side(NamedTuple):
    """The side's memory, lost when it is replaced."""

    incarnation: int = 1
    has_run: bool = False
    barred: int = 0


@dataclasses.dataclass(frozen=True)
class State:
    """The whole system."""

    entries: tuple[Entry, ...]
    book: Book
    side: Side
    runs: int

    def with_entry(self, number: int, **fields: object) -> 'State':
        """Return the state with one entry changed."""
        entries = list(self.entries)
        entries[number] = entries[number]._replace(**fields)
        return dataclasses.replace(self, entries=tuple(entries))


Steps = list[tuple[str, State]]


def _begin(state: State, number: int, guards: Guards) -> Steps:
    """Claim the key, or learn who has."""
    book = state.book
    incarnation = state.side.incarnation
    refused = state.with_entry(number, at=At.SAID_NOT_RUN)
    steps: Steps = [('store out', refused)]
    if not guards.claims:
        held = state.with_entry(
            number, at=At.HOLDS, attempt=1, incarnation=incarnation
        )
        return [*steps, ('send unclaimed', held)]
    if book.status is Status.OPEN:
        settles = state.with_entry(
            number,
            at=At.SETTLES,
            attempt=book.attempt,
            incarnation=book.incarnation,
        )
        return [*steps, ('claim found', settles)]
    attempt = book.attempt + 1
    if attempt > ATTEMPTS:
        return steps
    claim = Book(Status.OPEN, attempt, number, incarnation)
    held = state.with_entry(
        number, at=At.HOLDS, attempt=attempt, incarnation=incarnation
    )
    claimed = dataclasses.replace(held, book=claim)
    # The claim was written, but its writer is told that the store is out.
    lost = dataclasses.replace(refused, book=claim)
    return [*steps, ('claim', claimed), ('claim, answer lost', lost)]


def _send(state: State, number: int, guards: Guards) -> Steps:
    """The side gets a holder's call, or the call is lost."""
    entry = state.entries[number]
    side = state.side
    lost = At.SAID_UNKNOWN if guards.keeps_unknown else At.RELEASES
    steps: Steps = [('call lost', state.with_entry(number, at=lost))]
    is_refused = (
        (guards.names_incarnation and entry.incarnation != side.incarnation)
        or (guards.remembers_runs and side.has_run)
        or entry.attempt <= side.barred
    )
    if is_refused:
        if side.has_run and entry.incarnation == side.incarnation:
            replied = state.with_entry(number, at=At.REPLIED)
            return [*steps, ('first outcome', replied)]
        refused = state.with_entry(number, at=At.RELEASES)
        return [*steps, ('refused unrun', refused)]
    ran = dataclasses.replace(
        state, side=side._replace(has_run=True), runs=state.runs + 1
    )
    replied = ran.with_entry(number, at=At.REPLIED, has_run=True)
    unheard = ran.with_entry(number, at=lost, has_run=True)
    return [*steps, ('run', replied), ('run, answer lost', unheard)]


def _settle(state: State, number: int, guards: Guards) -> Steps:
    """Ask the claim's side what became of it."""
    entry = state.entries[number]
    side = state.side
    unknown = state.with_entry(number, at=At.SAID_UNKNOWN)
    if entry.incarnation != side.incarnation:
        return [('side replaced', unknown)]
    if side.has_run and guards.remembers_runs:
        return [('replay', state.with_entry(number, at=At.REPLIED))]
    settled = state.with_entry(number, at=At.RELEASES)
    if guards.bars_on_settle:
        barred = side._replace(barred=max(side.barred, entry.attempt))
        settled = dataclasses.replace(settled, side=barred)
    return [('settled unrun', settled), ('settle lost', unknown)]


def _release(state: State, number: int, guards: Guards) -> Steps:
    """Write that the attempt did not run, and begin again."""
    entry = state.entries[number]
    again = state.with_entry(number, at=At.BEGIN)
    book = state.book
    if book.status is Status.OPEN and book.attempt == entry.attempt:
        book = book._replace(status=Status.RELEASED)
    released = dataclasses.replace(again, book=book)
    return [
        ('release', released),
        ('give up', state.with_entry(number, at=At.SAID_NOT_RUN)),
    ]


_STEPS = {
    At.BEGIN: _begin,
    At.HOLDS: _send,
    At.SETTLES: _settle,
    At.RELEASES: _release,
}


def protocol(guards: Guards) -> minicheck.Protocol:
    """Return the protocol with these guards, for the checker."""

    def transitions(packed: tuple) -> list[tuple[str, tuple]]:
        state = State(*packed)
        steps: Steps = []
        for number, entry in enumerate(state.entries):
            step = _STEPS.get(entry.at)
            if step is None:
                continue
            steps += step(state, number, guards)
            steps.append(('entry dies', state.with_entry(number, at=At.DEAD)))
        if state.side.incarnation < INCARNATIONS:
            replaced = Side(state.side.incarnation + 1)
            steps.append(
                ('side replaced', dataclasses.replace(state, side=replaced))
            )
        return [
            (label, (s.entries, s.book, s.side, s.runs)) for label, s in steps
        ]

    return minicheck.Protocol(
        name='claims',
        candidate=False,
        fields=('entries', 'book', 'side', 'runs'),
        initial=((Entry(),) * ENTRIES, Book(), Side(), 0),
        transitions=transitions,
        invariants={
            'runs at most once': lambda d: d['runs'] <= 1,
            'not run is true': lambda d: (
                not any(
                    e.at is At.SAID_NOT_RUN and e.has_run for e in d['entries']
                )
            ),
        },
    )
