"""Callers of gateways, which keep their connections while they can."""

import contextlib
import http.client
import itertools
import random

import eventlet

from burdockmast.base import timers
from burdockmast.bench import gateway_checks
from burdockmast.bench import gateway_processes
from burdockmast.platform import headers

PAUSE_SECONDS = 0.15
DEADLY_SHARE = 0.06
EVENTS = 20
SETTLE_SECONDS = 20.0
SOUND_PARTS = '5a5a:50,%s:50,%x:20'


class Callers:
    """Sends requests to gateways and checks their answers."""

    def __init__(self, report: gateway_checks.Report, deadly_part: str):
        """Create callers that add to a report."""
        self._report = report
        self._deadly_part = deadly_part
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
                connection = connection or self._connect(gateway)
                self._ask(connection, rng)
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
                status = self._send(self._connect(gateway), f'{path}x', {})[0]
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
        status, body = self._send(
            connection, f'/{route}/{number}', sent, number
        )
        self._report.statuses[f'{route} {status}'] += 1
        if status == 200 and route == 'draft':
            self._report.violations += gateway_checks.find_false_end(
                number, body, EVENTS
            )
        return status

    def _send(
        self,
        connection: http.client.HTTPConnection,
        path: str,
        sent: dict[str, str],
        number: int = 0,
    ) -> tuple[int, bytes]:
        """Send a request; return the status and the body of its answer."""
        sent = {
            'Host': 'h.example',
            headers.REQUEST_ID: f'r{number}',
            headers.DEADLINE: '5000',
            headers.API_KEY: 'k1',
            **sent,
        }
        with eventlet.Timeout(8.0, TimeoutError('no answer')):
            connection.request('POST', path, headers=sent)
            response = connection.getresponse()
            return response.status, response.read()
