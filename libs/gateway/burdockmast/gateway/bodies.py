"""Reads the bodies of callers' requests, whole or not at all.

A body ends by its length or by its last chunk, never by the end of the
connection.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import io
import re
import socket

import eventlet

from burdockmast.base import failures
from burdockmast.gateway import buffers

# Most bytes that are read at once.
PIECE_BYTES = 256 * 1024
# Longest line with the size of a chunk.
MAX_SIZE_LINE_BYTES = 1024
# Longest trailer section after the last chunk.
MAX_TRAILER_BYTES = 16 * 1024
# Most bytes that are read and dropped after the refusal of a request.
MAX_DROPPED_BYTES = 64 * 1024 * 1024
# Longest time for which a refused body is dropped; its caller may send all of
# it before it reads the answer.
DROP_SECONDS = 30.0
# Retry-After value while the bodies of other requests take all room.
RETRY_AFTER_SECONDS = 0.5
_LENGTH = re.compile(r'[0-9]{1,18}')
_CHUNK_SIZE = re.compile(rb'([0-9A-Fa-f]{1,15})[ \t]*(;[^\r\n]*)?\r\n')


class UnreadBodyError(Exception):
    """The rest of a body is not read, so its connection must be closed."""


class _InvalidBodyError(ValueError):
    """The body is cut, or it doesn't follow its framing."""


@dataclasses.dataclass(frozen=True, slots=True)
class Length:
    """A body whose head names its length."""

    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Chunks:
    """A body in chunks, of which an empty one is the last."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unclear:
    """A body whose head doesn't tell where it ends."""

    detail: str


Framing = Length | Chunks | Unclear


def find_framing(headers: Iterable[tuple[str, str]]) -> Framing:
    """Return the framing that the headers of a request name."""
    lengths: list[str] = []
    codings: list[str] = []
    for name, value in headers:
        match name.lower():
            case 'content-length':
                lengths.append(value)
            case 'transfer-encoding':
                codings.append(value.lower())
    if codings:
        if codings != ['chunked'] or lengths:
            return Unclear(f'transfer coding {codings}, length {lengths}')
        return Chunks()
    if not lengths:
        return Length(0)
    if len(set(lengths)) > 1 or not _LENGTH.fullmatch(lengths[0]):
        return Unclear(f'length {lengths}')
    return Length(int(lengths[0]))


class Body:
    """The body of a request, which may still be on its way."""

    def __init__(
        self,
        stream: io.BufferedIOBase,
        framing: Framing,
        invite: Callable[[], object] | None = None,
    ):
        """Create a body of which nothing has been read.

        :param stream: what the caller sends after the head
        :param invite: asks the caller for the body, None if it doesn't wait
            to be asked
        """
        self._stream = stream
        self._framing = framing
        self._invite = invite
        self._pieces = _read_pieces(stream, framing)
        self._is_read = framing == Length(0)
        self._is_invalid = isinstance(framing, Unclear)

    def read(
        self, max_bytes: int, buffer: buffers.Buffer
    ) -> bytes | failures.Failure:
        """Return the body, unless it is larger or its end doesn't come.

        :param buffer: room that the body takes; a length that is named takes
            all of it at once
        """
        match self._framing:
            case Length(size_bytes=0):
                return b''
            case Length(size_bytes=size) if size > max_bytes:
                return _too_large(max_bytes)
            case Unclear(detail=detail):
                return _invalid(f'the end of the body is unclear: {detail}')
        content = io.BytesIO()
        try:
            if isinstance(self._framing, Length):
                buffer.grow(self._framing.size_bytes)
                buffer.is_complete = True
            self._ask_for_it()
            for piece in self._pieces:
                if content.tell() + len(piece) > max_bytes:
                    return _too_large(max_bytes)
                if not buffer.is_complete:
                    buffer.grow(len(piece))
                content.write(piece)
        except buffers.BufferFull as error:
            return failures.Failure(
                failures.Reason.OVERLOADED,
                'request.body',
                detail=str(error),
                retry_after=RETRY_AFTER_SECONDS,
            )
        except (OSError, _InvalidBodyError) as error:
            self._is_invalid = True
            return _invalid(str(error))
        self._is_read = True
        buffer.is_complete = True
        return content.getvalue()

    def _ask_for_it(self) -> None:
        if self._invite:
            self._invite()
            self._invite = None

    @property
    def has_near_end(self) -> bool:
        """Whether the next request can be found by dropping what is left."""
        if self._is_invalid or self._invite:
            return False
        match self._framing:
            case Length(size_bytes=size):
                return size <= MAX_DROPPED_BYTES
        return True

    def drop(self, connection: socket.socket) -> None:
        """Drop what is left, after an answer that didn't need it.

        A connection with unread bytes is reset when it is closed, and the
        caller may lose the answer.

        :raises UnreadBodyError: if the connection can't be used any longer
        """
        if self._is_read:
            return
        with eventlet.Timeout(DROP_SECONDS, False):
            try:
                if self.has_near_end:
                    self._is_read = _drop(self._pieces)
                else:
                    connection.shutdown(socket.SHUT_WR)
                    _drop(_read_to_end(self._stream))
            except (OSError, _InvalidBodyError) as error:
                raise UnreadBodyError(str(error)) from None
        if not self._is_read:
            raise UnreadBodyError('the end of the body has not come')


def from_environ(environ: dict) -> Body:
    """Return the body of a WSGI request.

    The WSGI server reads nothing of it afterwards.
    """
    source = environ['eventlet.input']
    framing = find_framing(environ['headers_raw'])
    _take_over(source)
    if not source.should_send_hundred_continue:
        return Body(source.rfile, framing)

    def invite() -> None:
        # Sends an interim response, although it reads nothing.
        source.read(0)
        _take_over(source)

    return Body(source.rfile, framing, invite)


def _take_over(source: object) -> None:
    """Mark all of the WSGI server's input as read."""
    source.position = source.content_length or 0
    source.chunk_length = 0


def _too_large(max_bytes: int) -> failures.Failure:
    return failures.Failure(
        failures.Reason.TOO_LARGE,
        'request.body',
        detail=f'larger than {max_bytes} bytes',
    )


def _invalid(detail: str) -> failures.Failure:
    return failures.Failure(
        failures.Reason.BAD_REQUEST, 'request.body', detail=detail
    )


def _drop(pieces: Iterator[bytes]) -> bool:
    """Read pieces up to a bound; tell whether it was all of them."""
    dropped_bytes = 0
    paused_bytes = 0
    for piece in pieces:
        dropped_bytes += len(piece)
        if dropped_bytes > MAX_DROPPED_BYTES:
            return False
        if dropped_bytes - paused_bytes >= PIECE_BYTES:
            # Reads of what has arrived already don't let others run.
            eventlet.sleep(0)
            paused_bytes = dropped_bytes
    return True


def _read_to_end(stream: io.BufferedIOBase) -> Iterator[bytes]:
    """Yield what comes until the connection ends."""
    while piece := stream.read1(PIECE_BYTES):
        yield piece


def _read_pieces(
    stream: io.BufferedIOBase, framing: Framing
) -> Iterator[bytes]:
    """Yield a body piece by piece, and nothing that follows it.

    :raises _InvalidBodyError: if its end doesn't come
    """
    match framing:
        case Length(size_bytes=size):
            yield from _read_exactly(stream, size)
        case Chunks():
            while size := _read_chunk_size(stream):
                yield from _read_exactly(stream, size)
                if stream.read(2) != b'\r\n':
                    raise _InvalidBodyError('a chunk does not end with a line')
            _read_trailers(stream)


def _read_exactly(stream: io.BufferedIOBase, size: int) -> Iterator[bytes]:
    left = size
    while left:
        wanted = min(left, PIECE_BYTES)
        piece = stream.read(wanted)
        if len(piece) < wanted:
            raise _InvalidBodyError(
                f'the body ends {left - len(piece)} bytes early'
            )
        left -= wanted
        yield piece


def _read_chunk_size(stream: io.BufferedIOBase) -> int:
    line = stream.readline(MAX_SIZE_LINE_BYTES)
    found = _CHUNK_SIZE.fullmatch(line)
    if not found:
        raise _InvalidBodyError(f'invalid size of a chunk: {line[:20]!r}')
    return int(found[1], 16)


def _read_trailers(stream: io.BufferedIOBase) -> None:
    left = MAX_TRAILER_BYTES
    while (line := stream.readline(left)) != b'\r\n':
        left -= len(line)
        if not line.endswith(b'\r\n'):
            raise _InvalidBodyError('the trailers are cut or too large')
