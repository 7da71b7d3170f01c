"""Requests whose bodies are cut, too large, refused or badly framed."""

import signal
import socket
import struct

import eventlet
import platforms
import pytest

from burdockmast.gateway import server

MIB = 1024 * 1024
DEFAULT_LIMIT_BYTES = 4 * MIB
LONG = b'0123456789abcdef' * (6 * MIB // 16)
# Within this time a gateway has passed a request on, if it ever does.
PASSED_ON_SECONDS = 0.3
# A refusal doesn't wait for a body that is slow.
REFUSED_SECONDS = 2.0
# As long as a caller of these tests waits for its answer.
SLOW_BODY_SECONDS = 20.0
SMUGGLED = (
    b'POST /confirm/smuggled HTTP/1.1\r\nHost: h.example\r\n'
    b'Burdockmast-Key: k1\r\nBurdockmast-Request-Id: r2\r\n'
    b'Content-Length: 0\r\n\r\n'
)


def begin(platform, path='/confirm/x', **given):
    """Send the head of a request; return the connection."""
    found = platform.headers(path)
    found.update(
        {name.replace('_', '-'): value for name, value in given.items()}
    )
    connection = platform.connect()
    connection.putrequest('POST', path, skip_host=True)
    for name, value in found.items():
        connection.putheader(name, value)
    connection.endheaders()
    return connection


def answer_of(connection):
    """Return the status of an answer that must come."""
    with eventlet.Timeout(platforms.TEST_TIMEOUT_SECONDS):
        response = connection.getresponse()
        response.read()
        return response.status


def ask_on(connection, platform, path='/confirm/next', body=b'whole'):
    """Send one more request on a connection; return the answer's status."""
    connection.request('POST', path, body, platform.headers(path))
    return answer_of(connection)


def read_to_end(connection):
    """Return all that the gateway sends until it closes a connection."""
    received = b''
    with eventlet.Timeout(platforms.TEST_TIMEOUT_SECONDS):
        while data := connection.sock.recv(65536):
            received += data
    return received


def set_limit(platform, version, limit_bytes):
    """Put a limit in force without sending a request that has a body."""
    applied = {
        **platforms.CONFIGURATION['routes'][-1],
        'name': f'lookup-{version}',
        'path-prefix': f'/lookup-{version}/',
    }
    platform.store.put(
        'config',
        'main',
        {
            **platforms.CONFIGURATION,
            'version': version,
            'routes': [*platforms.CONFIGURATION['routes'], applied],
            'limits': {'max-body-bytes': limit_bytes},
        },
    )
    platform.wait_for(
        lambda: platform.ask(f'/lookup-{version}/', 'GET')[0] == 200
    )
    for app in platform.apps:
        app.requests.clear()


def bodies_run(platform):
    return [seen.body for seen in platforms.requests_at(platform.apps)]


def in_chunks(body, size=65536):
    """Return a body in chunks, with the last one."""
    chunks = [
        b'%x\r\n%s\r\n' % (len(body[n : n + size]), body[n : n + size])
        for n in range(0, len(body), size)
    ]
    return b''.join(chunks) + b'0\r\n\r\n'


def framed(framing, body):
    """Return the header that frames a body, and its bytes."""
    if framing == 'length':
        return {'Content_Length': str(len(body))}, body
    return {'Transfer_Encoding': 'chunked'}, in_chunks(body)


def close(connection):
    connection.close()


def reset(connection):
    linger = struct.pack('ii', 1, 0)
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


def shut_down(connection):
    connection.sock.shutdown(socket.SHUT_WR)
    assert answer_of(connection) == 400


@pytest.mark.parametrize('leave', [close, reset, shut_down])
@pytest.mark.parametrize(
    ('header', 'sent'),
    [
        ({'Content_Length': '8'}, b'half'),
        ({'Content_Length': '8'}, b''),
        ({'Transfer_Encoding': 'chunked'}, b'8\r\nhalf'),
        ({'Transfer_Encoding': 'chunked'}, b'4\r\nhalf\r\n'),
        ({'Transfer_Encoding': 'chunked'}, b'4\r\nhalf\r\n0'),
        ({'Transfer_Encoding': 'chunked'}, b'4\r\nhalf\r\n0\r\n'),
    ],
)
def test_body_whose_caller_leaves_is_not_run(platform, header, sent, leave):
    """Half of it used to be run as a whole request."""
    connection = begin(platform, **header)
    connection.send(sent)
    eventlet.sleep(0.05)
    leave(connection)
    eventlet.sleep(PASSED_ON_SECONDS)
    assert bodies_run(platform) == []


@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_long_body_after_a_start_is_not_cut(platform, framing):
    """It used to be cut to the default limit and run."""
    set_limit(platform, 9, 8 * MIB)
    platform.stop()
    platform.launch()
    platform.wait_for(platform.is_ready)
    header, sent = framed(framing, LONG)
    connection = begin(platform, **header)
    connection.send(sent)
    assert answer_of(connection) == 200
    assert bodies_run(platform) == [LONG]
    assert ask_on(connection, platform) == 200


@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_body_during_which_the_limit_is_raised_is_not_cut(platform, framing):
    """It used to be cut to the earlier limit and run."""
    set_limit(platform, 8, DEFAULT_LIMIT_BYTES)
    header, sent = framed(framing, LONG)
    connection = begin(platform, **header)
    connection.send(sent[:MIB])
    set_limit(platform, 9, 8 * MIB)
    connection.send(sent[MIB:])
    assert answer_of(connection) == 413
    assert bodies_run(platform) == []
    assert ask_on(connection, platform, body=LONG) == 200
    assert bodies_run(platform) == [LONG]


@pytest.mark.parametrize('framing', ['length', 'chunks'])
@pytest.mark.parametrize('limit_bytes', [MIB, 16 * MIB])
def test_last_request_of_a_connection_is_answered_beside_a_changed_limit(
    platform, framing, limit_bytes
):
    """It got neither an answer nor a refusal: its connection was reset."""
    set_limit(platform, 8, DEFAULT_LIMIT_BYTES)
    header, sent = framed(framing, LONG * 2)
    connection = begin(platform, Connection='close', **header)
    connection.send(sent[:MIB])
    set_limit(platform, 9, limit_bytes)
    connection.send(sent[MIB:])
    assert answer_of(connection) == 413
    assert bodies_run(platform) == []


@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_body_during_which_the_limit_is_lowered_is_run(platform, framing):
    """A limit that was applied later used to refuse it."""
    set_limit(platform, 8, 8 * MIB)
    header, sent = framed(framing, LONG)
    connection = begin(platform, **header)
    connection.send(sent[:MIB])
    set_limit(platform, 9, MIB)
    connection.send(sent[MIB:])
    assert answer_of(connection) == 200
    assert bodies_run(platform) == [LONG]
    assert ask_on(connection, platform, body=LONG) == 413


def test_key_that_is_revoked_while_a_body_is_under_way_is_refused(platform):
    connection = begin(platform, Content_Length='8')
    connection.send(b'half')
    platform.store.put(
        'config',
        'main',
        {
            **platforms.CONFIGURATION,
            'version': 9,
            'tenants': [{'name': 'fes', 'api-keys': ['other']}],
        },
    )
    platform.wait_for(lambda: platform.ask('/lookup/x', 'GET')[0] == 401)
    connection.send(b'half')
    assert answer_of(connection) == 401
    assert b'halfhalf' not in bodies_run(platform)


@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_body_that_stalls_is_refused_as_too_slow(platform, framing):
    """It got 400, as if the caller had made a mistake."""
    platform.restart_with(
        '[platform]', '[intake]\nbody-progress-s = 1\n[platform]'
    )
    header, sent = framed(framing, b'halfhalf')
    connection = begin(platform, **header)
    connection.send(sent[:5])
    answer = read_to_end(connection)
    assert answer.startswith(b'HTTP/1.1 408 ')
    assert answer.count(b'HTTP/1.1 ') == 1
    assert bodies_run(platform) == []


def test_body_that_ends_as_a_stopping_gateway_refuses_is_not_run(platform):
    platform.restart_with('grace-s = 30', 'grace-s = 8')
    connection = begin(platform, Content_Length='8')
    connection.send(b'half')
    platform.process.send_signal(signal.SIGTERM)
    eventlet.sleep(server.DRAIN_ACCEPT_SECONDS + 0.5)
    connection.send(b'half')
    assert answer_of(connection) == 503
    assert bodies_run(platform) == []


REFUSALS = [
    ('/confirm/x', platforms.KEY, 413),
    ('/confirm/x', 'unknown', 401),
    ('/none/x', platforms.KEY, 404),
]


@pytest.mark.parametrize('connection_header', ['close', 'keep-alive'])
@pytest.mark.parametrize('framing', ['length', 'chunks'])
@pytest.mark.parametrize(('path', 'key', 'status'), REFUSALS)
def test_refusal_reaches_a_caller_that_sends_all_before_it_reads(
    platform, path, key, status, framing, connection_header
):
    """A close with unread bytes used to reset the connection."""
    header, sent = framed(framing, LONG * 2)
    connection = begin(
        platform,
        path,
        Burdockmast_Key=key,
        Connection=connection_header,
        **header,
    )
    connection.send(sent)
    # What a close would lose has been sent by now.
    eventlet.sleep(PASSED_ON_SECONDS)
    assert answer_of(connection) == status
    assert bodies_run(platform) == []


def test_refusal_reaches_a_caller_that_sends_for_long_before_it_reads(
    platform,
):
    """Its body used to be dropped for half of this time only."""
    connection = begin(
        platform, Burdockmast_Key='unknown', Content_Length='40'
    )
    for _ in range(40):
        eventlet.sleep(SLOW_BODY_SECONDS / 40)
        connection.send(b'x')
    assert answer_of(connection) == 401
    assert ask_on(connection, platform) == 200


@pytest.mark.parametrize('framing', ['length', 'chunks'])
@pytest.mark.parametrize(
    ('path', 'key', 'status'), [*REFUSALS[1:], ('/confirm/x', '', 401)]
)
def test_refusal_does_not_wait_for_a_slow_body(
    platform, path, key, status, framing
):
    """It used to be sent only after the whole body had come."""
    body = SMUGGLED * 2
    header, sent = framed(framing, body)
    connection = begin(platform, path, Burdockmast_Key=key, **header)
    with eventlet.Timeout(REFUSED_SECONDS):
        assert answer_of(connection) == status
    for n in range(0, len(sent), 100):
        connection.send(sent[n : n + 100])
        eventlet.sleep(0.01)
    # The body that was refused isn't taken for the next request.
    assert ask_on(connection, platform) == 200
    assert bodies_run(platform) == [b'whole']


@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_request_before_the_first_configuration_gets_a_refusal(
    platform, framing
):
    """A guessed limit used to decide how much of it was read."""
    platform.stop()
    platform.store.is_down = True
    platform.launch()

    def is_listening():
        try:
            return platform.ask('/confirm/x')[0] == 503
        except OSError:
            return False

    platform.wait_for(is_listening)
    header, sent = framed(framing, LONG)
    connection = begin(platform, **header)
    with eventlet.Timeout(REFUSED_SECONDS):
        assert answer_of(connection) == 503
    connection.send(sent)
    assert ask_on(connection, platform) == 503
    assert bodies_run(platform) == []


@pytest.mark.parametrize(
    ('header', 'sent'),
    [
        ({'Transfer_Encoding': 'chunked'}, b'zz\r\n0\r\n\r\n'),
        ({'Transfer_Encoding': 'chunked'}, b'4\r\nlonger\r\n0\r\n\r\n'),
        ({'Transfer_Encoding': 'chunked'}, b'-4\r\n0\r\n\r\n'),
        ({'Transfer_Encoding': 'chunked'}, b'0x4\r\nhalf\r\n0\r\n\r\n'),
        ({'Transfer_Encoding': 'gzip, chunked'}, b''),
        ({'Transfer_Encoding': 'gzip'}, b''),
    ],
)
def test_body_without_a_clear_end_is_refused_with_its_connection(
    platform, header, sent
):
    """What followed used to be run as the next request, or the body was."""
    connection = begin(platform, **header)
    connection.send(sent + SMUGGLED)
    answers = read_to_end(connection)
    assert answers.startswith(b'HTTP/1.1 400 ')
    assert answers.count(b'HTTP/1.1 ') == 1
    assert bodies_run(platform) == []


def test_caller_that_waits_to_be_asked_for_its_body_is_asked(platform):
    connection = begin(platform, Content_Length='5', Expect='100-continue')
    with eventlet.Timeout(REFUSED_SECONDS):
        assert connection.sock.recv(65536).startswith(b'HTTP/1.1 100 ')
    connection.send(b'whole')
    assert answer_of(connection) == 200
    assert bodies_run(platform) == [b'whole']


def test_caller_that_waits_to_be_asked_for_its_body_is_refused(platform):
    """It used to be asked for a body that was then refused."""
    connection = begin(
        platform,
        Content_Length='5',
        Expect='100-continue',
        Burdockmast_Key='unknown',
    )
    with eventlet.Timeout(REFUSED_SECONDS):
        answer = read_to_end(connection)
    assert answer.startswith(b'HTTP/1.1 401 ')
    assert b'Connection: close' in answer
