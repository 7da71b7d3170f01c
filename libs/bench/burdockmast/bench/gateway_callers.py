"""Callers of gateways, which keep their connections while they can."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import http.client
import itertools
import random
import socket

import eventlet

from burdockmast.base import timers
from burdockmast.bench import gateway_checks
from burdockmast.bench import gateway_processes
from burdockmast.bench import lost_requests
from burdockmast.platform import headers
from burdockmast.platform import standin

PAUSE_SECONDS = 0.15
DEADLY_SHARE = 0.06
EVENTS = 20
# Of longer answers, which are still under way when their servers fall silent.
LONG_PACE = standin.Pace(event_count=60, interval_seconds=0.02)
DEADLINE_SECONDS = 5.0
LONG_DEADLINE_SECONDS = 8.0
# Wait for an answer after its deadline.
ANSWER_MARGIN_SECONDS = 3.0
SETTLE_SECONDS = 20.0
KEY = 'k1'
# Sizes of commands' bodies, by turns. The larger ones come in two parts, and
# the limit may change in between.
BODY_BYTES = (0, 800, 300_000, 3_000_000)
UPLOAD_PAUSE_SECONDS = 0.2
LONG_PATHS = ('/long/', '/once/', '/narrow/')
SOUND_PARTS = '5a5a:50,%s:50,%x:20'


class Callers:
    """Sends requests to gateways and checks their answers.

    :ivar sent: requests that were wholly written
    """

    def __init__(
        self,
        report: gateway_checks.Report,
        deadly_part: str,
        ids_begin_after: int = 0,
    ):
        """Create callers that add to a report.

        :param ids_begin_after: number behind which servers number events
        """
        self.sent: list[lost_requests.SentRequest] = []
        self._report = report
        self._deadly_part = deadly_part
        self._ids_begin_after = ids_begin_after
        self._numbers = itertools.count(1)

    def call(
        self,
        gateway: gateway_processes.GatewayProcess,
        rng: random.Random,
        until: float,
    ) -> None:
        """Send requests on one connection until it ends, then on the next."""
        connection: http.client.HTTPConnection | None = None
        while timers.now() < until:
            eventlet.sleep(PAUSE_SECONDS * rng.uniform(0.5, 1.5))
            try:
                if connection is None or _has_ended(connection):
                    connection = self._connect(gateway)
                self._ask(connection, rng)
            except (OSError, http.client.HTTPException) as error:
                self._report.statuses[type(error).__name__] += 1
                connection = None

    def call_at_length(
        self,
        gateway: gateway_processes.GatewayProcess,
        rng: random.Random,
        until: float,
        routes: Callable[[], list[str]],
        paths: tuple[str, ...] = LONG_PATHS,
    ) -> None:
        """Send requests with long answers, and some to routes that change.

        :param routes: returns the prefixes of routes that were added
        :param paths: prefixes of routes with long answers
        """
        connection: http.client.HTTPConnection | None = None
        while timers.now() < until:
            eventlet.sleep(PAUSE_SECONDS * rng.uniform(0.5, 1.5))
            path = rng.choice([*paths, *routes()[-1:]])
            try:
                if connection is None or _has_ended(connection):
                    connection = self._connect(gateway)
                self._ask_at_length(connection, path, path in paths)
            except (OSError, http.client.HTTPException) as error:
                self._report.statuses[type(error).__name__] += 1
                connection = None

    def call_with_key(
        self, gateway: gateway_processes.GatewayProcess, key: str, until: float
    ) -> None:
        """Send requests with an API key, on connections that are kept."""
        connection: http.client.HTTPConnection | None = None
        while timers.now() < until:
            eventlet.sleep(PAUSE_SECONDS)
            number = next(self._numbers)
            try:
                if connection is None or _has_ended(connection):
                    connection = self._connect(gateway)
                status, _ = self._send(
                    connection,
                    f'/confirm/{number}',
                    {headers.API_KEY: key},
                    number,
                )
                self._report.statuses[f'key {key!r} {status}'] += 1
            except (OSError, http.client.HTTPException) as error:
                self._report.statuses[type(error).__name__] += 1
                connection = None

    def wait_until_served(
        self, gateway: gateway_processes.GatewayProcess
    ) -> None:
        """Wait until a gateway serves some requests."""
        until = timers.now() + SETTLE_SECONDS
        sound = random.Random(1)
        served = 0
        while served < 3:
            if timers.now() > until:
                self._report.violations.append(
                    f'{gateway.host} serves nothing'
                )
                return
            with contextlib.suppress(OSError, http.client.HTTPException):
                status = self._ask(self._connect(gateway), sound)
                served += status == 200
            eventlet.sleep(0.05)

    def wait_for_route(
        self, gateway: gateway_processes.GatewayProcess, path: str
    ) -> None:
        """Wait until a gateway serves a route."""
        until = timers.now() + SETTLE_SECONDS
        status = 0
        while status != 200:
            if timers.now() > until:
                self._report.violations.append(
                    f'{gateway.host} answers {status} on {path}'
                )
                return
            with contextlib.suppress(OSError, http.client.HTTPException):
                number = next(self._numbers)
                status, _ = self._send(
                    self._connect(gateway), f'{path}{number}', {}, number
                )
            eventlet.sleep(0.05)

    def _connect(
        self, gateway: gateway_processes.GatewayProcess
    ) -> http.client.HTTPConnection:
        connection = http.client.HTTPConnection(gateway.host, 7000)
        with eventlet.Timeout(2.0, TimeoutError('no connection')):
            connection.sock = eventlet.connect((gateway.host, 7000))
        return connection

    def _ask(
        self, connection: http.client.HTTPConnection, rng: random.Random
    ) -> int:
        number = next(self._numbers)
        route = rng.choice(('draft', 'draft', 'confirm', 'lookup'))
        sent = {}
        if route == 'draft':
            is_deadly = rng.random() < DEADLY_SHARE
            part = self._deadly_part if is_deadly else f'50d{number % 4}'
            sent[headers.TOKEN_COUNTS] = '100,10'
            sent[headers.PROMPT_PARTS] = SOUND_PARTS % (part, number)
        size = 0
        if route == 'confirm':
            size = BODY_BYTES[number % len(BODY_BYTES)]
        status, body = self._send(
            connection, f'/{route}/{number}', sent, number, body_bytes=size
        )
        self._report.statuses[f'{route} {status}'] += 1
        if status == 200 and route == 'draft':
            self._report.violations += gateway_checks.find_false_end(
                number, body, EVENTS, self._ids_begin_after
            )
        return status

    def _ask_at_length(
        self,
        connection: http.client.HTTPConnection,
        path: str,
        is_stream: bool,
    ) -> None:
        number = next(self._numbers)
        sent = {}
        if is_stream:
            sent[headers.TOKEN_COUNTS] = f'100,{LONG_PACE.event_count}'
        status, body = self._send(
            connection, f'{path}{number}', sent, number, LONG_DEADLINE_SECONDS
        )
        self._report.statuses[f'{path.split("-")[0]} {status}'] += 1
        if status == 200 and is_stream:
            self._report.violations += gateway_checks.find_false_end(
                number, body, LONG_PACE.event_count, self._ids_begin_after
            )

    def _send(
        self,
        connection: http.client.HTTPConnection,
        path: str,
        sent: dict[str, str],
        number: int,
        deadline_seconds: float = DEADLINE_SECONDS,
        body_bytes: int = 0,
    ) -> tuple[int, bytes]:
        """Send a request; return the status and the body of its answer."""
        sent = {
            'Host': 'h.example',
            headers.REQUEST_ID: f'r{number}',
            headers.DEADLINE: str(int(deadline_seconds * 1000)),
            headers.API_KEY: KEY,
            'Content-Length': str(body_bytes),
            **sent,
        }
        limit = deadline_seconds + ANSWER_MARGIN_SECONDS
        with eventlet.Timeout(limit, TimeoutError('no answer')):
            connection.request(
                'POST', path, headers=sent, body=_parts(body_bytes)
            )
            request = lost_requests.SentRequest(
                f'r{number}',
                connection.host,
                path,
                timers.now(),
                deadline_seconds,
                api_key=sent[headers.API_KEY],
                body_bytes=body_bytes,
            )
            self.sent.append(request)
            return self._read_answer(connection, request)

    def _read_answer(
        self,
        connection: http.client.HTTPConnection,
        request: lost_requests.SentRequest,
    ) -> tuple[int, bytes]:
        try:
            response = connection.getresponse()
            request.status = response.status
            body = response.read()
        except (OSError, http.client.HTTPException) as error:
            request.ending = _ending(error, request.status)
            request.detail = repr(error)
            raise
        finally:
            request.ended_at = timers.now()
        request.ending = lost_requests.Ending.WHOLE
        return response.status, body


def _parts(size: int) -> Iterator[bytes]:
    """Yield a body of some bytes in two parts."""
    yield bytes(size // 2)
    if size > min(BODY_BYTES[2:]) / 2:
        eventlet.sleep(UPLOAD_PAUSE_SECONDS)
    yield bytes(size - size // 2)


def _has_ended(connection: http.client.HTTPConnection) -> bool:
    """Return whether a connection was closed, by either side."""
    if connection.sock is None:
        return True
    flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
    try:
        return not connection.sock.fd.recv(1, flags)
    except BlockingIOError:
        return False


def _ending(error: Exception, status: int | None) -> lost_requests.Ending:
    """Return how a request ended whose answer could not be read."""
    if isinstance(error, TimeoutError):
        return lost_requests.Ending.UNANSWERED
    if status is None:
        return lost_requests.Ending.CLOSED
    return lost_requests.Ending.CUT
