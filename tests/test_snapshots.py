"""Snapshots of the configuration, and truncation of its journal."""

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
from burdockmast.store import journals
from burdockmast.store import truncation

INTERVAL = 10
KEPT = 4


@pytest.fixture(autouse=True)
def frequent_snapshots(monkeypatch, request):
    """Make snapshots frequent, except in tests that start a fleet."""
    if 'own_fleet' in request.fixturenames:
        return
    monkeypatch.setattr(snapshots, 'INTERVAL_CHANGES', INTERVAL)
    monkeypatch.setattr(snapshots, 'KEPT_CHANGES', KEPT)
    monkeypatch.setattr(truncation, 'REMOVE_INTERVAL_SECONDS', 0.0)


def server(number):
    """Return a change of the address of one of three servers."""
    return changes.AddServer(
        changes.Server(f'e{number % 3}', f'127.0.0.1:{number + 1}', 'za')
    )


def submit_changes(store, count, author='me'):
    """Submit changes that must be accepted; return their writer."""
    operator = change_journal.ChangeWriter(store, author)
    for number in range(count):
        done = operator.submit(server(number))
        assert isinstance(done, change_journal.Accepted)
    return operator


def snapshots_of(store):
    return snapshots.Snapshots(store, change_journal.open_journal(store))


def write_and_truncate(store, count=25):
    """Submit changes, write a snapshot and truncate; return the writer."""
    operator = submit_changes(store, count)
    assert snapshots_of(store).write(operator.configuration) is None
    return operator


def new_follower(store):
    """Return a follower that has read nothing yet."""
    events = timeline.Timeline('test')
    return follower.Follower(store, ids.ServerId('s'), ids.ZoneId('z'), events)


def stored_places(store):
    """Return the places of the journal entries that the store holds."""
    found = store.list(change_journal.CHANGES_KIND, '', 1000)
    return [int(item.name) for item in found]


def test_new_operator_reads_a_snapshot_and_little_more():
    store = stores.Store()
    operator = write_and_truncate(store, 300)
    before = store.calls
    late = change_journal.ChangeWriter(store, 'late')
    assert late.refresh() is None
    assert late.configuration == operator.configuration
    assert store.calls - before <= 8
    assert stored_places(store) == list(range(300 - KEPT + 1, 301))


def test_new_process_takes_the_snapshot():
    """Proves: an instance that joins has what was accepted."""
    store = stores.Store()
    operator = write_and_truncate(store)
    operator.submit(server(77))
    replica = new_follower(store)
    notified = []
    replica.subscribers.append(notified.append)
    replica._read_store(0.0)
    replica._read_store(0.0)
    assert replica.configuration == operator.configuration
    assert notified[0] is None


def test_process_behind_a_truncation_ignores_a_late_write():
    """Proves: a configuration never reverts to truncated changes."""
    store = stores.Store()
    replica = new_follower(store)
    operator = submit_changes(store, 5)
    replica._read_store(0.0)
    assert replica.version == 5
    for number in range(5, 25):
        operator.submit(server(number))
    snapshots_of(store).write(operator.configuration)
    # A writer that was paused during the truncation creates the next entry.
    change = changes.Change('late', 'me', server(99))
    entry = change_journal.encode(change)
    journals.Journal(store, change_journal.CHANGES_KIND).append(6, entry, 1.0)
    replica._read_store(0.0)
    assert replica.configuration == operator.configuration


def test_operator_paused_during_a_truncation_gets_an_unknown_outcome():
    store = stores.Store()
    paused = change_journal.ChangeWriter(store, 'paused')
    paused.refresh()
    operator = write_and_truncate(store)
    before = stored_places(store)
    # It resumes after its refresh, just before its write.
    paused.refresh = lambda: None
    result = paused.submit(server(50))
    assert isinstance(result, failures.Failure)
    assert result.outcome is outcomes.Outcome.UNKNOWN
    assert stored_places(store) == before
    fresh = change_journal.ChangeWriter(store, 'fresh')
    fresh.refresh()
    assert fresh.configuration == operator.configuration


def test_older_snapshot_does_not_replace_a_newer():
    store = stores.Store()
    old = submit_changes(store, 12).configuration
    newer = change_journal.ChangeWriter(store, 'me')
    newer.refresh()
    for number in range(12, 30):
        newer.submit(server(number))
    client = snapshots_of(store)
    client.write(newer.configuration)
    client.write(old)
    assert client.read().version == 30


def test_recent_snapshot_of_another_process_is_not_replaced():
    store = stores.Store()
    operator = write_and_truncate(store)
    before = store.get(snapshots.KIND, snapshots.NAME).revision
    operator.submit(server(1))
    snapshots_of(store).write(operator.configuration)
    assert store.get(snapshots.KIND, snapshots.NAME).revision == before


@pytest.mark.parametrize('field', ['data', 'digest'])
def test_damaged_snapshot_is_an_error_and_changes_nothing(field):
    store = stores.Store()
    write_and_truncate(store)
    found = store.get(snapshots.KIND, snapshots.NAME)
    found.value[field] = found.value[field][:-4] + 'AAA='
    store.update(snapshots.KIND, snapshots.NAME, found.value, found.revision)
    failure = change_journal.ChangeWriter(store, 'late').refresh()
    assert 'damaged' in failure.detail
    replica = new_follower(store)
    replica._read_store(0.0)
    assert replica.configuration == configuration.Configuration()
    assert replica.store_age_seconds == float('inf')


def test_damaged_snapshot_is_replaced():
    store = stores.Store()
    operator = write_and_truncate(store)
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
    program.wait_until(
        lambda: journal.truncation_point().through, 'the journal is truncated'
    )
    version = writer.configuration.version
    fleet.start_entry('entry-9', 'za')
    program.wait_until(lambda: fleet.ready('entry-9'), 'entry-9 is up')
    program.wait_until(lambda: fleet.serves('entry-9'), 'entry-9 serves')
    state = program.run_on(fleet, 'status', '--json')
    assert f'"version": {version}' in state.stdout
