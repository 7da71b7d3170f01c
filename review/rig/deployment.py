"""Starts a small deployment: a store, replicas and gateways as processes."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import dataclasses
import json
import os
import pathlib
import resource
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from rig import callers
from rig import replica
from rig import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
REVIEW = ROOT / 'review'
HOST = '127.0.0.1'
ZONE = 'ma-north-a'
START_SECONDS = 20.0
MAX_FDS = 4200
BOUNDS = """
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
stall_ms = 2500
require-fence = true
"""


class CannotRun(Exception):
    """The case can't be played here."""


def is_troubled() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


def free_port() -> int:
    """Return a port that nobody uses now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller got.

    :ivar status: 0 if the connection ended without a whole answer
    """

    status: int
    headers: dict[str, str]
    body: bytes
    sent_at: float
    error: str = ''


class Deployment:
    """The processes of one run, and its record."""

    def __init__(self, case: str):
        """Create the record of a case, and an empty folder."""
        self._record = open(  # noqa: SIM115
            REVIEW / case / 'record.txt', 'w', encoding='utf-8'
        )
        self._folder = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = pathlib.Path(self._folder.name)
        self._processes: list[subprocess.Popen] = []
        self._began = time.monotonic()
        self._versions: list[dict] = []
        self.store = ''
        self.counts: collections.Counter[str] = collections.Counter()

    def note(self, text: str, at: float | None = None) -> None:
        """Write a line to the record, with seconds since its beginning."""
        seconds = (at or time.monotonic()) - self._began
        self._record.write(f'{seconds:8.3f}  {text}\n')
        self._record.flush()

    def _start(self, words: list[str], environment: dict[str, str]) -> object:
        kept = ('PATH', 'HOME', 'LANG')
        inherited = {k: os.environ[k] for k in kept if k in os.environ}
        process = subprocess.Popen(
            words,
            cwd=ROOT,
            env={**inherited, **environment},
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self._processes.append(process)
        return process

    def _start_standin(self, module: str, *words: str) -> subprocess.Popen:
        return self._start(
            [sys.executable, '-m', module, *words], {'PYTHONPATH': 'review'}
        )

    async def start_store(self) -> None:
        """Start the platform's store."""
        port = free_port()
        self.store = f'{HOST}:{port}'
        self._start_standin('rig.metadata_store', HOST, str(port))
        await self._wait_for(lambda: _accepts(port), 'the store')

    def start_callers(self, name: str, **options: object) -> None:
        """Start a process with callers, whose log ends in ``.calls``."""
        log = str(self.folder / f'{name}.calls')
        given = callers.Options(name=name, log=log, **options)
        self._start_standin(
            'rig.callers', json.dumps(dataclasses.asdict(given))
        )

    def calls(self) -> list[list]:
        """Return the lines of all callers, in the order of time."""
        found = []
        for log in self.folder.glob('*.calls'):
            text = log.read_text(encoding='utf-8')
            found += map(json.loads, text.splitlines())
        return sorted(found)

    async def start_replica(
        self, name: str, service: str, **options: object
    ) -> subprocess.Popen:
        """Start a replica."""
        port = free_port()
        given = replica.Options(
            id=name,
            service=service,
            zone=ZONE,
            host=HOST,
            port=port,
            store=self.store,
            log=str(self.folder / f'{name}.log'),
            **options,
        )
        process = self._start_standin(
            'rig.replica', json.dumps(dataclasses.asdict(given))
        )
        await self._wait_for(lambda: _accepts(port), f'replica {name}')
        return process

    async def put_configuration(self, changes: dict) -> float:
        """Write a version as the operator; return when it was acknowledged."""
        version = {**(self._versions[-1] if self._versions else {}), **changes}
        version['version'] = 7 + 3 * len(self._versions)
        body = json.dumps(
            {'metadata': {'name': 'main'}, 'spec': version}
        ).encode()
        method, path = (
            ('PUT', '/api/objects/config/main')
            if self._versions
            else ('POST', '/api/objects/config')
        )
        answer = await self.ask(self.store, method, path, {}, body)
        if answer.status not in (200, 201):
            raise CannotRun(f'the store answered {answer.status}')
        self._versions.append(version)
        acknowledged = time.monotonic()
        self.note(f'version {version["version"]} acknowledged', acknowledged)
        return acknowledged

    def write_settings(self, name: str, store: str = '') -> 'Gateway':
        """Write the settings of a gateway on a machine of its own."""
        ports = [free_port() for _ in range(5)]
        file = self.folder / f'{name}.toml'
        file.write_text(
            f'node = "{name}"\nrole = "gateway"\n'
            f'machine-class = "front"\nserves = ["front"]\n'
            f'ip = "{HOST}"\nzone = "{ZONE}"\nregion = "ma-north"\n'
            f'internal-ports = [{ports[2]}, {ports[3]}]\n'
            f'seeds = []\nbootstrap = true\ndiscovery = "platform"\n'
            f'entry = "vip"\nheartbeat-ms = 1200\n'
            f'[zones]\n{ZONE} = "ma-north"\n'
            f'[listen]\nfront = "{HOST}:{ports[0]}"\n'
            f'ready = "{HOST}:{ports[1]}"\n'
            f'[limits]\ncpu-share = 0.817\ncores = 1\nmemory-mb = 300\n'
            f'max-fds = {MAX_FDS}\nlink-mbps = 1000.0\ndisk-mb = 0\n'
            f'[bounds]\n{BOUNDS}\n'
            f'[platform]\naddress = "{store or self.store}"\n'
            f'form = "objects"\nwrites-per-s = 400\nreads-per-s = 2000\n'
            f'history-s = 20\nvalue-bytes = 1048576\nttl-min-ms = 1000\n'
        )
        return Gateway(
            self, name, file, f'{HOST}:{ports[0]}', f'{HOST}:{ports[1]}'
        )

    async def _wait_for(
        self, condition: Callable[[], bool], what: str
    ) -> None:
        until = time.monotonic() + START_SECONDS
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f'{what} does not start')
            await asyncio.sleep(0.05)

    async def ask(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, object],
        body: bytes = b'',
        seconds: float = 10.0,
    ) -> Answer:
        """Send a request on a new connection and return the answer."""
        host, _, port = address.rpartition(':')
        sent_at = time.monotonic()
        writer = None
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(host, int(port))
                sent_at = time.monotonic()
                writer.write(wire.encode_request(method, path, headers, body))
                await writer.drain()
                reply = await wire.read_message(reader, True)
        except (OSError, TimeoutError, wire.ProtocolError) as error:
            return Answer(0, {}, b'', sent_at, str(error) or repr(error))
        finally:
            if writer is not None:
                writer.close()
        if reply is None:
            return Answer(0, {}, b'', sent_at, 'closed without an answer')
        return Answer(int(reply.start[1]), reply.headers, reply.body, sent_at)

    def runs(self) -> list[dict]:
        """Return what the replicas have run, in the order of time."""
        return [e for e in self.events() if e['what'] == 'runs']

    def events(self) -> list[dict]:
        """Return all lines of the replicas' logs, in the order of time."""
        found = []
        for log in self.folder.glob('*.log'):
            found += map(json.loads, log.read_text().splitlines())
        return sorted(found, key=lambda event: event['at'])

    def close(self) -> None:
        """End all processes that were started."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
        self._record.close()
        self._folder.cleanup()


@dataclasses.dataclass(slots=True)
class Gateway:
    """One gateway process with its settings.

    :ivar keeps_descriptors: the process gets no more descriptors than its
        settings name
    """

    deployment: Deployment
    name: str
    settings: pathlib.Path
    front: str
    ready: str
    process: subprocess.Popen | None = None
    keeps_descriptors: bool = False

    def _limit_descriptors(self) -> None:
        """Give the process the descriptors that its settings name."""
        limit = resource.RLIMIT_NOFILE
        try:
            resource.prlimit(self.process.pid, limit, (MAX_FDS, MAX_FDS))
        except (OSError, ValueError) as error:
            raise CannotRun(f'no {MAX_FDS} descriptors: {error}') from None

    async def start(self) -> None:
        """Start it with the command of the deploy file."""
        document = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        )
        role = document['roles']['gateway']
        words = shlex.split(role['run'])
        if not (ROOT / 'target' / 'deps').is_dir():
            raise CannotRun('the build of the deploy file is missing')
        self.process = self.deployment._start(
            words,
            {
                **role.get('env', {}),
                'PYTHONPATH': 'target/deps',
                'BURDOCKMAST_NODE_FILE': str(self.settings),
            },
        )
        if self.keeps_descriptors:
            self._limit_descriptors()
        until = time.monotonic() + START_SECONDS
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRun(f'{self.name} is not ready')
            await asyncio.sleep(0.05)
        self.deployment.note(f'{self.name} is ready')

    async def is_ready(self) -> bool:
        """Ask as the platform's balancer does."""
        answer = await self.deployment.ask(
            self.ready, 'GET', '/api/ready', {'Host': self.ready}, seconds=1.0
        )
        return answer.status == 200

    def kill(self) -> None:
        """Kill the process, as the platform's failures do."""
        self.process.kill()
        self.process.wait()
        self.deployment.note(f'{self.name} is killed')


def _accepts(port: int) -> bool:
    with contextlib.suppress(OSError), socket.socket() as sock:
        sock.settimeout(0.5)
        sock.connect((HOST, port))
        return True
    return False


def play(case: str, scene: Callable[[Deployment], object]) -> int:
    """Play a scene; return 1 if a rule was broken, 0 if not, 2 if it can't.

    :param scene: returns the number of times that the rule was broken
    """
    deployment = Deployment(case)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(scene(deployment))
        deployment.note(f'the rule was broken {broken} times')
        print(f'case {case}: the rule was broken {broken} times')
        return 1 if broken else 0
    except (CannotRun, OSError) as error:
        deployment.note(f'cannot run: {error}')
        print(f'case {case}: cannot run: {error}')
        return 2
    finally:
        deployment.close()
