"""Requests to servers that name a limit in their answers."""

import dataclasses
import functools
import itertools
import random
import types

import eventlet
import platforms
import pytest

from burdockmast.base import ids
from burdockmast.gateway import backends
from burdockmast.gateway import config
from burdockmast.gateway import interfaces
from burdockmast.gateway import path_selector
from burdockmast.gateway import server_limits

# The operators' rule: in some seconds a server gets at most so many times what
# its limit allows, and some requests more.
WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5


def most_in_a_window(times):
    """Return the largest number of times within one window."""
    return max(
        sum(first <= at < first + WINDOW_SECONDS for at in times)
        for first in times
    )


def allowed(limit):
    return LIMIT_FACTOR * limit * WINDOW_SECONDS + LIMIT_SLACK


def test_a_plain_server_gets_no_more_calls_than_it_names(platform):
    limited = platform.apps[0]
    limited.limit = 1.0
    for _ in range(60):
        assert platform.ask('/lookup/x', 'GET')[0] == 200
        eventlet.sleep(0.05)
    received = [seen.at for seen in limited.requests]
    assert most_in_a_window(received) <= allowed(limited.limit)


def test_a_limit_with_many_decimals_is_kept(platform):
    """Guards against a limit of 17 digits that counted as none."""
    limited = platform.apps[0]
    limited.limit = 10 / 9
    for _ in range(60):
        assert platform.ask('/lookup/x', 'GET')[0] == 200
        eventlet.sleep(0.05)
    received = [seen.at for seen in limited.requests]
    assert most_in_a_window(received) <= allowed(limited.limit)


def test_a_model_server_gets_no_more_requests_than_it_names(platform):
    """Requests begin at another server with the same layers meanwhile."""
    platform.ask('/draft/first')
    limited = next(e for e in platform.engines if e.requests)
    limited.limit = 1.0
    for number in range(60):
        assert platform.ask(f'/draft/{number}')[0] == 200
    received = [seen.at for seen in limited.requests]
    assert most_in_a_window(received) <= allowed(limited.limit)


def test_a_server_that_wants_rest_gets_no_calls_meanwhile(platform):
    resting = platform.apps[0]
    resting.refuses, resting.rest_seconds = True, 2.0
    for _ in range(30):
        assert platform.ask('/lookup/x', 'GET')[0] == 200
        eventlet.sleep(0.02)
    assert len(resting.requests) == 1
    resting.refuses = False
    platform.wait_for(
        lambda: (
            platform.ask('/lookup/x', 'GET')[0] == 200
            and len(resting.requests) > 1
        )
    )
    first, second = resting.requests[:2]
    assert second.at - first.at >= resting.rest_seconds


@pytest.mark.parametrize('path', ['/lookup/x', '/draft/x'])
def test_a_server_that_says_it_leaves_gets_no_more_requests(platform, path):
    """Also while its entry in the store says that it is ready."""
    servers = platform.apps if 'lookup' in path else platform.engines
    platform.ask(path)
    leaving = next(server for server in servers if server.requests)
    leaving.is_leaving = True
    seen = len(leaving.requests)
    others = [server for server in servers if server is not leaving]
    # The gateway may not know yet that others hold the same layers.
    platform.wait_for(
        lambda: platform.ask(path)[0] == 200 and platforms.requests_at(others)
    )
    for _ in range(20):
        assert platform.ask(path)[0] == 200
    assert len(leaving.requests) <= seen + 1


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


@pytest.fixture
def time():
    return Clock()


SERVER = backends.BackendServer(
    'i-1', 'llm', 'h:1', 'a', True, backends.NO_LAYERS, '', 1, 1
)
RESTARTED = dataclasses.replace(SERVER, started_ms=2)


def limits_of(count, time):
    names = [f'gateway-{number}' for number in range(count)]
    return [
        server_limits.ServerLimits(
            name, lambda: names, random.Random(number), time
        )
        for number, name in enumerate(names)
    ]


@pytest.fixture
def alone(time):
    (found,) = limits_of(1, time)
    return found


@pytest.mark.parametrize('limit', [0.0, 0.3, 1.0, 2.5, 15.0, 200.0])
@pytest.mark.parametrize('count', [1, 4, 29, 68])
def test_gateways_together_keep_to_a_limit(count, limit, time):
    """All have requests at any moment, and none hears from another."""
    gateways = limits_of(count, time)
    for gateway in gateways:
        gateway.record_answer(SERVER, limit, 'r')
    sent = []
    while time.now < 1020.0:
        time.now += 0.02
        for gateway in gateways:
            while gateway.has_room(SERVER):
                gateway.record_sent(SERVER)
                gateway.record_answer(SERVER, limit, 'r')
                sent.append(time.now)
    assert most_in_a_window(sent) <= allowed(limit)
    if limit >= 1.0:
        assert len(sent) >= 0.8 * limit * 20.0


@pytest.mark.parametrize('count', [4, 68])
def test_a_rush_after_a_calm_keeps_to_a_limit(count, time):
    gateways = limits_of(count, time)
    for gateway in gateways:
        gateway.record_answer(SERVER, 1.0, 'r')
    time.now += 20.0
    for gateway in gateways:
        gateway.record_answer(SERVER, 1.0, 'r')
    sent = []
    for gateway in gateways:
        while gateway.has_room(SERVER):
            gateway.record_sent(SERVER)
            sent.append(time.now)
    assert 0 < len(sent) <= allowed(1.0)


def test_gateways_that_know_different_neighbours_keep_to_a_limit(time):
    """One has just started, some don't hear a zone, some are gone."""
    rng = random.Random(3)
    names = [f'gateway-{number}' for number in range(29)]
    gateways = [
        server_limits.ServerLimits(
            name,
            functools.partial(tuple, rng.sample(names, 25)),
            random.Random(number),
            time,
        )
        for number, name in enumerate(names)
    ]
    for gateway in gateways:
        gateway.record_answer(SERVER, 2.0, 'r')
    sent = []
    while time.now < 1020.0:
        time.now += 0.01
        for gateway in gateways:
            if gateway.has_room(SERVER):
                gateway.record_sent(SERVER)
                sent.append(time.now)
    assert most_in_a_window(sent) <= allowed(2.0)


def test_a_limit_is_told_and_ends_for_all(time):
    first, second = limits_of(2, time)
    first.record_answer(SERVER, 0.5, 'r')
    time.now += 0.2
    second.receive(first.news(), 'first')
    assert second.news() == first.news()
    first.record_answer(SERVER, None, 'r')
    time.now += 0.2
    first.receive(second.news(), 'second')
    second.receive(first.news(), 'first')
    for gateway in (first, second):
        assert gateway.has_room(SERVER)
        gateway.record_sent(SERVER)
        assert gateway.has_room(SERVER)


@pytest.mark.parametrize(
    ('limit', 'age'),
    [(float('nan'), 0.0), (-1.0, 0.0), (1.0, float('nan')), (1.0, -3.0)],
)
def test_odd_news_of_a_limit_is_ignored(alone, limit, age):
    alone.receive([server_limits.LimitNews('i-1', 1, limit, age)], 'other')
    assert alone.news() == []
    assert alone.has_room(SERVER)


def test_a_stream_of_a_plain_service_keeps_to_a_limit(time, alone):
    alone.record_answer(SERVER, 0.0, 'r')
    for _ in range(20):
        alone.record_sent(SERVER)
    selector = path_selector.PathSelector(
        types.SimpleNamespace(usable=lambda service, excluded: [SERVER]),
        None,
        None,
        None,
        'a',
        random.Random(1),
        alone,
        time,
    )
    job = types.SimpleNamespace(service=config.Service('llm', None))
    assert selector.find_path(job, ()) == ()


def test_a_server_that_started_again_has_no_limit(alone, time):
    alone.record_answer(SERVER, 0.0, 'r')
    for _ in range(20):
        alone.record_sent(SERVER)
    assert not alone.has_room(SERVER)
    assert alone.has_room(RESTARTED)


def test_a_limit_that_nobody_hears_again_lapses(alone, time):
    alone.record_answer(SERVER, 0.0, 'r')
    for _ in range(20):
        alone.record_sent(SERVER)
    time.now += server_limits.LIMIT_TTL_SECONDS + 0.1
    assert alone.has_room(SERVER)
    assert alone.news() == []


def test_each_gateway_is_told_the_wait_until_its_next_request(time):
    gateways = limits_of(29, time)
    waits = []
    for gateway in gateways:
        gateway.record_answer(SERVER, 1.0, 'r')
        while gateway.has_room(SERVER):
            gateway.record_sent(SERVER)
        waits.append(gateway.seconds_until_room(SERVER))
    senders = [wait for wait in waits if wait != float('inf')]
    assert 1 <= len(senders) < len(gateways)
    assert all(0 < wait <= 1 / server_limits.MIN_RATE for wait in senders)


def test_changing_limits_grant_no_more(alone, time):
    """A server that names another limit in each answer."""
    sent = []
    values = itertools.cycle([1.0, 1.1, 0.9])
    while time.now < 1020.0:
        time.now += 0.01
        if alone.has_room(SERVER):
            alone.record_sent(SERVER)
            alone.record_answer(SERVER, next(values), 'r')
            sent.append(time.now)
    assert most_in_a_window(sent) <= allowed(1.0)


def reply(**said):
    return interfaces.ReplyMetadata('r', True, False, '', False, **said)


def test_a_rest_binds_only_the_gateway_that_was_asked(time):
    asked, other = limits_of(2, time)
    asked.record_reply(SERVER, reply(rest_seconds=3.0), 503, 'r')
    other.receive(asked.news(), 'asked')
    assert not asked.has_room(SERVER)
    assert other.has_room(SERVER)
    time.now += 2.9
    assert not asked.has_room(SERVER)
    time.now += 3.0 * server_limits.REST_JITTER_SHARE + 0.2
    assert asked.has_room(SERVER)


@pytest.mark.parametrize('status', [200, 500, 502, 504])
def test_only_a_refusal_asks_for_rest(alone, status):
    alone.record_reply(SERVER, reply(rest_seconds=3.0), status, 'r')
    assert alone.has_room(SERVER)


@pytest.mark.parametrize('seconds', [59.0, 75.0, 600.0, 86400.0, 1e9])
def test_a_rest_lasts_as_long_as_the_server_asked(alone, time, seconds):
    """Guards against requests to a server that asked for over a minute."""
    began = time.now
    alone.record_reply(SERVER, reply(rest_seconds=seconds), 503, 'r')
    for share in (0.01, 0.5, 0.99):
        time.now = began + share * seconds
        alone.news()
        assert not alone.has_room(SERVER), share
        assert alone.resting_count == 1
    time.now = began + seconds + server_limits.MAX_REST_JITTER_SECONDS + 1
    assert alone.has_room(SERVER)
    assert alone.resting_count == 0


def test_a_long_rest_ends_when_the_server_starts_again(alone):
    """Guards against a server that is lost for good, as nobody asks it."""
    alone.record_reply(SERVER, reply(rest_seconds=1e9), 503, 'r')
    assert not alone.has_room(SERVER)
    restarted = dataclasses.replace(SERVER, started_ms=SERVER.started_ms + 1)
    assert alone.has_room(restarted)


def test_rests_of_servers_that_are_gone_are_forgotten(alone, monkeypatch):
    """Guards against memory that grows with each server that came and went."""
    monkeypatch.setattr(server_limits, 'MAX_RESTS', 2)
    gone = [
        dataclasses.replace(SERVER, id=ids.ServerId(f'gone-{number}'))
        for number in range(2)
    ]
    for server in (*gone, SERVER):
        alone.record_reply(server, reply(rest_seconds=1e9), 503, 'r')
    assert alone.has_room(gone[0])
    assert not alone.has_room(gone[1])
    assert not alone.has_room(SERVER)


def test_a_limit_that_is_no_number_leaves_the_one_in_force(alone):
    """Guards against a limit that ended as the next one was unreadable."""
    alone.record_reply(SERVER, reply(limit=0.1), 200, 'r')
    unreadable = reply(is_limit_unreadable=True)
    for _ in range(3):
        alone.record_reply(SERVER, unreadable, 200, 'r')
        alone.record_sent(SERVER)
    assert not alone.has_room(SERVER)
    assert alone.unreadable_count == 3
