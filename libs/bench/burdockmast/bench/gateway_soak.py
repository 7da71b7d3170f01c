"""Plays random faults on gateway processes before stand-in servers.

Servers crash on parts of prompts, name limits, leave, break off streams and
crash by themselves; gateways are killed, stopped and suspended; the store goes
away, or comes back from an older copy. Faults come in series and overlap.
Callers keep their connections open until the gateway is gone. What callers and
servers see is checked.
"""

import collections
import contextlib
import dataclasses
import http.client
import itertools
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile

import eventlet

from burdockmast.base import timers
from burdockmast.platform import headers
from burdockmast.platform import settings
from burdockmast.platform import standin

GATEWAY_COUNT = 3
PLAY_SECONDS = 14.0
FAULT_COUNT = 8
# Faults of the store's content: changes, restores, servers that leave.
RECORD_FAULT_COUNT = 4
# Longest time after which a server that leaves gets no more requests.
DRAIN_SECONDS = 2.0
# Sound and deadly requests, and calls, of each gateway's callers in a second.
CALLERS_PER_GATEWAY = 3
CALLER_PAUSE_SECONDS = 0.15
DEADLY_SHARE = 0.06
LAYERS = 80
EVENTS = 20
SETTLE_SECONDS = 20.0
# The operators' rules: crashes until all gateways should know a part, seconds
# after that, and requests that may still come; what a server may get beyond
# its limit in some seconds.
LEARNING_CRASHES = 5
STABLE_SECONDS = 3.0
LATE_REQUESTS = 3
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
WINDOW_SECONDS = 4.0
SOUND_PARTS = '5a5a:50,%s:50,%x:20'
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
            'max-attempts': 3,
            'resumable': kind == 'streaming',
        }
        for name, kind, service in (
            ('draft', 'streaming', 'llm'),
            ('confirm', 'unsafe', 'app'),
            ('lookup', 'safe', 'app'),
        )
    ],
    'services': [
        {
            'name': 'llm',
            'engine': {
                'layers': LAYERS,
                'layer-mb': 1000.0,
                'kv-bytes': 900000,
                'usual': {'prompt': 100, 'answer': 10},
                'kinds': [{'name': 'big', 'mb': 45000.0}],
            },
        },
        {'name': 'app'},
    ],
    'tenants': [{'name': 'fes', 'api-keys': ['k1']}],
}


@dataclasses.dataclass(slots=True)
class Report:
    """What happened in a play."""

    faults: list[str] = dataclasses.field(default_factory=list)
    violations: list[str] = dataclasses.field(default_factory=list)
    statuses: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class GatewayProcess:
    """One gateway as a process of its own."""

    def __init__(self, directory: pathlib.Path, host: str, store: str):
        """Write the settings and start the process."""
        self.host = host
        self.excused_until = 0.0
        self._file = directory / f'{host}.toml'
        self._file.write_text(
            f'node = "gateway-{host}"\nip = "{host}"\nzone = "a"\n'
            'internal-ports = [7010, 7020]\n[zones]\na = "region"\n'
            f'[listen]\nfront = "{host}:7000"\nready = "{host}:7001"\n'
            '[bounds]\nrevoke-ms = 5000\ngrace-s = 8\nbudget-ratio = 0.2\n'
            'budget-window-s = 10\nretry-slack = 200\ndrain-ms = 2000\n'
            f'[platform]\naddress = "{store}"\n'
        )
        self._log = (directory / f'{host}.log').open('ab')
        self.start()

    def start(self) -> None:
        """Start the process."""
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'burdockmast.platform.program'],
            env={**os.environ, settings.PATH_VARIABLE: str(self._file)},
            stdout=self._log,
            stderr=self._log,
        )

    def strike(self, rng: random.Random) -> str:
        """Kill, stop or suspend the process, and start it again."""
        number = rng.choice((signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP))
        # Another fault may end it meanwhile, and start the next process.
        process = self.process
        process.send_signal(number)
        seconds = rng.uniform(0.5, 2.5)
        if number is signal.SIGSTOP:
            eventlet.sleep(seconds)
            process.send_signal(signal.SIGCONT)
        else:
            while process.poll() is None:
                eventlet.sleep(0.05)
            if self.process is process:
                self.start()
        self.excused_until = timers.now() + STABLE_SECONDS
        return f'{number.name} for {seconds:.1f} s at {self.host}'

    def close(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.wait()
        self._log.close()


class Play:
    """One play of a seed."""

    def __init__(
        self, seed: int, directory: pathlib.Path, gateways: int = GATEWAY_COUNT
    ):
        """Start servers and gateways."""
        self.report = Report()
        self._rng = random.Random(seed)
        self._record_rng = random.Random(f'records {seed}')
        self._numbers = itertools.count(1)
        process = os.getpid() % 60000
        network = f'127.{70 + process // 250 % 100}.{process % 250}'
        hosts = [f'{network}.{n + 1}' for n in range(gateways + 1)]
        self._store = standin.MetadataStore()
        self._engines = [
            standin.BackendServer(
                hosts[-1],
                self._store,
                {'id': f'i-{n}', 'service': 'llm', 'zone': 'a', 'kind': 'big'},
            )
            for n in range(8)
        ]
        self._apps = [
            standin.BackendServer(
                hosts[-1],
                self._store,
                {'id': f'i-app{n}', 'service': 'app', 'zone': 'a', 'kind': ''},
            )
            for n in range(3)
        ]
        for engine in self._engines:
            engine.event_count = EVENTS
        self._store.put('config', 'main', CONFIGURATION)
        address = standin.listen(hosts[-1], self._store)
        self._gateways = [
            GatewayProcess(directory, host, address) for host in hosts[:-1]
        ]
        self._configuration = CONFIGURATION
        self._leaving_since: dict[str, float] = {}
        self._deadly_part = f'dead{seed:x}'
        self._crashed_at: list[float] = []
        self._named: dict[str, tuple[float, float]] = {}
        self._ends_at = 0.0

    def run(self) -> Report:
        """Play the faults, then check that all gateways serve."""
        try:
            for gateway in self._gateways:
                self._wait_until_served(gateway)
            self._ends_at = timers.now() + PLAY_SECONDS
            callers = [
                eventlet.spawn(self._call, gateway, random.Random(number))
                for number, gateway in enumerate(
                    self._gateways * CALLERS_PER_GATEWAY
                )
            ]
            faults = [eventlet.spawn(self._strike) for _ in range(FAULT_COUNT)]
            faults += [
                eventlet.spawn(self._strike_records)
                for _ in range(RECORD_FAULT_COUNT)
            ]
            for task in (*faults, *callers):
                task.wait()
            for server in (*self._engines, *self._apps):
                server.limit = None
            for gateway in self._gateways:
                self._wait_until_served(gateway)
                self._wait_for_configuration(gateway)
            self._check()
        finally:
            for gateway in self._gateways:
                gateway.close()
        return self.report

    def _strike(self) -> None:
        rng = self._rng
        eventlet.sleep(rng.uniform(0.5, PLAY_SECONDS - 5.0))
        match rng.randrange(6):
            case 0:
                found = rng.choice(self._gateways).strike(rng)
            case 1:
                self._store.is_down = True
                eventlet.sleep(rng.uniform(0.5, 2.0))
                self._store.is_down = False
                found = 'store down'
            case 2:
                self._store.break_next_stream_after = rng.randrange(EVENTS)
                found = 'stream breaks'
            case 3:
                server = rng.choice([*self._engines, *self._apps])
                server.limit = rng.choice((0.5, 1.0, 4.0))
                self._named.setdefault(server.id, (timers.now(), server.limit))
                server.limit = self._named[server.id][1]
                found = f'{server.id} names the limit {server.limit}'
            case 4:
                rng.choice(self._engines).is_unframed = True
                found = 'unframed streams'
            case _:
                for engine in self._engines:
                    engine.crashes_on = self._deadly_part
                found = 'deadly part'
        self.report.faults.append(found)

    def _strike_records(self) -> None:
        """Change what the store holds, or restore an older copy of it."""
        rng = self._record_rng
        eventlet.sleep(rng.uniform(0.5, PLAY_SECONDS - 6.0))
        match rng.randrange(3):
            case 0:
                self._add_route()
                found = f'version {self._configuration["version"]}'
            case 1:
                saved = self._store.copy()
                eventlet.sleep(rng.uniform(0.2, 2.0))
                self._add_route()
                eventlet.sleep(rng.uniform(0.0, 1.0))
                self._store.restore(saved)
                eventlet.sleep(rng.uniform(0.0, 1.0))
                self._write_again()
                found = f'restored, era {self._store.era}'
            case _:
                server = rng.choice([*self._engines[:1], *self._apps[:1]])
                server.is_leaving = True
                server.update_entry(state='draining')
                self._leaving_since.setdefault(server.id, timers.now())
                found = f'{server.id} leaves'
        self.report.faults.append(found)

    def _add_route(self) -> None:
        version = self._configuration['version'] + 1
        added = {
            **CONFIGURATION['routes'][-1],
            'name': f'added-{version}',
            'path-prefix': f'/added-{version}/',
        }
        self._configuration = {
            **self._configuration,
            'version': version,
            'routes': [*self._configuration['routes'], added],
        }
        self._store.put('config', 'main', self._configuration)

    def _write_again(self) -> None:
        """Write what the operator and the servers had written."""
        self._store.put('config', 'main', self._configuration)
        for server in (*self._engines, *self._apps):
            server.update_entry()

    def _call(self, gateway: GatewayProcess, rng: random.Random) -> None:
        """Send requests on one connection until it ends, then on the next."""
        connection: http.client.HTTPConnection | None = None
        while timers.now() < self._ends_at:
            eventlet.sleep(CALLER_PAUSE_SECONDS * rng.uniform(0.5, 1.5))
            try:
                connection = connection or self._connect(gateway)
                self._ask(connection, rng)
            except (OSError, http.client.HTTPException) as error:
                self.report.statuses[type(error).__name__] += 1
                connection = None

    def _connect(self, gateway: GatewayProcess) -> http.client.HTTPConnection:
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
        self.report.statuses[f'{route} {status}'] += 1
        if status == 200 and route == 'draft':
            self._check_stream(number, body)
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

    def _check_stream(self, number: int, body: bytes) -> None:
        whole = b''.join(
            b'id: %d\ndata: token %d\n\n' % (n, n)
            for n in range(1, EVENTS + 1)
        )
        if body != whole:
            self.report.violations.append(
                f'r{number} looks complete with {body[-60:]!r}'
            )

    def _wait_until_served(self, gateway: GatewayProcess) -> None:
        until = timers.now() + SETTLE_SECONDS
        sound = random.Random(1)
        served = 0
        while served < 3:
            if timers.now() > until:
                self.report.violations.append(f'{gateway.host} serves nothing')
                return
            with contextlib.suppress(OSError, http.client.HTTPException):
                status = self._ask(self._connect(gateway), sound)
                served += status == 200
            eventlet.sleep(0.05)

    def _wait_for_configuration(self, gateway: GatewayProcess) -> None:
        """Wait until the newest route is served."""
        until = timers.now() + SETTLE_SECONDS
        path = self._configuration['routes'][-1]['path-prefix']
        status = 0
        while status != 200:
            if timers.now() > until:
                self.report.violations.append(
                    f'{gateway.host} answers {status} on {path}'
                )
                return
            with contextlib.suppress(OSError, http.client.HTTPException):
                status = self._send(self._connect(gateway), f'{path}x', {})[0]
            eventlet.sleep(0.05)

    def _check_leaving(self, server: standin.BackendServer) -> None:
        since = self._leaving_since[server.id] + DRAIN_SECONDS
        excused = max(gateway.excused_until for gateway in self._gateways)
        late = [
            seen.id
            for seen in server.requests
            if max(since, excused) < seen.at < self._ends_at
        ]
        if late:
            self.report.violations.append(
                f'{server.id} got {late[:3]} after it had left'
            )

    def _check(self) -> None:
        for server in (*self._engines, *self._apps):
            if server.id in self._leaving_since:
                self._check_leaving(server)
        self._check_commands()
        self._check_deadly()
        for server in (*self._engines, *self._apps):
            if server.id in self._named:
                self._check_limit(server)

    def _check_commands(self) -> None:
        runs = collections.Counter(
            seen.id
            for app in self._apps
            for seen in app.requests
            if seen.path.startswith('/confirm/')
        )
        self.report.violations += [
            f'{request} ran {count} times'
            for request, count in runs.items()
            if count > 1
        ]

    def _check_deadly(self) -> None:
        crashes = sorted(at for e in self._engines for at in e.crashed_at)
        if len(crashes) < LEARNING_CRASHES:
            return
        since = crashes[LEARNING_CRASHES - 1] + STABLE_SECONDS
        late = [
            seen
            for engine in self._engines
            for seen in engine.requests
            if f'{self._deadly_part}:'
            in seen.header_by_name.get(headers.PROMPT_PARTS.lower(), '')
            and seen.at > since
        ]
        if len(late) > LATE_REQUESTS:
            self.report.violations.append(
                f'{len(late)} deadly requests after {len(crashes)} crashes'
            )

    def _check_limit(self, server: standin.BackendServer) -> None:
        named_at, limit = self._named[server.id]
        excused = max(gateway.excused_until for gateway in self._gateways)
        since = max(named_at + STABLE_SECONDS, excused)
        times = [
            seen.at
            for seen in server.requests
            if since <= seen.at < self._ends_at
        ]
        most = max(
            (
                sum(first <= at < first + WINDOW_SECONDS for at in times)
                for first in times
            ),
            default=0,
        )
        if most > LIMIT_FACTOR * limit * WINDOW_SECONDS + LIMIT_SLACK:
            self.report.violations.append(
                f'{server.id} got {most} requests at the limit {limit}'
            )


def play(
    seed: int,
    keep: pathlib.Path | None = None,
    gateways: int = GATEWAY_COUNT,
) -> Report:
    """Play one seed.

    :param gateways: number of gateway processes
    :param keep: folder for the gateways' logs if a promise is broken
    """
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        report = Play(seed, directory, gateways).run()
        if report.violations and keep:
            kept = keep / f'gateways-{seed}'
            kept.mkdir(parents=True, exist_ok=True)
            for log in directory.glob('*.log'):
                (kept / log.name).write_bytes(log.read_bytes())
    return report
