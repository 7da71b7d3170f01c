"""Layer moves: while servers change layers, others hold every layer."""

import json
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec
import program
import pytest
import stores

from burdockmast.base import failures
from burdockmast.base import timers
from burdockmast.fleet import changes
from burdockmast.fleet import configuration
from burdockmast.fleet import layer_moves
from burdockmast.standins import layouts

LAYERS = 24
MODEL = layouts.MODEL
GROUPS = (layouts.Group(0, 14, 3), layouts.Group(10, 24, 3))
MOVED = layouts.Layout(
    groups=(layouts.Group(0, 12, 3), layouts.Group(12, 24, 3))
)


def configured(groups, draining=()):
    """Return a configuration with a server for each place of the groups."""
    layout = layouts.Layout(groups=groups)
    current = configuration.Configuration()
    bodies = [
        changes.AddServer(
            changes.Server(name, f'127.0.0.1:{number + 1}', 'za')
        )
        for number, (name, _) in enumerate(layout.engines())
    ]
    bodies.append(changes.PutPreset(layout.preset('p')))
    bodies.append(changes.SwitchPreset('p', ''))
    bodies += [changes.RetireServer(name) for name in draining]
    for number, body in enumerate(bodies):
        assert current.apply(changes.Change(str(number), 'me', body)) is None
    return current


def spans(groups):
    """Return the layers that the groups place on each server."""
    return {
        name: layer_moves.Span(group.first, group.end)
        for name, group in layouts.Layout(groups=groups).engines()
    }


def permits_of(store, names, at_once=8):
    return {
        name: layer_moves.MovePermits(store, name, at_once, seed=number)
        for number, name in enumerate(names)
    }


def load_all(store, groups):
    """Record that all servers hold their layers; return their permits."""
    by_server = permits_of(store, spans(groups))
    for name, span in spans(groups).items():
        assert by_server[name].release(MODEL, span)
    return by_server


def state(store):
    return msgspec.convert(
        store.get(layer_moves.KIND, MODEL).value, layer_moves.MoveRecord
    )


# Eight servers, of which two may drop layers at once.
RANGES = strategies.sampled_from(
    [
        (layouts.Group(0, 14, 4), layouts.Group(10, 24, 4)),
        (layouts.Group(0, 12, 6), layouts.Group(12, 24, 2)),
        (
            layouts.Group(0, 10, 2),
            layouts.Group(8, 16, 3),
            layouts.Group(16, 24, 3),
        ),
        (layouts.Group(0, 24, 8),),
    ]
)


@given(
    before=RANGES,
    after=RANGES,
    at_once=strategies.integers(1, 8),
    seed=strategies.integers(0, 1000),
)
@settings(derandomize=True, max_examples=150, deadline=None)
def test_every_layer_is_held_while_servers_move(before, after, at_once, seed):
    """Proves: a switch of preset does not leave a model without a path."""
    store = stores.Store()
    load_all(store, before)
    wanted = spans(after)
    by_server = permits_of(store, wanted, at_once)
    current = configured(after)
    rng = random.Random(seed)
    held = spans(before)
    moving = set()
    steps = 0
    while held != wanted:
        steps += 1
        assert steps < 2000
        name = rng.choice(sorted(wanted))
        if name in moving and rng.random() < 0.3:
            moving.discard(name)
            held[name] = wanted[name]
            assert by_server[name].release(MODEL, wanted[name])
        elif name not in moving and held.get(name) != wanted[name]:
            result = by_server[name].acquire(MODEL, current, True)
            if isinstance(result, layer_moves.Acquired):
                moving.add(name)
                held.pop(name, None)
        staying = layer_moves.MoveRecord(dict(held))
        assert staying.covers(LAYERS, set())
        assert len(moving) <= at_once
    assert state(store).held_by_server == wanted
    assert state(store).permit_by_server == {}


def test_server_whose_layers_no_other_holds_moves_after_a_wait(monkeypatch):
    store = stores.Store()
    alone = (layouts.Group(0, 12, 1), layouts.Group(12, 24, 1))
    by_server = load_all(store, alone)
    current = configured(alone)
    now = timers.now()
    monkeypatch.setattr(timers, 'now', lambda: now)
    assert isinstance(
        by_server['e1'].acquire(MODEL, current, True), layer_moves.RetryLater
    )
    now += layer_moves.UNCOVERED_WAIT_SECONDS + 1
    assert isinstance(
        by_server['e1'].acquire(MODEL, current, True), layer_moves.Acquired
    )
    assert isinstance(
        by_server['e2'].acquire(MODEL, current, True), layer_moves.RetryLater
    )


def test_empty_servers_load_a_few_at_once():
    store = stores.Store()
    current = configured(GROUPS)
    by_server = permits_of(store, spans(GROUPS), at_once=2)
    acquired = [
        name
        for name, permits in by_server.items()
        if isinstance(
            permits.acquire(MODEL, current, False), layer_moves.Acquired
        )
    ]
    assert len(acquired) == 2
    assert by_server[acquired[0]].release(MODEL, layer_moves.Span(0, 14))
    waiting = next(name for name in by_server if name not in acquired)
    result = by_server[waiting].acquire(MODEL, current, False)
    assert isinstance(result, layer_moves.Acquired)


def test_permit_that_is_not_renewed_expires(monkeypatch):
    store = stores.Store()
    by_server = load_all(store, GROUPS)
    current = configured(MOVED.groups)
    now = timers.now()
    monkeypatch.setattr(timers, 'now', lambda: now)
    assert isinstance(
        by_server['e1'].acquire(MODEL, current, True), layer_moves.Acquired
    )
    for seconds in (0, 20, 20):
        now += seconds
        by_server['e1'].renew(MODEL)
        result = by_server['e2'].acquire(MODEL, current, True)
        assert isinstance(result, layer_moves.RetryLater)
    for seconds in (20, 20):
        now += seconds
        result = by_server['e2'].acquire(MODEL, current, True)
    assert isinstance(result, layer_moves.Acquired)
    # Layers of a server whose permit expired are unknown and do not count.
    assert 'e1' not in state(store).held_by_server
    # A late renewal does not restore an expired permit.
    by_server['e1'].renew(MODEL)
    assert list(state(store).permit_by_server) == ['e2']


def test_permit_whose_grant_was_lost_is_acquired_again():
    store = stores.Store()
    by_server = load_all(store, GROUPS)
    current = configured(MOVED.groups)
    store.lost = 1
    lost = by_server['e1'].acquire(MODEL, current, True)
    assert isinstance(lost, failures.Failure)
    assert isinstance(
        by_server['e1'].acquire(MODEL, current, True), layer_moves.Acquired
    )
    assert list(state(store).permit_by_server) == ['e1']


def test_draining_and_removed_servers_do_not_count():
    store = stores.Store()
    by_server = load_all(store, GROUPS)
    current = configured(MOVED.groups, draining=('e2', 'e3'))
    result = by_server['e1'].acquire(MODEL, current, True)
    assert isinstance(result, layer_moves.RetryLater)
    del current.server_by_id['e4']
    assert isinstance(
        by_server['e5'].acquire(MODEL, current, True), layer_moves.Acquired
    )
    assert 'e4' not in state(store).held_by_server


def test_records_of_many_models_are_read_in_pages(monkeypatch):
    monkeypatch.setattr(layer_moves, 'PAGE_MODEL_COUNT', 2)
    store = stores.Store()
    names = [f'model-{number}' for number in range(5)]
    for name in names:
        permits = layer_moves.MovePermits(store, 'e1', 8, seed=1)
        assert permits.release(name, layer_moves.Span(0, 4))
    assert list(layer_moves.read_all(store)) == names


def test_server_with_an_older_configuration_removes_no_server():
    store = stores.Store()
    by_server = load_all(store, GROUPS)
    old = configured(MOVED.groups)
    del old.server_by_id['e6']
    newer = configured(MOVED.groups)
    newer.version += 1
    assert isinstance(
        by_server['e1'].acquire(MODEL, newer, True), layer_moves.Acquired
    )
    assert by_server['e1'].release(MODEL, layer_moves.Span(0, 12))
    assert isinstance(
        by_server['e2'].acquire(MODEL, old, True), layer_moves.Acquired
    )
    assert 'e6' in state(store).held_by_server


def intervals(fleet):
    """Return begin, end and process of each layer move, by wall clock."""
    shown = program.run_on(fleet, 'timeline', '--limit', '5000', '--json')
    begun = {}
    found = []
    for event in sorted(json.loads(shown.stdout), key=lambda e: e['wall']):
        process = event['process']
        if event['what'] == 'engine.moving':
            begun[process] = event['wall']
        elif event['what'] == 'engine.ordered' and process in begun:
            found.append((begun.pop(process), event['wall'], process))
    assert not begun
    return found


def all_hold(fleet):
    """Tell whether each listed server holds its placed layers."""
    listed = program.run_on(fleet, 'server', 'list').stdout.splitlines()
    header, *rows = [line.split() for line in listed]
    assert header[-2:] == ['LAYERS', 'HOLDS']
    return all(row[-2] == row[-1] for row in rows)


def test_switch_does_not_leave_a_model_without_servers(own_fleet):
    """Proves: a change of preset aborts nothing, though layers load slowly."""
    fleet = own_fleet(
        groups=GROUPS,
        services=0,
        engine_options=('--load-seconds-per-layer', '0.1'),
    )
    before = len(intervals(fleet))
    fleet.operate(
        changes.PutPreset(MOVED.preset('moved')),
        changes.SwitchPreset('moved', 'ordinary'),
    )
    names = [name for name, _ in layouts.Layout(groups=GROUPS).engines()]
    wanted = spans(MOVED.groups)

    def has_moved():
        for number, entry in enumerate(fleet.entries):
            reply = fleet.complete([number, 4], 3, entry)
            assert reply.status == 200, reply.data
        return all(
            layer_moves.Span(held['first'], held['end']) == wanted[name]
            for name in names
            for held in [
                fleet.get_json(f'engine-{name}', '/v1/status')['held']
            ]
        )

    program.wait_until(has_moved, 'all layers changed')
    program.wait_until(
        lambda: len(intervals(fleet)) == before + len(names),
        'all moves in the timeline',
    )
    program.wait_until(lambda: all_hold(fleet), 'all listed with their layers')
    moved = intervals(fleet)[before:]
    for begin, _, process in moved:
        # A quarter of six servers is one, so that no two moves overlap.
        others = [m for m in moved if m[2] != process]
        assert not any(other[0] < begin < other[1] for other in others)


@pytest.mark.parametrize('rate', [20.0])
def test_engines_load_from_a_slow_weight_store(own_fleet, rate):
    fleet = own_fleet(
        groups=GROUPS,
        services=0,
        weight_rate=rate,
        side_settings={'loads_at_once': 2},
    )
    for number in range(6):
        reply = fleet.complete([number], 3)
        expected = program.expected_tokens([number], 3)
        assert program.answer_tokens(reply) == expected
    assert fleet.get_json('weights', '/counts')['given'] == 6 * 14


def test_empty_engine_loads_while_the_store_is_out(own_fleet):
    """Proves: running processes go on while the platform's store is down."""
    fleet = own_fleet(groups=GROUPS, services=0)
    fleet.set_faults('store', outage=True)
    for name in ('e1', 'e2', 'e3'):
        fleet.kill(f'engine-{name}')
    for name in ('e1', 'e2', 'e3'):
        fleet.start(f'engine-{name}')
    program.wait_until(
        lambda: fleet.complete([2], 2).status == 200, 'served again'
    )


def test_engine_that_restarts_unnoticed_gets_its_layers_again(own_fleet):
    """Proves: a backend server that lost its layers is not kept in use."""
    fleet = own_fleet(groups=(layouts.Group(0, 24, 1),), services=0)
    fleet.kill('engine-e1')
    fleet.start('engine-e1')
    program.wait_until(lambda: fleet.holds_layers('e1'), 'loaded again')
    program.wait_until(
        lambda: fleet.complete([2], 2).status == 200, 'served again'
    )
