"""What gateways learn from servers that reject requests for want of memory."""

import random

import pytest

from burdockmast.base import ids
from burdockmast.gateway import backends
from burdockmast.gateway import memory
from burdockmast.gateway.admission import full_servers

USUAL = memory.FULL_SHARE


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def create(clock):
    return lambda seed=1: full_servers.FullServers(random.Random(seed), clock)


def server(started_ms=1):
    return backends.BackendServer(
        ids.ServerId('s'),
        ids.ServiceId('draft'),
        ids.Address('s:1'),
        ids.ZoneId('a'),
        True,
        backends.LayerRange(0, 8),
        'large',
        started_ms,
        1,
    )


def test_a_server_gets_no_more_than_it_has_rejected(create, clock):
    """An estimate that is too low led to one rejection after another."""
    known = create()
    known.record_rejection(server(), 0.9)
    assert known.limit('s', USUAL) < 0.9
    clock.now = 60.0
    assert known.limit('s', USUAL) == USUAL


def test_a_rejection_at_little_load_does_not_close_a_server(create):
    """It has another cause, such as a crash of the next server."""
    known = create()
    known.record_rejection(server(), 0.01)
    assert known.limit('s', USUAL) == full_servers.MIN_LIMIT
    assert known.backs_off('s')


def test_backoff_grows_until_a_request_is_accepted(create, clock):
    """One server rejected 139 requests of 30 gateways in 8 s."""
    known = create()
    seconds = []
    for _ in range(6):
        began = clock.now
        known.record_rejection(server(), 1.0)
        while known.backs_off('s'):
            clock.now += 0.01
        seconds.append(clock.now - began)
    assert seconds[-1] > 4 * seconds[0]
    longest = full_servers.MAX_BACKOFF_SECONDS
    assert max(seconds) <= longest * (1 + full_servers.JITTER_SHARE) + 0.01
    known.record_accepted('s')
    known.record_rejection(server(), 1.0)
    clock.now += 2 * full_servers.FIRST_BACKOFF_SECONDS
    assert not known.backs_off('s')


def test_gateways_learn_from_the_rejections_of_others(create, clock):
    first, second = create(1), create(2)
    first.record_rejection(server(), 0.8)
    clock.now = 0.1
    second.receive(first.news())
    assert second.limit('s', USUAL) == first.limit('s', USUAL)
    assert second.backs_off('s')


def test_news_that_go_round_count_once(create, clock):
    """A rejection that is told back and forth would back off for ever."""
    first, second = create(1), create(2)
    first.record_rejection(server(), 0.8)
    for _ in range(20):
        clock.now += 0.1
        second.receive(first.news())
        first.receive(second.news())
    assert not first.backs_off('s')
    assert not second.backs_off('s')
    assert first.news() == []


def test_news_of_an_earlier_start_or_of_no_age_are_ignored(create, clock):
    known = create()
    known.record_rejection(server(started_ms=2), 0.9)
    limit = known.limit('s', USUAL)
    for started_ms, age in ((1, 0.0), (2, -5.0), (2, 99.0), (2, float('nan'))):
        known.receive([full_servers.FullNews('s', started_ms, 0.5, age)])
    assert known.limit('s', USUAL) == limit


def test_a_server_that_started_again_is_unknown(create):
    known = create()
    known.record_rejection(server(), 0.6)
    known.keep([server(started_ms=2)])
    assert known.limit('s', USUAL) == USUAL
    assert not known.backs_off('s')


def test_news_are_bounded(create):
    known = create()
    for number in range(100):
        known.receive([full_servers.FullNews(f's{number}', 1, 0.9, 0.1)])
    assert len(known.news()) == full_servers.MAX_NEWS


@pytest.mark.parametrize('seed', [7, 8])
def test_many_gateways_seldom_send_to_a_full_server(create, clock, seed):
    """30 gateways want four times as much as the server takes.

    It takes 0.8 of what they believe. They hear of each other's rejections
    0.1 s later; without that, or without limits, far more are rejected.
    """
    gateways = [create(number) for number in range(30)]
    rng = random.Random(seed)
    arrivals = rejections = 0
    ends = []
    while clock.now < 8.0:
        clock.now += 0.01
        ends = [end for end in ends if end > clock.now]
        share = len(ends) / 100
        for gateway in rng.sample(gateways, 4):
            if gateway.backs_off('s') or share >= gateway.limit('s', USUAL):
                continue
            arrivals += 1
            if len(ends) / 100 >= 0.8 * USUAL:
                rejections += 1
                gateway.record_rejection(server(), share)
            else:
                gateway.record_accepted('s')
                ends.append(clock.now + rng.expovariate(1.0))
        if round(clock.now / 0.01) % 10 == 0:
            news = [gateway.news() for gateway in gateways]
            for told in news:
                for gateway in gateways:
                    gateway.receive(told)
    assert rejections <= 0.05 * arrivals
