"""One request to one backend server, on a connection of its own.

A server may send bytes that belong to no request, or lose track of a kept
connection; neither can reach another request where none shares one.
"""

from collections.abc import Callable
import dataclasses
import http.client
import socket

from eventlet import greenio
from eventlet import hubs
import urllib3
import urllib3.connection
import urllib3.exceptions
import urllib3.util

from burdockmast.base import addresses
from burdockmast.base import failures
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import interfaces

# Seconds to connect to a live server, which takes 1 ms and a round trip.
CONNECT_SECONDS = 0.25
READ_BYTES = 65536
# Seconds between questions whether to wait on for a silent server.
PATIENCE_SECONDS = 0.2

ERRORS = (
    OSError,
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    ValueError,
)


class Broken(Exception):
    """The connection broke before the end of the reply."""


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head of a reply."""

    status: int
    phrase: str
    headers: list[tuple[str, str]]
    facts: interfaces.ReplyMetadata


class ResetAwareSocket(greenio.GreenSocket):
    """A socket that tells a reset from an orderly end.

    eventlet's own returns no bytes for both, which makes a reply without a
    length look whole when its connection is reset.
    """

    # Asked when nothing comes in time; true waits on. An error would leave
    # the reply's reader unusable, so it is raised only for good.
    is_patient: Callable[[], bool] | None = None

    def recv_into(
        self, buffer: bytearray, nbytes: int = 0, flags: int = 0
    ) -> int:
        """Receive into ``buffer``.

        :raises OSError: if the connection is reset
        """
        seconds = self.gettimeout()
        while True:
            try:
                return self.fd.recv_into(buffer, nbytes, flags)
            except BlockingIOError:
                pass
            try:
                hubs.trampoline(
                    self.fd,
                    read=True,
                    timeout=seconds,
                    timeout_exc=TimeoutError('no bytes in time'),
                )
            except TimeoutError:
                if self.is_patient is None or not self.is_patient():
                    raise
                seconds = PATIENCE_SECONDS


class Exchange:
    """A request and its reply."""

    def __init__(self, server: backends.BackendServer):
        """Prepare to talk to a server."""
        self.server = server
        self._address = addresses.split(server.address)
        self._connection = urllib3.connection.HTTPConnection(*self._address)
        self._response: urllib3.BaseHTTPResponse | None = None
        # The connection drops its reference once it has the reply's head.
        self._sock = ResetAwareSocket(socket.AF_INET, socket.SOCK_STREAM)

    def send(
        self,
        request: interfaces.CallerRequest,
        headers: list[tuple[str, str]],
    ) -> failures.Failure | None:
        """Connect and send a request."""
        try:
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sock.settimeout(CONNECT_SECONDS)
            self._sock.connect(self._address)
            self._connection.sock = self._sock
        except ERRORS as error:
            return self._failure('connect', outcomes.Outcome.NOT_RUN, error)
        sent = urllib3.HTTPHeaderDict()
        for name, value in headers:
            sent.add(name, value)
        sent.add('Connection', 'close')
        for name in ('User-Agent', 'Accept-Encoding'):
            if name not in sent:
                sent.add(name, urllib3.util.SKIP_HEADER)
        try:
            self._connection.request(
                request.method,
                request.target,
                body=request.body or None,
                headers=sent,
                preload_content=False,
                decode_content=False,
            )
        except ERRORS as error:
            return self._failure('send', outcomes.Outcome.UNKNOWN, error)
        return None

    def wait(self, seconds: float) -> bool:
        """Wait for the reply to begin; false if it does not in time."""
        try:
            hubs.trampoline(
                self._sock.fd,
                read=True,
                timeout=max(0.0, seconds),
                timeout_exc=TimeoutError('no reply in time'),
            )
        except TimeoutError:
            return False
        return True

    def head(
        self, request: str, deadline: float, dialect: interfaces.HeaderCodec
    ) -> Head | failures.Failure:
        """Wait for the head of the reply.

        :param request: id that the reply must echo, if it names one
        :param deadline: monotonic seconds
        """
        try:
            self._wait_until(deadline)
            self._response = self._connection.getresponse()
        except TimeoutError:
            return failures.Failure(
                failures.Reason.DEADLINE,
                'backend.head',
                self.server.id,
                'no answer in time',
                outcomes.Outcome.UNKNOWN,
            )
        except ERRORS as error:
            return self._failure('head', outcomes.Outcome.UNKNOWN, error)
        headers = list(self._response.headers.items())
        facts = dialect.read_reply(headers)
        if facts.request and facts.request != request:
            return self._failure(
                'head', outcomes.Outcome.UNKNOWN, 'answer to another request'
            )
        return Head(
            self._response.status,
            self._response.reason or 'Answered',
            headers,
            facts,
        )

    @property
    def is_framed(self) -> bool:
        """Whether the reply says where it ends, other than by closing."""
        response = self._response
        return response.chunked or response.length_remaining is not None

    def some(
        self,
        deadline: float,
        is_patient: Callable[[], bool] | None = None,
    ) -> bytes:
        """Return the next bytes of the body, empty at its end.

        :param is_patient: asked after ``deadline`` whether to wait on
        :raises TimeoutError: if nothing comes until ``deadline``
        :raises Broken: if the connection breaks
        """
        try:
            self._wait_until(deadline)
            self._sock.is_patient = is_patient
            data = self._response.read1(READ_BYTES)
        except TimeoutError:
            raise
        except urllib3.exceptions.ReadTimeoutError:
            raise TimeoutError('no bytes in time') from None
        except ERRORS as error:
            raise Broken(str(error)) from None
        if not data and self._response.length_remaining:
            raise Broken('the body is shorter than announced')
        return data

    def whole(self, deadline: float, limit: int) -> bytes:
        """Return the whole body.

        :raises TimeoutError: if it is not complete until ``deadline``
        :raises Broken: if the connection breaks, or the body is too large
        """
        parts = []
        size = 0
        while True:
            data = self.some(deadline)
            if not data:
                return b''.join(parts)
            size += len(data)
            if size > limit:
                raise Broken(f'the body is over {limit} bytes')
            parts.append(data)

    def close(self) -> None:
        """Close the connection, which cancels what still runs."""
        if self._response is not None:
            self._response.close()
        self._connection.close()
        self._sock.close()

    def _wait_until(self, deadline: float) -> None:
        left = deadline - timers.now()
        if left <= 0:
            raise TimeoutError('deadline')
        self._connection.timeout = left
        self._sock.settimeout(left)

    def lost(self, step: str, detail: str) -> failures.Failure:
        """Return that the request may have run, and nobody can know."""
        return self._failure(step, outcomes.Outcome.UNKNOWN, detail)

    def refused(self, head: Head, retry_after: float) -> failures.Failure:
        """Return that the server promises not to have run the request."""
        return failures.Failure(
            failures.Reason.ENGINE_REFUSED,
            'backend.head',
            head.facts.refused_by or self.server.id,
            f'status {head.status}',
            retry_after=retry_after,
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
