"""Configuration: changes have one order, reach all, and never revert."""

from concurrent import futures
import time

import msgspec
import program
import pytest

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import timeline
from burdockmast.fleet import change_journal
from burdockmast.fleet import changes
from burdockmast.fleet import configuration
from burdockmast.fleet import encoding
from burdockmast.fleet import follower
from burdockmast.operator import queries
from burdockmast.standins import layouts
from burdockmast.store import objects
from burdockmast.wire import messages

# Time within which a change must be in force in all processes.
IN_FORCE_SECONDS = 4.0
LAYOUT = layouts.Layout()


def put(name):
    return changes.PutPreset(LAYOUT.preset(name))


def statuses(fleet):
    found, _ = queries.fetch_statuses(
        [server.address for server in fleet.servers]
    )
    return found.values()


def await_version(fleet, version, count=None):
    """Return the seconds until all processes have reached a version."""
    began = time.monotonic()

    def have_reached():
        found = statuses(fleet)
        behind = [s for s in found if s.version < version]
        return not behind and (count is None or len(found) == count)

    program.wait_until(have_reached, f'all processes at version {version}')
    return time.monotonic() - began


def test_change_is_in_force_everywhere_within_seconds(own_fleet):
    """Proves: an accepted configuration is in force within seconds."""
    fleet = own_fleet()
    for number in range(5):
        accepted = fleet.operate(put(f'p{number}'))
        assert await_version(fleet, accepted.version) < IN_FORCE_SECONDS


def test_change_spreads_although_all_watchers_have_died(own_fleet):
    fleet = own_fleet()
    processes = len(fleet.servers) + len(fleet.entries)
    watchers = [server.id for server in fleet.servers][:4]
    for server in watchers:
        fleet.kill(f'side-{server}')
    accepted = fleet.operate(put('next'))
    seconds = await_version(fleet, accepted.version, processes - 4)
    assert seconds < IN_FORCE_SECONDS


def test_one_of_two_racing_switches_wins_and_the_other_is_refused(own_fleet):
    """Proves: operators that switch at once don't undo each other."""
    fleet = own_fleet()
    fleet.operate(put('peak'), put('maintenance'))

    def switch(preset):
        writer = fleet.writer(f'operator-{preset}')
        return writer.submit(changes.SwitchPreset(preset, 'ordinary'))

    with futures.ThreadPoolExecutor(2) as pool:
        results = list(pool.map(switch, ('peak', 'maintenance')))
    won = [r for r in results if isinstance(r, change_journal.Accepted)]
    lost = [r for r in results if isinstance(r, failures.Failure)]
    assert len(won) == len(lost) == 1
    writer = fleet.writer()
    writer.refresh()
    in_force = writer.configuration.in_force
    assert f'preset {in_force} is in force' in lost[0].detail
    assert f'by operator-{in_force}' in lost[0].detail


def test_many_racing_operators_each_change_once(own_fleet):
    fleet = own_fleet()

    def submit(number):
        return fleet.writer(f'o{number}').submit(put(f'p{number}'))

    with futures.ThreadPoolExecutor(10) as pool:
        results = list(pool.map(submit, range(30)))
    versions = [result.version for result in results]
    assert len(set(versions)) == 30


@pytest.mark.parametrize('lost', [1, 2, 4])
def test_accepted_write_whose_answer_is_lost_counts_once(own_fleet, lost):
    fleet = own_fleet()
    writer = fleet.writer()
    writer.refresh()
    before = writer.configuration.version
    fleet.set_faults('store', lose_answers=lost)
    result = writer.submit(put('again'))
    assert isinstance(result, change_journal.Accepted)
    assert result.version == before + 1


def test_submit_during_outage_is_refused_or_unknown(own_fleet):
    fleet = own_fleet()
    fleet.set_faults('store', outage=True)
    result = fleet.writer().submit(put('never'), seconds=1.0)
    assert isinstance(result, failures.Failure)
    assert result.reason is failures.Reason.STORE_UNAVAILABLE


def test_new_processes_join_while_the_store_is_out(own_fleet):
    """Proves: nothing reverts; new processes get the newest from peers."""
    fleet = own_fleet()
    accepted = fleet.operate(
        put('peak'), changes.SwitchPreset('peak', 'ordinary')
    )
    await_version(fleet, accepted.version)
    fleet.set_faults('store', outage=True)
    fleet.start_entry('entry-9', 'zc')
    program.wait_until(lambda: fleet.serves('entry-9'), 'serving')
    assert fleet.ready('entry-9')['version'] == accepted.version
    fleet.kill('side-e1')
    fleet.start('side-e1')
    await_version(fleet, accepted.version)
    assert {status.preset for status in statuses(fleet)} == {'peak'}
    fleet.set_faults('store')
    later = fleet.operate(put('later'))
    assert await_version(fleet, later.version) < IN_FORCE_SECONDS


class Link:
    """A link to a peer that records the messages sent to it."""

    address = 'peer'

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def encoded(number):
    change = changes.Change(f'c{number}', 'me', put(f'p{number}'))
    return encoding.encode(change)


def new_follower():
    store = objects.ObjectClient('http://127.0.0.1:9')
    events = timeline.Timeline('test')
    return follower.Follower(store, ids.ServerId('s'), ids.ZoneId('z'), events)


def test_replayed_changes_alter_nothing():
    replica = new_follower()
    sent = tuple(encoded(number) for number in range(1, 6))
    replica.apply_changes(Link(), messages.Changes(1, sent))
    before = msgspec.json.encode(replica.configuration)
    replica.apply_changes(Link(), messages.Changes(1, sent[:3]))
    replica.apply_changes(Link(), messages.Changes(4, sent[3:]))
    assert replica.version == 5
    assert msgspec.json.encode(replica.configuration) == before


def test_changes_after_a_gap_are_not_applied_and_the_gap_is_requested():
    replica = new_follower()
    link = Link()
    replica.apply_changes(link, messages.Changes(3, (encoded(3),)))
    assert replica.version == 0
    assert link.sent == [messages.ChangesWanted(0)]


def test_older_or_damaged_snapshot_is_refused():
    ahead, replica = new_follower(), new_follower()
    sent = tuple(encoded(number) for number in range(1, 4))
    ahead.apply_changes(Link(), messages.Changes(1, sent))
    body = encoding.encode(ahead.configuration)
    good = messages.Snapshot(3, body, encoding.digest(body))
    damaged = messages.Snapshot(3, body + b' ', good.digest)
    replica.apply_snapshot(Link(), damaged)
    assert replica.version == 0
    replica.apply_snapshot(Link(), good)
    assert replica.version == 3
    replica.apply_snapshot(Link(), messages.Snapshot(2, body, good.digest))
    assert replica.version == 3


def test_snapshot_reaches_a_process_too_far_behind(monkeypatch):
    monkeypatch.setattr(follower, 'KEPT_CHANGES', 2)
    ahead, replica = new_follower(), new_follower()
    sent = tuple(encoded(number) for number in range(1, 7))
    ahead.apply_changes(Link(), messages.Changes(1, sent))
    link = Link()
    ahead.send_changes_since(link, ids.Version(0))
    replica.apply_snapshot(Link(), link.sent[0])
    assert replica.configuration == ahead.configuration


@pytest.mark.parametrize('cut', [0, 1, 20, -1])
def test_damaged_change_is_an_error(cut):
    complete = encoded(1)
    with pytest.raises(ValueError, match='damaged|truncated'):
        encoding.decode(complete[:cut], changes.Change)


def test_change_that_would_fill_the_memory_is_an_error(monkeypatch):
    monkeypatch.setattr(encoding, 'MAX_DECOMPRESSED_BYTES', 100)
    with pytest.raises(ValueError, match='larger than 100'):
        encoding.decode(encoded(1), changes.Change)


def pooled(name='pooled', **ranges):
    """Return a preset that places pools."""
    return changes.Preset(
        name,
        (changes.Model(layouts.MODEL, LAYOUT.layers),),
        tuple(
            changes.Placement('', layouts.MODEL, first, end, pool)
            for pool, (first, end) in ranges.items()
        ),
        LAYOUT.organisations,
    )


def configuration_of(*bodies):
    """Return the configuration after changes that must be valid."""
    current = configuration.Configuration()
    for number, body in enumerate(bodies):
        assert current.apply(changes.Change(str(number), 'me', body)) is None
    return current


def server(name, pool=''):
    """Return the change that adds a server to a pool."""
    return changes.AddServer(
        changes.Server(name, f'127.0.0.1:{name[1:]}', 'za', pool=pool)
    )


def test_server_has_the_placement_of_its_pool_unless_it_has_its_own():
    preset = pooled(low=(0, 12), high=(12, 24))
    own = changes.Placement('e3', layouts.MODEL, 0, 24)
    preset = msgspec.structs.replace(
        preset, placements=(*preset.placements, own)
    )
    current = configuration_of(
        changes.PutPreset(preset),
        changes.SwitchPreset('pooled', ''),
        *[server(name, 'low') for name in ('e1', 'e3')],
        server('e2', 'high'),
        server('e4'),
    )
    placed_ranges = {
        name: (placed.first, placed.end) if placed else None
        for name in ('e1', 'e2', 'e3', 'e4')
        for placed in [current.placement(name)]
    }
    expected = {'e1': (0, 12), 'e2': (12, 24), 'e3': (0, 24), 'e4': None}
    assert placed_ranges == expected
    current.apply(changes.Change('move', 'me', server('e1', 'high')))
    assert current.placement('e1').first == 12


def test_preset_with_a_layer_that_no_active_server_holds_is_refused():
    preset = pooled(low=(0, 12), high=(12, 24))
    current = configuration_of(server('e1', 'low'), server('e2', 'high'))
    assert current.check_active_coverage(preset) is None
    current.apply(changes.Change('r', 'me', changes.RetireServer('e2')))
    assert 'layer 12' in current.check_active_coverage(preset).detail


@pytest.mark.parametrize('target', [('', ''), ('e1', 'low')])
def test_placement_names_a_server_or_a_pool(target):
    name, pool = target
    preset = pooled()
    placed = changes.Placement(name, layouts.MODEL, 0, 24, pool)
    preset = msgspec.structs.replace(preset, placements=(placed,))
    refusal = configuration.Configuration().check(changes.PutPreset(preset))
    assert 'either a server or a pool' in refusal.detail


def test_new_server_of_a_pool_needs_no_new_preset(own_fleet):
    """Proves: replaced servers serve, and none of their work is cut."""
    fleet = own_fleet(services=0)
    engines = dict(fleet.layout.engines())
    fleet.operate(
        *[
            changes.AddServer(
                msgspec.structs.replace(one, pool=f'p{engines[one.id].first}')
            )
            for one in fleet.servers
        ],
        changes.PutPreset(pooled(p0=(0, 10), p8=(8, 16), p16=(16, 24))),
        changes.SwitchPreset('pooled', 'ordinary'),
    )
    url = fleet.start_engine('e9', layouts.FAST)
    address = fleet.start_side('e9', 'za', engine_url=url)
    new = changes.Server('e9', address, 'za', pool='p0')
    fleet.operate(changes.AddServer(new))
    program.wait_until(lambda: fleet.holds_layers('e9'), 'e9 holds layers')
    fleet.operate(changes.RetireServer('e1'), changes.RetireServer('e2'))
    for number in range(20):
        prompt = [number, 7]
        reply = fleet.complete(prompt, 5, fleet.entries[number % 2])
        expected = program.expected_tokens(prompt, 5)
        assert program.answer_tokens(reply) == expected
    status = fleet.get_json('engine-e9', '/v1/status')
    assert status['held']['end'] == 10
    assert status['steps'] > 0


BAD_PRESETS = {
    'gap': ([('e1', 0, 8), ('e2', 9, 24)], 'no server holds layer 8'),
    'past the end': ([('e1', 0, 25)], 'not within 0 to 24'),
    'empty range': ([('e1', 5, 5)], 'not within 0 to 24'),
    'placed twice': ([('e1', 0, 12), ('e1', 12, 24)], 'placed twice'),
    'no servers': ([], 'no server holds layer 0'),
}


@pytest.mark.parametrize('name', BAD_PRESETS)
def test_preset_that_can_not_serve_is_refused(name):
    placed, message = BAD_PRESETS[name]
    preset = changes.Preset(
        'bad',
        (changes.Model('draft', 24),),
        tuple(
            changes.Placement(server, 'draft', first, end)
            for server, first, end in placed
        ),
        (),
    )
    refusal = configuration.Configuration().check(changes.PutPreset(preset))
    assert message in refusal.detail


def test_preset_in_force_can_not_be_replaced():
    current = configuration.Configuration()
    for number, body in enumerate((put('p'), changes.SwitchPreset('p', ''))):
        current.apply(changes.Change(str(number), 'me', body))
    assert 'is in force' in current.check(put('p')).detail
