"""Streams whose sound servers send nothing for a while and then go on."""

import http.client

import eventlet
from eventlet.green import socket
import platforms
import pytest

from burdockmast.platform import standin

EVENTS = 20


def pause(platform, event, seconds):
    for server in (*platform.engines, *platform.apps):
        server.event_count = EVENTS
        server.pause_before_event = event
        server.pause_seconds = seconds


def answer(platform, path='/draft/x'):
    """Return the status and the part of the body that the caller got."""
    try:
        status, _, body = platform.ask(path)
    except http.client.IncompleteRead as error:
        return 'cut', error.partial
    return status, body


def fill_other_servers(platform, servers):
    """Let all servers but that of the stream refuse what comes next."""
    platform.wait_for(lambda: platforms.requests_at(servers))
    for server in servers:
        server.refuses = not server.requests


@pytest.mark.parametrize('event', [1, 8])
@pytest.mark.parametrize('seconds', [1.0, 1.6, 2.2])
def test_a_pause_of_the_only_server_ends_no_stream(platform, event, seconds):
    platform.store.remove('servers', platform.apps[1].id)
    pause(platform, event, seconds)
    found = answer(platform, '/draft/plain/x')
    assert found == (200, platforms.events(1, EVENTS))


@pytest.mark.parametrize('event', [1, 8])
@pytest.mark.parametrize('path', ['/draft/x', '/draft/plain/x'])
def test_a_pause_ends_no_stream_while_other_servers_are_full(
    platform, event, path
):
    pause(platform, event, 1.6)
    servers = platform.apps if 'plain' in path else platform.engines
    filling = eventlet.spawn(fill_other_servers, platform, servers)
    assert answer(platform, path) == (200, platforms.events(1, EVENTS))
    filling.wait()


@pytest.mark.parametrize('event', [1, 8])
def test_a_long_pause_ends_no_stream_that_has_no_attempt_left(platform, event):
    pause(platform, event, 3.0)
    found = answer(platform, '/draft/once/x')
    assert found == (200, platforms.events(1, EVENTS))
    assert len(platforms.requests_at(platform.engines)) == 1


def test_pauses_of_all_servers_end_no_stream(platform):
    pause(platform, 8, 2.5)
    asked = [eventlet.spawn(answer, platform) for _ in range(20)]
    found = [task.wait() for task in asked]
    assert found == [(200, platforms.events(1, EVENTS))] * 20


@pytest.mark.parametrize('event', [1, 8])
def test_a_silent_stream_that_must_not_run_twice_is_sent_once(platform, event):
    pause(platform, event, 2.5)
    found = answer(platform, '/draft/unsafe/x')
    assert found == (200, platforms.events(1, EVENTS))
    assert len(platforms.requests_at(platform.engines)) == 1


def test_a_silent_stream_without_a_retry_is_sent_once(platform):
    platform.restart_with('retry-slack = 200', 'retry-slack = 0')
    platform.restart_with('budget-ratio = 0.2', 'budget-ratio = 0.0')
    pause(platform, 8, 1.5)
    assert answer(platform) == (200, platforms.events(1, EVENTS))
    assert len(platforms.requests_at(platform.engines)) == 1


def test_silent_streams_stay_within_the_attempts_of_their_route(platform):
    pause(platform, 8, 3.5)
    asked = [eventlet.spawn(answer, platform) for _ in range(5)]
    found = [task.wait() for task in asked]
    assert found == [(200, platforms.events(1, EVENTS))] * 5
    assert len(platforms.requests_at(platform.engines)) <= 2 * 5


def test_a_server_that_goes_on_while_a_standby_waits_keeps_its_stream(
    platform,
):
    """It falls silent again once the standby could go on."""
    pause(platform, 8, 1.3)
    for engine in platform.engines:
        engine.pace_by_path['/draft/'] = standin.Pace(200, 0.02)
    asked = eventlet.spawn(answer, platform)
    platform.wait_for(lambda: platforms.requests_at(platform.engines))
    first = next(e for e in platform.engines if e.requests)
    first.pause_seconds = 0.9
    for _ in range(2):
        eventlet.sleep(1.9)
        first.fall_silent(1.0, with_reports=False)
    assert asked.wait() == (200, platforms.events(1, 200))
    assert len(platforms.requests_at(platform.engines)) <= 2


def test_an_error_of_a_standby_ends_no_stream(platform):
    pause(platform, 8, 1.6)
    asked = eventlet.spawn(answer, platform)
    platform.wait_for(lambda: platforms.requests_at(platform.engines))
    for engine in platform.engines:
        if not engine.requests:
            engine.error_text = 'no such weights'
    assert asked.wait() == (200, platforms.events(1, EVENTS))


def test_a_slow_caller_starts_no_standby(platform):
    """The gateway waits for it for longer than for a silent server."""
    for engine in platform.engines:
        engine.pace_by_path['/draft/'] = standin.Pace(60000, 0.0)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect((platform.host, 7000))
    sock.sendall(
        b'POST /draft/x HTTP/1.1\r\nHost: h.example\r\n'
        b'Burdockmast-Request-Id: r1\r\nBurdockmast-Deadline-Ms: 20000\r\n'
        b'Burdockmast-Key: %s\r\nBurdockmast-Token-Counts: 100,10\r\n'
        b'Content-Length: 0\r\n\r\n' % platforms.KEY.encode()
    )
    for _ in range(4):
        eventlet.sleep(1.0)
        sock.recv(65536)
    sock.close()
    assert len(platforms.requests_at(platform.engines)) == 1
