"""Plays a server whose replies never end, beside sound ones.

Many callers ask for the endless replies at once; meanwhile others ask another
service. The gateway's memory and what both kinds of callers get is measured.
"""

import collections
import contextlib
import dataclasses
import http.client
import os
import pathlib
import socket
import subprocess
import sys
import tempfile

import eventlet

from burdockmast.base import timers
from burdockmast.bench import endless_server
from burdockmast.bench import gateway_processes
from burdockmast.platform import headers
from burdockmast.platform import standin

CALLERS = 60
SOUND_REQUESTS = 20
SOUND_INTERVAL_SECONDS = 0.2
DEADLINE_SECONDS = 4.0
# Time after its deadline within which a caller has an answer.
ANSWER_MARGIN_SECONDS = 0.5
READY_SECONDS = 20.0
# The smallest instance of the deployments.
MEMORY_MB = 160
KEY = 'k1'
PAGE_KIB = os.sysconf('SC_PAGE_SIZE') // 1024
STREAM_TROUBLES = (
    endless_server.Trouble.EVENT,
    endless_server.Trouble.COMMENT,
    endless_server.Trouble.NO_EVENT,
    endless_server.Trouble.BLANK_LINES,
)
CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': name,
            'host': 'h.example',
            'path-prefix': f'/{name}/',
            'kind': kind,
            'timeout-ms': 20000,
            'service': service,
            'max-attempts': 2,
            'resumable': kind == 'streaming',
        }
        for name, kind, service in (
            ('read', 'safe', 'broken'),
            ('write', 'unsafe', 'broken'),
            ('draft', 'streaming', 'broken'),
            ('sound', 'safe', 'app'),
        )
    ],
    'services': [{'name': 'broken'}, {'name': 'app'}],
    'tenants': [{'name': 'fes', 'api-keys': [KEY]}],
}


@dataclasses.dataclass(slots=True)
class Figures:
    """What was measured in one play.

    :ivar peak_mb: memory of the gateway at its peak, resident
    :ivar sound_statuses: of the answers to sound requests
    :ivar late: callers of endless replies without an answer soon after their
        deadline
    """

    peak_mb: float = 0.0
    sound_statuses: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    late: int = 0

    @property
    def sound(self) -> int:
        """Sound requests that were served."""
        return self.sound_statuses[200]


class Play:
    """One gateway, two servers in trouble and a sound one."""

    def __init__(
        self, trouble: endless_server.Trouble, directory: pathlib.Path
    ):
        """Start all processes."""
        self._figures = Figures()
        process = os.getpid() % 60000
        host = f'127.{30 + process // 250 % 30}.{process % 250}'
        self._store = standin.MetadataStore()
        self._sound = standin.BackendServer(
            f'{host}.2',
            self._store,
            {'id': 'i-sound', 'service': 'app', 'zone': 'a', 'kind': ''},
        )
        self._servers = [
            self._start_server(f'{host}.3', 8000 + number, trouble)
            for number in range(2)
        ]
        self._store.put('config', 'main', CONFIGURATION)
        self._gateway = gateway_processes.GatewayProcess(
            directory,
            f'{host}.1',
            standin.listen(f'{host}.2', self._store),
            MEMORY_MB,
        )

    def _start_server(
        self, host: str, port: int, trouble: endless_server.Trouble
    ) -> subprocess.Popen:
        process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                endless_server.__name__,
                host,
                str(port),
                trouble.value,
            ]
        )
        self._store.put(
            'servers',
            f'i-{port}',
            {
                'service': 'broken',
                'zone': 'a',
                'kind': '',
                'address': f'{host}:{port}',
                'state': 'ready',
                'sequence': 1,
                'born': 1000,
                'layers': None,
            },
        )
        return process

    def run(self, route: str) -> Figures:
        """Send requests to ``route`` and to the sound service."""
        try:
            with eventlet.Timeout(READY_SECONDS):
                while self._ask('/sound/1', DEADLINE_SECONDS) != 200:
                    eventlet.sleep(0.05)
            eventlet.spawn(self._watch_memory)
            callers = [
                eventlet.spawn(self._call, f'/{route}/{number}')
                for number in range(CALLERS)
            ]
            eventlet.sleep(SOUND_INTERVAL_SECONDS)
            sound = [
                eventlet.spawn_after(
                    number * SOUND_INTERVAL_SECONDS,
                    self._call_sound,
                    f'/sound/{number}',
                )
                for number in range(SOUND_REQUESTS)
            ]
            for task in (*callers, *sound):
                task.wait()
        finally:
            self._gateway.close()
            for server in self._servers:
                server.kill()
                server.wait()
        return self._figures

    def _call(self, path: str) -> None:
        limit = DEADLINE_SECONDS + ANSWER_MARGIN_SECONDS
        try:
            with eventlet.Timeout(limit, TimeoutError('no answer')):
                self._ask(path, DEADLINE_SECONDS)
        except TimeoutError:
            self._figures.late += 1

    def _call_sound(self, path: str) -> None:
        status = 'no answer in time'
        with contextlib.suppress(TimeoutError):
            with eventlet.Timeout(DEADLINE_SECONDS, TimeoutError):
                status = self._ask(path, DEADLINE_SECONDS)
        self._figures.sound_statuses[status] += 1

    def _ask(self, path: str, seconds: float) -> int:
        """Return the status of an answer, 0 if it was broken off."""
        connection = http.client.HTTPConnection(self._gateway.host, 7000)
        sent_at = timers.now()
        try:
            connection.sock = eventlet.connect((self._gateway.host, 7000))
            connection.request(
                'GET',
                path,
                headers={
                    'Host': 'h.example',
                    headers.REQUEST_ID: f'r{sent_at}{path}',
                    headers.DEADLINE: str(int(seconds * 1000)),
                    headers.API_KEY: KEY,
                },
            )
            response = connection.getresponse()
            while response.read1(65536):
                pass
            return response.status
        except TimeoutError:
            raise
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            if connection.sock is not None:
                with contextlib.suppress(OSError):
                    connection.sock.shutdown(socket.SHUT_RDWR)
            connection.close()

    def _watch_memory(self) -> None:
        path = pathlib.Path(f'/proc/{self._gateway.process.pid}/statm')
        with contextlib.suppress(OSError, IndexError):
            while True:
                pages = int(path.read_text().split()[1])
                mb = pages * PAGE_KIB / 1024
                self._figures.peak_mb = max(self._figures.peak_mb, mb)
                eventlet.sleep(0.02)


def play(trouble: endless_server.Trouble, route: str) -> Figures:
    """Play one trouble on a route: ``read``, ``write`` or ``draft``."""
    with tempfile.TemporaryDirectory() as name:
        return Play(trouble, pathlib.Path(name)).run(route)
