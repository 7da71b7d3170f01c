"""The store comes back from an older copy, and gives revisions out again."""

import itertools

import eventlet
import platforms
import pytest
import store_connections

from burdockmast.base import failures
from burdockmast.base import timers
from burdockmast.gateway import absent_objects
from burdockmast.gateway import crash_suspects
from burdockmast.gateway import interfaces
from burdockmast.gateway import leaving_servers
from burdockmast.gateway import object_follower
from burdockmast.gateway import quarantine
from burdockmast.gateway import relays
from burdockmast.gateway import view
from burdockmast.platform import configuration
from burdockmast.platform import servers
from burdockmast.platform import shared_records
from burdockmast.platform import standin
from burdockmast.platform import store

WATCH_SECONDS = 0.05


@pytest.fixture
def metadata():
    return standin.MetadataStore()


@pytest.fixture
def client(metadata):
    return store.Client('store', _pool=store_connections.Connections(metadata))


def server_entry(sequence=1, state='ready', layers=(0, 80)):
    return {
        'service': 'draft',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'state': state,
        'sequence': sequence,
        'born': 1000,
        'layers': {'from': layers[0], 'to': layers[1]},
    }


def follow(client, kind, decode, **options):
    created = object_follower.Follower(
        kind, store.Feed(client, kind, decode), WATCH_SECONDS, **options
    )
    created.poll()
    return created


def follow_servers(client, **options):
    return follow(
        client,
        servers.KIND,
        servers.decode,
        keeps_expired=True,
        is_older=servers.backends.BackendServer.is_older_than,
        relayed_type=servers.backends.BackendServer,
        **options,
    )


def poll_until_idle(*followers):
    for _, follower in itertools.product(range(4), followers):
        follower.poll()


def test_a_copy_does_not_mix_two_histories(metadata, client):
    """Revisions 11 and 12 are given out twice, before the next watch."""
    follower = follow(client, 'things', lambda name, spec: spec)
    metadata.put('things', 'a', 'first')
    saved = metadata.copy()
    metadata.put('things', 'b', 'lost by the restore')
    poll_until_idle(follower)
    metadata.restore(saved)
    metadata.put('things', 'c', 'in the new history')
    metadata.put('things', 'a', 'written again')
    metadata.put('things', 'd', 'later')
    poll_until_idle(follower)
    assert follower.item_by_name == {
        'a': 'written again',
        'c': 'in the new history',
        'd': 'later',
    }


class Gateway:
    """A gateway's copy of the configuration, and what it tells others."""

    def __init__(self, name, client, is_watcher):
        self.name = name
        self.follower = follow(
            client,
            configuration.KIND,
            configuration.decode,
            is_watcher=lambda: is_watcher,
        )
        self.relay = relays.Relay(name, {configuration.KIND: self.follower})
        self.view = view.View(
            self.follower,
            object_follower.Follower('servers', None, 1.0),
            leaving_servers.LeavingServers(),
        )

    def tell(self, other):
        self.relay.record_stamp(other.name, timers.boottime_now())
        other.relay.receive(self.relay.news([other.name]))


def put_configuration(metadata, version):
    metadata.put(configuration.KIND, 'main', {'version': version})


@pytest.fixture
def watcher(metadata, client):
    put_configuration(metadata, 15)
    return Gateway('a-0', client, True)


@pytest.fixture
def relying(client, watcher):
    return Gateway('a-1', client, False)


def test_a_change_after_a_restore_reaches_a_gateway_that_relies_on_neighbours(
    metadata, watcher, relying
):
    """Its revision is lower than the one that the gateway had before."""
    saved = metadata.copy()
    for number in range(30):
        metadata.put('others', f'o-{number}', number)
    poll_until_idle(watcher.follower, relying.follower)
    watcher.tell(relying)
    metadata.restore(saved)
    put_configuration(metadata, 16)
    poll_until_idle(watcher.follower)
    for _ in range(3):
        watcher.tell(relying)
        relying.follower.poll()
    assert relying.view.configuration.version == 16


@pytest.mark.parametrize('is_told', [False, True])
def test_a_configuration_in_force_does_not_come_back_older(
    metadata, watcher, relying, is_told
):
    saved = metadata.copy()
    put_configuration(metadata, 16)
    poll_until_idle(watcher.follower)
    watcher.tell(relying)
    poll_until_idle(relying.follower)
    assert relying.view.configuration.version == 16
    metadata.restore(saved)
    poll_until_idle(watcher.follower)
    if is_told:
        watcher.tell(relying)
    poll_until_idle(relying.follower)
    assert watcher.view.configuration.version == 16
    assert relying.view.configuration.version == 16


def test_a_neighbour_of_an_older_history_confirms_nothing(
    metadata, watcher, relying
):
    """It has not noticed the restore yet."""
    saved = metadata.copy()
    metadata.restore(saved)
    put_configuration(metadata, 16)
    relying.follower._is_watcher = lambda: True
    poll_until_idle(relying.follower)
    confirmed_at = relying.follower._confirmed_at
    eventlet.sleep(0.01)
    watcher.follower._confirmed_at = timers.boottime_now()
    watcher.tell(relying)
    assert relying.follower._confirmed_at == confirmed_at
    assert relying.view.configuration.version == 16


def test_a_server_that_left_does_not_come_back_with_an_older_copy(
    metadata, client
):
    metadata.put(servers.KIND, 'i-1', server_entry(sequence=4))
    follower = follow_servers(client)
    saved = metadata.copy()
    metadata.put(servers.KIND, 'i-1', server_entry(5, 'draining'))
    poll_until_idle(follower)
    metadata.remove(servers.KIND, 'i-1')
    poll_until_idle(follower)
    assert follower.item_by_name == {}
    metadata.restore(saved)
    poll_until_idle(follower)
    assert follower.item_by_name == {}
    metadata.put(servers.KIND, 'i-1', server_entry(sequence=6))
    poll_until_idle(follower)
    assert follower.item_by_name['i-1'].entry_sequence == 6


def test_a_server_that_leaves_is_not_ready_again_by_an_older_copy(
    metadata, client
):
    metadata.put(servers.KIND, 'i-1', server_entry(sequence=4))
    follower = follow_servers(client)
    saved = metadata.copy()
    metadata.put(servers.KIND, 'i-1', server_entry(5, 'draining'))
    poll_until_idle(follower)
    metadata.restore(saved)
    poll_until_idle(follower)
    assert not follower.item_by_name['i-1'].is_ready


def test_a_server_whose_entry_a_restore_lost_is_kept_until_it_writes_again(
    metadata, client, monkeypatch
):
    follower = follow_servers(client)
    saved = metadata.copy()
    metadata.put(servers.KIND, 'i-1', server_entry(sequence=4))
    metadata.put(servers.KIND, 'i-2', server_entry(sequence=4))
    poll_until_idle(follower)
    metadata.restore(saved)
    poll_until_idle(follower)
    assert set(follower.item_by_name) == {'i-1', 'i-2'}
    metadata.put(servers.KIND, 'i-1', server_entry(sequence=5))
    monkeypatch.setattr(absent_objects, 'EXPIRY_GRACE_SECONDS', 0.0)
    for name in follower._absent.drop_at_by_name:
        follower._absent.drop_at_by_name[name] = 0.0
    poll_until_idle(follower)
    assert set(follower.item_by_name) == {'i-1'}


NEVER_ACQUIRED = interfaces.LockState(0, '')


def test_fencing_numbers_do_not_go_back_with_the_store(metadata, client):
    lock = shared_records.PlannerLock(client, 'a-0')
    saved = metadata.copy()
    for number in range(30):
        metadata.put('others', f'o-{number}', number)
    before = lock.acquire(lock.read())
    metadata.restore(saved)
    after = lock.acquire(lock.read())
    assert after > before


def test_a_lock_of_an_earlier_history_is_not_confirmed(metadata, client):
    """Another holder has the same revision in the new history."""
    holder = shared_records.PlannerLock(client, 'a-0')
    saved = metadata.copy()
    fencing_number = holder.acquire(holder.read())
    metadata.restore(saved)
    shared_records.PlannerLock(client, 'a-1').acquire(NEVER_ACQUIRED)
    state = holder.read()
    assert state.holder == 'a-1'
    assert state.fencing_number != fencing_number


def test_a_lock_is_not_acquired_by_a_revision_of_an_earlier_history(
    metadata, client
):
    lock = shared_records.PlannerLock(client, 'a-0')
    saved = metadata.copy()
    lock.acquire(NEVER_ACQUIRED)
    read = lock.read()
    metadata.restore(saved)
    shared_records.PlannerLock(client, 'a-1').acquire(NEVER_ACQUIRED)
    assert isinstance(lock.acquire(read), failures.Failure)


def test_quarantines_that_a_restore_lost_are_written_again(metadata, client):
    suspects = crash_suspects.CrashSuspects()
    record = interfaces.QuarantineRecord(
        'part', ('i-1@1', 'i-2@1', 'i-3@1', 'i-4@1'), 0.0
    )
    registry = shared_records.QuarantineRegistry(client)
    keeper = quarantine.QuarantineKeeper(suspects, registry, lambda: True)
    keeper.sync()
    saved = metadata.copy()
    suspects.restore(record)
    keeper.sync()
    assert [found.fingerprint for found in registry.list()] == ['part']
    metadata.restore(saved)
    keeper.write_again()
    keeper.sync()
    assert [found.fingerprint for found in registry.list()] == ['part']


def test_a_restore_is_noticed_once(metadata, client):
    follower = follow(client, 'things', lambda name, spec: spec)
    noticed = []
    follower.on_restore.append(lambda: noticed.append(metadata.era))
    for _ in range(2):
        metadata.restore(metadata.copy())
        poll_until_idle(follower)
    assert noticed == [2, 3]


def test_a_restore_is_noticed_though_the_copy_is_empty(metadata, client):
    """An empty copy used to be taken for one that was never filled."""
    follower = follow(client, 'things', lambda name, spec: spec)
    noticed = []
    follower.on_restore.append(lambda: noticed.append(metadata.era))
    saved = metadata.copy()
    metadata.put('others', 'x', {})
    poll_until_idle(follower)
    metadata.restore(saved)
    poll_until_idle(follower)
    assert noticed == [2]


def test_a_running_gateway_follows_a_restore(platform):
    """Its registration and a route, both lost, are there again."""
    kind = shared_records.GatewayRegistry.KIND
    platform.wait_for(lambda: platform.store.objects_by_kind[kind])
    saved = platform.store.copy()
    saved.objects_by_kind[kind].clear()
    route = {**platforms.CONFIGURATION['routes'][-1], 'path-prefix': '/new/'}
    changed = {
        **platforms.CONFIGURATION,
        'version': 8,
        'routes': [*platforms.CONFIGURATION['routes'], route],
    }
    platform.store.put(configuration.KIND, 'main', changed)
    platform.wait_for(lambda: platform.ask('/new/x', 'GET')[0] == 200)
    platform.store.restore(saved)
    for _ in range(20):
        assert platform.ask('/new/x', 'GET')[0] == 200
        eventlet.sleep(0.02)
    platform.wait_for(lambda: platform.store.objects_by_kind[kind])
    changed = {**changed, 'version': 9, 'routes': changed['routes'][:-1]}
    platform.store.put(configuration.KIND, 'main', changed)
    platform.wait_for(lambda: platform.ask('/new/x', 'GET')[0] == 404)
