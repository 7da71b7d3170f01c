"""Copies of the store at gateways end up as the store, whatever happened."""

import types

import hypothesis
from hypothesis import strategies
import pytest

from burdockmast.base import failures
from burdockmast.base import timers
from burdockmast.gateway import interfaces
from burdockmast.gateway import object_follower
from burdockmast.gateway import relays

NAMES = ('a', 'b', 'c')
GATEWAYS = ('g-0', 'g-1', 'g-2')
WATCHERS = GATEWAYS[:2]
WATCH_SECONDS = 1.0
SETTLE_ROUNDS = 60


class Clock:
    now = 1000.0


class Store:
    """A store with histories that gateways reach or not."""

    def __init__(self):
        self.era = 1
        self.revision = 0
        self.item_by_name = {}
        self.changes = []
        self.oldest_revision = 0
        self.cut_off = set()
        # Contents with the time from which they held.
        self.past = [(Clock.now, {})]
        self._copies = []

    def write(self, name, item):
        self.revision += 1
        if item is None:
            self.item_by_name.pop(name, None)
        else:
            self.item_by_name[name] = item
        self.changes.append((self.revision, interfaces.Change(name, item)))
        self._record()

    def _record(self):
        self.past.append((Clock.now, dict(self.item_by_name)))

    def contents_since(self, at):
        """Return the contents that held at a time or later."""
        ends = [since for since, _ in self.past[1:]] + [float('inf')]
        return [
            content
            for (_, content), end in zip(self.past, ends, strict=True)
            if end >= at
        ]

    def save(self):
        self._copies.append((self.revision, dict(self.item_by_name)))

    def restore(self, index):
        if not self._copies:
            return
        saved = self._copies[index % len(self._copies)]
        self._copies = [c for c in self._copies if c[0] <= saved[0]]
        self.revision, items = saved[0], dict(saved[1])
        self.item_by_name = items
        self.changes = [c for c in self.changes if c[0] <= self.revision]
        self.oldest_revision = min(self.oldest_revision, self.revision)
        self.era += 1
        self._record()

    def drop_history(self):
        """Forget the changes; a watch that goes on misses the last ones."""
        self.oldest_revision = self.revision
        self.changes = []

    def feed_of(self, gateway):
        return types.SimpleNamespace(
            list=lambda: self._list(gateway),
            watch=lambda revision, seconds: self._watch(
                gateway, revision, seconds
            ),
        )

    def _list(self, gateway):
        if gateway in self.cut_off:
            return failures.Failure(
                failures.Reason.STORE_UNAVAILABLE, 'store.list'
            )
        return interfaces.Listing(
            self.revision, dict(self.item_by_name), self.era
        )

    def _watch(self, gateway, revision, seconds):
        if gateway in self.cut_off:
            return failures.Failure(
                failures.Reason.STORE_UNAVAILABLE, 'store.watch'
            )
        if not self.oldest_revision <= revision <= self.revision:
            return failures.Failure(
                failures.Reason.STORE_CONFLICT, 'store.watch'
            )
        changes = tuple(c for at, c in self.changes if at > revision)
        if not changes:
            Clock.now += seconds
        return interfaces.Changes(self.revision, changes, self.era)


class Gateway:
    """A gateway's copy, and what it tells others."""

    def __init__(self, name, store, options):
        self.name = name
        self.watches = name in WATCHERS
        self.follower = object_follower.Follower(
            'things',
            store.feed_of(name),
            WATCH_SECONDS,
            is_watcher=lambda: self.watches,
            relayed_type=str,
            bound_seconds=3.0,
            is_relied_on=lambda: True,
            **options,
        )
        self.relay = relays.Relay(name, {'things': self.follower})

    def tell(self, other):
        """Return what this gateway tells another now."""
        self.relay.record_stamp(other.name, timers.boottime_now())
        return self.relay.news([other.name])


def operation(name, *arguments):
    return strategies.tuples(strategies.just(name), *arguments)


NAME = strategies.sampled_from(NAMES)
GATEWAY = strategies.sampled_from(GATEWAYS)
WRITE = operation('write', NAME)
POLL = operation('poll', GATEWAY)
TELL = operation(
    'tell', strategies.sampled_from(WATCHERS), GATEWAY, strategies.booleans()
)
# Some come more often, so that they follow each other.
HONEST_OPERATIONS = strategies.one_of(
    *[WRITE, POLL, TELL] * 4,
    operation('remove', NAME),
    operation('save'),
    operation('restore', strategies.integers(0, 3)),
    operation('cut', GATEWAY),
    operation('mend', GATEWAY),
    operation('wait'),
    operation('arrive'),
    operation('restart', GATEWAY),
    operation(
        'watch', strategies.sampled_from(WATCHERS), strategies.booleans()
    ),
)
OPERATIONS = strategies.one_of(HONEST_OPERATIONS, operation('drop_history'))


class World:
    """A store and three gateways."""

    def __init__(self, options):
        self.store = Store()
        self._options = options
        self.by_name = {
            name: Gateway(name, self.store, options) for name in GATEWAYS
        }
        self._number = 0
        self._delayed = []
        for gateway in self.by_name.values():
            gateway.follower.poll()

    def apply(self, operation):
        match operation:
            case ('write', name):
                self._number += 1
                # Some come back, as where a writer writes again.
                self.store.write(name, f'{name}{self._number % 3}')
            case ('remove', name):
                self.store.write(name, None)
            case ('save',):
                self.store.save()
            case ('restore', index):
                self.store.restore(index)
            case ('drop_history',):
                self.store.drop_history()
            case ('cut', name):
                self.store.cut_off.add(name)
            case ('mend', name):
                self.store.cut_off.discard(name)
            case ('poll', name):
                self.by_name[name].follower.poll()
            case ('wait',):
                Clock.now += 0.8
            case ('arrive',):
                self._arrive()
            case ('watch', name, watches):
                self.by_name[name].watches = watches
            case ('restart', name):
                restarted = Gateway(name, self.store, self._options)
                self.by_name[name] = restarted
                restarted.follower.poll()
            case ('tell', sender, receiver, is_delayed):
                self._tell(sender, receiver, is_delayed)
        Clock.now += 0.01

    def _tell(self, sender, receiver, is_delayed):
        if sender == receiver:
            return
        news = self.by_name[sender].tell(self.by_name[receiver])
        if is_delayed:
            self._delayed.append((receiver, news))
            return
        self.by_name[receiver].relay.receive(news)

    def _arrive(self):
        """Let the news arrive that was delayed."""
        while self._delayed:
            receiver, news = self._delayed.pop()
            self.by_name[receiver].relay.receive(news)

    def settle(self):
        """Let all gateways go on undisturbed."""
        self._arrive()
        self.store.cut_off.clear()
        self.by_name[WATCHERS[0]].watches = True
        for _ in range(SETTLE_ROUNDS):
            for name, gateway in self.by_name.items():
                gateway.follower.poll()
                for other in GATEWAYS:
                    if name in WATCHERS:
                        self._tell(name, other, False)
            Clock.now += 0.1


@pytest.fixture(autouse=True)
def virtual_time(monkeypatch):
    def sleep(seconds):
        Clock.now += seconds

    monkeypatch.setattr(timers, 'now', lambda: Clock.now)
    monkeypatch.setattr(timers, 'boottime_now', lambda: Clock.now)
    monkeypatch.setattr(object_follower.eventlet, 'sleep', sleep)


MANY = hypothesis.settings(
    max_examples=400,
    deadline=None,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)


OPTIONS = pytest.mark.parametrize(
    'options',
    [
        {},
        {'quiet_seconds': 0.5},
        {'quiet_seconds': 0.5, 'change_interval': lambda: 1.0},
    ],
)


@OPTIONS
@MANY
@hypothesis.given(strategies.lists(OPERATIONS, min_size=10, max_size=40))
def test_copies_converge_to_the_store(options, operations):
    world = World(options)
    for operation in operations:
        world.apply(operation)
    world.settle()
    for gateway in world.by_name.values():
        assert gateway.follower.item_by_name == world.store.item_by_name
        assert gateway.follower.era == world.store.era


@OPTIONS
@MANY
@hypothesis.given(
    strategies.lists(HONEST_OPERATIONS, min_size=10, max_size=60)
)
def test_a_copy_is_no_older_than_its_age_says(options, operations):
    """By the time at which it was confirmed, it held all that was written."""
    world = World(options)
    for operation in operations:
        world.apply(operation)
        for gateway in world.by_name.values():
            follower = gateway.follower
            if follower.revision is None:
                continue
            confirmed_at = Clock.now - follower.age
            held = world.store.contents_since(confirmed_at)
            assert follower.item_by_name in held, gateway.name
