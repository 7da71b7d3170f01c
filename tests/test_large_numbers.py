"""Revisions and eras of any size mean what the store says.

A number that is taken apart, cut off or read as none leaves gateways without
the planner lock, or in a history of the store that is gone.
"""

import types

import hypothesis
from hypothesis import strategies
import msgspec
import platforms
import pytest
import store_connections
import urllib3

from burdockmast.base import failures
from burdockmast.gateway import interfaces
from burdockmast.gateway import object_follower
from burdockmast.gateway import relays
from burdockmast.platform import numbers
from burdockmast.platform import retry_slots
from burdockmast.platform import servers
from burdockmast.platform import shared_records
from burdockmast.platform import standin
from burdockmast.platform import store

REVISIONS = [
    1,
    999_999_990,
    1_000_000_000,
    1_200_000_000,
    3_000_000_000,
    2**40,
    2**53 - 100,
    2**62,
]
ERAS = [1, 999_999_999, 1_000_000_000, 1_796_679_042, 1_796_679_042_000]
# Fencing numbers of gateways of earlier versions.
OLD_FENCES_PER_ERA = 10**9
MAX_OLD_ERA_DIGITS = 9


@pytest.fixture
def metadata():
    return standin.MetadataStore()


@pytest.fixture
def connections(metadata):
    return store_connections.Connections(metadata)


@pytest.fixture
def client(connections):
    return store.Client('store', _pool=connections)


@pytest.mark.parametrize('era', ERAS)
@pytest.mark.parametrize('revision', REVISIONS)
def test_the_planner_lock_changes_hands(metadata, client, revision, era):
    """Guards against a lock that nobody can take over any more."""
    metadata.revision, metadata.era = revision, era
    first = shared_records.PlannerLock(client, 'g-1')
    second = shared_records.PlannerLock(client, 'g-2')
    fence = first.acquire(first.read())
    for lock in (second, first, second):
        state = lock.read()
        assert state.fencing_number == fence
        acquired = lock.acquire(state)
        assert acquired > fence
        fence = acquired
    assert isinstance(first.acquire(state), failures.Failure)


@pytest.mark.parametrize('revision', REVISIONS)
def test_a_retry_slot_changes_hands(metadata, client, revision):
    metadata.revision = revision
    slots = retry_slots.RetrySlotRegistry(client)
    assert slots.write(3, 'g-1', 1, None).is_written
    before = slots.list().record_by_number[3]
    assert slots.write(3, 'g-2', 1, before).is_written
    assert not slots.write(3, 'g-3', 1, before).is_written


@pytest.mark.parametrize('name', ['٣', '3.0', '03', '9' * 5000, '-3'])
def test_only_a_number_as_gateways_write_it_names_a_slot(
    metadata, client, name
):
    """Guards against a name at which the listing fails."""
    slots = retry_slots.RetrySlotRegistry(client)
    slots.write(3, 'g-1', 1, None)
    metadata.put(retry_slots.KIND, name, {'holder': 'other', 'era': 1})
    assert set(slots.list().record_by_number) == {3}


@pytest.mark.parametrize('era', ERAS)
@pytest.mark.parametrize('revision', REVISIONS)
def test_a_copy_follows_the_store_and_neighbours(
    metadata, client, revision, era
):
    """Guards against a history that is taken for an earlier one."""
    metadata.revision, metadata.era = revision, era
    feed = store.Feed(client, servers.KIND, lambda name, spec: spec)
    follower = object_follower.Follower('servers', feed, 0.0)
    follower.poll()
    metadata.put(servers.KIND, 'i-1', 'a')
    follower.poll()
    assert follower.item_by_name == {'i-1': 'a'}
    assert (follower.revision, follower.era) == (revision + 1, era)
    news = follower.news()
    sent = msgspec.msgpack.encode(news)
    assert msgspec.msgpack.decode(sent, type=relays.FeedNews) == news
    saved = metadata.copy()
    metadata.restore(saved)
    metadata.put(servers.KIND, 'i-1', 'b')
    for _ in range(3):
        follower.poll()
    assert follower.item_by_name == {'i-1': 'b'}
    assert follower.era == era + 1


@pytest.mark.parametrize('era', ['', 'soon', '-1', '1.5', '٣', '0x10'])
def test_an_era_that_is_no_number_fails_the_call(connections, client, era):
    """Guards against an era that counts as the first one."""
    connections.headers = {store.ERA: era}
    found = client.call('GET', servers.KIND)
    assert isinstance(found, failures.Failure)
    assert found.reason is failures.Reason.PROTOCOL
    assert store.ERA in found.detail


def test_a_larger_era_than_any_reader_holds_is_still_read(connections, client):
    connections.headers = {store.ERA: '9' * 5000}
    assert not isinstance(client.call('GET', servers.KIND), failures.Failure)
    assert client.era == numbers.MAX_EXACT


@pytest.mark.parametrize('revision', [-1, 2**63, 10**30])
def test_a_revision_that_gateways_cannot_tell_is_no_answer(revision):
    """Guards against news of which no message can be made."""
    body = b'{"items": [], "current-rev": %d}' % revision
    response = urllib3.HTTPResponse(body=body, status=200)
    pool = types.SimpleNamespace(request=lambda *args, **options: response)
    feed = store.Feed(store.Client('store', _pool=pool), 'servers', dict)
    assert isinstance(feed.list(), failures.Failure)


def old_fencing_number(era, revision):
    """Return what a gateway of an earlier version makes of a write."""
    if len(str(era)) > MAX_OLD_ERA_DIGITS:
        era = 0
    return era * OLD_FENCES_PER_ERA + revision


SMALL_ERAS = strategies.integers(0, 2**22)
HISTORIES = strategies.lists(
    strategies.sampled_from(['write', 'old write', 'restore']), max_size=20
)


@hypothesis.settings(max_examples=500, deadline=None)
@hypothesis.given(
    strategies.one_of(
        SMALL_ERAS,
        strategies.integers(2**23, 999_999_900),
        strategies.integers(10**9, 10**9 + 1000),
    ),
    strategies.one_of(
        strategies.integers(1, 10**10), strategies.integers(1, 2**45)
    ),
    HISTORIES,
    strategies.randoms(use_true_random=False),
)
def test_no_new_fencing_number_is_below_what_servers_have_seen(
    era, revision, history, rng
):
    """Old and new gateways write at once, and the store is restored."""
    seen = 0
    for event in history:
        if event == 'restore':
            era += 1
            revision = max(1, revision - rng.randint(0, 10**6))
            continue
        revision += rng.randint(1, 1000)
        if event == 'old write':
            seen = max(seen, old_fencing_number(era, revision))
        else:
            found = shared_records.fencing_number(era, revision)
            assert found > seen
            seen = found


@pytest.mark.parametrize(
    'era', [1, 2**23 - 1, 10**9, 1_796_679_042, 2**53 - 1]
)
@pytest.mark.parametrize('revision', [1, 10**9, 2**40])
def test_fencing_numbers_are_exact_as_doubles(era, revision):
    """Guards against two holders whose numbers look the same to a server."""
    found = shared_records.fencing_number(era, revision)
    assert float(found) != float(found + 1)


def test_streams_are_served_again_after_a_restart_at_a_large_revision(
    platform,
):
    """Guards against servers without layers until the lock is deleted."""

    def lose_power():
        platform.stop()
        for number, engine in enumerate(platform.engines):
            engine.orders.clear()
            engine.highest_fencing_number = 0
            started_ms = platform.store.revision + number
            engine.update_entry(layers=None, born=started_ms)

    platform.store.revision = 1_200_000_000
    platform.store.remove(
        shared_records.PlannerLock.KIND, shared_records.PlannerLock.NAME
    )
    for _ in range(2):
        lose_power()
        platform.start()
    assert platform.ask('/draft/x')[2] == platforms.events(1, 5)


def test_the_state_of_a_lock_that_was_never_acquired(client):
    lock = shared_records.PlannerLock(client, 'g-1')
    assert lock.read() == interfaces.LockState(0, '')
