"""Plays disruptions of gateways while servers fail most requests.

Callers keep their connections until the gateway is gone. Servers count what
arrives, whatever gateways count.
"""

import collections
from collections.abc import Callable
import contextlib
import enum
import http.client
import itertools
import os
import pathlib
import random
import signal
import tempfile

import eventlet

from burdockmast.base import timers
from burdockmast.bench import gateway_processes
from burdockmast.bench import retry_checks
from burdockmast.platform import headers
from burdockmast.platform import shared_records
from burdockmast.platform import standin

GATEWAY_COUNT = 6
SERVER_COUNT = 4
FAILING_SHARE = 0.9
REQUESTS_PER_SECOND = 60.0
PLAY_SECONDS = 26.0
READY_SECONDS = 20.0
# Time without disruption at the start of a play.
CALM_SECONDS = 6.0
ANSWER_SECONDS = 4.0
KEY = 'k1'
SERVICE = 'app'
CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'lookup',
            'host': 'h.example',
            'path-prefix': '/lookup/',
            'kind': 'safe',
            'timeout-ms': 20000,
            'service': SERVICE,
            'max-attempts': 3,
        }
    ],
    'services': [{'name': SERVICE}],
    'tenants': [{'name': 'fes', 'api-keys': [KEY]}],
}


class Disruption(enum.Enum):
    """What happens to the gateways meanwhile."""

    NONE = 'none'
    KILL_ALL = 'kill-all'
    KILL_IN_TURN = 'kill-in-turn'
    STOP_ALL = 'stop-all'
    START_IN_TURN = 'start-in-turn'
    SUSPEND_MOST = 'suspend-most'
    SUSPEND_ALL = 'suspend-all'
    UNREGISTER_MOST = 'unregister-most'
    RESTORE_STORE = 'restore-store'
    CUT_OFF_STORE = 'cut-off-store'
    MIXED = 'mixed'


class Storm:
    """One play."""

    def __init__(
        self,
        disruption: Disruption,
        seed: int,
        directory: pathlib.Path,
        gateways: int = GATEWAY_COUNT,
    ):
        """Start servers, and all gateways but those that come later."""
        self._disruption = disruption
        self._rng = random.Random(seed)
        self._directory = directory
        process = os.getpid() % 60000
        network = f'127.{170 + process // 250 % 80}.{process % 250}'
        hosts = [f'{network}.{n + 1}' for n in range(gateways + 1)]
        self._store = standin.MetadataStore()
        self._servers = [
            standin.BackendServer(
                hosts[-1],
                self._store,
                {'id': f'i-{n}', 'service': SERVICE, 'zone': 'a', 'kind': ''},
            )
            for n in range(SERVER_COUNT)
        ]
        for server in self._servers:
            server.failing_share = FAILING_SHARE
        self._store.put('config', 'main', CONFIGURATION)
        self._store_address = standin.listen(hosts[-1], self._store)
        self._later_hosts = collections.deque(hosts[:-1])
        self._gateways: list[gateway_processes.GatewayProcess] = []
        self._idle: dict[str, list[http.client.HTTPConnection]] = (
            collections.defaultdict(list)
        )
        self._numbers = itertools.count(1)
        self._sent_at: list[float] = []
        self._ends_at = 0.0
        self.statuses: collections.Counter[str] = collections.Counter()
        first = gateways
        if disruption is Disruption.START_IN_TURN:
            first = 1
        for _ in range(first):
            self._add_gateway()

    def run(self) -> retry_checks.Usage:
        """Play, and return how much of the allowance was used."""
        try:
            for gateway in self._gateways:
                self._wait_until_ready(gateway)
            self._ends_at = timers.now() + PLAY_SECONDS
            disrupting = eventlet.spawn(self._disrupt)
            callers = self._call_until_end()
            disrupting.wait()
            for caller in callers:
                caller.wait()
            return retry_checks.measure(
                self._sent_at,
                [r for server in self._servers for r in server.requests],
                gateway_processes.RETRY_RULE,
            )
        finally:
            for gateway in self._gateways:
                gateway.close()

    def _add_gateway(self) -> None:
        self._gateways.append(
            gateway_processes.GatewayProcess(
                self._directory,
                self._later_hosts.popleft(),
                self._store_address,
            )
        )

    def _wait_until_ready(
        self, gateway: gateway_processes.GatewayProcess
    ) -> None:
        with eventlet.Timeout(READY_SECONDS):
            while True:
                with contextlib.suppress(OSError):
                    eventlet.connect((gateway.host, 7000)).close()
                    return
                eventlet.sleep(0.05)

    def _call_until_end(self) -> list[eventlet.greenthread.GreenThread]:
        callers = []
        while timers.now() < self._ends_at:
            eventlet.sleep(self._rng.expovariate(REQUESTS_PER_SECOND))
            gateway = self._rng.choice(self._gateways)
            callers.append(eventlet.spawn(self._call, gateway.host))
        return callers

    def _call(self, host: str) -> None:
        """Send one request, on a connection that is kept if it can be."""
        try:
            with eventlet.Timeout(ANSWER_SECONDS, TimeoutError('no answer')):
                connection = self._connect(host)
                number = next(self._numbers)
                self._sent_at.append(timers.now())
                connection.request(
                    'GET',
                    f'/lookup/{number}',
                    headers={
                        'Host': 'h.example',
                        headers.REQUEST_ID: f'r{number}',
                        headers.DEADLINE: str(int(ANSWER_SECONDS * 1000)),
                        headers.API_KEY: KEY,
                    },
                )
                response = connection.getresponse()
                response.read()
        except (OSError, http.client.HTTPException) as error:
            self.statuses[type(error).__name__] += 1
            return
        self.statuses[str(response.status)] += 1
        if not response.will_close:
            self._idle[host].append(connection)

    def _connect(self, host: str) -> http.client.HTTPConnection:
        if self._idle[host]:
            return self._idle[host].pop()
        connection = http.client.HTTPConnection(host, 7000)
        connection.sock = eventlet.connect((host, 7000))
        return connection

    def _disrupt(self) -> None:
        eventlet.sleep(CALM_SECONDS)
        while timers.now() < self._ends_at:
            disruption = self._disruption
            if disruption is Disruption.MIXED:
                disruption = self._rng.choice(MIXED)
            self._strike(disruption)

    def _strike(self, disruption: Disruption) -> None:
        match disruption:
            case Disruption.NONE:
                eventlet.sleep(1.0)
            case Disruption.KILL_ALL:
                self._on_all(lambda g: g.restart(signal.SIGKILL))
                eventlet.sleep(self._rng.uniform(2.0, 4.0))
            case Disruption.KILL_IN_TURN:
                self._rng.choice(self._gateways).restart(signal.SIGKILL)
                eventlet.sleep(self._rng.uniform(0.2, 0.8))
            case Disruption.STOP_ALL:
                self._on_all(lambda g: g.restart(signal.SIGTERM))
                eventlet.sleep(self._rng.uniform(2.0, 4.0))
            case Disruption.START_IN_TURN:
                if self._later_hosts:
                    self._add_gateway()
                eventlet.sleep(self._rng.uniform(2.0, 3.0))
            case Disruption.SUSPEND_MOST:
                self._on_some(lambda g: g.suspend(14.0))
            case Disruption.SUSPEND_ALL:
                self._on_all(lambda g: g.suspend(2.5))
                eventlet.sleep(self._rng.uniform(2.0, 4.0))
            case Disruption.UNREGISTER_MOST:
                self._unregister(self._gateways[1:])
                eventlet.sleep(1.0)
            case Disruption.RESTORE_STORE:
                saved = self._store.copy()
                eventlet.sleep(self._rng.uniform(1.0, 4.0))
                self._store.restore(saved)
                self._write_again()
            case Disruption.CUT_OFF_STORE:
                self._store.is_down = True
                eventlet.sleep(self._rng.uniform(1.0, 4.0))
                self._store.is_down = False
                eventlet.sleep(self._rng.uniform(1.0, 4.0))

    def _on_all(
        self, act: Callable[[gateway_processes.GatewayProcess], None]
    ) -> None:
        tasks = [eventlet.spawn(act, gateway) for gateway in self._gateways]
        for task in tasks:
            task.wait()

    def _on_some(
        self, act: Callable[[gateway_processes.GatewayProcess], None]
    ) -> None:
        """Act on all gateways but one."""
        spared = self._rng.choice(self._gateways)
        tasks = [
            eventlet.spawn(act, gateway)
            for gateway in self._gateways
            if gateway is not spared
        ]
        for task in tasks:
            task.wait()

    def _unregister(
        self, gateways: list[gateway_processes.GatewayProcess]
    ) -> None:
        kind = shared_records.GatewayRegistry.KIND
        for gateway in gateways:
            if gateway.name in self._store.objects_by_kind[kind]:
                self._store.remove(kind, gateway.name)

    def _write_again(self) -> None:
        """Write what the operator and the servers had written."""
        self._store.put('config', 'main', CONFIGURATION)
        for server in self._servers:
            server.update_entry()


MIXED = (
    Disruption.KILL_ALL,
    Disruption.KILL_IN_TURN,
    Disruption.STOP_ALL,
    Disruption.START_IN_TURN,
    Disruption.SUSPEND_ALL,
    Disruption.UNREGISTER_MOST,
    Disruption.RESTORE_STORE,
    Disruption.CUT_OFF_STORE,
)


def play(
    disruption: Disruption,
    seed: int,
    keep: pathlib.Path | None = None,
    gateways: int = GATEWAY_COUNT,
) -> tuple[retry_checks.Usage, collections.Counter[str]]:
    """Play one seed.

    :param keep: folder for the gateways' logs if the rule is broken
    :returns: the use of the allowance, and answers by status
    """
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        storm = Storm(disruption, seed, directory, gateways)
        usage = storm.run()
        if usage.windows_over and keep:
            kept = keep / f'retries-{disruption.value}-{seed}'
            kept.mkdir(parents=True, exist_ok=True)
            for log in directory.glob('*.log'):
                (kept / log.name).write_bytes(log.read_bytes())
    return usage, storm.statuses
