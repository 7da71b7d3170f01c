"""The core protocol, checked exhaustively within the bounds it states."""

import minicheck
import pytest

from burdockmast.spec import claims
from burdockmast.spec import cutting
from burdockmast.spec import fencing
from burdockmast.spec import journal
from burdockmast.spec import snapshots

PROTOCOLS = {
    'claims': claims,
    'cutting': cutting,
    'journal': journal,
    'snapshots': snapshots,
}


def check(protocol):
    """Return the names of the invariants that fail."""
    result = minicheck.check_safety(protocol, max_states=2_000_000)
    assert result['exhaustive'], 'the bounds are too wide for the checker'
    return {
        name
        for name, found in result['properties'].items()
        if not found['holds']
    }


@pytest.mark.parametrize('name', PROTOCOLS)
def test_protocol_holds(name):
    module = PROTOCOLS[name]
    assert check(module.protocol(module.Guards())) == set()


MUTANTS = [
    (name, guard)
    for name, module in PROTOCOLS.items()
    for guard in module.Guards._fields
]


@pytest.mark.parametrize(('name', 'guard'), MUTANTS)
def test_checker_finds_the_fault_without(name, guard):
    """Proves that each guard is needed, and that the checker can fail."""
    module = PROTOCOLS[name]
    guards = module.Guards()._replace(**{guard: False})
    assert check(module.protocol(guards))


FENCING = [
    # An engine that checks numbers needs nothing else.
    (fencing.Guards(), True),
    (fencing.Guards(slot_is_exclusive=False), True),
    (fencing.Guards(fresh_before_order=False), True),
    (fencing.Guards(versions_only_go_up=False), True),
    # One that ignores them needs all the other guards.
    (fencing.Guards(engine_refuses=False), True),
    (fencing.Guards(engine_refuses=False, slot_is_exclusive=False), False),
    (fencing.Guards(engine_refuses=False, fresh_before_order=False), False),
    (fencing.Guards(engine_refuses=False, versions_only_go_up=False), False),
]


@pytest.mark.parametrize(('guards', 'holds'), FENCING)
def test_fencing(guards, holds):
    """Proves: an order never takes an engine back, whoever wakes late."""
    assert (check(fencing.protocol(guards)) == set()) is holds
