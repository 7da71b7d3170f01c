"""Snapshots of the configuration, and its journal cut behind them."""

import program
import pytest
import stores

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import outcomes
from burdockmast.base import timeline
from burdockmast.fleet import change_journal
from burdockmast.fleet import changes
from burdockmast.fleet import configuration
from burdockmast.fleet import follower
from burdockmast.fleet import snapshots
from burdockmast.store import cuts
from burdockmast.store import journals

INTERVAL = 10
KEPT = 4


@pytest.fixture(autouse=True)
def small(monkeypatch, request):
    """Make snapshots frequent, but not for whole fleets."""
    if 'own_fleet' in request.fixturenames:
        return
    monkeypatch.setattr(snapshots, 'INTERVAL_CHANGES', INTERVAL)
    monkeypatch.setattr(snapshots, 'KEPT_CHANGES', KEPT)
    monkeypatch.setattr(cuts, 'REMOVE_INTERVAL_SECONDS', 0.0)


def server(number):
    """Return a change that moves one of a few servers."""
    return changes.AddServer(
        changes.Server(f'e{number % 3}', f'127.0.0.1:{number + 1}', 'za')
    )


def written(store, count, author='me'):
    """Have changes accepted; return their operator."""
    operator = change_journal.ChangeWriter(store, author)
    for number in range(count):
        done = operator.submit(server(number))
        assert isinstance(done, change_journal.Accepted)
    return operator


def snapshots_of(store):
    return snapshots.Snapshots(store, change_journal.open_journal(store))


def cut(store, count=25):
    """Return an operator after a snapshot and the cut behind it."""
    operator = written(store, count)
    assert snapshots_of(store).write(operator.configuration) is None
    return operator


def following(store):
    """Return a process's follower that has read nothing yet."""
    events = timeline.Timeline('test')
    return follower.Follower(store, ids.ServerId('s'), ids.ZoneId('z'), events)


def places(store):
    """Return the places of the journal that the store holds."""
    found = store.list(change_journal.CHANGES_KIND, '', 1000)
    return [int(item.name) for item in found]


def test_new_operator_reads_a_snapshot_and_little_more():
    store = stores.Store()
    operator = cut(store, 300)
    before = store.calls
    late = change_journal.ChangeWriter(store, 'late')
    assert late.refresh() is None
    assert late.configuration == operator.configuration
    assert store.calls - before <= 8
    assert places(store) == list(range(300 - KEPT + 1, 301))


def test_new_process_takes_the_snapshot():
    """Proves: an instance that joins has what was accepted."""
    store = stores.Store()
    operator = cut(store)
    operator.submit(server(77))
    one = following(store)
    told = []
    one.subscribers.append(told.append)
    one._read_store(0.0)
    one._read_store(0.0)
    assert one.configuration == operator.configuration
    assert told[0] is None


def test_process_behind_a_cut_is_not_misled_by_a_late_write():
    """Proves: a configuration never reverts to what was removed."""
    store = stores.Store()
    one = following(store)
    operator = written(store, 5)
    one._read_store(0.0)
    assert one.version == 5
    for number in range(5, 25):
        operator.submit(server(number))
    snapshots_of(store).write(operator.configuration)
    # A writer that slept over the cut creates the entry that comes next.
    change = changes.Change('late', 'me', server(99))
    entry = change_journal.encode(change)
    journals.Journal(store, change_journal.CHANGES_KIND).append(6, entry, 1.0)
    one._read_store(0.0)
    assert one.configuration == operator.configuration


def test_operator_that_slept_over_a_cut_is_told_that_it_does_not_know():
    store = stores.Store()
    sleeper = change_journal.ChangeWriter(store, 'sleeper')
    sleeper.refresh()
    operator = cut(store)
    before = places(store)
    # It wakes after it has looked, just before it writes.
    sleeper.refresh = lambda: None
    told = sleeper.submit(server(50))
    assert isinstance(told, failures.Failure)
    assert told.outcome is outcomes.Outcome.UNKNOWN
    assert places(store) == before
    fresh = change_journal.ChangeWriter(store, 'fresh')
    fresh.refresh()
    assert fresh.configuration == operator.configuration


def test_older_snapshot_does_not_replace_a_newer():
    store = stores.Store()
    old = written(store, 12).configuration
    newer = change_journal.ChangeWriter(store, 'me')
    newer.refresh()
    for number in range(12, 30):
        newer.submit(server(number))
    client = snapshots_of(store)
    client.write(newer.configuration)
    client.write(old)
    assert client.read().version == 30


def test_snapshot_that_another_has_just_written_is_left():
    store = stores.Store()
    operator = cut(store)
    before = store.get(snapshots.KIND, snapshots.NAME).revision
    operator.submit(server(1))
    snapshots_of(store).write(operator.configuration)
    assert store.get(snapshots.KIND, snapshots.NAME).revision == before


@pytest.mark.parametrize('field', ['data', 'digest'])
def test_damaged_snapshot_is_an_error_and_changes_nothing(field):
    store = stores.Store()
    cut(store)
    found = store.get(snapshots.KIND, snapshots.NAME)
    found.value[field] = found.value[field][:-4] + 'AAA='
    store.update(snapshots.KIND, snapshots.NAME, found.value, found.revision)
    failure = change_journal.ChangeWriter(store, 'late').refresh()
    assert 'damaged' in failure.detail
    one = following(store)
    one._read_store(0.0)
    assert one.configuration == configuration.Configuration()
    assert one.store_age_seconds == float('inf')


def test_damaged_snapshot_is_written_anew():
    store = stores.Store()
    operator = cut(store)
    found = store.get(snapshots.KIND, snapshots.NAME)
    found.value['digest'] = 'another'
    store.update(snapshots.KIND, snapshots.NAME, found.value, found.revision)
    assert snapshots_of(store).write(operator.configuration) is None
    assert snapshots_of(store).read() == operator.configuration


def test_fleet_writes_snapshots_and_new_instances_take_them(own_fleet):
    fleet = own_fleet()
    writer = fleet.writer()
    for number in range(snapshots.INTERVAL_CHANGES + 20):
        far = changes.Server('far', '127.0.0.1:9', 'zz')
        body = changes.AddServer(far)
        if number % 2:
            body = changes.RetireServer(far.id)
        writer.submit(body)
    journal = change_journal.open_journal(writer._journal._store)
    program.wait_until(lambda: journal.mark().through, 'the journal is cut')
    version = writer.configuration.version
    fleet.start_entry('entry-9', 'za')
    program.wait_until(lambda: fleet.ready('entry-9'), 'entry-9 is up')
    program.wait_until(lambda: fleet.serves('entry-9'), 'entry-9 serves')
    state = program.run_on(fleet, 'status', '--json')
    assert f'"version": {version}' in state.stdout
