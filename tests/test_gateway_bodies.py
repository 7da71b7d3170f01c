"""Requests whose bodies are cut, too large, refused or badly framed."""

import socket
import struct

import eventlet
import platforms
import pytest

MIB = 1024 * 1024
LONG = b'0123456789abcdef' * (6 * MIB // 16)
# Within this time a gateway has passed a request on, if it ever does.
PASSED_ON_SECONDS = 0.3
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


def read_to_end(connection):
    """Return all that the gateway sends until it closes a connection."""
    received = b''
    with eventlet.Timeout(platforms.TEST_TIMEOUT_SECONDS):
        while data := connection.sock.recv(65536):
            received += data
    return received


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


@pytest.mark.parametrize('connection_header', ['close', 'keep-alive'])
@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_refusal_reaches_a_caller_that_sends_all_before_it_reads(
    platform, framing, connection_header
):
    """A close with unread bytes used to reset the connection."""
    header, sent = framed(framing, LONG * 2)
    connection = begin(platform, Connection=connection_header, **header)
    connection.send(sent)
    # What a close would lose has been sent by now.
    eventlet.sleep(PASSED_ON_SECONDS)
    assert answer_of(connection) == 413
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
