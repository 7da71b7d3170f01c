"""Fencing: a side that is replaced while it is about to give an order.

Bounds: two processes beside one engine, three configuration versions. A
process may pause before every order for as long as it likes. An engine
either refuses numbers below the highest that it has seen, or ignores them;
in the second case the slot's address keeps the old process from acting beside
the new one, which can't start while the old one holds it, and a new process
orders nothing that was accepted before its own start.
"""

from typing import NamedTuple

import minicheck

PROCESSES = 2
VERSIONS = 3


class Guards(NamedTuple):
    """What fencing relies on; each may be taken out."""

    engine_refuses: bool = True
    slot_is_exclusive: bool = True
    versions_only_go_up: bool = True
    fresh_before_order: bool = True


class Process(NamedTuple):
    """A side: whether it lives, its version, and an order in its hand.

    ``since`` is the newest version accepted when it started.
    """

    lives: bool = False
    version: int = 0
    since: int = 0
    order: int = 0


Packed = tuple[tuple[Process, ...], int, int, bool]


def protocol(guards: Guards) -> minicheck.Protocol:
    """Return the protocol with these guards, for the checker."""

    def transitions(packed: Packed) -> list[tuple[str, Packed]]:
        processes, accepted, held, reverted = packed
        steps: list[tuple[str, Packed]] = []

        def change(number: int, **fields: object) -> tuple[Process, ...]:
            changed = list(processes)
            changed[number] = changed[number]._replace(**fields)
            return tuple(changed)

        if accepted < VERSIONS:
            steps.append(('accept', (processes, accepted + 1, held, reverted)))
        others_live = any(process.lives for process in processes)
        for number, process in enumerate(processes):
            if not process.lives:
                if not (others_live and guards.slot_is_exclusive):
                    started = change(
                        number,
                        lives=True,
                        version=0,
                        order=0,
                        since=accepted,
                    )
                    steps.append(
                        ('start', (started, accepted, held, reverted))
                    )
                continue
            died = change(number, lives=False)
            steps.append(('die', (died, accepted, held, reverted)))
            low = 0 if not guards.versions_only_go_up else process.version
            for version in range(low, accepted + 1):
                if version != process.version:
                    learnt = change(number, version=version)
                    steps.append(('learn', (learnt, accepted, held, reverted)))
            is_fresh = process.version >= process.since
            if process.version and (is_fresh or not guards.fresh_before_order):
                decided = change(number, order=process.version)
                steps.append(('decide', (decided, accepted, held, reverted)))
            if process.order:
                given = change(number, order=0)
                if guards.engine_refuses and process.order < held:
                    after = (given, accepted, held, reverted)
                else:
                    went_back = reverted or process.order < held
                    after = (given, accepted, process.order, went_back)
                steps.append(('order', after))
        return steps

    return minicheck.Protocol(
        name='fencing',
        candidate=False,
        fields=('processes', 'accepted', 'held', 'reverted'),
        initial=((Process(),) * PROCESSES, 1, 0, False),
        transitions=transitions,
        invariants={'the engine never goes back': lambda d: not d['reverted']},
    )
