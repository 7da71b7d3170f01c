"""Plays requests that crash each server which begins to run them.

They come again and again at any gateway, beside sound ones, while crashed
servers are away in different ways. Servers that accept connections without
serving them hide that they have crashed.
"""

import collections
import contextlib
import dataclasses
import http.client
import os
import pathlib
import random
import socket
import tempfile

import eventlet

from burdockmast.base import timers
from burdockmast.bench import gateway_processes
from burdockmast.platform import headers
from burdockmast.platform import standin

SERVERS = 8
REQUESTS_PER_SECOND = 80.0
DEADLY_SHARE = 0.06
# Time for which a crashed server is away.
RESTART_SECONDS = (2.0, 3.5)
WORK_SECONDS = 0.045
DEADLINE_SECONDS = 5.0
# Wait for an answer after its deadline.
ANSWER_MARGIN_SECONDS = 1.0
READY_SECONDS = 20.0
# The operators' rule: crashes by a request until all gateways should know it,
# and how many more may reach servers once the last is as old as the stable
# window.
LEARNING_CRASHES = 3
LATE_REQUESTS = 3
KEY = 'k1'
ROUTES = ('draft', 'confirm', 'lookup', 'read')
CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': name,
            'host': 'h.example',
            'path-prefix': f'/{name}/',
            'kind': kind,
            'timeout-ms': 20000,
            'service': 'app',
            'max-attempts': 2,
            'resumable': kind == 'streaming',
        }
        for name, kind in zip(
            ROUTES, ('streaming', 'unsafe', 'safe', 'safe'), strict=True
        )
    ],
    'services': [{'name': 'app'}],
    'tenants': [{'name': 'fes', 'api-keys': [KEY]}],
}


@dataclasses.dataclass(slots=True)
class Figures:
    """What was seen in one play.

    :ivar late_by_path: of each deadly request, how many reached servers
        although all gateways should have known it
    :ivar crashes_by_path: of each deadly request
    :ivar sound_statuses: of the answers to sound requests, 0 for none
    """

    late_by_path: dict[str, int] = dataclasses.field(default_factory=dict)
    crashes_by_path: dict[str, int] = dataclasses.field(default_factory=dict)
    sound_statuses: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def violations(self) -> dict[str, int]:
        """The deadly requests that reached servers for too long."""
        return {
            path: count
            for path, count in self.late_by_path.items()
            if count > LATE_REQUESTS
        }


class Play:
    """Some gateways before servers that crash."""

    def __init__(
        self,
        seed: int,
        outage: standin.Outage,
        gateways: int,
        kinds: int,
        directory: pathlib.Path,
    ):
        """Start all processes."""
        self._rng = random.Random(seed)
        self._kinds = kinds
        self._figures = Figures()
        process = os.getpid() % 60000
        network = f'127.{170 + process // 250 % 60}.{process % 250}'
        store = standin.MetadataStore()
        host = f'{network}.{gateways + 1}'
        self._servers = [
            standin.BackendServer(
                host,
                store,
                {'id': f'i-{n}', 'service': 'app', 'zone': 'a', 'kind': ''},
            )
            for n in range(SERVERS)
        ]
        for server in self._servers:
            server.crashes_on = '/deadly-'
            server.outage = outage
            server.restart_seconds = self._rng.uniform(*RESTART_SECONDS)
            server.delay_seconds = WORK_SECONDS
        store.put('config', 'main', CONFIGURATION)
        address = standin.listen(host, store)
        self._gateways = [
            gateway_processes.GatewayProcess(
                directory, f'{network}.{n + 1}', address
            )
            for n in range(gateways)
        ]

    def run(self, seconds: float) -> Figures:
        """Send requests for some time."""
        try:
            with eventlet.Timeout(READY_SECONDS):
                for gateway in self._gateways:
                    while self._ask(gateway, '/read/ready') != 200:
                        eventlet.sleep(0.05)
            callers = []
            until = timers.now() + seconds
            while timers.now() < until:
                callers.append(eventlet.spawn(self._call, len(callers)))
                eventlet.sleep(self._rng.expovariate(REQUESTS_PER_SECOND))
            for caller in callers:
                caller.wait()
        finally:
            for gateway in self._gateways:
                gateway.close()
        self._check()
        return self._figures

    def _call(self, number: int) -> None:
        gateway = self._rng.choice(self._gateways)
        if self._rng.random() < DEADLY_SHARE:
            kind = self._rng.randrange(self._kinds)
            self._ask(gateway, f'/{ROUTES[kind % len(ROUTES)]}/deadly-{kind}')
            return
        path = f'/{self._rng.choice(ROUTES)}/{number}'
        self._figures.sound_statuses[self._ask(gateway, path)] += 1

    def _ask(
        self, gateway: gateway_processes.GatewayProcess, path: str
    ) -> int:
        """Return the status of a whole answer, 0 if there is none in time."""
        connection = http.client.HTTPConnection(gateway.host, 7000)
        limit = DEADLINE_SECONDS + ANSWER_MARGIN_SECONDS
        try:
            with eventlet.Timeout(limit, TimeoutError):
                connection.sock = eventlet.connect((gateway.host, 7000))
                connection.request(
                    'POST'
                    if path.startswith(('/draft', '/confirm'))
                    else 'GET',
                    path,
                    headers=self._headers(path),
                )
                response = connection.getresponse()
                response.read()
                return response.status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            if connection.sock is not None:
                with contextlib.suppress(OSError):
                    connection.sock.shutdown(socket.SHUT_RDWR)
            connection.close()

    def _headers(self, path: str) -> dict[str, str]:
        found = {
            'Host': 'h.example',
            headers.REQUEST_ID: f'r{timers.now()}{path}',
            headers.DEADLINE: str(int(DEADLINE_SECONDS * 1000)),
            headers.API_KEY: KEY,
        }
        if path.startswith('/draft'):
            found[headers.TOKEN_COUNTS] = '100,10'
        return found

    def _check(self) -> None:
        arrivals_by_path: dict[str, list[float]] = {}
        for server in self._servers:
            for seen in server.requests:
                if server.crashes_on in seen.path:
                    arrivals_by_path.setdefault(seen.path, []).append(seen.at)
        for path, arrivals in sorted(arrivals_by_path.items()):
            arrivals.sort()
            self._figures.crashes_by_path[path] = len(arrivals)
            self._figures.late_by_path[path] = 0
            if len(arrivals) >= LEARNING_CRASHES:
                since = (
                    arrivals[LEARNING_CRASHES - 1]
                    + gateway_processes.STABLE_SECONDS
                )
                self._figures.late_by_path[path] = sum(
                    at > since for at in arrivals
                )


def play(
    seed: int,
    outage: standin.Outage,
    seconds: float,
    gateways: int = 4,
    kinds: int = 8,
    keep: pathlib.Path | None = None,
) -> Figures:
    """Play one seed.

    :param seconds: for which requests are sent
    :param gateways: number of gateway processes
    :param kinds: number of deadly requests that come again and again
    :param keep: folder for the gateways' logs if the rule is broken
    """
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        found = Play(seed, outage, gateways, kinds, directory).run(seconds)
        if found.violations and keep:
            kept = keep / f'deadly-{outage.value}-{seed}'
            kept.mkdir(parents=True, exist_ok=True)
            for log in directory.glob('*.log'):
                (kept / log.name).write_bytes(log.read_bytes())
    return found
