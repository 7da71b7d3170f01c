"""Callers' connections to a gateway process, and how they end."""

import http.client
import signal
import sys

import eventlet
import platforms
import pytest

LONG_IDLE_MS = 15000
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
