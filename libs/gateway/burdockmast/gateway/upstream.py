"""One request to one backend server, on a connection of its own.

Connections are not reused: excess bytes from a server, or a kept-alive
connection that gets out of step, must not affect another request.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import errno
import http.client
import math
import socket

import eventlet
from eventlet import greenio
from eventlet import hubs
from eventlet.greenio import base as greenio_base
import urllib3
import urllib3.exceptions
import urllib3.util

from burdockmast.base import addresses
from burdockmast.base import failures
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import buffers
from burdockmast.gateway import busy_readers
from burdockmast.gateway import interfaces
from burdockmast.replies import connections
from burdockmast.replies import grammar

# A live server accepts a connection within 1 ms plus a round trip.
CONNECT_TIMEOUT_SECONDS = 0.25
READ_BYTES = 65536
# Most bytes that are received until a read of the body returns data: chunk
# extensions and trailers count as well.
MAX_BYTES_PER_READ = 1048576
# Reads in a row that found data, after which other tasks run.
MAX_IMMEDIATE_READS = 8
# Longest turn of a reader that is counted; it may have waited in between.
MAX_TURN_SECONDS = 0.01
# How often a wait for a server that sends nothing is reconsidered.
SILENCE_RECHECK_SECONDS = 0.1
# Time for which data that has come is still read after the deadline.
LATE_READ_SECONDS = 0.2

# Step of a request that was not sent, which says nothing about its server.
NOT_SENT_STEP = 'backend.not_sent'

CONNECTION_ERRORS = (
    OSError,
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    ValueError,
)

# Turns of all readers of this process.
BUSY_READERS = busy_readers.Schedule()


class IncompleteReply(Exception):
    """The reply ended too early or its body is too large."""


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The status line and headers of a reply."""

    status: int
    phrase: str
    headers: list[tuple[str, str]]
    metadata: interfaces.ReplyMetadata


class BoundedSocket(greenio.GreenSocket):
    """A socket whose reads are bounded in time and size.

    A server in trouble may send bytes without end that are no reply, at full
    speed or one at a time. Timeouts of a single ``recv`` don't end that, and a
    task that always finds data never lets other tasks run.

    Unlike eventlet's own socket, it raises an error when the connection is
    reset, so that a truncated reply without a length does not look complete.

    A timeout is only raised if the socket has nothing: after a pause of the
    gateway, the event loop calls expired timers before it looks at sockets.

    :ivar deadline: monotonic seconds until which sends and reads may go on
    :ivar bytes_left: that may still be received
    :ivar has_ended: the server has closed the connection
    :ivar should_keep_waiting: called after the deadline; if it returns true,
        reads go on. ``TimeoutError`` is not raised in that case, because after
        an error the response can't be read any further.
    """

    deadline: float = math.inf
    bytes_left: int = MAX_BYTES_PER_READ
    has_ended: bool = False
    recheck_seconds: float = SILENCE_RECHECK_SECONDS
    should_keep_waiting: Callable[[], bool] | None = None
    _immediate_reads: int = 0
    _turn_began_at: float = 0.0
    _late_since: float = math.inf
    _error: OSError | None = None

    def connect(self, address: tuple[str, int]) -> None:
        """Connect within the socket's timeout.

        :raises TimeoutError: if the connection is not made by then
        """
        try:
            super().connect(address)
        except TimeoutError:
            found = greenio_base.socket_connect(self.fd, address)
            if found is None:
                raise

    def sendall(self, data: bytes, flags: int = 0) -> None:
        """Send ``data``, or what the server takes of it before it replies.

        An error is raised by reads, after what the server has replied.

        :raises TimeoutError: after the deadline
        """
        left = memoryview(data)
        try:
            while left:
                if timers.now() >= self.deadline:
                    raise TimeoutError('the request is not sent in time')
                try:
                    left = left[self.fd.send(left, flags) :]
                except BlockingIOError:
                    if self.is_readable():
                        return
                    self._wait_to_send()
        except ConnectionError as error:
            self._error = error

    def is_readable(self) -> bool:
        """Return whether there is data to read, an end or an error."""
        try:
            self.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except ConnectionError as error:
            self._error = error
        return True

    def _wait_to_send(self) -> None:
        seconds = min(self.deadline - timers.now(), SILENCE_RECHECK_SECONDS)
        with contextlib.suppress(TimeoutError):
            hubs.trampoline(
                self.fd,
                write=True,
                timeout=max(0.0, seconds),
                timeout_exc=TimeoutError('not sent yet'),
            )

    def recv_into(
        self, buffer: bytearray, nbytes: int = 0, flags: int = 0
    ) -> int:
        """Receive into ``buffer``.

        :raises OSError: if the connection is reset, or too much was received
        :raises TimeoutError: after the deadline
        """
        if self.bytes_left <= 0:
            raise OSError(errno.EMSGSIZE, 'more bytes than a reply may have')
        while True:
            is_late = self._is_late()
            try:
                received = self.fd.recv_into(buffer, nbytes, flags)
            except BlockingIOError:
                if is_late:
                    self._extend_deadline()
                self._wait()
                continue
            if not received and self._error is not None:
                raise self._error
            self.bytes_left -= received
            self.has_ended = received == 0
            self._let_others_run()
            return received

    def _is_late(self) -> bool:
        """Return whether the deadline is over, and end what goes on after it.

        :raises TimeoutError: if late reads have gone on for too long
        """
        now = timers.now()
        if now < self.deadline:
            self._late_since = math.inf
            return False
        self._late_since = min(self._late_since, now)
        if now < self._late_since + LATE_READ_SECONDS:
            return True
        self._extend_deadline()
        return False

    def _extend_deadline(self) -> None:
        if self.should_keep_waiting is None or not self.should_keep_waiting():
            raise TimeoutError('no complete data within the time limit')
        self.deadline = timers.now() + self.recheck_seconds

    def _wait(self) -> None:
        self._immediate_reads = 0
        seconds = self.deadline - timers.now()
        with contextlib.suppress(TimeoutError):
            hubs.trampoline(
                self.fd,
                read=True,
                timeout=None if math.isinf(seconds) else max(0.0, seconds),
                timeout_exc=TimeoutError('no data yet'),
            )
        self._turn_began_at = timers.now()

    def _let_others_run(self) -> None:
        """Pause after reads that all found data, until the next turn."""
        self._immediate_reads += 1
        if self._immediate_reads < MAX_IMMEDIATE_READS:
            return
        self._immediate_reads = 0
        now = timers.now()
        pause = BUSY_READERS.pause_after(
            min(now - self._turn_began_at, MAX_TURN_SECONDS)
        )
        eventlet.sleep(max(0.0, min(pause, self.deadline - now)))
        self._turn_began_at = timers.now()


class Exchange:
    """A request and its reply."""

    def __init__(
        self, server: backends.BackendServer, send_before: float = math.inf
    ):
        """Prepare a connection to a server; nothing is sent yet.

        :param send_before: boot time seconds after which nothing is sent
        """
        self.server = server
        self.send_before = send_before
        self._address = addresses.split(server.address)
        self._connection = connections.Connection(*self._address)
        self._response: urllib3.BaseHTTPResponse | None = None
        # Kept here as HTTPConnection drops its reference after the reply head.
        self._sock = BoundedSocket(socket.AF_INET, socket.SOCK_STREAM)

    @property
    def recheck_seconds(self) -> float:
        """Interval at which a wait for a silent server is reconsidered."""
        return self._sock.recheck_seconds

    @recheck_seconds.setter
    def recheck_seconds(self, seconds: float) -> None:
        self._sock.recheck_seconds = seconds

    def send(
        self,
        request: interfaces.CallerRequest,
        headers: list[tuple[str, str]],
        deadline: float = math.inf,
    ) -> failures.Failure | None:
        """Connect and send a caller's request.

        :param deadline: monotonic time
        """
        return self.send_bytes(
            request.method, request.target, headers, request.body, deadline
        )

    def send_bytes(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        deadline: float = math.inf,
    ) -> failures.Failure | None:
        """Connect and send a request of any kind.

        :param deadline: monotonic time
        """
        self._sock.deadline = deadline
        try:
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sock.settimeout(CONNECT_TIMEOUT_SECONDS)
            self._sock.connect(self._address)
            self._connection.sock = self._sock
        except ConnectionRefusedError as error:
            return self._failure('connect', outcomes.Outcome.NOT_RUN, error)
        except CONNECTION_ERRORS as error:
            return failures.Failure(
                failures.Reason.PEER_SILENT,
                'backend.connect',
                self.server.id,
                str(error),
            )
        if timers.boottime_now() >= self.send_before:
            return failures.Failure(
                failures.Reason.OVERLOADED,
                NOT_SENT_STEP,
                self.server.id,
                'the retry was allowed too long ago',
                retry_after=0.0,
            )
        sent = urllib3.HTTPHeaderDict()
        for name, value in headers:
            sent.add(name, value)
        sent.add('Connection', 'close')
        for name in ('User-Agent', 'Accept-Encoding'):
            if name not in sent:
                sent.add(name, urllib3.util.SKIP_HEADER)
        try:
            self._connection.request(
                method,
                target,
                body=body or None,
                headers=sent,
                preload_content=False,
                decode_content=False,
            )
        except TimeoutError:
            return self._deadline_failure('send', 'not sent in time')
        except CONNECTION_ERRORS as error:
            return self._failure('send', outcomes.Outcome.UNKNOWN, error)
        return None

    def wait_for_reply(self, seconds: float) -> bool:
        """Wait for the first bytes of the reply; return false on a timeout."""
        try:
            hubs.trampoline(
                self._sock.fd,
                read=True,
                timeout=max(0.0, seconds),
                timeout_exc=TimeoutError('no reply within the time limit'),
            )
        except TimeoutError:
            return self._sock.is_readable()
        return True

    def read_head(
        self,
        request: str,
        deadline: float,
        header_codec: interfaces.HeaderCodec,
        should_keep_waiting: Callable[[], bool] | None = None,
    ) -> Head | failures.Failure:
        """Read the status line and headers of the reply.

        :param request: id that the reply must echo if it has one
        :param deadline: monotonic time
        :param should_keep_waiting: called after ``deadline``; true waits on
        """
        try:
            self._set_bounds(deadline, grammar.MAX_HEAD_BYTES)
            self._sock.should_keep_waiting = should_keep_waiting
            self._response = self._connection.getresponse()
        except TimeoutError:
            return self._deadline_failure(
                'head', 'no reply within the time limit'
            )
        except CONNECTION_ERRORS as error:
            return self._failure('head', outcomes.Outcome.UNKNOWN, error)
        headers = list(self._response.headers.items())
        metadata = header_codec.read_reply(headers)
        if metadata.request and metadata.request != request:
            return self._failure(
                'head',
                outcomes.Outcome.UNKNOWN,
                'the reply belongs to another request',
            )
        return Head(
            self._response.status,
            self._response.reason or 'Answered',
            headers,
            metadata,
        )

    @property
    def is_framed(self) -> bool:
        """Whether chunks or a length mark the end of the body."""
        response = self._response
        return response.chunked or response.length_remaining is not None

    def read_some(
        self,
        deadline: float,
        should_keep_waiting: Callable[[], bool] | None = None,
    ) -> bytes:
        """Return the next bytes of the body, empty at its end.

        :param should_keep_waiting: called after ``deadline``; true waits on
        :raises TimeoutError: after ``deadline``
        :raises IncompleteReply: if the connection breaks
        """
        try:
            self._set_bounds(deadline, MAX_BYTES_PER_READ)
            self._sock.should_keep_waiting = should_keep_waiting
            data = self._response.read1(READ_BYTES)
        except TimeoutError:
            raise
        except urllib3.exceptions.ReadTimeoutError:
            raise TimeoutError('no data within the time limit') from None
        except CONNECTION_ERRORS as error:
            raise IncompleteReply(str(error)) from None
        if not data and self._response.length_remaining:
            raise IncompleteReply(
                'the body is shorter than its Content-Length'
            )
        return data

    def read_body(
        self,
        deadline: float,
        limit: int,
        buffer: buffers.Buffer | None = None,
    ) -> bytes:
        """Return the complete body.

        :param buffer: room that the body takes
        :raises TimeoutError: if it is not complete before ``deadline``
        :raises IncompleteReply: if the connection breaks, or the body is too
            large
        """
        parts = []
        size = 0
        while True:
            data = self.read_some(deadline)
            if not data:
                if buffer is not None:
                    buffer.is_complete = True
                return b''.join(parts)
            size += len(data)
            if buffer is not None:
                _grow(buffer, len(data))
            if size > limit:
                raise IncompleteReply(f'the body is larger than {limit} bytes')
            parts.append(data)

    def close(self) -> None:
        """Close the connection, which cancels the request if it still runs."""
        if self._response is not None:
            self._response.close()
        self._connection.close()
        self._sock.close()

    def _set_bounds(self, deadline: float, most_bytes: int) -> None:
        self._sock.deadline = deadline
        self._sock.bytes_left = most_bytes

    def unknown_outcome(self, step: str, detail: str) -> failures.Failure:
        """Return a failure that leaves open whether the request ran."""
        return self._failure(step, outcomes.Outcome.UNKNOWN, detail)

    def refusal(self, head: Head, retry_after: float) -> failures.Failure:
        """Return a failure for a request that the server did not run."""
        return failures.Failure(
            failures.Reason.ENGINE_REFUSED,
            'backend.head',
            head.metadata.refused_by or self.server.id,
            f'status {head.status}',
            retry_after=retry_after,
        )

    def _deadline_failure(self, step: str, detail: str) -> failures.Failure:
        return failures.Failure(
            failures.Reason.DEADLINE,
            f'backend.{step}',
            self.server.id,
            detail,
            outcomes.Outcome.UNKNOWN,
        )

    def _failure(
        self, step: str, outcome: outcomes.Outcome, error: object
    ) -> failures.Failure:
        return failures.Failure(
            failures.Reason.ENGINE_LOST,
            f'backend.{step}',
            self.server.id,
            str(error) or type(error).__name__,
            outcome,
        )


def _grow(buffer: buffers.Buffer, added_bytes: int) -> None:
    try:
        buffer.grow(added_bytes)
    except buffers.BufferFull as error:
        raise IncompleteReply(str(error)) from None
