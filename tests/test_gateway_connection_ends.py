"""Callers' connections to a gateway process, and how they end."""

import http.client
import signal
import socket
import sys

import eventlet
import platforms
import pytest

from burdockmast.base import timers

IDLE_MS = 1000
LONG_IDLE_MS = 15000
MAX_HEADER_BYTES = 16384
STOP_ACCEPT_SECONDS = 2.8
PAUSE_SECONDS = 2.0
# The event loop is busy for a while after the signal.
PAUSING_PROGRAM = f"""
import signal
from time import sleep
signal.signal(signal.SIGUSR1, lambda *_: sleep({PAUSE_SECONDS}))
from burdockmast.platform import program
program.main()
"""
REQUEST = (
    b'GET /lookup/x HTTP/1.1\r\nHost: h.example\r\n'
    b'Burdockmast-Key: k1\r\nBurdockmast-Request-Id: r1\r\n'
)


@pytest.fixture
def limited(platform):
    """The platform with a short idle timeout in force."""
    put_configuration(platform, 8, idle_timeout_ms=IDLE_MS)
    platform.wait_for(lambda: platform.ask('/new8/')[0] == 200)
    return platform


@pytest.fixture
def pausing(platform):
    """The platform with a gateway that can be made busy."""
    platform.stop()
    platform.command = [sys.executable, '-c', PAUSING_PROGRAM]
    platform.start()
    return platform


def put_configuration(platform, version, **limits):
    """Write a configuration with other limits and one more route."""
    routes = platforms.CONFIGURATION['routes']
    prefix = f'/new{version}/'
    platform.store.put(
        'config',
        'main',
        {
            **platforms.CONFIGURATION,
            'version': version,
            'limits': {k.replace('_', '-'): v for k, v in limits.items()},
            'routes': [
                *routes,
                {**routes[-1], 'name': prefix, 'path-prefix': prefix},
            ],
        },
    )


def kept_connection(platform):
    """Return a connection on which a request was answered."""
    sock = platform.connect().sock
    assert ask(sock) == 200
    return sock


def ask(sock):
    """Send a request; return the status of its answer."""
    sock.sendall(REQUEST + b'\r\n')
    return read_status(sock)


def read_status(sock):
    """Return the status of a whole answer, None if there is none."""
    response = http.client.HTTPResponse(sock)
    try:
        with eventlet.Timeout(platforms.TEST_TIMEOUT_SECONDS):
            response.begin()
            response.read()
    except (ConnectionError, http.client.HTTPException):
        return None
    return response.status


def connections_of(platform, kind):
    """Return three connections in the same state."""
    if kind == 'kept':
        return [kept_connection(platform) for _ in range(3)]
    return [platform.connect().sock for _ in range(3)]


@pytest.mark.parametrize('kind', ['kept', 'unused', 'unaccepted'])
def test_requests_that_wait_as_a_stop_ends_are_answered(pausing, kind):
    """The gateway is busy as the stop ends."""
    found = []
    if kind != 'unaccepted':
        found = connections_of(pausing, kind)
    pausing.process.send_signal(signal.SIGTERM)
    eventlet.sleep(STOP_ACCEPT_SECONDS - PAUSE_SECONDS / 2)
    pausing.process.send_signal(signal.SIGUSR1)
    eventlet.sleep(0.1)
    found = found or connections_of(pausing, kind)
    for sock in found:
        sock.sendall(REQUEST + b'\r\n')
    statuses = [read_status(sock) for sock in found]
    assert all(status in (200, 503) for status in statuses), statuses


def test_requests_that_came_in_time_outlast_a_busy_gateway(pausing):
    """It is busy as the idle time of their connections ends."""
    put_configuration(pausing, 8, idle_timeout_ms=LONG_IDLE_MS)
    pausing.wait_for(lambda: pausing.ask('/new8/')[0] == 200)
    found = connections_of(pausing, 'kept')
    eventlet.sleep(LONG_IDLE_MS / 1000 - 0.5)
    pausing.process.send_signal(signal.SIGUSR1)
    eventlet.sleep(0.1)
    for sock in found:
        sock.sendall(REQUEST + b'\r\n')
    statuses = [read_status(sock) for sock in found]
    assert all(status in (200, 503) for status in statuses), statuses


def test_idle_connections_end_by_the_limit_in_force(limited):
    sock = kept_connection(limited)
    answered_at = timers.now()
    with eventlet.Timeout(platforms.TEST_TIMEOUT_SECONDS):
        assert sock.recv(1) == b''
    assert timers.now() - answered_at < IDLE_MS / 1000 + 3


def test_a_raised_idle_timeout_holds_for_idle_connections(limited):
    sock = kept_connection(limited)
    put_configuration(limited, 9, idle_timeout_ms=60000)
    eventlet.sleep(IDLE_MS / 1000 * 3)
    assert ask(sock) == 200


def test_connections_idle_for_less_than_a_long_limit_are_reused(platform):
    put_configuration(platform, 8, idle_timeout_ms=22000)
    platform.wait_for(lambda: platform.ask('/new8/')[0] == 200)
    sock = kept_connection(platform)
    eventlet.sleep(17.0)
    assert ask(sock) == 200


@pytest.mark.parametrize(
    ('header_bytes', 'status'),
    [(MAX_HEADER_BYTES - 500, 404), (MAX_HEADER_BYTES, 431)],
)
def test_headers_are_read_up_to_the_limit_in_force(
    platform, header_bytes, status
):
    sock = platform.connect().sock
    sock.sendall(REQUEST.replace(b'/lookup/', b'/none/'))
    sock.sendall(b'Long: ' + b'x' * header_bytes + b'\r\n\r\n')
    assert read_status(sock) == status


@pytest.mark.parametrize(
    'head',
    [
        b'Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'Content-Length: -1\r\n\r\n',
        b'Long: ' + b'x' * 2 * MAX_HEADER_BYTES + b'\r\n\r\n',
    ],
    ids=['two lengths', 'negative length', 'long header'],
)
def test_an_error_reaches_a_caller_that_is_still_sending(platform, head):
    statuses = []
    for _ in range(10):
        with platform.connect().sock as sock:
            sock.sendall(REQUEST + head)
            eventlet.sleep(0.02)
            try:
                sock.sendall(b'y' * 1000)
                eventlet.sleep(0.02)
                sock.sendall(b'y' * 1000)
                statuses.append(read_status(sock))
            except ConnectionError:
                statuses.append(None)
    assert all(status in (400, 431) for status in statuses), statuses


def test_a_close_that_a_stopping_gateway_announces_comes(platform):
    sock = kept_connection(platform)
    platform.process.send_signal(signal.SIGTERM)
    eventlet.sleep(0.1)
    sock.sendall(REQUEST + b'\r\n')
    answer = b''
    with eventlet.Timeout(1.0):
        while found := sock.recv(65536):
            answer += found
    assert answer.lower().count(b'\r\nconnection: close\r\n') == 1


@pytest.mark.parametrize('length', [10, len(REQUEST) - 40, len(REQUEST)])
def test_a_head_that_its_caller_left_is_not_run(platform, length):
    with platform.connect().sock as sock:
        sock.sendall(REQUEST[:length])
        sock.shutdown(socket.SHUT_WR)
        assert read_status(sock) != 200
    assert not platforms.requests_at(platform.apps)
