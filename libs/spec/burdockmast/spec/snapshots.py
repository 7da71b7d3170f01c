"""Snapshots: the journal of changes, cut behind a snapshot.

Bounds: two writers with two changes each, two readers that also write
snapshots and cut, three places. Any process may pause at every step, and a
writer may die. The cut goes as far as the snapshot, which is harder than the
distance that the program keeps.
"""

from collections.abc import Callable
from typing import NamedTuple

import minicheck

WRITERS = 2
CHANGES = 2
READERS = 2
PLACES = 3
EMPTY = 0

# The changes that a process has applied, by place.
History = tuple[int, ...]


class Guards(NamedTuple):
    """What snapshots rely on; each may be taken out."""

    reader_reads_mark_last: bool = True
    writer_reads_mark_last: bool = True
    marks_before_remove: bool = True


class Writer(NamedTuple):
    """An operator.

    :ivar place: the place that it will write next, 0 before it has looked
    :ivar created: the place of an entry that it has just created, or 0
    :ivar count: changes that it has begun
    :ivar accepted: number and place of the changes that it has said to be
        accepted
    """

    place: int = 0
    created: int = 0
    count: int = 0
    accepted: tuple[tuple[int, int], ...] = ()
    is_dead: bool = False


class Reader(NamedTuple):
    """A process that follows the journal.

    :ivar read: the entry that it has read and not yet taken, or ``EMPTY``
    """

    history: History = ()
    read: int = EMPTY


class Store(NamedTuple):
    """What the store holds; place ``n`` is ``entries[n - 1]``."""

    entries: tuple[int, ...] = (EMPTY,) * PLACES
    snapshot: History = ()
    through: int = 0
    removed: int = 0

    def at(self, place: int) -> int:
        """Return the entry at a place, ``EMPTY`` past the end."""
        return self.entries[place - 1] if place <= PLACES else EMPTY

    def put(self, place: int, change: int) -> 'Store':
        """Return the store with another entry at a place."""
        entries = list(self.entries)
        entries[place - 1] = change
        return self._replace(entries=tuple(entries))

    @property
    def next_place(self) -> int:
        """The first free place after the snapshot."""
        place = len(self.snapshot) + 1
        while self.at(place) != EMPTY:
            place += 1
        return place


Packed = tuple[tuple[Writer, ...], tuple[Reader, ...], Store]
Steps = list[tuple[str, Packed]]


def _with(things: tuple, number: int, thing: NamedTuple) -> tuple:
    return (*things[:number], thing, *things[number + 1 :])


def _writer_steps(packed: Packed, number: int, guards: Guards) -> Steps:
    writers, readers, store = packed
    writer = writers[number]
    if writer.is_dead:
        return []

    def to(name: str, after: Writer, changed: Store) -> tuple[str, Packed]:
        return name, (_with(writers, number, after), readers, changed)

    if writer.created:
        dead = writer._replace(is_dead=True)
        return [
            to('writer dies', dead, store),
            _ends_write(writer, store, guards, to),
        ]
    if not writer.place:
        if writer.count == CHANGES or store.next_place > PLACES:
            return []
        looked = writer._replace(place=store.next_place)
        return [to('writer looks', looked, store)]
    if store.at(writer.place) != EMPTY:
        return [to('place taken', writer._replace(place=0), store)]
    change = 1 + number * CHANGES + writer.count
    created = writer._replace(created=writer.place, count=writer.count + 1)
    return [to('creates', created, store.put(writer.place, change))]


def _ends_write(
    writer: Writer, store: Store, guards: Guards, to: Callable
) -> tuple[str, Packed]:
    place = writer.created
    ended = writer._replace(place=0, created=0)
    if guards.writer_reads_mark_last and place <= store.through:
        # It removes what it has created, and says that it does not know.
        return to('finds it void', ended, store.put(place, EMPTY))
    said = (*writer.accepted, (writer.count, place))
    return to('says accepted', ended._replace(accepted=said), store)


def _reader_steps(packed: Packed, number: int, guards: Guards) -> Steps:
    writers, readers, store = packed
    reader = readers[number]
    following = len(reader.history) + 1

    def to(name: str, after: Reader, changed: Store) -> tuple[str, Packed]:
        return name, (writers, _with(readers, number, after), changed)

    if reader.read != EMPTY:
        if guards.reader_reads_mark_last and following <= store.through:
            return [to('restores', Reader(store.snapshot), store)]
        taken = Reader((*reader.history, reader.read))
        return [to('takes', taken, store)]
    steps: Steps = []
    if store.at(following) != EMPTY:
        read = reader._replace(read=store.at(following))
        steps.append(to('reads', read, store))
    elif following <= store.through:
        steps.append(to('restores', Reader(store.snapshot), store))
    if len(reader.history) > len(store.snapshot):
        newer = store._replace(snapshot=reader.history)
        steps.append(to('writes a snapshot', reader, newer))
    return [*steps, *_cuts(reader, store, guards, to)]


def _cuts(reader: Reader, store: Store, guards: Guards, to: Callable) -> Steps:
    steps: Steps = []
    if len(store.snapshot) > store.through:
        marked = store._replace(through=len(store.snapshot))
        steps.append(to('marks', reader, marked))
    limit = store.through
    if not guards.marks_before_remove:
        limit = len(store.snapshot)
    if store.removed < limit:
        place = store.removed + 1
        emptied = store.put(place, EMPTY)._replace(removed=place)
        steps.append(to('removes', reader, emptied))
    return steps


def _agree(state: dict) -> bool:
    """Tell whether of any two histories one begins with the other."""
    histories = [reader.history for reader in state['readers']]
    histories.append(state['store'].snapshot)
    return all(
        one[: len(other)] == other[: len(one)]
        for one in histories
        for other in histories
    )


def _accepted_stand(state: dict) -> bool:
    """Tell whether what was said to be accepted stands in its place."""
    histories = [reader.history for reader in state['readers']]
    for number, writer in enumerate(state['writers']):
        for count, place in writer.accepted:
            change = number * CHANGES + count
            for history in histories:
                if len(history) >= place and history[place - 1] != change:
                    return False
    return True


def protocol(guards: Guards) -> minicheck.Protocol:
    """Return snapshots and cuts with these guards."""

    def transitions(packed: Packed) -> Steps:
        steps: Steps = []
        for number in range(WRITERS):
            steps += _writer_steps(packed, number, guards)
        for number in range(READERS):
            steps += _reader_steps(packed, number, guards)
        return steps

    return minicheck.Protocol(
        name='snapshots',
        candidate=False,
        fields=('writers', 'readers', 'store'),
        initial=((Writer(),) * WRITERS, (Reader(),) * READERS, Store()),
        transitions=transitions,
        invariants={
            'all processes pass through the same changes': _agree,
            'an accepted change stands in its place': _accepted_stand,
            'no change stands twice': lambda state: all(
                len(set(reader.history)) == len(reader.history)
                for reader in state['readers']
            ),
        },
    )
