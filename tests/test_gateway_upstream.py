"""Replies of backend servers that are truncated, reset or invalid."""

import socket
import struct
import time

import eventlet
import eventlet.hubs
import pytest

from burdockmast.base import failures
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import crash_checks
from burdockmast.gateway import interfaces
from burdockmast.gateway import upstream
from burdockmast.platform import headers

TEST_TIMEOUT_SECONDS = 60.0
REQUEST = interfaces.CallerRequest(
    id='r1',
    method='GET',
    target='/a/b?c=d',
    path='/a/b',
    host='h',
    api_key='',
    timeout_seconds=1.0,
    prompt_tokens=0,
    max_answer_tokens=0,
    length_hint=0,
    last_event_id=None,
    headers=(('Host', 'h'),),
    body=b'',
)
HEAD = (
    b'HTTP/1.1 200 OK\r\nBurdockmast-Request-Id: r1\r\n'
    b'Burdockmast-Response-Seal: s\r\n'
)


class Server:
    """Sends given bytes on one connection, then closes or resets it."""

    def __init__(self, answer, resets):
        self._sock = eventlet.listen(('127.0.0.1', 0))
        self.address = '{}:{}'.format(*self._sock.getsockname())
        self.got = b''
        eventlet.spawn(self._serve, answer, resets)

    def _serve(self, answer, resets):
        connection, _ = self._sock.accept()
        while b'\r\n\r\n' not in self.got:
            self.got += connection.recv(4096)
        connection.sendall(answer)
        if resets:
            eventlet.sleep(0.05)
            linger = struct.pack('ii', 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()


@pytest.fixture
def exchange():
    """Return a sender of one request to a server with a given reply."""
    opened = []

    def start(answer, resets=False):
        server = Server(answer, resets)
        found = upstream.Exchange(
            backends.BackendServer(
                'i-1',
                'app',
                server.address,
                'a',
                True,
                backends.NO_LAYERS,
                '',
                1,
                1,
            )
        )
        opened.append(found)
        assert found.send(REQUEST, [('Host', 'h')]) is None
        return found, server

    yield start
    for found in opened:
        found.close()


def read_head(found):
    return found.read_head(
        'r1', timers.now() + TEST_TIMEOUT_SECONDS, headers.HeaderCodec()
    )


def read_body(found):
    return found.read_body(timers.now() + TEST_TIMEOUT_SECONDS, 1000)


def test_a_reply_without_length_ends_with_its_connection(exchange):
    found, _ = exchange(HEAD + b'\r\nbody')
    assert read_head(found).metadata.is_signed
    assert read_body(found) == b'body'


def test_a_reply_without_length_that_is_reset_is_incomplete(exchange):
    found, _ = exchange(HEAD + b'\r\nbod', resets=True)
    read_head(found)
    with pytest.raises(upstream.IncompleteReply):
        read_body(found)


@pytest.mark.parametrize('resets', [False, True])
@pytest.mark.parametrize(
    'body',
    [
        b'Content-Length: 9\r\n\r\nshort',
        b'Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n',
        b'Transfer-Encoding: chunked\r\n\r\n9\r\nshort',
    ],
)
def test_a_truncated_reply_is_incomplete(exchange, body, resets):
    found, _ = exchange(HEAD + body, resets)
    read_head(found)
    with pytest.raises(upstream.IncompleteReply):
        read_body(found)


def test_bytes_after_a_reply_are_ignored(exchange):
    found, _ = exchange(HEAD + b'Content-Length: 4\r\n\r\nbodyHTTP/1.1 200')
    read_head(found)
    assert read_body(found) == b'body'


@pytest.mark.parametrize(
    'answer',
    [
        b'',
        b'HTTP/1.1',
        b'no reply at all\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nBurdockmast-Request-Id: other\r\n\r\n',
    ],
)
def test_a_request_without_a_valid_reply_may_have_run(exchange, answer):
    found, _ = exchange(answer)
    failure = read_head(found)
    assert isinstance(failure, failures.Failure)
    assert failure.outcome is outcomes.Outcome.UNKNOWN


def test_the_request_is_sent_unchanged_on_a_connection_of_its_own(exchange):
    found, server = exchange(HEAD + b'Content-Length: 0\r\n\r\n')
    read_head(found)
    assert server.got.startswith(b'GET /a/b?c=d HTTP/1.1\r\n')
    lines = server.got.lower().split(b'\r\n')
    assert b'connection: close' in lines
    assert lines.count(b'host: h') == 1


class EndlessServer:
    """Sends a beginning, then the same bytes until its peer closes.

    :ivar sent_bytes: of the endless part
    """

    def __init__(self, beginning, repeated, pause_seconds):
        self.sent_bytes = 0
        self.is_closed = False
        self._sock = eventlet.listen(('127.0.0.1', 0))
        self.address = '{}:{}'.format(*self._sock.getsockname())
        eventlet.spawn(self._serve, beginning, repeated, pause_seconds)

    def _serve(self, beginning, repeated, pause_seconds):
        connection, _ = self._sock.accept()
        connection.recv(4096)
        try:
            connection.sendall(beginning)
            while True:
                connection.sendall(repeated)
                self.sent_bytes += len(repeated)
                eventlet.sleep(pause_seconds)
        except OSError:
            self.is_closed = True
        finally:
            connection.close()


ENDLESS_HEADS = {
    'status line': (b'', b'x' * 8192),
    'header line': (HEAD + b'X-Long: ', b'x' * 8192),
    'headers': (HEAD, b'X-One: more\r\n' * 500),
    'provisional replies': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 300),
}
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
ENDLESS_BODIES = {
    'body without length': (HEAD + b'\r\n', b'x' * 8192),
    'chunks': (CHUNKED, (b'1000\r\n' + b'x' * 4096 + b'\r\n') * 4),
    'chunk extension': (CHUNKED + b'5;', b'x' * 8192),
    'trailers': (CHUNKED + b'0\r\n', b'X-One: more\r\n' * 500),
}


@pytest.fixture
def endless():
    """Return a sender of one request to a server that never stops."""
    opened = []

    def start(beginning, repeated, pause_seconds):
        server = EndlessServer(beginning, repeated, pause_seconds)
        found = upstream.Exchange(
            backends.BackendServer(
                'i-1',
                'app',
                server.address,
                'a',
                True,
                backends.NO_LAYERS,
                '',
                1,
                1,
            )
        )
        opened.append(found)
        assert found.send(REQUEST, [('Host', 'h')]) is None
        return found, server

    yield start
    for found in opened:
        found.close()


def slowly(repeated):
    return repeated[:1], 0.02


def at_full_speed(repeated):
    return repeated, 0.0


@pytest.mark.parametrize('speed', [at_full_speed, slowly])
@pytest.mark.parametrize('kind', ENDLESS_HEADS)
def test_a_head_without_end_fails_in_time(endless, kind, speed):
    beginning, repeated = ENDLESS_HEADS[kind]
    found, server = endless(beginning, *speed(repeated))
    with eventlet.Timeout(TEST_TIMEOUT_SECONDS):
        failure = found.read_head(
            'r1', timers.now() + 0.5, headers.HeaderCodec()
        )
        assert isinstance(failure, failures.Failure)
        assert failure.outcome is outcomes.Outcome.UNKNOWN
        found.close()
        while not server.is_closed:
            eventlet.sleep(0.01)


@pytest.mark.parametrize('speed', [at_full_speed, slowly])
@pytest.mark.parametrize('kind', ENDLESS_BODIES)
def test_a_body_without_end_fails_in_time(endless, kind, speed):
    beginning, repeated = ENDLESS_BODIES[kind]
    found, server = endless(beginning, *speed(repeated))
    with eventlet.Timeout(TEST_TIMEOUT_SECONDS):
        assert not isinstance(read_head(found), failures.Failure)
        with pytest.raises((upstream.IncompleteReply, TimeoutError)):
            found.read_body(timers.now() + 0.5, 1000000)
        found.close()
        while not server.is_closed:
            eventlet.sleep(0.01)


@pytest.mark.parametrize('kind', ['chunk extension', 'trailers'])
def test_what_is_no_body_is_bounded_too(endless, kind):
    beginning, repeated = ENDLESS_BODIES[kind]
    found, server = endless(beginning, repeated, 0.0)
    with eventlet.Timeout(TEST_TIMEOUT_SECONDS):
        read_head(found)
        with pytest.raises(upstream.IncompleteReply):
            found.read_body(timers.now() + TEST_TIMEOUT_SECONDS, 10**9)
    # Beyond the bound, the connection's buffers may hold some megabytes.
    assert server.sent_bytes < upstream.MAX_BYTES_PER_READ + 16 * 2**20


def test_other_tasks_run_while_a_server_sends_without_end(endless):
    found, _ = endless(*ENDLESS_BODIES['body without length'], 0.0)
    turns = []

    def count_turns():
        while True:
            turns.append(timers.now())
            eventlet.sleep(0.01)

    task = eventlet.spawn(count_turns)
    try:
        read_head(found)
        with pytest.raises((upstream.IncompleteReply, TimeoutError)):
            found.read_body(timers.now() + 1.0, 10**12)
    finally:
        task.kill()
    assert len(turns) > 10


WHOLE_HEAD = HEAD + b'Content-Length: 4\r\nBurdockmast-Not-Executed: 1\r\n\r\n'


@pytest.mark.parametrize('length', range(0, len(WHOLE_HEAD), 3))
def test_a_head_that_is_cut_off_is_no_answer(exchange, length):
    found, _ = exchange(WHOLE_HEAD[:length])
    head = read_head(found)
    assert isinstance(head, failures.Failure)
    assert head.outcome is outcomes.Outcome.UNKNOWN


def test_a_whole_head_before_the_end_of_a_connection_is_an_answer(exchange):
    found, _ = exchange(WHOLE_HEAD)
    assert read_head(found).metadata.is_not_run


def test_a_refusal_of_another_request_is_not_believed(exchange):
    found, _ = exchange(WHOLE_HEAD.replace(b'Id: r1', b'Id: r0'))
    head = read_head(found)
    assert isinstance(head, failures.Failure)
    assert head.outcome is outcomes.Outcome.UNKNOWN


def pause_gateway(seconds):
    """Suspend the process; its timers then fire before it reads sockets."""
    hub = eventlet.hubs.get_hub()

    def pause():
        time.sleep(seconds)
        hub.prepare_timers()
        hub.fire_timers(hub.clock())

    hub.schedule_call_global(0, pause)


@pytest.fixture
def listening():
    """A server that listens and never accepts, and its address."""
    sock = eventlet.listen(('127.0.0.1', 0))
    yield sock, '{}:{}'.format(*sock.getsockname())
    sock.close()


def server_at(address):
    return backends.BackendServer(
        'i-1', 'app', address, 'a', True, backends.NO_LAYERS, '', 1, 1
    )


def test_a_connection_made_while_the_gateway_paused_does_not_fail(listening):
    found = upstream.Exchange(server_at(listening[1]))
    sending = eventlet.spawn(found.send, REQUEST, [('Host', 'h')])
    pause_gateway(upstream.CONNECT_TIMEOUT_SECONDS + 0.1)
    assert sending.wait() is None
    found.close()


def test_a_refusal_while_the_gateway_paused_is_noticed(listening):
    sock, address = listening
    checks = crash_checks.CrashChecks()
    sock.close()
    checking = eventlet.spawn(checks.has_crashed, server_at(address))
    eventlet.sleep(0)
    pause_gateway(upstream.CONNECT_TIMEOUT_SECONDS + 0.1)
    assert checking.wait()


def test_a_reply_that_came_before_its_wait_ended_is_found(exchange):
    found, _ = exchange(WHOLE_HEAD)
    assert found.wait_for_reply(TEST_TIMEOUT_SECONDS)
    waiting = eventlet.spawn(found.wait_for_reply, 0.1)
    pause_gateway(0.2)
    assert waiting.wait()


def test_a_whole_reply_that_came_before_the_deadline_is_read(exchange):
    found, _ = exchange(HEAD + b'Content-Length: 4\r\n\r\nbody')
    assert found.wait_for_reply(TEST_TIMEOUT_SECONDS)
    late = timers.now() - 1.0
    head = found.read_head('r1', late, headers.HeaderCodec())
    assert head.status == 200
    assert found.read_body(late, 1000) == b'body'


def test_a_reset_that_ended_a_wait_does_not_make_a_reply_whole(exchange):
    found, _ = exchange(HEAD + b'\r\nbod', resets=True)
    read_head(found)
    eventlet.sleep(0.1)
    assert found.wait_for_reply(-1.0)
    with pytest.raises(upstream.IncompleteReply):
        read_body(found)


@pytest.fixture
def full_backlog():
    """Return the address of a server that doesn't accept connections."""
    sock = eventlet.listen(('127.0.0.1', 0), backlog=0)
    waiting = [socket.socket() for _ in range(4)]
    for one in waiting:
        one.setblocking(False)
        one.connect_ex(sock.getsockname())
    yield '{}:{}'.format(*sock.getsockname())
    for one in (*waiting, sock):
        one.close()


def test_a_silent_server_is_told_from_one_that_refuses(
    full_backlog, listening
):
    silent = upstream.Exchange(server_at(full_backlog)).send(REQUEST, [])
    sock, address = listening
    sock.close()
    refusing = upstream.Exchange(server_at(address)).send(REQUEST, [])
    assert silent.reason is failures.Reason.PEER_SILENT
    assert refusing.reason is failures.Reason.ENGINE_LOST
    for failure in (silent, refusing):
        assert failure.step == 'backend.connect'
        assert failure.outcome is outcomes.Outcome.NOT_RUN
