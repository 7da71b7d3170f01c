"""Starts gateways beside a stand-in of the platform, and ends them again."""

import contextlib
import http.client
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

from rig_3 import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
REPLICA = pathlib.Path(__file__).with_name('replica.py')
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
HOST_NAME = 'ficu95.example'
MODEL_SERVICE = 'huvo11a'
PLAIN_SERVICE = 'wuno96b'
LAYERS = 80
START_SECONDS = 25.0
SETTINGS = {
    'memory_mb': 300,
    'max_fds': 4200,
    'bounds': {
        'stable_window_ms': 3000,
        'drain_ms': 2000,
        'grace_s': 8,
        'loss_slack_ms': 200,
        'config_apply_ms': 2000,
        'rollback_slack_ms': 250,
        'max_stretch_ms': 5000,
        'strict_revoke': True,
        'revoke_ms': 5000,
        'budget_ratio': 0.2,
        'budget_window_s': 10,
        'retry_slack': 196,
    },
}
# The smallest machines of the sheet of whitcombe-subs-grown.
SMALL_MACHINE = {
    'memory_mb': 152,
    'max_fds': 2870,
    'bounds': {
        **SETTINGS['bounds'],
        'stable_window_ms': 4000,
        'drain_ms': 3000,
        'config_apply_ms': 3000,
        'max_stretch_ms': 6000,
        'retry_slack': 358,
    },
}
HEALTHY, BROKEN, UNUSABLE = 0, 1, 2


class UnusableError(Exception):
    """The case couldn't run."""


def route(name, prefix, kind, service, **given):
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': HOST_NAME,
        'path-prefix': prefix,
        'kind': kind,
        'timeout-ms': 20000,
        'slo-ms': 500,
        'priority': 1,
        'service': service,
        'max-attempts': 2,
        'public': False,
        **given,
    }


def configuration(version=7):
    """Return a configuration like that of the users' small deployments."""
    return {
        'version': version,
        'routes': [
            route(
                'r-draft',
                '/lohu930/',
                'streaming',
                MODEL_SERVICE,
                sticky=True,
                resumable=True,
                **{'gap-aim-ms': 200},
            ),
            route(
                'r-plain-stream',
                '/pufi791/',
                'streaming',
                PLAIN_SERVICE,
                resumable=True,
                **{'gap-aim-ms': 200},
            ),
            route('r-confirm', '/puxa403/', 'unsafe', PLAIN_SERVICE),
            route('r-lookup', '/cufi504/', 'safe', PLAIN_SERVICE),
        ],
        'services': [
            {
                'name': MODEL_SERVICE,
                'health-path': '/health',
                'max-conns': 968,
                'protocol': 'h1',
                'tls': False,
                'engine': {
                    'slots': 96,
                    'kv-tokens': 50000,
                    'kv-bytes': 918000,
                    'step_ms': 0.85,
                    'per_seq_ms': 0.00594,
                    'context_per_k': 0.00796,
                    'read_per_s': 252000.0,
                    'usual': {'prompt': 772, 'answer': 154},
                    'layers': LAYERS,
                    'layer-mb': 1750.0,
                    'act-bytes': 45800,
                    'pipe-mbps': 7900.0,
                    'kinds': [
                        {
                            'name': 'whole',
                            'mb': 200000.0,
                            'pace': 1.0,
                            'read-x': 1.0,
                        },
                        {
                            'name': 'half',
                            'mb': 90000.0,
                            'pace': 1.0,
                            'read-x': 1.0,
                        },
                    ],
                },
            },
            {
                'name': PLAIN_SERVICE,
                'health-path': '/health',
                'max-conns': 96,
                'protocol': 'h1',
                'tls': False,
            },
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api-keys': [KEY], 'priority': 1}],
    }


def free_ports(host, count):
    """Return ports of a loopback address that nothing listens on."""
    socks = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Replica:
    """A replica process and its entry in the store.

    :ivar id: its name in the store
    """

    def __init__(
        self, fleet, name, service, options=(), zone='zone-a', layers=None
    ):
        """Start a replica and write its entry to the store.

        One with the option ``model`` starts without layers.

        :param layers: first and end of those that it holds, None for all
        """
        self._zone = zone
        self._held = layers or (0, LAYERS)
        self._fleet = fleet
        self.id = name
        self.service = service
        self._options = list(options)
        self._log = fleet.folder / f'{name}.jsonl'
        self._log.touch()
        self.port = free_ports(fleet.host, 1)[0]
        self.address = f'{fleet.host}:{self.port}'
        self.start()

    def start(self):
        """Start the process, also again after it has ended."""
        fleet = self._fleet
        self.process = subprocess.Popen(
            [
                sys.executable,
                str(REPLICA),
                fleet.host,
                str(self.port),
                self.id,
                str(self._log),
                *self._options,
            ]
        )
        fleet.processes.append(self.process)
        fleet.wait_for(self._accepts, f'replica {self.id}')
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self._orders = len(self.events('order'))
        self._layers = None
        if self.service == MODEL_SERVICE and 'model' not in self._options:
            first, end = self._held
            self._layers = {'from': first, 'to': end, 'version': 1}
        self.register()

    def _accepts(self):
        try:
            socket.create_connection(
                (self._fleet.host, self.port), timeout=1
            ).close()
        except OSError:
            return False
        return True

    def register(self, **changes):
        """Write the replica's entry."""
        self.sequence += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self._zone,
            'version': 'v1',
            'slots': 96,
            'state': 'ready',
            'cold-remaining-ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        if self.service == MODEL_SERVICE:
            is_whole = self._held == (0, LAYERS)
            entry['kind'] = 'whole' if is_whole else 'half'
        if self._layers:
            entry['layers'] = self._layers
        self._fleet.store.put('servers', self.id, {**entry, **changes})

    def report_orders(self):
        """Write the entry again if an order has changed the layers."""
        orders = self.events('order')
        if len(orders) > self._orders:
            self._orders = len(orders)
            self._layers = orders[-1]['layers']
            self.register()

    def events(self, what=None):
        """Return what the replica has logged."""
        lines = self._log.read_text().splitlines()
        found = [json.loads(line) for line in lines]
        return [e for e in found if what is None or e['what'] == what]

    def crash(self):
        """End the process at once."""
        self.process.kill()
        self.process.wait()


class Gateway:
    """A gateway process, started as the deploy file says."""

    def __init__(self, fleet, number, **settings):
        """Start a gateway.

        :param settings: in place of those of a small deployment
        """
        self._fleet = fleet
        self.name = f'front-{number}'
        host = fleet.host
        self.front, self.ready, control, low, high = free_ports(host, 5)
        self.file = fleet.folder / f'{self.name}.toml'
        found = {**SETTINGS, **settings}
        bounds = ''.join(
            f'{name.replace("_", "-")} = {json.dumps(value)}\n'
            for name, value in found['bounds'].items()
        )
        self.file.write_text(
            f'node = "{self.name}"\n'
            'role = "gateway"\n'
            'machine-class = "front"\n'
            'serves = ["front"]\n'
            f'ip = "{host}"\n'
            'zone = "zone-a"\n'
            'region = "region-a"\n'
            f'internal-ports = [{min(low, high)},{max(low, high)}]\n'
            'heartbeat-ms = 1200\n'
            '[zones]\n'
            'zone-a = "region-a"\n'
            'zone-b = "region-a"\n'
            '[listen]\n'
            f'front = "{host}:{self.front}"\n'
            f'ready = "{host}:{self.ready}"\n'
            f'control = "{host}:{control}"\n'
            '[limits]\n'
            'cpu-share = 0.817\n'
            'cores = 1\n'
            f'memory-mb = {found["memory_mb"]}\n'
            f'max-fds = {found["max_fds"]}\n'
            'link-mbps = 1000.0\n'
            'disk-mb = 0\n'
            f'[bounds]\n{bounds}'
            '[platform]\n'
            f'address = "{found.get("store") or fleet.store.address}"\n'
            'form = "objects"\n'
        )
        self.log = fleet.folder / f'{self.name}.log'
        self.start()

    def start(self):
        """Start the process, also again after it has ended."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['gateway']
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'BURDOCKMAST_NODE_FILE': str(self.file),
                    **role.get('env', {}),
                },
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self._fleet.processes.append(self.process)

    def is_ready(self):
        """Ask the readiness check."""
        if self.process.poll() is not None:
            raise UnusableError(f'{self.name} has ended: {self.log_end()}')
        connection = http.client.HTTPConnection(
            self._fleet.host, self.ready, timeout=2
        )
        try:
            connection.request('GET', '/api/ready')
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def log_end(self):
        """Return the last lines of the gateway's output."""
        return '\n'.join(self.log.read_text().splitlines()[-5:])

    def log_lines(self, message):
        """Return the lines that the gateway has logged with a message."""
        found = []
        for line in self.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return [line for line in found if line.get('message') == message]

    def stop(self):
        """Send the stop signal."""
        self.process.send_signal(signal.SIGTERM)


class Fleet:
    """The stand-in of the platform with replicas and gateways.

    :ivar has_trouble: the disruption of the case happens
    """

    def __init__(self, case, revision=1):
        """Create an empty fleet for the case in a folder.

        :param revision: at which the store's counter of changes stands
        """
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self.case = pathlib.Path(case).resolve().parent
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        high, low = divmod(os.getpid(), 250)
        self.host = f'127.83.{high % 250 + 1}.{low + 1}'
        self.processes = []
        self.store = store.Store(self.host, revision)
        self._record = (self.case / 'record.txt').open('w')
        self._began = time.monotonic()
        self.record(f'trouble: {"yes" if self.has_trouble else "no"}')

    def record(self, text):
        """Write a line to the case's record."""
        seconds = time.monotonic() - self._began
        self._record.write(f'{seconds:8.3f}  {text}\n')
        self._record.flush()

    def wait_for(self, condition, what, seconds=START_SECONDS):
        """Wait until a condition holds.

        :raises UnusableError: if it doesn't in time
        """
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                raise UnusableError(f'{what} did not come in {seconds} s')
            time.sleep(0.02)

    def close(self):
        """End all processes, and remove the temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(case, script, revision=1):
    """Run a case; exit with 1 if the rule was broken, 0 if it held.

    :param case: the file of the script
    :param script: takes the fleet and returns whether the rule was broken
    :param revision: at which the store's counter of changes stands
    """
    fleet = Fleet(case, revision)
    status = UNUSABLE
    try:
        status = BROKEN if script(fleet) else HEALTHY
    except UnusableError as error:
        fleet.record(f'the case could not run: {error}')
    finally:
        verdict = {0: 'the rule held', 1: 'the rule was broken'}
        fleet.record(verdict.get(status, 'the case could not run'))
        fleet.close()
    sys.exit(status)
