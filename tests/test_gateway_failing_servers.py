"""Servers that fail all requests get no more of them for a while."""

import pytest

from burdockmast.base import ids
from burdockmast.gateway import backends
from burdockmast.gateway import failing_servers

SERVER = backends.Incarnation(ids.ServerId('i-1'), 1)
OTHER = backends.Incarnation(ids.ServerId('i-2'), 1)
REQUEST_COUNT = 12


@pytest.fixture
def failing(clock):
    return failing_servers.FailingServers()


def test_a_server_rests_after_failures_in_a_row(failing, clock):
    assert not failing.record_failure(SERVER)
    assert not failing.resting()
    assert failing.record_failure(SERVER)
    assert not failing.record_failure(OTHER)
    assert failing.resting() == {SERVER.server}
    clock.now += failing_servers.REST_SECONDS
    assert not failing.resting()


def test_the_next_outcome_after_a_rest_decides(failing, clock):
    for _ in range(failing_servers.MAX_FAILURES):
        failing.record_failure(SERVER)
    clock.now += failing_servers.REST_SECONDS
    assert failing.record_failure(SERVER)
    assert failing.resting()
    failing.record_success(SERVER)
    assert not failing.resting()
    assert not failing.record_failure(SERVER)


def test_failures_between_successes_let_no_server_rest(failing):
    for _ in range(10):
        assert not failing.record_failure(SERVER)
        failing.record_success(SERVER)


def test_a_server_that_has_started_again_does_not_rest(failing):
    for _ in range(failing_servers.MAX_FAILURES):
        failing.record_failure(SERVER)
    failing.keep([SERVER, OTHER])
    assert failing.resting()
    failing.keep([SERVER._replace(started_ms=2), OTHER])
    assert not failing.resting()


@pytest.fixture
def counted(platform):
    """A gateway that knows that it has the whole budget of retries."""
    platform.wait_for(lambda: platform.logged('number of gateways changed'))
    return platform


def servers_that_begin(counted, path):
    """Ask until the gateway knows two servers at which requests begin."""
    servers = counted.engines if 'draft' in path else counted.apps
    found = []

    def has_found_two():
        assert counted.ask(path)[0] == 200
        found[:] = [server for server in servers if server.requests]
        return len(found) == 2

    counted.wait_for(has_found_two)
    for server in found:
        server.requests.clear()
    return found


@pytest.mark.parametrize('path', ['/draft/x', '/lookup/x'])
def test_a_server_that_fails_everything_is_not_asked_on_and_on(counted, path):
    """It has nothing to do, and looks like the best choice each time."""
    failing, sound = servers_that_begin(counted, path)
    failing.error_text = 'broken'
    for _ in range(REQUEST_COUNT):
        assert counted.ask(path)[0] == 200
    assert len(failing.requests) < REQUEST_COUNT / 3
    assert len(sound.requests) == REQUEST_COUNT


@pytest.mark.parametrize('path', ['/draft/x', '/lookup/x'])
def test_servers_that_all_fail_are_asked_all_the_same(counted, path):
    """Their callers would find nobody for as long as they rest."""
    servers = counted.engines if 'draft' in path else counted.apps
    for server in servers:
        server.error_text = 'broken'
    for _ in range(REQUEST_COUNT):
        assert counted.ask(path)[0] == 500
    for server in servers:
        server.error_text = ''
    assert counted.ask(path)[0] == 200
