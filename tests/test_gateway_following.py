"""Copies of what the platform's store holds, through outages."""

import pytest

from burdockmast.base import failures
from burdockmast.base import timers
from burdockmast.gateway import following
from burdockmast.gateway import interfaces


class Feed:
    """Answers calls from a list."""

    def __init__(self):
        self.answers = []

    def list(self):
        return self.answers.pop(0)

    def wait(self, revision, seconds):
        return self.answers.pop(0)


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 100.0

    monkeypatch.setattr(timers, 'now', lambda: Clock.now)
    monkeypatch.setattr(timers, 'real_now', lambda: Clock.now)
    monkeypatch.setattr(following.eventlet, 'sleep', lambda seconds: None)
    return Clock


@pytest.fixture
def feed():
    return Feed()


@pytest.fixture
def follower(clock, feed):
    return following.Follower(
        'servers', feed, 3.0, keeps_lapsed=True, is_older=lambda a, b: a < b
    )


def lost():
    return failures.Failure(
        failures.Reason.STORE_UNAVAILABLE, 'store.get', 'store'
    )


def play(follower, feed, *answers):
    feed.answers = list(answers)
    while feed.answers:
        follower.step()


def changes(revision, **item_by_name):
    return interfaces.Changes(
        revision,
        tuple(interfaces.Change(n, i) for n, i in item_by_name.items()),
    )


def test_a_removed_server_is_gone_at_once(follower, feed):
    play(follower, feed, interfaces.Listing(1, {'a': 1, 'b': 1}))
    play(follower, feed, changes(2, a=None))
    assert follower.item_by_name == {'b': 1}


def test_a_server_that_lapsed_in_an_outage_is_kept_for_two_seconds(
    follower, feed, clock
):
    play(follower, feed, interfaces.Listing(1, {'a': 1}))
    play(follower, feed, lost(), changes(2, a=None))
    assert follower.item_by_name == {'a': 1}
    clock.now += following.LAPSE_GRACE_SECONDS
    play(follower, feed, changes(2))
    assert follower.item_by_name == {}


def test_a_server_that_lapsed_and_came_back_stays(follower, feed, clock):
    play(follower, feed, interfaces.Listing(1, {'a': 1}))
    play(follower, feed, lost(), changes(2, a=None), changes(3, a=2))
    clock.now += following.LAPSE_GRACE_SECONDS
    play(follower, feed, changes(3))
    assert follower.item_by_name == {'a': 2}


def test_a_server_missing_in_the_list_after_an_outage_is_kept(
    follower, feed, clock
):
    gone = failures.Failure(failures.Reason.STORE_CONFLICT, 'store.get')
    play(follower, feed, interfaces.Listing(1, {'a': 1, 'b': 1}))
    play(follower, feed, lost(), gone, interfaces.Listing(9, {'b': 1}))
    assert follower.item_by_name == {'a': 1, 'b': 1}
    clock.now += following.LAPSE_GRACE_SECONDS
    play(follower, feed, changes(9))
    assert follower.item_by_name == {'b': 1}


def test_an_older_entry_does_not_replace_a_newer_one(follower, feed):
    play(follower, feed, interfaces.Listing(1, {'a': 5}))
    play(follower, feed, changes(2, a=4))
    assert follower.item_by_name == {'a': 5}


def test_age_counts_from_when_the_call_was_made(follower, feed, clock):
    class SlowFeed(Feed):
        def wait(self, revision, seconds):
            clock.now += seconds
            return super().wait(revision, seconds)

    play(follower, feed, interfaces.Listing(1, {}))
    follower._feed = slow = SlowFeed()
    play(follower, slow, changes(1))
    assert follower.age == pytest.approx(3.0)
