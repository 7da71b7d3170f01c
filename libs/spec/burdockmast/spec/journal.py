"""Journal: two writers, one place after the other, answers that get lost.

Bounds: two writers with one change each, three places. A writer may stop
for good at every step, and each write may take effect with its answer lost.
"""

import enum
from typing import NamedTuple

import minicheck

WRITERS = 2
PLACES = 3
EMPTY = -1


class Guards(NamedTuple):
    """What the journal relies on; each may be taken out."""

    creates_only_if_absent: bool = True
    compares_change_id: bool = True
    repeats_at_same_place: bool = True


class At(enum.IntEnum):
    """Where a writer stands."""

    WRITES = 0
    UNSURE = 1
    SAID_ACCEPTED = 2
    DEAD = 3


class Writer(NamedTuple):
    """A writer and the place that it tries."""

    at: At = At.WRITES
    place: int = 0


Packed = tuple[tuple[Writer, ...], tuple[int, ...]]


def _write(
    writers: tuple[Writer, ...],
    places: tuple[int, ...],
    number: int,
    guards: Guards,
) -> list[tuple[str, Packed]]:
    writer = writers[number]
    found = places[writer.place]

    def then(at: At, place: int, written: tuple[int, ...]) -> Packed:
        changed = list(writers)
        changed[number] = Writer(at, place)
        return tuple(changed), written

    if found != EMPTY and guards.creates_only_if_absent:
        if found == number and guards.compares_change_id:
            accepted = then(At.SAID_ACCEPTED, writer.place, places)
            return [('own change found', accepted)]
        if writer.place + 1 == PLACES:
            return []
        following = then(At.WRITES, writer.place + 1, places)
        return [('place taken', following)]
    written = (*places[: writer.place], number, *places[writer.place + 1 :])
    place = writer.place
    unsure = then(At.UNSURE, place, written)
    if not guards.repeats_at_same_place and place + 1 < PLACES:
        unsure = then(At.WRITES, place + 1, written)
    return [
        ('written', then(At.SAID_ACCEPTED, place, written)),
        ('written, answer lost', unsure),
    ]


def protocol(guards: Guards) -> minicheck.Protocol:
    """Return the journal with these guards, for the checker."""

    def transitions(packed: Packed) -> list[tuple[str, Packed]]:
        writers, places = packed
        steps: list[tuple[str, Packed]] = []
        for number, writer in enumerate(writers):
            if writer.at in (At.WRITES, At.UNSURE):
                steps += _write(writers, places, number, guards)
                dead = list(writers)
                dead[number] = writer._replace(at=At.DEAD)
                steps.append(('writer dies', (tuple(dead), places)))
        return steps

    def accepted_is_kept(state: dict) -> bool:
        return all(
            state['places'].count(number) == 1
            for number, writer in enumerate(state['writers'])
            if writer.at is At.SAID_ACCEPTED
        )

    return minicheck.Protocol(
        name='journal',
        candidate=False,
        fields=('writers', 'places'),
        initial=((Writer(),) * WRITERS, (EMPTY,) * PLACES),
        transitions=transitions,
        invariants={
            'accepted changes stand once and stay': accepted_is_kept,
            'no change stands twice': lambda d: all(
                d['places'].count(number) <= 1 for number in range(WRITERS)
            ),
        },
    )
