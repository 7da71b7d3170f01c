"""When callers' connections are read, and when they are closed."""

import dataclasses
import errno
import math
import socket
import time

import eventlet
import eventlet.greenio
import pytest

from burdockmast.gateway import caller_connections
from burdockmast.gateway import config
from burdockmast.gateway.intake import limits
from burdockmast.gateway.intake import shared

HOST = '127.0.0.1'
WAIT_SECONDS = 10.0
LIMITS = config.CallerLimits(
    max_header_bytes=2000,
    header_timeout_seconds=0.3,
    idle_timeout_seconds=0.3,
)
HEAD = b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n'
REQUEST = HEAD + b'body'
Step = caller_connections.Step


class Service:
    """Connections to an application that records what it was asked."""

    def __init__(self, intake=None):
        self.limits = LIMITS
        self.bodies = []
        self.reply_headers = []
        self.callers = []
        with socket.create_server((HOST, 0)) as found:
            self.port = found.getsockname()[1]
        self.connections = caller_connections.CallerConnections(
            f'{HOST}:{self.port}', self.answer, lambda: self.limits, intake
        )

    def answer(self, environ, start_response):
        self.bodies.append(environ['wsgi.input'].read())
        length = ('Content-Length', '2')
        start_response('200 OK', [length, *self.reply_headers])
        return [b'ok']

    def connect(self, sent=b''):
        """Connect without letting the server run."""
        sock = socket.create_connection((HOST, self.port))
        sock.sendall(sent)
        self.callers.append(eventlet.greenio.GreenSocket(sock))
        return self.callers[-1]

    def connect_kept(self):
        """Return a connection on which a request was answered."""
        caller = self.connect(REQUEST)
        assert read(caller).startswith(b'HTTP/1.1 200 OK')
        return caller

    def wait_until_closed(self):
        with eventlet.Timeout(WAIT_SECONDS):
            while self.connections.open_count:
                eventlet.sleep(0.01)


@pytest.fixture
def intake_limits():
    """Limits on connections, the defaults unless a test names others."""
    return limits.Limits()


@pytest.fixture
def service(monkeypatch, intake_limits):
    monkeypatch.setattr(caller_connections, 'IDLE_MARGIN_SECONDS', 0.0)
    monkeypatch.setattr(caller_connections, 'STALL_SECONDS', 0.3)
    monkeypatch.setattr(caller_connections, 'FIRST_REQUEST_SECONDS', 0.5)
    monkeypatch.setattr(caller_connections, 'LINGER_SECONDS', 1.0)
    monkeypatch.setattr(caller_connections, 'LINGER_STALL_SECONDS', 0.5)
    found = Service(shared.Intake(intake_limits))
    yield found
    for caller in found.callers:
        caller.close()
    found.connections.close_idle()
    found.wait_until_closed()


def read(caller):
    """Return what arrives at once, nothing at the end."""
    with eventlet.Timeout(WAIT_SECONDS):
        return caller.recv(65536)


def read_all(caller):
    """Return what arrives until the end of the connection."""
    answer = b''
    while found := read(caller):
        answer += found
    return answer


@pytest.mark.parametrize(
    ('has_unread', 'closes_at', 'step'),
    [
        (True, 11.0, Step.READ),
        (True, 9.0, Step.READ),
        (True, -math.inf, Step.READ),
        (False, 11.0, Step.WAIT),
        (False, 10.0, Step.CLOSE),
        (False, -math.inf, Step.CLOSE),
    ],
)
def test_nothing_that_has_arrived_is_left_unread(has_unread, closes_at, step):
    assert caller_connections.next_step(has_unread, closes_at, 10.0) is step


@pytest.mark.parametrize(
    ('is_new', 'is_closing', 'seconds'),
    [
        (False, False, 15.0 + caller_connections.IDLE_MARGIN_SECONDS),
        (True, False, 15.0 + caller_connections.IDLE_MARGIN_SECONDS),
        (True, True, caller_connections.FIRST_REQUEST_SECONDS),
        (False, True, -math.inf),
    ],
)
def test_idle_connections_are_closed_late_enough(is_new, is_closing, seconds):
    idle = caller_connections.IdleConnection(100.0, is_new)
    limits = config.CallerLimits(idle_timeout_seconds=15.0)
    assert idle.closes_at(limits, is_closing) == 100.0 + seconds


@pytest.mark.parametrize('first', [0, 10, len(HEAD), len(HEAD) + 2])
def test_bytes_that_came_in_time_outlast_a_pause_of_the_process(
    service, first
):
    caller = service.connect_kept()
    caller.sendall(REQUEST[:first])
    eventlet.sleep(0.1)
    caller.sendall(REQUEST[first:])
    time.sleep(0.5)
    assert read(caller).startswith(b'HTTP/1.1 200 OK')
    assert service.bodies == [b'body'] * 2


def test_a_slow_head_is_refused_as_not_run(service):
    caller = service.connect(HEAD[:30])
    assert read_all(caller).startswith(b'HTTP/1.1 408 ')
    assert not service.bodies


def test_time_for_a_head_is_not_renewed_by_each_byte(service):
    caller = service.connect(HEAD[:20])
    for byte in HEAD[20:26]:
        eventlet.sleep(0.1)
        caller.sendall(bytes([byte]))
    assert read_all(caller).startswith(b'HTTP/1.1 408 ')


@pytest.mark.parametrize('length', [10, 20, len(HEAD) - 2])
def test_a_head_that_its_caller_left_is_not_run(service, length):
    caller = service.connect(HEAD[:length])
    caller.shutdown(socket.SHUT_WR)
    read_all(caller)
    assert not service.bodies


@pytest.mark.parametrize('limit', [2000, 20000])
@pytest.mark.parametrize('line_length', [300, 9000])
def test_heads_are_read_up_to_the_limit_in_force(service, limit, line_length):
    service.limits = dataclasses.replace(LIMITS, max_header_bytes=limit)
    # 34 bytes of other headers and of the end, 4 and a line end in each line.
    line = b'a: ' + b'x' * (line_length - 5) + b'\r\n'
    room = limit - len(HEAD.partition(b'\r\n')[2])
    lines = line * (room // line_length)
    lines += b'a:' + b'x' * (room - len(lines) - 4) + b'\r\n'
    for added, status in [(b'', b'200'), (b'x', b'431')]:
        head = HEAD.replace(b'\r\n\r\n', b'\r\n' + added + lines + b'\r\n')
        caller = service.connect(head + b'body')
        assert read(caller).split()[1] == status


def test_a_request_line_over_the_limit_is_refused(service):
    caller = service.connect(b'GET /' + b'x' * LIMITS.max_header_bytes)
    assert read_all(caller).startswith(b'HTTP/1.1 414 ')
    assert not service.bodies


def test_a_raised_idle_timeout_holds_for_idle_connections(service):
    caller = service.connect_kept()
    service.limits = dataclasses.replace(LIMITS, idle_timeout_seconds=60.0)
    eventlet.sleep(0.6)
    caller.sendall(REQUEST)
    assert read(caller).startswith(b'HTTP/1.1 200 OK')


def test_idle_connections_end(service):
    caller = service.connect_kept()
    assert read(caller) == b''
    service.wait_until_closed()


@pytest.mark.parametrize('sent', [b'', REQUEST[:-2], REQUEST])
def test_connections_end_with_their_callers(service, sent):
    service.limits = config.CallerLimits()
    caller = service.connect(sent)
    eventlet.sleep(0.05)
    assert service.connections.open_count == 1
    caller.close()
    service.wait_until_closed()


def test_pipelined_requests_are_all_answered(service):
    caller = service.connect(REQUEST * 3)
    assert read_all(caller).count(b'HTTP/1.1 200 OK') == 3


def test_a_stop_answers_what_has_arrived_and_closes_the_rest(service):
    service.limits = config.CallerLimits()
    idle, busy = service.connect_kept(), service.connect_kept()
    service.reply_headers = [('Connection', 'close')]
    busy.sendall(REQUEST)
    unaccepted = [service.connect(REQUEST) for _ in range(20)]
    service.connections.stop_accepting()
    service.connections.close_idle()
    for caller in [busy, *unaccepted]:
        assert read_all(caller).startswith(b'HTTP/1.1 200 OK')
    assert read_all(idle) == b''
    with pytest.raises(ConnectionRefusedError):
        service.connect()


def test_a_stop_waits_for_the_first_request_of_a_new_connection(service):
    service.limits = config.CallerLimits()
    slow, silent = service.connect(), service.connect()
    service.connections.stop_accepting()
    service.connections.close_idle()
    eventlet.sleep(0.2)
    slow.sendall(REQUEST)
    assert read(slow).startswith(b'HTTP/1.1 200 OK')
    assert read(silent) == b''


def test_an_announced_close_is_announced_once_and_comes(service):
    service.reply_headers = [('Connection', 'close')]
    answer = read_all(service.connect(REQUEST))
    assert answer.count(b'Connection: close\r\n') == 1


def test_an_error_reaches_a_caller_that_goes_on_sending(service):
    caller = service.connect(HEAD.replace(b'4', b'-4') + b'x' * 200000)
    for _ in range(5):
        eventlet.sleep(0.05)
        caller.sendall(b'x' * 1000)
    assert read_all(caller).startswith(b'HTTP/1.0 400 ')


@pytest.mark.parametrize('sent', [b'', b'x'], ids=['silent', 'slow'])
def test_a_caller_that_ignores_a_close_can_not_keep_its_connection(
    service, sent
):
    caller = service.connect(HEAD.replace(b'4', b'-4'))
    with eventlet.Timeout(WAIT_SECONDS), pytest.raises(ConnectionError):
        while service.connections.open_count:
            eventlet.sleep(0.1)
            caller.sendall(sent)
        raise ConnectionError


def test_connections_are_accepted_again_after_a_failure(service, monkeypatch):
    failures = [OSError(errno.EMFILE, 'Too many open files')]
    accept = eventlet.greenio.GreenSocket.accept

    def fail_once(sock):
        if failures:
            raise failures.pop()
        return accept(sock)

    monkeypatch.setattr(eventlet.greenio.GreenSocket, 'accept', fail_once)
    service.connect_kept()
    service.connect_kept()
    assert not failures


@pytest.mark.parametrize('intake_limits', [limits.Limits(max_connections=3)])
def test_oldest_idle_connection_is_closed_for_a_new_one(service):
    """Connections that were only kept open used to keep others waiting."""
    service.limits = config.CallerLimits()
    oldest, *others = [service.connect_kept() for _ in range(3)]
    service.connect_kept()
    assert read(oldest) == b''
    others[1].sendall(REQUEST)
    assert read(others[1]).startswith(b'HTTP/1.1 200 OK')


@pytest.mark.parametrize('intake_limits', [limits.Limits(max_connections=2)])
def test_request_that_has_begun_is_not_closed_for_a_new_connection(service):
    service.limits = config.CallerLimits()
    begun = [service.connect(HEAD) for _ in range(2)]
    new = service.connect(REQUEST)
    eventlet.sleep(0.1)
    begun[0].sendall(b'body')
    assert read(begun[0]).startswith(b'HTTP/1.1 200 OK')
    assert read(new).startswith(b'HTTP/1.1 200 OK')


@pytest.mark.parametrize(
    'intake_limits', [limits.Limits(max_connections_per_address=2)]
)
def test_connections_over_the_limit_of_an_address_are_closed(service):
    service.limits = config.CallerLimits()
    kept = [service.connect_kept() for _ in range(2)]
    assert read(service.connect()) == b''
    kept[0].close()
    service.callers.remove(kept[0])
    with eventlet.Timeout(WAIT_SECONDS):
        while service.connections.open_count > 1:
            eventlet.sleep(0.01)
    service.connect_kept()
