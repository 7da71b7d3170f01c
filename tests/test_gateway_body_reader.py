"""What the reader of bodies returns for each framing, whole and cut."""

import io
import socket

import eventlet
import hypothesis
from hypothesis import strategies
import pytest

from burdockmast.base import failures
from burdockmast.gateway import bodies
from burdockmast.gateway import buffers

LIMIT_BYTES = 1000
NEXT_REQUEST = b'POST /next HTTP/1.1\r\n\r\n'
BODIES = strategies.binary(max_size=60)
CHUNKS = strategies.lists(strategies.binary(min_size=1, max_size=20))
EXTENSIONS = strategies.sampled_from(['', ';a=b', ' ;a="b c"'])
TRAILERS = strategies.sampled_from([b'', b'A: b\r\n', b'A: b\r\nC: d\r\n'])


def make_body(sent, *request_headers):
    """Return the stream of a connection and the body that comes on it."""
    stream = io.BufferedReader(io.BytesIO(sent))
    framing = bodies.find_framing(request_headers)
    return stream, bodies.Body(stream, framing)


def make_chunked_body(sent):
    return make_body(sent, ('Transfer-Encoding', 'chunked'))


def in_chunks(chunks, extension='', trailers=b'', zeros=0):
    """Return chunks as they are sent, with the last one."""
    sizes = [f'{"0" * zeros}{len(chunk):X}{extension}' for chunk in chunks]
    sent = b''.join(
        size.encode() + b'\r\n' + chunk + b'\r\n'
        for size, chunk in zip(sizes, chunks, strict=True)
    )
    return sent + b'0\r\n' + trailers + b'\r\n'


def reason_of(found):
    assert isinstance(found, failures.Failure)
    return found.reason


@pytest.fixture
def connection():
    """A connection whose other end waits for an answer."""
    here, there = socket.socketpair()
    yield here
    here.close()
    there.close()


@hypothesis.given(BODIES)
def test_body_that_is_cut_before_its_length_is_not_taken_for_whole(content):
    length = ('Content-Length', str(len(content)))
    for end in range(len(content)):
        _, body = make_body(content[:end], length)
        found = body.read(LIMIT_BYTES, buffers.BufferPool().open())
        assert reason_of(found) is failures.Reason.BAD_REQUEST
    stream, body = make_body(content + NEXT_REQUEST, length)
    assert body.read(LIMIT_BYTES, buffers.BufferPool().open()) == content
    assert stream.read() == NEXT_REQUEST


@hypothesis.given(CHUNKS, EXTENSIONS, TRAILERS, strategies.integers(0, 3))
def test_body_that_is_cut_before_its_last_chunk_is_not_taken_for_whole(
    chunks, extension, trailers, zeros
):
    sent = in_chunks(chunks, extension, trailers, zeros)
    for end in range(len(sent)):
        _, body = make_chunked_body(sent[:end])
        found = body.read(LIMIT_BYTES, buffers.BufferPool().open())
        assert reason_of(found) is failures.Reason.BAD_REQUEST
    stream, body = make_chunked_body(sent + NEXT_REQUEST)
    assert body.read(LIMIT_BYTES, buffers.BufferPool().open()) == b''.join(
        chunks
    )
    assert stream.read() == NEXT_REQUEST


@hypothesis.given(CHUNKS, strategies.integers(0, 60))
def test_body_over_its_limit_is_not_cut_to_it(chunks, limit_bytes):
    content = b''.join(chunks)
    length = ('Content-Length', str(len(content)))
    for body in (
        make_body(content, length)[1],
        make_chunked_body(in_chunks(chunks))[1],
    ):
        found = body.read(limit_bytes, buffers.BufferPool().open())
        if len(content) <= limit_bytes:
            assert found == content
        else:
            assert reason_of(found) is failures.Reason.TOO_LARGE


@hypothesis.given(
    CHUNKS, strategies.integers(0, 60), strategies.sampled_from([False, True])
)
def test_rest_of_a_refused_body_is_not_taken_for_the_next_request(
    chunks, limit_bytes, is_chunked
):
    content = b''.join(chunks)
    if is_chunked:
        stream, body = make_chunked_body(in_chunks(chunks) + NEXT_REQUEST)
    else:
        length = ('Content-Length', str(len(content)))
        stream, body = make_body(content + NEXT_REQUEST, length)
    body.read(limit_bytes, buffers.BufferPool().open())
    assert body.has_near_end
    here, there = socket.socketpair()
    with here, there:
        body.drop(here)
    assert stream.read() == NEXT_REQUEST


@pytest.mark.parametrize(
    'sent',
    [
        b'\r\n',
        b'4',
        b'4\n1234\r\n0\r\n\r\n',
        b'-4\r\n1234\r\n0\r\n\r\n',
        b'+4\r\n1234\r\n0\r\n\r\n',
        b'0x4\r\n1234\r\n0\r\n\r\n',
        b'1_0\r\n0123456789abcdef\r\n0\r\n\r\n',
        b' 4\r\n1234\r\n0\r\n\r\n',
        b'4\r\n12345\r\n0\r\n\r\n',
        b'4\r\n123\r\n\r\n0\r\n\r\n',
        b'4\r\n1234\n0\r\n\r\n',
        b'4;' + b'x' * bodies.MAX_SIZE_LINE_BYTES + b'\r\n1234\r\n0\r\n\r\n',
        b'0\r\nA: ' + b'x' * bodies.MAX_TRAILER_BYTES + b'\r\n\r\n',
        b'0\r\n' + b'A: b\r\n' * bodies.MAX_TRAILER_BYTES + b'\r\n',
    ],
)
def test_chunks_that_can_be_read_in_two_ways_are_refused(sent):
    _, body = make_chunked_body(sent)
    found = body.read(LIMIT_BYTES, buffers.BufferPool().open())
    assert reason_of(found) is failures.Reason.BAD_REQUEST
    assert not body.has_near_end


@pytest.mark.parametrize(
    'request_headers',
    [
        [('Content-Length', '4'), ('content-length', '5')],
        [('Content-Length', '+4')],
        [('Content-Length', '4_0')],
        [('Content-Length', '-4')],
        [('Content-Length', '9' * 40)],
        [('Content-Length', '\u0664')],
        [('Content-Length', '')],
        [('Content-Length', '4'), ('Transfer-Encoding', 'chunked')],
        [('Transfer-Encoding', 'gzip')],
        [('Transfer-Encoding', 'gzip, chunked')],
        [('Transfer-Encoding', 'chunked'), ('Transfer-Encoding', 'chunked')],
    ],
)
def test_body_whose_head_does_not_tell_its_end_is_refused(
    request_headers, connection
):
    stream, body = make_body(b'body' + NEXT_REQUEST, *request_headers)
    assert (
        reason_of(body.read(LIMIT_BYTES, buffers.BufferPool().open()))
        is failures.Reason.BAD_REQUEST
    )
    assert not body.has_near_end
    with pytest.raises(bodies.UnreadBodyError):
        body.drop(connection)
    # A close now doesn't reset the connection.
    assert not stream.read()


def test_request_without_a_length_has_no_body():
    stream, body = make_body(NEXT_REQUEST, ('Host', 'h'))
    assert body.read(0, buffers.BufferPool().open()) == b''
    assert stream.read() == NEXT_REQUEST


def test_same_length_named_twice_is_one_length():
    length = ('Content-Length', '4')
    assert (
        make_body(b'body', length, length)[1].read(
            LIMIT_BYTES, buffers.BufferPool().open()
        )
        == b'body'
    )


def test_long_body_is_read_whole():
    content = bytes(range(256)) * (3 * bodies.PIECE_BYTES // 256) + b'x'
    length = ('Content-Length', str(len(content)))
    assert (
        make_body(content, length)[1].read(
            len(content), buffers.BufferPool().open()
        )
        == content
    )
    chunked = make_chunked_body(in_chunks([content, content]))[1]
    assert (
        chunked.read(2 * len(content), buffers.BufferPool().open())
        == content + content
    )


def test_refused_body_without_end_is_dropped_up_to_a_bound(connection):
    size = 2 * bodies.MAX_DROPPED_BYTES
    stream, body = make_chunked_body(b'%x\r\n' % size + b'x' * size)
    with pytest.raises(bodies.UnreadBodyError):
        body.drop(connection)
    assert len(stream.read()) >= bodies.MAX_DROPPED_BYTES // 2


def test_refused_body_that_stalls_is_waited_for_up_to_a_bound(
    connection, monkeypatch
):
    class Stalled(io.RawIOBase):
        def readable(self):
            return True

        def readinto(self, buffer):
            eventlet.sleep(60)
            return 0

    monkeypatch.setattr(bodies, 'DROP_SECONDS', 0.01)
    stream = io.BufferedReader(Stalled())
    body = bodies.Body(stream, bodies.Length(4))
    with pytest.raises(bodies.UnreadBodyError):
        body.drop(connection)


def test_caller_is_asked_for_a_body_only_if_it_is_read():
    asked = []
    stream = io.BufferedReader(io.BytesIO(b'body'))
    body = bodies.Body(stream, bodies.Length(4), lambda: asked.append(1))
    assert (
        reason_of(body.read(3, buffers.BufferPool().open()))
        is failures.Reason.TOO_LARGE
    )
    assert not body.has_near_end
    assert not asked
    assert body.read(4, buffers.BufferPool().open()) == b'body'
    assert asked == [1]


def test_caller_is_not_asked_for_a_body_without_a_clear_end():
    """It would send what can only be refused."""
    asked = []
    stream = io.BufferedReader(io.BytesIO(b'body'))
    framing = bodies.Unclear('transfer coding gzip')
    body = bodies.Body(stream, framing, lambda: asked.append(1))
    assert (
        reason_of(body.read(LIMIT_BYTES, buffers.BufferPool().open()))
        is failures.Reason.BAD_REQUEST
    )
    assert not asked


@pytest.mark.parametrize('error', [TimeoutError, ConnectionResetError])
@pytest.mark.parametrize(
    ('framing', 'sent'),
    [(bodies.Length(8), b'half'), (bodies.Chunks(), b'8\r\nhalf')],
)
def test_body_whose_connection_fails_is_not_taken_for_whole(
    framing, sent, error, connection
):
    class Failing(io.RawIOBase):
        left = sent

        def readable(self):
            return True

        def readinto(self, buffer):
            if not self.left:
                raise error('the connection failed')
            buffer[:1] = self.left[:1]
            self.left = self.left[1:]
            return 1

    body = bodies.Body(io.BufferedReader(Failing()), framing)
    found = body.read(LIMIT_BYTES, buffers.BufferPool().open())
    assert reason_of(found) is failures.Reason.BAD_REQUEST
    with pytest.raises(bodies.UnreadBodyError):
        body.drop(connection)
