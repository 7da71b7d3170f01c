"""Servers that crash in the middle of answers."""

import eventlet
import platforms
import pytest

from burdockmast.platform import standin

# Requests that are sent after a crash; each may find the lost server.
REQUEST_COUNT = 12


@pytest.fixture
def long_restarts(monkeypatch):
    """Servers that crash stay away for longer than the tests run."""
    monkeypatch.setattr(standin, 'RESTART_SECONDS', 60.0)


def crash_one_that_streams(platform, servers, path):
    """Let a server crash in the middle of streams, and wait for their ends."""
    for server in servers:
        server.pace_by_path['/draft/'] = standin.Pace(100, 0.01)
    running = [eventlet.spawn(platform.ask, path) for _ in range(8)]
    platform.wait_for(lambda: len(platforms.requests_at(servers)) == 8)
    eventlet.sleep(0.2)
    crashed = next(server for server in servers if server.requests)
    crashed.crash()
    assert [task.wait()[0] for task in running] == [200] * 8
    for server in servers:
        server.pace_by_path.clear()


def refused_connections(platform):
    """Return how many attempts of streams found no server at an address."""
    return sum(
        'engine_lost at backend.connect' in line['outcome']
        for line in platform.logged('stream attempt failed')
    )


@pytest.mark.parametrize('path', ['/draft/x', '/draft/plain/x'])
def test_no_request_is_sent_to_a_server_that_crashed_in_a_stream(
    platform, long_restarts, path
):
    servers = platform.apps if 'plain' in path else platform.engines
    crash_one_that_streams(platform, servers, path)
    for _ in range(REQUEST_COUNT):
        assert platform.ask(path)[0] == 200
    assert platform.logged('server crashed during a stream')
    assert refused_connections(platform) == 0


def test_no_call_is_sent_to_a_server_that_crashed_in_a_call(
    platform, long_restarts
):
    for app in platform.apps:
        app.body_pause_seconds = 0.5
    running = [eventlet.spawn(platform.ask, '/lookup/x') for _ in range(8)]
    platform.wait_for(lambda: len(platforms.requests_at(platform.apps)) == 8)
    eventlet.sleep(0.2)
    platform.apps[0].crash()
    assert [task.wait()[0] for task in running] == [200] * 8
    for app in platform.apps:
        app.body_pause_seconds = 0.0
    for _ in range(REQUEST_COUNT):
        assert platform.ask('/lookup/x')[0] == 200
    assert platform.logged('server crashed during a call')
    failed = platform.logged('call attempt failed')
    assert not [line for line in failed if line['step'] == 'backend.connect']
