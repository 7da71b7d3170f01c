"""Callers' connections to a gateway process."""

import functools
import signal
import socket
import sys

import eventlet
import platforms
import pytest

from burdockmast.gateway import server
from burdockmast.platform import standin

REQUEST = (
    b'POST /confirm/x HTTP/1.1\r\n'
    b'Host: h.example\r\n'
    b'Burdockmast-Request-Id: r1\r\n'
    b'Burdockmast-Key: %s\r\n'
    b'Content-Length: 0\r\n'
    b'\r\n'
) % platforms.KEY.encode()
REFUSAL = (
    b'HTTP/1.1 503 Busy\r\n'
    b'Burdockmast-Not-Executed: 1\r\n'
    b'Content-Length: 0\r\n'
    b'\r\n'
)
# More than the socket buffers hold, less than the limit for bodies.
LONG_BODY = b'x' * 4_000_000


def count_successes(sock, expected):
    """Read answers until there are as many as expected."""
    data = b''
    with eventlet.Timeout(5, False):
        while data.count(b'answer of ') < expected:
            found = sock.recv(4096)
            if not found:
                break
            data += found
    return data.count(b'HTTP/1.1 200 OK')


def test_a_request_that_comes_with_the_answer_before_it_is_answered(platform):
    for app in platform.apps:
        app.delay_seconds = 0.1
    for _ in range(12):
        for app in platform.apps:
            app.requests.clear()
        sock = eventlet.connect((platform.host, 7000))
        sock.sendall(REQUEST)
        platform.wait_for(lambda: platforms.requests_at(platform.apps))
        # The gateway finds the answer and the next request at once.
        platform.process.send_signal(signal.SIGSTOP)
        sock.sendall(REQUEST[:40])
        eventlet.sleep(0.2)
        platform.process.send_signal(signal.SIGCONT)
        eventlet.sleep(0.05)
        sock.sendall(REQUEST[40:])
        assert count_successes(sock, 2) == 2
        sock.close()


def replace_servers(platform):
    """Let a bare socket, which is returned, stand in for all plain servers."""
    sock = eventlet.listen((platform.host, 0))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    address = '{}:{}'.format(*sock.getsockname())
    for app in platform.apps:
        app.update_entry(address=address)
    ask = functools.partial(
        platform.ask, '/confirm/x', Burdockmast_Deadline_Ms='100'
    )
    platform.wait_for(lambda: ask()[0] == 504)
    return sock


@pytest.mark.parametrize('path', ['/confirm/x', '/draft/plain/x'])
def test_a_request_that_its_server_does_not_read_is_answered_in_time(
    platform, path
):
    server = replace_servers(platform)
    with eventlet.Timeout(5):
        answer = platform.ask(
            path, body=LONG_BODY, Burdockmast_Deadline_Ms='500'
        )
    assert answer[0] == 504
    server.close()


def test_a_reply_to_a_request_that_is_not_read_whole_gets_to_its_caller(
    platform,
):
    server = replace_servers(platform)

    def reply_to_long_bodies():
        while True:
            connection, _ = server.accept()
            if len(connection.makefile('rb').read(65536)) == 65536:
                connection.sendall(REFUSAL)
            connection.close()

    replying = eventlet.spawn(reply_to_long_bodies)
    answers = [
        platform.ask('/confirm/x', body=LONG_BODY)[0] for _ in range(10)
    ]
    replying.kill()
    assert answers == [503] * 10


# A program whose event loop is blocked when the gateway stops to accept.
BLOCKED_PROGRAM = """
from burdockmast.platform import program
import eventlet
import eventlet.patcher
from burdockmast.gateway import server

sleep = eventlet.patcher.original('time').sleep
shut_down = server.Gateway._shut_down

def shut_down_with_block(gateway, callers):
    eventlet.spawn_after(server.DRAIN_ACCEPT_SECONDS - 0.1, sleep, 0.4)
    shut_down(gateway, callers)

server.Gateway._shut_down = shut_down_with_block
program.main()
"""


@pytest.mark.parametrize('is_blocked', [False, True])
def test_a_stopping_gateway_accepts_nothing_that_it_might_have_to_cut(
    platform, is_blocked
):
    """A loop that was busy then used to accept what had come meanwhile."""
    if is_blocked:
        platform.stop()
        platform.command = [sys.executable, '-c', BLOCKED_PROGRAM]
        platform.start()
    for engine in platform.engines:
        engine.pace_by_path['/draft/'] = standin.Pace(300, 0.02)
    stream = eventlet.spawn(platform.ask, '/draft/x')
    platform.wait_for(lambda: platforms.requests_at(platform.engines))
    sock = eventlet.connect((platform.host, 7000))
    sock.sendall(REQUEST)
    assert count_successes(sock, 1) == 1
    platform.process.send_signal(signal.SIGTERM)
    # Under high load, the process may handle the signal later than it is sent.
    platform.wait_for(lambda: not platform.is_ready())
    eventlet.sleep(server.DRAIN_ACCEPT_SECONDS + 0.05)
    sock.sendall(REQUEST)
    assert sock.recv(4096).startswith(b'HTTP/1.1 503 ')
    assert stream.wait()[2] == platforms.events(1, 300)
