"""Reads the bodies of callers' requests, whole or not at all.

A body ends by its length or by its last chunk, never by the end of the
connection.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses
import io
import math
import re
import socket
import typing

import eventlet

from burdockmast.base import failures
from burdockmast.base import timers
from burdockmast.gateway import buffers
from burdockmast.gateway.intake import held_bytes
from burdockmast.gateway.intake import progress
from burdockmast.gateway.intake import shared
from burdockmast.gateway.intake import work_budget

# Most bytes that are read at once. Each reader that waits holds as many.
PIECE_BYTES = 32 * 1024
# Longest line with the size of a chunk.
MAX_SIZE_LINE_BYTES = 1024
# Longest trailer section after the last chunk.
MAX_TRAILER_BYTES = 16 * 1024
# Most bytes that are read and dropped after the refusal of a request.
MAX_DROPPED_BYTES = 64 * 1024 * 1024
# Most bytes that are read ahead of a body in small chunks. A caller that has
# left may still have as much in the send buffer of its machine.
READ_AHEAD_BYTES = 4 * 1024 * 1024
# As much is read ahead at a time.
READ_AHEAD_STEP_BYTES = 1024 * 1024
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


class _ExcessiveFramingError(_InvalidBodyError):
    """The chunks of a body are too small."""


class _CallerLeftError(_InvalidBodyError):
    """The caller closed its connection within a body."""


class Received(typing.Protocol):
    """What a caller has sent, with the limits on reads that wait.

    :ivar until: time at which they fail
    :ivar stall_seconds: longest wait of a single one
    :ivar has_ended: the caller sends nothing more
    :ivar ahead_bytes: that were read from the connection ahead of time
    """

    until: float
    stall_seconds: float
    has_ended: bool
    ahead_bytes: int

    def read_ahead(self, max_bytes: int) -> int:
        """Read what has arrived, and return how many bytes it is."""

    def drop_ahead(self) -> None:
        """Drop what was read ahead."""

    def interrupt(self) -> None:
        """Let the read that waits fail, or the next one that would."""

    def clear_interrupt(self) -> None:
        """Let reads wait again."""


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
        intake: shared.Intake | None = None,
        received: Received | None = None,
    ):
        """Create a body of which nothing has been read.

        :param stream: what the caller sends after the head
        :param invite: asks the caller for the body, None if it doesn't wait
            to be asked
        :param intake: shared by all bodies, None if there is only one
        :param received: what ``stream`` reads from, if reads wait
        """
        self._intake = intake or shared.Intake()
        self._received = received
        self._work = self._intake.new_work()
        self._stream = stream
        self._framing = framing
        self._invite = invite
        self._content: held_bytes.Content | None = None
        self._max_ahead_bytes = 0
        self._is_read = framing == Length(0)
        self._pieces = self._read_pieces()
        self._is_invalid = isinstance(framing, Unclear)

    def read(
        self, max_bytes: int, buffer: buffers.Buffer
    ) -> bytes | failures.Failure:
        """Return the body, unless it is larger or its end doesn't come.

        :param buffer: room that the body takes; a length that is named takes
            all of it at once. If it is given up, the bytes are freed and the
            read ends, whatever the caller sends
        """
        match self._framing:
            case Length(size_bytes=0):
                return b''
            case Length(size_bytes=size) if size > max_bytes:
                return _too_large(max_bytes)
            case Unclear(detail=detail):
                return _invalid(f'the end of the body is unclear: {detail}')
        content = held_bytes.Content(buffer, self._interrupt)
        try:
            with self._intake.waiting(buffer):
                return self._read_into(content, max_bytes)
        except buffers.BufferFull as error:
            return _overloaded(str(error))
        except progress.TooSlow as error:
            self._is_invalid = True
            self._intake.count('too_slow')
            return failures.Failure(
                failures.Reason.TOO_SLOW, 'request.body', detail=str(error)
            )
        except (OSError, _InvalidBodyError) as error:
            self._is_invalid = True
            if buffer.is_given_up:
                return _overloaded('another body needed the room')
            match error:
                case _ExcessiveFramingError():
                    self._intake.count('excessive_framing')
                case _CallerLeftError():
                    self._intake.count('callers_left')
            return _invalid(str(error))
        finally:
            self._content = None
            content.close()
            if self._received:
                self._received.clear_interrupt()

    def _read_into(
        self, content: held_bytes.Content, max_bytes: int
    ) -> bytes | failures.Failure:
        if isinstance(self._framing, Length):
            content.reserve(self._framing.size_bytes)
        elif self._received:
            self._content = content
            # A single body within its limit is served, so that it must fit.
            self._max_ahead_bytes = max(
                0, min(READ_AHEAD_BYTES, content.limit_bytes - max_bytes)
            )
        self._ask_for_it()
        pace = self._intake.new_progress()
        with self._limit_waits(pace):
            for piece in self._pieces:
                if content.size_bytes + len(piece) > max_bytes:
                    return _too_large(max_bytes)
                content.add(piece)
                pace.add(len(piece), timers.now())
                if self._received:
                    self._received.until = pace.until
        if self._content:
            # Pipelined requests take room of this one until it is answered.
            content.hold_ahead(self._received.ahead_bytes)
        return content.complete()

    def _look_ahead(self) -> None:
        """Check after a pause whether the caller of a chunked body has left.

        Parsing small chunks up to the end of the connection takes much longer
        than reading them.

        :raises _CallerLeftError: if it has
        """
        received, content = self._received, self._content
        if received is None or content is None:
            return
        left = int(self._max_ahead_bytes) - received.ahead_bytes
        count = received.read_ahead(min(left, READ_AHEAD_STEP_BYTES))
        if received.has_ended:
            raise _CallerLeftError('the caller disconnected')
        self._work.add_read_ahead(count)
        content.hold_ahead(received.ahead_bytes)

    @contextlib.contextmanager
    def _limit_waits(self, pace: progress.Progress) -> Iterator[None]:
        received = self._received
        if received is None:
            yield
            return
        stall_seconds = received.stall_seconds
        received.until, received.stall_seconds = pace.until, math.inf
        try:
            yield
        finally:
            received.until, received.stall_seconds = math.inf, stall_seconds

    def _read_pieces(self) -> Iterator[bytes]:
        # A generator that has failed ends like one that is complete.
        yield from _read_pieces(
            self._stream, self._framing, self._work, self._look_ahead
        )
        self._is_read = True

    def _interrupt(self) -> None:
        if self._received:
            if self._received.ahead_bytes:
                # Nothing that follows the gap may be taken for a request.
                self._is_invalid = True
            self._received.drop_ahead()
            self._received.interrupt()

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
        return not self._work.has_many_chunks

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
                    _drop(self._pieces, self._work)
                else:
                    connection.shutdown(socket.SHUT_WR)
                    _drop(_read_to_end(self._stream, self._work))
            except (OSError, _InvalidBodyError) as error:
                raise UnreadBodyError(str(error)) from None
        if not self._is_read:
            raise UnreadBodyError('the end of the body has not come')


def from_environ(environ: dict, intake: shared.Intake) -> Body:
    """Return the body of a WSGI request.

    The WSGI server reads nothing of it afterwards.

    :param intake: shared by all requests of the process
    """
    source = environ['eventlet.input']
    framing = find_framing(environ['headers_raw'])
    _take_over(source)
    if not source.should_send_hundred_continue:
        return Body(
            source.rfile, framing, intake=intake, received=source.rfile.raw
        )

    def invite() -> None:
        # Sends an interim response, although it reads nothing.
        source.read(0)
        _take_over(source)

    return Body(source.rfile, framing, invite, intake, source.rfile.raw)


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


def _overloaded(detail: str) -> failures.Failure:
    return failures.Failure(
        failures.Reason.OVERLOADED,
        'request.body',
        detail=detail,
        retry_after=RETRY_AFTER_SECONDS,
    )


def _invalid(detail: str) -> failures.Failure:
    return failures.Failure(
        failures.Reason.BAD_REQUEST, 'request.body', detail=detail
    )


def _drop(
    pieces: Iterator[bytes], work: work_budget.WorkBudget | None = None
) -> None:
    """Read pieces up to a bound.

    :param work: of a body that is read only while it has few chunks
    """
    dropped_bytes = 0
    for piece in pieces:
        dropped_bytes += len(piece)
        if dropped_bytes > MAX_DROPPED_BYTES:
            return
        if work and work.has_many_chunks:
            return


def _let_others_run(
    work: work_budget.WorkBudget,
    after_pause: Callable[[], object] | None = None,
) -> None:
    """End the turn of a body that has used up its work.

    Reads of what has arrived already don't let others run.
    """
    pause = work.pause_seconds()
    if pause is not None:
        eventlet.sleep(pause)
        if after_pause:
            after_pause()


def _read_to_end(
    stream: io.BufferedIOBase, work: work_budget.WorkBudget
) -> Iterator[bytes]:
    """Yield what comes until the connection ends."""
    while piece := stream.read1(PIECE_BYTES):
        work.add_bytes(len(piece))
        _let_others_run(work)
        yield piece


def _read_pieces(
    stream: io.BufferedIOBase,
    framing: Framing,
    work: work_budget.WorkBudget,
    after_pause: Callable[[], object],
) -> Iterator[bytes]:
    """Yield a body piece by piece, and nothing that follows it.

    :param after_pause: called after each pause of a body in chunks
    :raises _InvalidBodyError: if its end doesn't come
    """
    match framing:
        case Length(size_bytes=size):
            yield from _read_exactly(stream, size, work)
        case Chunks():
            yield from _read_chunks(stream, work, after_pause)
            _read_trailers(stream)


def _read_chunks(
    stream: io.BufferedIOBase,
    work: work_budget.WorkBudget,
    after_pause: Callable[[], object],
) -> Iterator[bytes]:
    """Yield the content of all chunks, and read the size of the last one."""
    while True:
        if found := _read_buffered_chunks(stream):
            content = b''.join(found)
            work.add_chunks(len(found))
            work.add_bytes(len(content))
            _let_others_run(work, after_pause)
            yield content
        elif size := _read_chunk_size(stream):
            work.add_chunks(1)
            yield from _read_exactly(stream, size, work)
            if stream.read(2) != b'\r\n':
                raise _InvalidBodyError('a chunk does not end with a line')
        else:
            return
        if work.has_excessive_framing:
            raise _ExcessiveFramingError('the chunks are too small')


def _read_buffered_chunks(stream: io.BufferedIOBase) -> list[bytes]:
    """Read the sound chunks that are buffered whole, but for the last one.

    Reads of each one alone would cost several times as much.
    """
    buffered = stream.peek()
    found = []
    position = 0
    while line := _CHUNK_SIZE.match(buffered, position):
        start = line.end()
        end = start + int(line[1], 16)
        if (
            start - position > MAX_SIZE_LINE_BYTES
            or end == start
            or buffered[end : end + 2] != b'\r\n'
        ):
            break
        found.append(buffered[start:end])
        position = end + 2
    stream.read(position)
    return found


def _read_exactly(
    stream: io.BufferedIOBase, size: int, work: work_budget.WorkBudget
) -> Iterator[bytes]:
    left = size
    while left:
        # What has come is yielded at once, so that it is accounted for.
        piece = stream.read1(min(left, PIECE_BYTES))
        if not piece:
            raise _InvalidBodyError(f'the body ends {left} bytes early')
        left -= len(piece)
        work.add_bytes(len(piece))
        _let_others_run(work)
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
