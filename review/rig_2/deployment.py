"""Starts a small deployment on loopback addresses, and ends it."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

from rig_2 import messages

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_SECONDS = 112
START_SECONDS = 20.0
HOST = 'ficu95.example'
API_KEY = 'n2ctnfzs989anu6wsjnb'
SERVICE = 'wuno96b'
ZONE = 'ma-north-a'
LOOKUP = '/cufi504/fi50/2f'
CONFIRM = '/puxa403/2f'
STREAMS = '/lohu930/'

SETTINGS = """
node = "front-{zone}-{number}"
role = "gateway"
machine-class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "{zone}"
region = "ma-north"
internal-ports = [{first}, {last}]
seeds = []
bootstrap = true
fault-counted = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", \
"stream", "tenants", "platform"]

[zones]
{zone} = "ma-north"

[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"

[limits]
cpu-share = 0.817
cores = 1
memory-mb = 300
max-fds = 4200
link-mbps = 1000.0
disk-mb = 0

[bounds]
seed-lag-s = 3
reuse-after-s = 2
stable-window-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
strict-revoke = true
revoke-ms = 5000
budget-ratio = 0.2
budget-window-s = 10
retry-slack = 196
recover-s = 12
pass-ms = 120
again-s = 0
require-fence = true

[platform]
address = "127.0.0.1:{store}"
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""


def configuration(timeout_ms: int) -> dict:
    """Return a configuration with a safe and an unsafe route."""
    route = {
        'host': HOST,
        'timeout-ms': timeout_ms,
        'slo-ms': 150,
        'priority': 2,
        'service': SERVICE,
        'public': False,
    }
    return {
        'version': 7,
        'routes': [
            {
                **route,
                'name': 'r-lookup',
                'path-prefix': '/cufi504/',
                'kind': 'safe',
                'max-attempts': 2,
            },
            {
                **route,
                'name': 'r-confirm',
                'path-prefix': '/puxa403/',
                'kind': 'unsafe',
                'max-attempts': 1,
            },
        ],
        'services': [
            {'name': SERVICE, 'health-path': '/health', 'max-conns': 96}
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'tenants': [{'name': 'hule930', 'api-keys': [API_KEY], 'priority': 1}],
    }


def streaming_route() -> dict:
    """Return a route of streams that may be resumed."""
    return {
        'name': 'r-stream',
        'host': HOST,
        'path-prefix': STREAMS,
        'kind': 'streaming',
        'resumable': True,
        'max-attempts': 2,
        'timeout-ms': 20000,
        'slo-ms': 500,
        'gap-aim-ms': 200,
        'priority': 1,
        'service': SERVICE,
        'public': False,
    }


class CannotRun(Exception):
    """The case can't run here."""


@dataclasses.dataclass
class Gateway:
    """A machine with a gateway, which may be started again."""

    number: int
    front: int
    ready: int
    first_port: int
    settings: pathlib.Path
    process: subprocess.Popen | None = None


class Deployment:
    """The processes of a case, its record and its temporary folder."""

    def __init__(self, case: pathlib.Path):
        """Begin a record in the folder of a case."""
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.began = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-2-'))
        self.replica_log = self.folder / 'replicas.log'
        self.replica_log.touch()
        self._record = (case / 'record.txt').open('w', encoding='utf-8')
        self._processes: list[subprocess.Popen] = []
        self.store = 0
        self.gateways: list[Gateway] = []
        self.note(f'trouble: {self.trouble}')

    @property
    def seconds(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self.began

    def note(self, line: str) -> None:
        """Write a line to the record."""
        print(f'{self.seconds:8.3f} {line}', file=self._record, flush=True)

    def _start(
        self, words: list[str], env: dict[str, str], log: str
    ) -> subprocess.Popen:
        with (self.folder / log).open('ab') as errors:
            process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE if log == 'rig.log' else errors,
                stderr=errors,
                start_new_session=True,
            )
        self._processes.append(process)
        return process

    def _start_rig(self, module: str, *words: str) -> subprocess.Popen:
        env = {**os.environ, 'PYTHONPATH': str(ROOT / 'review')}
        return self._start(
            [sys.executable, '-m', f'rig_2.{module}', *words], env, 'rig.log'
        )

    def start_store(self, content: dict) -> None:
        """Start the store with a configuration."""
        path = self.folder / 'configuration.json'
        path.write_text(json.dumps(content))
        process = self._start_rig('store', str(path))
        self.store = int(process.stdout.readline())

    def start_replica(self, name: str, *words: str) -> subprocess.Popen:
        """Start a replica that registers itself."""
        process = self._start_rig(
            'replica',
            *('--id', name, '--service', SERVICE, '--zone', ZONE),
            *('--store', f'127.0.0.1:{self.store}'),
            *('--log', str(self.replica_log)),
            *words,
        )
        process.stdout.readline()
        return process

    @property
    def front(self) -> int:
        """The port of the first gateway's clients."""
        return self.gateways[0].front

    @property
    def gateway(self) -> subprocess.Popen:
        """The process of the first gateway."""
        return self.gateways[0].process

    def add_gateway(self) -> Gateway:
        """Add a machine, and start its gateway."""
        number = len(self.gateways) + 1
        front, ready, first = _free_ports(
            {gateway.first_port for gateway in self.gateways}
        )
        settings = self.folder / f'local-{number}.toml'
        settings.write_text(
            SETTINGS.format(
                zone=ZONE,
                number=number,
                front=front,
                ready=ready,
                first=first,
                last=first + 15,
                store=self.store,
            )
        )
        gateway = Gateway(number, front, ready, first, settings)
        self.gateways.append(gateway)
        self.start(gateway)
        return gateway

    def start(self, gateway: Gateway) -> None:
        """Start a gateway with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['gateway']
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env |= role.get('env', {})
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['BURDOCKMAST_NODE_FILE'] = str(gateway.settings)
        gateway.process = self._start(
            role['run'].split(' '), env, 'gateway.log'
        )

    async def wait_until_served(self, gateway: Gateway | None = None) -> None:
        """Wait until a gateway, the first one, is ready and answers."""
        until = time.monotonic() + START_SECONDS
        while time.monotonic() < until:
            if await self.is_ready(gateway):
                found = await self.ask('start', 1.0, gateway)
                if found and found.status == 200:
                    return
            await asyncio.sleep(0.1)
        log = (self.folder / 'gateway.log').read_text()[-2000:]
        self.note(f'the gateway does not serve:\n{log}')
        raise CannotRun('the gateway does not serve')

    async def is_ready(self, gateway: Gateway | None = None) -> bool:
        """Ask as the platform does, once; an answer must come in a second."""
        request = messages.encode(
            'GET /api/ready HTTP/1.1', {'host': HOST, 'connection': 'close'}
        )
        try:
            found = await asyncio.wait_for(
                self._exchange((gateway or self.gateways[0]).ready, request),
                1.0,
            )
        except (OSError, TimeoutError, messages.Incomplete):
            return False
        return found.status == 200

    async def ask(
        self, name: str, seconds: float, gateway: Gateway | None = None
    ) -> messages.Message | None:
        """Send a lookup on a new connection; None if nothing came in time."""
        port = (gateway or self.gateways[0]).front
        try:
            return await asyncio.wait_for(
                self._exchange(port, lookup(name, seconds)), seconds
            )
        except (OSError, TimeoutError, messages.Incomplete):
            return None

    async def _exchange(self, port: int, request: bytes) -> messages.Message:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        try:
            writer.write(request)
            return await messages.read_answer(reader)
        finally:
            writer.close()

    def replica_lines(self) -> list[dict]:
        """Return what the replicas have logged."""
        lines = self.replica_log.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def record_replicas(self) -> None:
        """Copy the replicas' log to the record."""
        for line in self.replica_lines():
            fields = ' '.join(f'{k}={v}' for k, v in line.items())
            self.note(f'replica: {fields}')

    def close(self) -> None:
        """End all processes, and remove the temporary folder."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()


def lookup(name: str, seconds: float, **fields: str) -> bytes:
    """Return a safe request."""
    return messages.encode(
        f'GET {LOOKUP} HTTP/1.1',
        {
            'host': HOST,
            messages.REQUEST_ID: name,
            messages.DEADLINE: str(int(seconds * 1000)),
            messages.KEY: API_KEY,
            **fields,
        },
    )


def stream(name: str, seconds: float) -> bytes:
    """Return a request for a stream, on a path of its own."""
    return messages.encode(
        f'GET {STREAMS}{name} HTTP/1.1',
        {
            'host': HOST,
            messages.REQUEST_ID: name,
            messages.DEADLINE: str(int(seconds * 1000)),
            messages.KEY: API_KEY,
        },
    )


def confirm(name: str, seconds: float, body: bytes) -> bytes:
    """Return an unsafe request."""
    return messages.encode(
        f'POST {CONFIRM} HTTP/1.1',
        {
            'host': HOST,
            messages.REQUEST_ID: name,
            messages.DEADLINE: str(int(seconds * 1000)),
            messages.KEY: API_KEY,
            'content-length': str(len(body)),
        },
        body,
    )


def _free_ports(taken: set[int]) -> tuple[int, int, int]:
    """Return two free ports, and the first of sixteen.

    :param taken: first ports of others, which may not use them yet
    """
    for first in sorted(set(range(21000, 29000, 32)) - taken):
        socks = []
        try:
            for port in range(first, first + 18):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    socks.append(sock)
                    sock.bind(('127.0.0.1', port))
            return first + 16, first + 17, first
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
    raise CannotRun('no free ports')


def play(case: str, body: Callable[[Deployment], Awaitable[bool]]) -> int:
    """Play a case; return the exit status.

    :param body: returns whether the rule held
    """
    if not (ROOT / 'target/deps/burdockmast').is_dir():
        print('run the build of deploy/system.toml first', file=sys.stderr)
        return NOT_RUN
    deployment = Deployment(pathlib.Path(case).resolve().parent)

    def give_up(*_: object) -> None:
        raise CannotRun('the case takes too long')

    signal.signal(signal.SIGALRM, give_up)
    signal.signal(signal.SIGTERM, give_up)
    signal.alarm(LONGEST_SECONDS)
    try:
        held = asyncio.run(body(deployment))
    except CannotRun as error:
        deployment.note(f'the case could not run: {error}')
        print(error, file=sys.stderr)
        return NOT_RUN
    except Exception as error:
        # An error of the script itself shows nothing.
        deployment.note(f'the case could not run: {error!r}')
        traceback.print_exc()
        return NOT_RUN
    finally:
        signal.alarm(0)
        deployment.close()
    return HELD if held else BROKEN
