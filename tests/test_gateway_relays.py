"""Gateways learn of the store's changes from neighbours, in time."""

import dataclasses

import pytest

from burdockmast.base import failures
from burdockmast.base import timers
from burdockmast.gateway import absent_objects
from burdockmast.gateway import interfaces
from burdockmast.gateway import object_follower
from burdockmast.gateway import relays

WATCH_SECONDS = 1.4


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A stored object."""

    text: str


class Store:
    """Objects with revisions; watches return at once."""

    def __init__(self):
        self.revision = 10
        self.item_by_name = {}
        self.history = []
        self.is_down = False
        self.calls = 0

    def write(self, name, item):
        self.revision += 1
        self.history.append((self.revision, interfaces.Change(name, item)))
        if item is None:
            self.item_by_name.pop(name, None)
        else:
            self.item_by_name[name] = item

    def list(self):
        self.calls += 1
        if self.is_down:
            return failures.Failure(
                failures.Reason.STORE_UNAVAILABLE, 'store.list'
            )
        return interfaces.Listing(self.revision, dict(self.item_by_name))

    def watch(self, revision, timeout_seconds):
        self.calls += 1
        if self.is_down:
            return failures.Failure(
                failures.Reason.STORE_UNAVAILABLE, 'store.watch'
            )
        changes = tuple(c for at, c in self.history if at > revision)
        return interfaces.Changes(self.revision, changes)


class Gateway:
    """A follower with its relay."""

    def __init__(self, name, store, is_watcher, relayed_type=Item):
        self.name = name
        self.follower = object_follower.Follower(
            'servers',
            store,
            WATCH_SECONDS,
            keeps_expired=True,
            is_watcher=lambda: is_watcher,
            relayed_type=relayed_type,
        )
        self.relay = relays.Relay(name, {'servers': self.follower})
        self.follower.poll()

    def texts(self):
        return {n: i.text for n, i in self.follower.item_by_name.items()}


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 100.0

    monkeypatch.setattr(timers, 'now', lambda: Clock.now)
    monkeypatch.setattr(timers, 'boottime_now', lambda: Clock.now)
    monkeypatch.setattr(
        object_follower.eventlet, 'sleep', lambda seconds: None
    )
    return Clock


@pytest.fixture
def store(clock):
    created = Store()
    created.write('one', Item('first'))
    return created


@pytest.fixture
def watcher(store):
    return Gateway('a-0', store, True)


@pytest.fixture
def gateway(store):
    return Gateway('a-1', store, False)


def exchange(clock, watcher, gateway, delay=0.0):
    """Let both send a message; the watcher's arrives after ``delay``."""
    watcher.relay.record_stamp(gateway.name, timers.boottime_now())
    news = watcher.relay.news([gateway.name])
    clock.now += delay
    gateway.relay.receive(news)


def test_changes_arrive_without_a_call(clock, store, watcher, gateway):
    exchange(clock, watcher, gateway)
    before = store.calls
    store.write('two', Item('second'))
    store.write('one', None)
    watcher.follower.poll()
    exchange(clock, watcher, gateway)
    gateway.follower.poll()
    assert gateway.texts() == {'two': 'second'}
    assert store.calls == before + 1


def test_a_calm_store_gets_no_calls_of_those_who_do_not_watch(
    clock, store, watcher, gateway
):
    exchange(clock, watcher, gateway)
    before = store.calls
    for _ in range(100):
        clock.now += 0.1
        watcher.follower.poll()
        exchange(clock, watcher, gateway)
        gateway.follower.poll()
    assert store.calls == before + 100
    assert gateway.follower.age == 0.0


def test_a_lost_message_is_made_up_for(clock, store, watcher, gateway):
    exchange(clock, watcher, gateway)
    store.write('two', Item('second'))
    watcher.follower.poll()
    watcher.relay.news([gateway.name])
    clock.now += 0.1
    exchange(clock, watcher, gateway)
    assert gateway.texts() == {'one': 'first', 'two': 'second'}


def test_who_missed_changes_asks_the_store(clock, store, watcher, gateway):
    exchange(clock, watcher, gateway)
    store.write('two', Item('second'))
    watcher.follower.poll()
    clock.now += 2 * object_follower.REPEAT_CHANGES_SECONDS
    watcher.follower.poll()
    exchange(clock, watcher, gateway)
    assert gateway.texts() == {'one': 'first'}
    before = store.calls
    gateway.follower.poll()
    assert store.calls == before + 1
    assert gateway.texts() == {'one': 'first', 'two': 'second'}


def test_content_that_is_not_relayed_is_fetched(clock, store):
    watcher = Gateway('a-0', store, True, relayed_type=None)
    gateway = Gateway('a-1', store, False, relayed_type=None)
    exchange(clock, watcher, gateway)
    store.write('two', Item('second'))
    watcher.follower.poll()
    exchange(clock, watcher, gateway)
    gateway.follower.poll()
    assert gateway.texts() == {'one': 'first', 'two': 'second'}


def test_a_change_that_a_watch_skipped_reaches_all_gateways(
    clock, store, watcher, gateway
):
    """As when the history is dropped after a change that no watch told."""
    exchange(clock, watcher, gateway)
    store.write('one', None)
    store.history.clear()
    watcher.follower.poll()
    exchange(clock, watcher, gateway)
    gateway.follower.poll()
    assert gateway.texts() == {'one': 'first'}
    store.is_down = True
    watcher.follower.poll()
    store.is_down = False
    watcher.follower.poll()
    exchange(clock, watcher, gateway)
    gateway.follower.poll()
    clock.now += absent_objects.EXPIRY_GRACE_SECONDS
    watcher.follower.poll()
    gateway.follower.poll()
    assert watcher.texts() == {}
    assert gateway.texts() == {}


def test_a_listing_without_changes_does_not_confirm_other_copies(
    clock, store, watcher, gateway
):
    """What has changed for others meanwhile may have changed back."""
    other = Gateway('a-2', store, True)
    store.write('one', Item('other'))
    other.follower.poll()
    exchange(clock, other, gateway)
    gateway.follower.poll()
    assert gateway.texts() == {'one': 'other'}
    store.write('one', Item('first'))
    store.is_down = True
    watcher.follower.poll()
    store.is_down = False
    watcher.follower.poll()
    assert watcher.texts() == {'one': 'first'}
    exchange(clock, watcher, gateway)
    gateway.follower.poll()
    assert gateway.texts() == {'one': 'first'}


def test_changes_of_two_watchers_leave_nothing_out(clock, store, watcher):
    """A watcher that took over changes does not pass on half of them."""
    other = Gateway('a-1', store, True)
    gateway = Gateway('a-2', store, False)
    exchange(clock, watcher, other)
    exchange(clock, watcher, gateway)
    store.write('two', Item('by both'))
    watcher.follower.poll()
    store.write('three', Item('by the other'))
    other.follower.poll()
    watcher.relay.receive(_news(other, watcher))
    store.write('four', Item('by the first'))
    watcher.follower.poll()
    exchange(clock, watcher, gateway)
    gateway.follower.poll()
    assert gateway.texts() == watcher.texts()
    assert len(gateway.texts()) == 4


def _news(sender, receiver):
    sender.relay.record_stamp(receiver.name, timers.boottime_now())
    return sender.relay.news([receiver.name])


@pytest.mark.parametrize('delay', [0.0, 0.7, 30.0])
def test_a_delayed_message_confirms_nothing_later(
    clock, store, watcher, gateway, delay
):
    """As after a suspension of the instance, while datagrams waited."""
    exchange(clock, watcher, gateway)
    confirmed_at = clock.now
    exchange(clock, watcher, gateway, delay)
    assert gateway.follower.age >= clock.now - confirmed_at


def test_a_watcher_without_the_store_confirms_nothing(
    clock, store, watcher, gateway
):
    exchange(clock, watcher, gateway)
    store.is_down = True
    for _ in range(20):
        clock.now += 0.1
        watcher.follower.poll()
        exchange(clock, watcher, gateway)
    assert gateway.follower.age >= 2.0 - 1e-6


@pytest.mark.parametrize('seconds', [0.5, 10.0])
def test_silent_neighbours_are_not_relied_on(
    clock, store, watcher, gateway, seconds
):
    exchange(clock, watcher, gateway)
    store.write('two', Item('second'))
    before = store.calls
    clock.now += seconds
    gateway.follower.poll()
    margin = WATCH_SECONDS + object_follower.RELY_MARGIN_SECONDS
    assert store.calls == before + (seconds > margin)
    assert ('two' in gateway.texts()) == (seconds > margin)


@pytest.mark.parametrize('stamp', [5000.0, 99.0])
def test_a_stamp_of_an_earlier_start_confirms_nothing(
    clock, store, watcher, stamp
):
    """The steady clock of an instance begins anew when it restarts."""
    watcher.relay.record_stamp('a-1', stamp)
    gateway = Gateway('a-1', store, False)
    clock.now += 1.0
    watcher.relay._heard['a-1'] = (stamp, clock.now - 10.0)
    gateway.relay.receive(watcher.relay.news(['a-1']))
    assert gateway.follower.age == 1.0


def test_entries_that_lapsed_in_an_outage_are_kept_by_all(
    clock, store, watcher, gateway
):
    """Also by a gateway that did not notice a short outage itself."""
    exchange(clock, watcher, gateway)
    store.is_down = True
    watcher.follower.poll()
    watcher.follower.poll()
    store.is_down = False
    store.write('one', None)
    watcher.follower.poll()
    exchange(clock, watcher, gateway)
    gateway.follower.poll()
    assert 'one' in watcher.texts()
    assert 'one' in gateway.texts()
    clock.now += absent_objects.EXPIRY_GRACE_SECONDS
    watcher.follower.poll()
    gateway.follower.poll()
    assert 'one' not in watcher.texts()
    assert 'one' not in gateway.texts()


def test_a_slow_watch_does_not_undo_what_a_neighbour_told(
    clock, store, watcher
):
    other = Gateway('a-1', store, True)
    exchange(clock, watcher, other)
    store.write('one', None)
    early = interfaces.Changes(
        store.revision, (interfaces.Change('one', None),)
    )
    store.write('one', Item('back'))
    watcher.follower.poll()
    exchange(clock, watcher, other)
    assert other.texts() == {'one': 'back'}
    other.follower._apply_changes(early)
    assert other.texts() == {'one': 'back'}
