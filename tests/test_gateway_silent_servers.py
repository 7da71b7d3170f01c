"""Servers that answer nobody for a while, and then go on."""

import collections
import signal
import socket

import eventlet
import platforms
import pytest

from burdockmast.base import timers
from burdockmast.platform import standin

# Requests that are sent after a pause, and the time between two of them.
REQUEST_COUNT = 40
REQUEST_INTERVAL_SECONDS = 0.1
# How often a gateway is suspended beside streams that fetch reports, for how
# long, and how long it runs in between.
SUSPENSION_COUNT = 12
SUSPENSION_SECONDS = 0.4
RUN_SECONDS = 0.13
# Longest delay of the servers with which they count as sound, and plays until
# one has none that is longer.
SERVERS_SOUND_SECONDS = 0.15
MAX_PLAYS = 4


def ask(platform, path='/draft/x'):
    return platform.ask(path, Burdockmast_Request_Id='new')[0]


def begin_streams(platform, count):
    """Let streams run at all servers for some seconds."""
    for engine in platform.engines:
        engine.pace_by_path['/draft/'] = standin.Pace(400, 0.01)
    tasks = [eventlet.spawn(platform.ask, '/draft/x') for _ in range(count)]
    platform.wait_for(
        lambda: len(platforms.requests_at(platform.engines)) == count
    )
    eventlet.sleep(0.2)
    for engine in platform.engines:
        engine.pace_by_path.clear()
    return tasks


@pytest.mark.parametrize('seconds', [0.7, 1.0, 1.6])
def test_no_new_request_is_refused_after_a_pause_of_all_servers(
    platform, seconds
):
    running = begin_streams(platform, 8)
    for engine in platform.engines:
        engine.fall_silent(seconds, with_reports=True)
    eventlet.sleep(seconds)
    asked = []
    for _ in range(REQUEST_COUNT):
        asked.append(eventlet.spawn(ask, platform))
        eventlet.sleep(REQUEST_INTERVAL_SECONDS)
    found = collections.Counter(task.wait() for task in asked)
    assert found == {200: REQUEST_COUNT}
    assert [task.wait()[0] for task in running] == [200] * len(running)


class BareServer:
    """A server that accepts connections only once it is told to."""

    def __init__(self, host):
        self._sock = eventlet.listen((host, 0), backlog=0)
        self.address = '{}:{}'.format(*self._sock.getsockname())
        self._task = None
        self._waiting = [socket.socket() for _ in range(4)]
        for one in self._waiting:
            one.setblocking(False)
            one.connect_ex(self._sock.getsockname())

    def go_on(self):
        for one in self._waiting:
            one.close()
        self._task = eventlet.spawn(self._serve)

    def close(self):
        self._task.kill()
        self._sock.close()

    def _serve(self):
        while True:
            connection, _ = self._sock.accept()
            eventlet.spawn(self._answer, connection)

    def _answer(self, connection):
        got = b''
        while b'\r\n\r\n' not in got:
            received = connection.recv(4096)
            if not received:
                return
            got += received
        body = platforms.events(1, 5)
        connection.sendall(
            b'HTTP/1.1 200 OK\r\nBurdockmast-Request-Id: new\r\n'
            b'Burdockmast-Response-Seal: s\r\nContent-Length: %d\r\n\r\n%s'
            % (len(body), body)
        )
        connection.close()


def test_no_request_is_refused_after_connections_were_not_accepted(platform):
    """A silent server had no room for more connections."""
    server = BareServer(platform.host)
    for app in platform.apps:
        app.update_entry(address=server.address)
    platform.wait_for(lambda: ask(platform, '/draft/plain/x') == 503)
    server.go_on()
    eventlet.sleep(0.1)
    found = collections.Counter()
    for _ in range(20):
        found[ask(platform, '/draft/plain/x')] += 1
        eventlet.sleep(0.1)
    server.close()
    assert found == {200: 20}


def longest_delay(until):
    """Return for how long this process, with its servers, was held up."""
    longest = 0.0
    while timers.now() < until:
        before = timers.now()
        eventlet.sleep(0.02)
        longest = max(longest, timers.now() - before - 0.02)
    return longest


def suspend_beside_streams(platform):
    """Suspend the gateway again and again; return the servers' delay."""
    count = 20
    seen = len(platforms.requests_at(platform.engines))
    running = [eventlet.spawn(platform.ask, '/draft/x') for _ in range(count)]
    platform.wait_for(
        lambda: len(platforms.requests_at(platform.engines)) == seen + count
    )
    seconds = SUSPENSION_COUNT * (RUN_SECONDS + SUSPENSION_SECONDS)
    delay = eventlet.spawn(longest_delay, timers.now() + seconds)
    for _ in range(SUSPENSION_COUNT):
        eventlet.sleep(RUN_SECONDS)
        platform.process.send_signal(signal.SIGSTOP)
        eventlet.sleep(SUSPENSION_SECONDS)
        platform.process.send_signal(signal.SIGCONT)
    assert [task.wait()[0] for task in running] == [200] * count
    assert len(platforms.requests_at(platform.engines)) == seen + count
    return delay.wait()


def test_a_suspended_gateway_takes_no_sound_server_for_silent(platform):
    """Answers come while it can't read them, and its timers expire.

    A play in which the servers were silent themselves shows nothing.
    """
    for engine in platform.engines:
        engine.pace_by_path['/draft/'] = standin.Pace(80, 0.1)
    for _ in range(MAX_PLAYS):
        before = len(platform.logged('server ejected'))
        if suspend_beside_streams(platform) < SERVERS_SOUND_SECONDS:
            break
    assert len(platform.logged('server ejected')) == before
