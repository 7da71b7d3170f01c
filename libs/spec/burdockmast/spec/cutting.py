"""Cutting a claims journal: two homes, one key, entries that are removed.

Bounds: two homes, four places, one key. A home may pause at every step (any
other step may come in between) and may be replaced by one that knows
nothing. Time is left out: a key may be forgotten at any moment.
"""

import enum
from typing import NamedTuple

import minicheck

HOMES = 2
PLACES = 4


class Guards(NamedTuple):
    """What cutting relies on; each may be taken out."""

    reads_mark_after_create: bool = True
    forgets_in_journal: bool = True
    marks_before_remove: bool = True
    writes_only_effective: bool = True
    answers_in_time: bool = True


class Kind(enum.IntEnum):
    """What stands at a place of the journal."""

    NOTHING = 0
    CLAIM = 1
    FORGOTTEN = 2


class Line(NamedTuple):
    """An entry: a claim of the key, or that claims are forgotten."""

    kind: Kind = Kind.NOTHING
    through: int = 0


class Home(NamedTuple):
    """A home: how far it has read, and where the claim stands it knows.

    :ivar created: the place of an entry that it has just created, or 0
    :ivar is_late: that place was forgotten since
    """

    place: int = 0
    known: int = 0
    created: int = 0
    is_late: bool = False


class Store(NamedTuple):
    """What the store holds; place ``n`` is ``lines[n - 1]``."""

    lines: tuple[Line, ...] = (Line(),) * PLACES
    through: int = 0
    removed: int = 0

    @property
    def end(self) -> int:
        """The last place that is taken."""
        taken = (
            place
            for place in range(1, PLACES + 1)
            if self.at(place).kind is not Kind.NOTHING
        )
        return max(taken, default=0)

    def at(self, place: int) -> Line:
        """Return what stands at a place."""
        return self.lines[place - 1]

    def put(self, place: int, line: Line) -> 'Store':
        """Return the store with another entry at a place."""
        lines = list(self.lines)
        lines[place - 1] = line
        return self._replace(lines=tuple(lines))


class Truth(NamedTuple):
    """What homes have said: the claim in force, and whether all was well."""

    granted: int = 0
    forgotten: int = 0
    is_broken: bool = False


Packed = tuple[tuple[Home, ...], Store, Truth]
Steps = list[tuple[str, Packed]]


def _apply(home: Home, line: Line) -> Home:
    """Return the home after it has read the next place."""
    known = home.known
    if line.kind is Kind.CLAIM and not known:
        known = home.place + 1
    if line.kind is Kind.FORGOTTEN and known <= line.through:
        known = 0
    return home._replace(place=home.place + 1, known=known)


def _grant(truth: Truth, place: int) -> Truth:
    """Note that a home has said yes to a claim."""
    is_live = truth.granted > truth.forgotten
    is_gone = place <= truth.forgotten
    return truth._replace(
        granted=place, is_broken=truth.is_broken or is_live or is_gone
    )


def _delayed(home: Home, through: int) -> Home:
    """Return a home after keys through a place were forgotten."""
    is_late = 0 < home.created <= through
    return home._replace(is_late=home.is_late or is_late)


class _Moves:
    """The steps of one home in one state."""

    def __init__(self, packed: Packed, number: int, guards: Guards):
        self._homes, self._store, self._truth = packed
        self._number = number
        self._home = self._homes[number]
        self._guards = guards

    def all(self) -> Steps:
        """Return every step that this home may take."""
        if self._home.created:
            return [self._replaced(), *self._ends_write()]
        return [
            self._replaced(),
            *self._reads(),
            *self._claims(),
            *self._forgets(),
            *self._cuts(),
        ]

    def _to(
        self,
        name: str,
        home: Home,
        store: Store | None = None,
        truth: Truth | None = None,
    ) -> tuple[str, Packed]:
        homes = list(self._homes)
        homes[self._number] = home
        after = (tuple(homes), store or self._store, truth or self._truth)
        return name, after

    def _replaced(self) -> tuple[str, Packed]:
        return self._to('replaced', Home(self._store.through))

    def _reads(self) -> Steps:
        following = self._home.place + 1
        if following > PLACES:
            return []
        line = self._store.at(following)
        if line.kind is Kind.NOTHING:
            return []
        return [self._to('reads', _apply(self._home, line))]

    def _creates(self, name: str, line: Line) -> Steps:
        place = self._home.place + 1
        if place > PLACES or self._store.at(place).kind is not Kind.NOTHING:
            return []
        created = self._home._replace(created=place)
        truth = self._truth
        if line.kind is Kind.FORGOTTEN and place > self._store.through:
            most = max(truth.forgotten, line.through)
            truth = truth._replace(forgotten=most)
        written = self._store.put(place, line)
        name, (homes, *rest) = self._to(name, created, written, truth)
        if line.kind is Kind.FORGOTTEN:
            homes = tuple(_delayed(home, line.through) for home in homes)
        return [(name, (homes, *rest))]

    def _claims(self) -> Steps:
        if self._home.known and self._guards.writes_only_effective:
            return []
        return self._creates('writes a claim', Line(Kind.CLAIM))

    def _forgets(self) -> Steps:
        steps: Steps = []
        if not self._guards.forgets_in_journal:
            return steps
        for through in range(1, self._home.place + 1):
            line = Line(Kind.FORGOTTEN, through)
            steps += self._creates(f'forgets through {through}', line)
        return steps

    def _ends_write(self) -> Steps:
        place = self._home.created
        store = self._store
        if self._guards.reads_mark_after_create and place <= store.through:
            emptied = store.put(place, Line())
            return [self._to('finds it void', Home(store.through), emptied)]
        line = store.at(place)
        if line.kind is Kind.NOTHING:
            # Removed before the mark was read; only without its guard.
            line = Line(Kind.CLAIM)
        before = self._home._replace(created=0, is_late=False)
        after = _apply(before, line)
        truth = self._truth
        if line.kind is Kind.CLAIM and not before.known:
            # Who wakes so late that the claim may be forgotten says nothing.
            if not (self._home.is_late and self._guards.answers_in_time):
                truth = _grant(truth, place)
        return [self._to('ends its write', after, None, truth)]

    def _cuts(self) -> Steps:
        steps: Steps = []
        store = self._store
        through = self._may_cut()
        if through > store.through:
            marked = store._replace(through=through)
            steps.append(self._to('marks', self._home, marked))
        limit = store.through
        if not self._guards.marks_before_remove:
            limit = max(limit, through)
        if store.removed < limit:
            place = store.removed + 1
            emptied = store.put(place, Line())._replace(removed=place)
            steps.append(self._to('removes', self._home, emptied))
        return steps

    def _may_cut(self) -> int:
        """Return how far this home may cut by what it has read."""
        if not self._guards.forgets_in_journal:
            return self._home.place
        return max(
            (
                line.through
                for line in self._store.lines[: self._home.place]
                if line.kind is Kind.FORGOTTEN
            ),
            default=0,
        )


def protocol(guards: Guards) -> minicheck.Protocol:
    """Return the cutting of a journal with these guards."""

    def transitions(packed: Packed) -> Steps:
        steps: Steps = []
        for number in range(HOMES):
            steps += _Moves(packed, number, guards).all()
        return steps

    def agree(state: dict) -> bool:
        ended = [
            home
            for home in state['homes']
            if not home.created and home.place == state['store'].end
        ]
        return len({home.known for home in ended}) <= 1

    return minicheck.Protocol(
        name='cutting',
        candidate=False,
        fields=('homes', 'store', 'truth'),
        initial=((Home(),) * HOMES, Store(), Truth()),
        transitions=transitions,
        invariants={
            'a claim is granted once until it is forgotten': lambda state: (
                not state['truth'].is_broken
            ),
            'homes that have read to the end know the same': agree,
        },
    )
