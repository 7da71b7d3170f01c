"""Callers' connections: what is read from each, and when it is closed.

What has arrived is read and answered before its connection is closed, also
after a pause of the process or at a planned stop.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
import http
import io
import math
import random
import socket
import typing

import eventlet
import eventlet.greenio
import eventlet.hubs
import eventlet.semaphore
import eventlet.wsgi
import greenlet

from burdockmast.base import addresses
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import timers
from burdockmast.gateway import bodies
from burdockmast.gateway import buffers
from burdockmast.gateway import config
from burdockmast.gateway import request_target
from burdockmast.gateway.intake import connection_limits
from burdockmast.gateway.intake import heads
from burdockmast.gateway.intake import progress
from burdockmast.gateway.intake import shared
from burdockmast.limits import retry_schedule

LOG = logs.get('connections')

LISTEN_BACKLOG = 1024
# What the kernel holds of each connection that is not read. Its own bound is
# several megabytes, and what a caller has left there is still read after it
# has disconnected.
RECEIVE_BUFFER_BYTES = 128 * 1024
ACCEPT_RETRY_SECONDS = 0.1
# Longest stall of a connection while a request is read or answered.
STALL_SECONDS = 20.0
# Added to the idle timeout, since a caller's own clock starts when the answer
# has reached it and its next request is under way for a while too.
IDLE_MARGIN_SECONDS = 1.0
# At a stop, the first request of a new connection is awaited for this long.
FIRST_REQUEST_SECONDS = 1.0
# What a caller still sends after its answer is read and dropped for this long,
# and up to this size: the kernel would else reset the connection, and the
# caller might not see its answer.
LINGER_SECONDS = 5.0
LINGER_STALL_SECONDS = 1.0
LINGER_BYTES = 16 * 1024 * 1024
READ_BYTES = 65536
CLOSE_HEADER = ('Connection', 'close')


class Step(enum.Enum):
    """What a connection without a request under way does next."""

    READ = 'read'
    WAIT = 'wait'
    CLOSE = 'close'


@dataclasses.dataclass(frozen=True, slots=True)
class IdleConnection:
    """A connection without a request under way.

    :ivar is_new: no request has come on it yet
    """

    since: float
    is_new: bool

    def closes_at(
        self, limits: config.CallerLimits, is_closing: bool
    ) -> float:
        """Return when it is closed if nothing arrives.

        :param is_closing: the process is about to end
        """
        if not is_closing:
            seconds = limits.idle_timeout_seconds + IDLE_MARGIN_SECONDS
            return self.since + seconds
        if self.is_new:
            return self.since + FIRST_REQUEST_SECONDS
        return -math.inf


def next_step(has_unread: bool, closes_at: float, now: float) -> Step:
    """Return the next step of a connection without a request under way.

    :param has_unread: bytes or the end of the connection wait to be read
    """
    if has_unread:
        return Step.READ
    return Step.WAIT if now < closes_at else Step.CLOSE


class ReadInterrupted(OSError):
    """A read ended because what it would return is not needed any more."""


class ReceivedBytes(io.RawIOBase):
    """What a caller has sent.

    Time is over only when nothing has arrived by then: after a pause of the
    process, the event loop fires timers before it looks at sockets.

    :ivar has_ended: the caller sends nothing more
    :ivar ahead_bytes: that were read from the connection ahead of time
    :ivar may_wait: reads that find nothing wait
    :ivar until: time at which reads fail
    :ivar stall_seconds: longest wait of a single read
    """

    def __init__(self, sock: eventlet.greenio.GreenSocket):
        """Read from a connection."""
        self.has_ended = False
        self.may_wait = True
        self.until = math.inf
        self.stall_seconds = STALL_SECONDS
        self.ahead_bytes = 0
        self._ahead: collections.deque[memoryview] = collections.deque()
        self._sock = sock
        self._waiting: greenlet.greenlet | None = None
        self._is_interrupted = False

    def readable(self) -> bool:
        """Tell that this can be read."""
        return True

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read what has arrived, 0 bytes at the end of the connection.

        :raises progress.TooSlow: if nothing has arrived in time
        :raises ReadInterrupted: after ``interrupt``, if nothing has arrived
        """
        if self._ahead:
            return self._take_ahead(buffer)
        if self.has_ended:
            return 0
        until = None
        while True:
            try:
                count = self._sock.fd.recv_into(buffer)
                self.has_ended = not count
                return count
            except (BlockingIOError, InterruptedError):
                pass
            except ConnectionError:
                self.has_ended = True
                return 0
            if not self.may_wait:
                return None
            if self._is_interrupted:
                raise ReadInterrupted('the read was interrupted')
            now = timers.now()
            if until is None:
                until = min(self.until, now + self.stall_seconds)
            if now >= until:
                raise progress.TooSlow('the caller sent nothing in time')
            self.wait(until - now)

    def _take_ahead(self, buffer: typing.Any) -> int:
        first = self._ahead[0]
        count = min(len(first), len(buffer))
        buffer[:count] = first[:count]
        self.ahead_bytes -= count
        if count < len(first):
            self._ahead[0] = first[count:]
        else:
            self._ahead.popleft()
        return count

    def read_ahead(self, max_bytes: int) -> int:
        """Read what has arrived, to see whether the caller has left.

        The end of the connection is behind all that the caller has sent.

        :returns: number of bytes, which later reads return first
        """
        count = 0
        while count < max_bytes and not self.has_ended:
            try:
                piece = self._sock.fd.recv(min(READ_BYTES, max_bytes - count))
            except (BlockingIOError, InterruptedError):
                break
            except ConnectionError:
                piece = b''
            if not piece:
                self.has_ended = True
                break
            count += len(piece)
            self.ahead_bytes += len(piece)
            self._ahead.append(memoryview(piece))
        return count

    def drop_ahead(self) -> None:
        """Drop what was read ahead; no further request may be read."""
        self._ahead.clear()
        self.ahead_bytes = 0

    def wait(self, seconds: float) -> None:
        """Wait until something arrives, time is over or ``wake`` is called."""
        hub = eventlet.hubs.get_hub()
        self._waiting = greenlet.getcurrent()
        listener = hub.add(
            hub.READ, self._sock.fileno(), self._resume, self._resume, None
        )
        timer = hub.schedule_call_global(seconds, self._resume)
        try:
            hub.switch()
        finally:
            self._waiting = None
            timer.cancel()
            hub.remove(listener)

    def wake(self) -> None:
        """End the wait that is under way, if any."""
        eventlet.hubs.get_hub().schedule_call_global(0, self._resume)

    def interrupt(self) -> None:
        """Let the read that waits fail, or the next one that would."""
        self._is_interrupted = True
        self.wake()

    def clear_interrupt(self) -> None:
        """Let reads wait again."""
        self._is_interrupted = False

    def _resume(self, *_: object) -> None:
        task, self._waiting = self._waiting, None
        if task is not None:
            task.switch()


class Protocol(request_target.Protocol):
    """Reads and answers the requests of one connection, one by one."""

    server: '_Server'

    def setup(self) -> None:
        """Prepare to read the first request."""
        super().setup()
        self.rfile.close()
        self._received = ReceivedBytes(self.connection)
        self.rfile = io.BufferedReader(self._received)
        self._is_new = True
        self._has_begun = False
        self._head: heads.HeldHead | None = None
        self.server.protocols.add(self)

    def wake(self) -> None:
        """Decide again what to do next, if the connection is idle."""
        self._received.wake()

    def handle_one_request(self) -> None:
        """Read and answer a request; its head takes room until then."""
        try:
            super().handle_one_request()
        finally:
            if self._head:
                self._head.close()
                self._head = None

    def _read_request_line(self) -> bytes:
        try:
            if not self._await_request():
                return b''
            limits = self.server.limits()
            # The WSGI server tells callers about it.
            self.server.keepalive = limits.idle_timeout_seconds
            self._received.until = timers.now() + limits.header_timeout_seconds
            self._head = heads.HeldHead(
                self.server.intake.pool, self._evict_head
            )
            self._head.hold_ahead(self._received.ahead_bytes)
            line = heads.HeadReader(
                self.rfile, limits.max_header_bytes, self._head
            ).readline()
            self._has_begun = True
            return line
        except heads.HeadTooLarge:
            self._refuse(http.HTTPStatus.REQUEST_URI_TOO_LONG)
        except TimeoutError:
            self._refuse(http.HTTPStatus.REQUEST_TIMEOUT)
        except (OSError, buffers.BufferFull):
            if self._head and self._head.is_evicted:
                self._refuse_evicted()
        except heads.CallerLeft:
            pass
        return b''

    def _await_request(self) -> bool:
        """Wait for a request; return False once the connection must end."""
        idle = IdleConnection(timers.now(), self._is_new)
        self._has_begun = False
        try:
            while True:
                closes_at = idle.closes_at(
                    self.server.limits(), self.server.is_closing
                )
                if self.server.needs_room:
                    closes_at = -math.inf
                now = timers.now()
                match next_step(self._has_unread(), closes_at, now):
                    case Step.READ:
                        self._is_new = False
                        return True
                    case Step.WAIT:
                        self.server.idle[self] = None
                        self._received.wait(closes_at - now)
                    case Step.CLOSE:
                        # One connection is closed for each new one.
                        self.server.needs_room = False
                        return False
        finally:
            self.server.idle.pop(self, None)

    def _has_unread(self) -> bool:
        self._received.may_wait = False
        try:
            return bool(self.rfile.peek(1)) or self._received.has_ended
        finally:
            self._received.may_wait = True

    def parse_request(self) -> bool:
        """Read the rest of a request's head; tell whether it is sound."""
        # The caller of this method restores the attribute.
        self.rfile = heads.HeadReader(
            self.rfile.fp, self.server.limits().max_header_bytes, self._head
        )
        try:
            is_sound = super().parse_request()
            self._head.complete()
            return is_sound
        except heads.HeadTooLarge:
            self._refuse(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        except TimeoutError:
            self._refuse(http.HTTPStatus.REQUEST_TIMEOUT)
        except (heads.CallerLeft, ReadInterrupted, buffers.BufferFull):
            self.close_connection = True
            if self._head.is_evicted:
                self._refuse_evicted()
        finally:
            self._received.until = math.inf
        return False

    def _evict_head(self) -> None:
        self._received.drop_ahead()
        self._received.interrupt()

    def _refuse_evicted(self) -> None:
        """Refuse a request, not run, as there is no room for its head."""
        self._received.clear_interrupt()
        self.server.intake.count('heads_evicted')
        retry_after = retry_schedule.add_jitter(
            bodies.RETRY_AFTER_SECONDS, self.server.rng
        )
        self._refuse(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            f'Retry-After: {retry_after:.3f}\r\n',
        )

    def _refuse(self, status: http.HTTPStatus, headers: str = '') -> None:
        LOG.info('head of a request refused', extra={'status': status.value})
        self.close_connection = True
        self._has_begun = True
        self.wfile.write(
            f'HTTP/1.1 {status.value} {status.phrase}\r\n'
            f'Connection: close\r\n{headers}Content-Length: 0\r\n\r\n'.encode()
        )

    def handle_one_response(self) -> None:
        """Answer a request; an answer that announces a close gets one."""
        self.application = self._run_application
        super().handle_one_response()

    def _run_application(
        self, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        def start(
            status: str, headers: list[tuple[str, str]], *error: object
        ) -> object:
            if CLOSE_HEADER in headers:
                # The WSGI server sends it again, and closes.
                headers = [pair for pair in headers if pair != CLOSE_HEADER]
                self.close_connection = True
            return start_response(status, headers, *error)

        return self.server.app(environ, start)

    def finish(self) -> None:
        """Close the connection, after a last answer once that was seen."""
        self.server.protocols.discard(self)
        try:
            self.wfile.flush()
            if self._has_begun:
                self._linger()
        except OSError:
            # The caller has left, or went on for too long.
            pass
        super().finish()

    def _linger(self) -> None:
        """Drop what the caller still sends until it closes too."""
        self.connection.shutdown(socket.SHUT_WR)
        self._received.until = timers.now() + LINGER_SECONDS
        self._received.stall_seconds = LINGER_STALL_SECONDS
        buffer = bytearray(READ_BYTES)
        left = LINGER_BYTES
        work = self.server.intake.new_work()
        while left > 0 and (count := self._received.readinto(buffer)):
            left -= count
            work.add_bytes(count)
            pause = work.pause_seconds()
            if pause is not None:
                # Reads of what has arrived already don't let others run.
                eventlet.sleep(pause)


class _Server(eventlet.wsgi.Server):
    """What the connections of a listener share.

    :ivar idle: connections without a request, the oldest first
    :ivar needs_room: a new connection waits until one ends
    """

    def __init__(
        self,
        sock: eventlet.greenio.GreenSocket,
        application: Callable,
        limits: Callable[[], config.CallerLimits],
        intake: shared.Intake,
    ):
        super().__init__(
            sock,
            sock.getsockname(),
            application,
            max_http_version=eventlet.wsgi.DEFAULT_MAX_HTTP_VERSION,
            protocol=Protocol,
            minimum_chunk_size=1,
            log_output=False,
            url_length_limit=math.inf,
            debug=False,
            socket_timeout=STALL_SECONDS,
        )
        self.limits = limits
        self.is_closing = False
        self.protocols: set[Protocol] = set()
        self.intake = intake
        self.idle: dict[Protocol, None] = {}
        self.needs_room = False
        self.rng = random.Random()


class CallerConnections:
    """Accepts connections and serves the requests that come on them."""

    def __init__(
        self,
        address: ids.Address,
        application: Callable,
        limits: Callable[[], config.CallerLimits],
        intake: shared.Intake | None = None,
    ):
        """Listen on an address.

        :param application: the WSGI application that answers the requests
        :param limits: returns those of the configuration in force
        :param intake: limits on connections, the defaults if none are given
        """
        self._intake = intake or shared.Intake()
        self._connections = connection_limits.ConnectionCount(
            self._intake.limits.max_connections,
            self._intake.limits.max_connections_per_address,
        )
        self._listener = eventlet.listen(
            addresses.split(address), backlog=LISTEN_BACKLOG
        )
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._server = _Server(
            self._listener, application, limits, self._intake
        )
        self._room = eventlet.semaphore.Semaphore(self._connections.max_count)
        self._accepting = eventlet.spawn(self._accept)

    @property
    def open_count(self) -> int:
        """Number of connections that were accepted and not closed yet."""
        return self._connections.open_count

    def stop_accepting(self) -> None:
        """Accept the connections that were made so far, and no others."""
        self._accepting.kill()
        # The kernel resets the connections that are left in the backlog.
        self._listener.settimeout(0.0)
        while True:
            try:
                sock, address = self._listener.accept()
            except OSError:
                break
            self._start(eventlet.greenio.GreenSocket(sock), address)
        self._listener.close()

    def close_idle(self) -> None:
        """Close each connection, now or once its request is answered."""
        self._server.is_closing = True
        for protocol in self._server.protocols:
            protocol.wake()

    def _accept(self) -> None:
        while True:
            self._wait_for_room()
            try:
                sock, address = self._listener.accept()
            except OSError as error:
                self._room.release()
                LOG.warning(
                    'accepting a connection failed; retrying',
                    extra={'reason': str(error)},
                )
                eventlet.sleep(ACCEPT_RETRY_SECONDS)
                continue
            if self._connections.is_address_full(address[0]):
                self._room.release()
                self._intake.count('address_limit')
                LOG.warning(
                    'connection closed: too many from one address',
                    extra={'address': address[0]},
                )
                sock.close()
                continue
            self._start(sock, address)

    def _wait_for_room(self) -> None:
        """Wait until a connection may be accepted.

        Once there is a new one, the oldest idle connection is closed for it,
        or the next one that becomes idle.
        """
        if self._room.acquire(blocking=False):
            return
        eventlet.hubs.trampoline(self._listener, read=True)
        self._server.needs_room = True
        oldest = next(iter(self._server.idle), None)
        if oldest is not None:
            oldest.wake()
        self._intake.count('connections_exceeded')
        LOG.warning(
            'too many connections; closing an idle one',
            extra={'open': self.open_count, 'idle': len(self._server.idle)},
        )
        try:
            self._room.acquire()
        finally:
            self._server.needs_room = False

    def _start(
        self, sock: eventlet.greenio.GreenSocket, address: tuple
    ) -> None:
        sock.settimeout(STALL_SECONDS)
        self._connections.add(address[0])
        eventlet.spawn_n(self._serve, sock, address)

    def _serve(
        self, sock: eventlet.greenio.GreenSocket, address: tuple
    ) -> None:
        state = [address, sock, eventlet.wsgi.STATE_IDLE]
        try:
            self._server.process_request(state)
        except OSError as error:
            LOG.info('connection failed', extra={'reason': str(error)})
        finally:
            sock.close()
            self._connections.remove(address[0])
            self._room.release()
