"""Copies of the store's objects stay correct through its outages."""

import pytest

from burdockmast.base import failures
from burdockmast.base import timers
from burdockmast.gateway import absent_objects
from burdockmast.gateway import interfaces
from burdockmast.gateway import object_follower


class Feed:
    """A feed that returns prepared results."""

    def __init__(self):
        self.answers = []
        self.calls = []

    def list(self):
        self.calls.append('list')
        return self.answers.pop(0)

    def watch(self, revision, timeout_seconds):
        self.calls.append('watch')
        return self.answers.pop(0)


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
def feed():
    return Feed()


@pytest.fixture
def follower(clock, feed):
    return object_follower.Follower(
        'servers', feed, 3.0, keeps_expired=True, is_older=lambda a, b: a < b
    )


def store_lost():
    return failures.Failure(
        failures.Reason.STORE_UNAVAILABLE, 'store.get', 'store'
    )


def poll_all(follower, feed, *answers):
    feed.answers = list(answers)
    while feed.answers:
        follower.poll()


def changes(revision, **item_by_name):
    return interfaces.Changes(
        revision,
        tuple(interfaces.Change(n, i) for n, i in item_by_name.items()),
    )


def test_a_removed_server_is_dropped_at_once(follower, feed):
    poll_all(follower, feed, interfaces.Listing(1, {'a': 1, 'b': 1}))
    poll_all(follower, feed, changes(2, a=None))
    assert follower.item_by_name == {'b': 1}


def test_a_server_that_expired_in_an_outage_is_kept_for_two_seconds(
    follower, feed, clock
):
    poll_all(follower, feed, interfaces.Listing(1, {'a': 1}))
    poll_all(follower, feed, store_lost(), store_lost(), changes(2, a=None))
    assert follower.item_by_name == {'a': 1}
    clock.now += absent_objects.EXPIRY_GRACE_SECONDS
    poll_all(follower, feed, changes(2))
    assert follower.item_by_name == {}


def test_a_server_that_expired_and_was_renewed_stays(follower, feed, clock):
    poll_all(follower, feed, interfaces.Listing(1, {'a': 1}))
    poll_all(
        follower,
        feed,
        store_lost(),
        store_lost(),
        changes(2, a=None),
        changes(3, a=2),
    )
    clock.now += absent_objects.EXPIRY_GRACE_SECONDS
    poll_all(follower, feed, changes(3))
    assert follower.item_by_name == {'a': 2}


def test_a_server_missing_in_the_list_after_an_outage_is_kept(
    follower, feed, clock
):
    history_gone = failures.Failure(
        failures.Reason.STORE_CONFLICT, 'store.get'
    )
    poll_all(follower, feed, interfaces.Listing(1, {'a': 1, 'b': 1}))
    poll_all(
        follower,
        feed,
        store_lost(),
        store_lost(),
        history_gone,
        interfaces.Listing(9, {'b': 1}),
    )
    assert follower.item_by_name == {'a': 1, 'b': 1}
    clock.now += absent_objects.EXPIRY_GRACE_SECONDS
    poll_all(follower, feed, changes(9))
    assert follower.item_by_name == {'b': 1}


def test_a_removed_server_is_not_kept_after_a_watch_was_cut_off(
    follower, feed
):
    """The store answers the next call, so that no entry lapsed."""
    poll_all(follower, feed, interfaces.Listing(1, {'a': 1, 'b': 1}))
    poll_all(follower, feed, store_lost(), interfaces.Listing(9, {'b': 1}))
    assert follower.item_by_name == {'b': 1}


def test_a_server_that_lapsed_while_a_watch_got_no_answer_is_kept(
    follower, feed
):
    silent = failures.Failure(failures.Reason.PEER_SILENT, 'store.get')
    poll_all(follower, feed, interfaces.Listing(1, {'a': 1, 'b': 1}))
    poll_all(follower, feed, silent, interfaces.Listing(9, {'b': 1}))
    assert follower.item_by_name == {'a': 1, 'b': 1}


def test_changes_before_a_cut_are_not_skipped(follower, feed):
    """A watch may end at a revision of which it has not told all changes."""
    poll_all(follower, feed, interfaces.Listing(1, {'a': 1}))
    poll_all(follower, feed, changes(5), store_lost())
    feed.calls.clear()
    poll_all(follower, feed, interfaces.Listing(5, {'a': 2}))
    assert feed.calls == ['list']
    assert follower.item_by_name == {'a': 2}


def test_a_listing_does_not_undo_what_a_neighbour_told_meanwhile(
    follower, feed
):
    poll_all(follower, feed, interfaces.Listing(1, {'a': 1}), store_lost())

    def told_during_the_call():
        follower._apply_changes(changes(7, a=2))
        return interfaces.Listing(5, {'a': 1})

    feed.list = told_during_the_call
    follower.poll()
    assert follower.item_by_name == {'a': 2}


def test_an_older_entry_does_not_replace_a_newer_one(follower, feed):
    poll_all(follower, feed, interfaces.Listing(1, {'a': 5}))
    poll_all(follower, feed, changes(2, a=4))
    assert follower.item_by_name == {'a': 5}


class SlowFeed(Feed):
    """A feed whose answers take some time on the test's clock."""

    def __init__(self, clock, seconds):
        super().__init__()
        self._clock = clock
        self._seconds = seconds

    def watch(self, revision, timeout_seconds):
        self._clock.now += self._seconds
        return super().watch(revision, timeout_seconds)


@pytest.mark.parametrize(
    ('seconds', 'answer', 'age'),
    [
        # The store waited 3 s; the other 0.5 s may have passed after its last
        # check for changes.
        (3.5, changes(1), 0.5),
        (3.0, changes(1), 0.0),
        # These answers may be as old as the call.
        (2.0, changes(1), 2.0),
        (3.5, changes(2, a=1), 3.5),
    ],
)
def test_age_counts_from_the_last_certain_check_of_the_store(
    follower, feed, clock, seconds, answer, age
):
    poll_all(follower, feed, interfaces.Listing(1, {}))
    follower._feed = slow = SlowFeed(clock, seconds)
    poll_all(follower, slow, answer)
    assert follower.age == pytest.approx(age)


@pytest.mark.parametrize('bound', [2.0, 3.0, 4.0])
@pytest.mark.parametrize('seconds', [0.1, 0.5, 1.0, 1.6, 2.4])
def test_a_change_does_not_make_neighbours_stop_relying_on_a_watcher(
    feed, clock, bound, seconds
):
    """A watch that tells changes confirms the copy only as of its call."""
    follower = object_follower.Follower(
        'servers', feed, 3.0, bound_seconds=bound, is_relied_on=lambda: True
    )
    poll_all(follower, feed, interfaces.Listing(1, {}))
    lengths = []

    def watch(revision, timeout_seconds):
        lengths.append(timeout_seconds)
        is_first = len(lengths) == 1
        clock.now += min(seconds, timeout_seconds)
        return changes(2, a=1) if is_first else changes(2)

    feed.watch = watch
    follower.poll()
    age = follower.age
    follower.poll()
    until_neighbours_ask = bound - object_follower.REACTION_SECONDS
    assert lengths[1] <= max(
        object_follower.MIN_WATCH_SECONDS,
        until_neighbours_ask
        - object_follower.RELY_MARGIN_SECONDS
        - age
        + 1e-6,
    )
