"""Plays random faults on gateway processes before stand-in servers.

Servers crash on parts of prompts, name limits, leave, break off streams, fall
silent and go on; gateways are killed, stopped, suspended and told to reload;
the configuration changes, also the limits on callers while they send; the
store goes away, or comes back from an older copy; all API keys are revoked.
Faults come in series and overlap. In plays of higher seeds, requests compete
for servers as well: see gateway_contention.
Callers keep their connections open until the gateway is gone. What callers and
servers see is checked.
"""

import os
import pathlib
import random
import signal
import tempfile

import eventlet

from burdockmast.base import timers
from burdockmast.bench import gateway_callers
from burdockmast.bench import gateway_checks
from burdockmast.bench import gateway_contention
from burdockmast.bench import gateway_numbers
from burdockmast.bench import gateway_path_checks
from burdockmast.bench import gateway_processes
from burdockmast.bench import gateway_revocations
from burdockmast.bench import lost_requests
from burdockmast.bench import retry_checks
from burdockmast.platform import standin

GATEWAY_COUNT = 3
PLAY_SECONDS = 14.0
FAULT_COUNT = 8
# Faults of the store's content: changes, restores, servers that leave.
RECORD_FAULT_COUNT = 4
# Series of silences of one or several servers, and planned changes.
SILENCE_FAULT_COUNT = 5
CHANGE_FAULT_COUNT = 6
# Changes of the limits on callers.
LIMIT_FAULT_COUNT = 6
MAX_BODIES_BYTES = (1024, 1_000_000, 4_194_304, 16_777_216)
IDLE_TIMEOUTS_MS = (1000, 15000)
SILENT_SECONDS = (0.8, 2.2)
SILENCE_INTERVAL_SECONDS = (0.05, 0.5)
# Share of silences in which the servers report nothing either.
SILENT_REPORTS_SHARE = 0.3
BODY_PAUSE_SECONDS = 0.03
ROUTE_TIMEOUTS_MS = (3000, 8000, 20000)
# Callers of each gateway, and those that ask for long answers.
CALLERS_PER_GATEWAY = 3
LONG_CALLERS_PER_GATEWAY = 2
LAYERS = 80
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
            'max-attempts': attempts,
            'resumable': kind == 'streaming' and attempts > 1,
        }
        for name, kind, service, attempts in (
            ('long', 'streaming', 'llm', 2),
            ('once', 'streaming', 'llm', 1),
            ('narrow', 'streaming', 'speech', 2),
            ('draft', 'streaming', 'llm', 3),
            ('confirm', 'unsafe', 'app', 3),
            ('lookup', 'safe', 'app', 3),
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
        {'name': 'speech'},
    ],
    'tenants': [{'name': 'fes', 'api-keys': [gateway_callers.KEY]}],
}


class Play:
    """One play of a seed."""

    def __init__(
        self, seed: int, directory: pathlib.Path, gateways: int = GATEWAY_COUNT
    ):
        """Start servers and gateways."""
        self.report = gateway_checks.Report()
        self._rng = random.Random(seed)
        self._record_rng = random.Random(f'records {seed}')
        self._silence_rng = random.Random(f'silences {seed}')
        self._change_rng = random.Random(f'changes {seed}')
        self._limit_rng = random.Random(f'limits {seed}')
        process = os.getpid() % 60000
        network = f'127.{70 + process // 250 % 100}.{process % 250}'
        hosts = [f'{network}.{n + 1}' for n in range(gateways + 1)]
        plan = gateway_contention.Plan.from_seed(seed)
        self._store = standin.MetadataStore()
        self._engines = [
            standin.BackendServer(
                hosts[-1],
                self._store,
                {
                    'id': f'i-{n}',
                    'service': 'llm',
                    'zone': plan.zone(n),
                    'kind': 'big',
                },
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
        self._speech = standin.BackendServer(
            hosts[-1],
            self._store,
            {'id': 'i-speech', 'service': 'speech', 'zone': 'a', 'kind': ''},
        )
        self._servers = [*self._engines, *self._apps, self._speech]
        for server in self._servers:
            server.event_count = gateway_callers.EVENTS
            server.body_pause_seconds = BODY_PAUSE_SECONDS
            for path in gateway_callers.LONG_PATHS:
                server.pace_by_path[path] = gateway_callers.LONG_PACE
        self._contention = gateway_contention.Contention(
            seed, LAYERS, self._engines, self.report.faults
        )
        self._numbers = gateway_numbers.Numbers.from_seed(seed)
        self._numbers.set_up(self._store, self._servers)
        if seed >= gateway_numbers.FIRST_SEED:
            self.report.faults.append(self._numbers.describe())
        self._configuration = plan.configure(CONFIGURATION)
        self._put_configuration()
        address = standin.listen(hosts[-1], self._store)
        self._gateways = [
            gateway_processes.GatewayProcess(
                directory, host, address, zone=plan.zone(number)
            )
            for number, host in enumerate(hosts[:-1])
        ]
        self._timeouts: list[lost_requests.RouteTimeout] = []
        self._leaving_since: dict[str, float] = {}
        self._deadly_part = f'dead{seed:x}'
        self._callers = gateway_callers.Callers(
            self.report, self._deadly_part, self._numbers.ids_begin_after
        )
        self._revocation = gateway_revocations.Revocation(
            random.Random(f'keys {seed}'),
            self.report,
            self._gateways,
            self._store,
            self._callers,
        )
        self._named: dict[str, tuple[float, float]] = {}
        self._ends_at = 0.0

    def run(self) -> gateway_checks.Report:
        """Play the faults, then check that all gateways serve."""
        try:
            for gateway in self._gateways:
                self._callers.wait_until_served(gateway)
            self._ends_at = timers.now() + PLAY_SECONDS
            callers = [
                eventlet.spawn(
                    self._callers.call,
                    gateway,
                    random.Random(number),
                    self._ends_at,
                )
                for number, gateway in enumerate(
                    self._gateways * CALLERS_PER_GATEWAY
                )
            ]
            callers += [
                eventlet.spawn(
                    self._callers.call_at_length,
                    gateway,
                    random.Random(number),
                    self._ends_at,
                    self._added_paths,
                )
                for number, gateway in enumerate(
                    self._gateways * LONG_CALLERS_PER_GATEWAY
                )
            ]
            callers += self._contention.spawn_callers(
                self._callers, self._gateways, self._ends_at
            )
            faults = self._contention.spawn_faults() + [
                eventlet.spawn(fault)
                for fault, count in (
                    (self._strike, FAULT_COUNT),
                    (self._strike_records, RECORD_FAULT_COUNT),
                    (self._silence_servers, SILENCE_FAULT_COUNT),
                    (self._change, CHANGE_FAULT_COUNT),
                    (self._change_limits, LIMIT_FAULT_COUNT),
                )
                for _ in range(count)
            ]
            for task in (*faults, *callers):
                task.wait()
            for server in self._servers:
                server.limit = None
            for gateway in self._gateways:
                self._callers.wait_until_served(gateway)
                self._callers.wait_for_route(
                    gateway, self._configuration['routes'][-1]['path-prefix']
                )
            self._check()
            self._revoke_keys()
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
                self._store.break_next_stream_after = rng.randrange(
                    gateway_callers.EVENTS
                )
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

    def _silence_servers(self) -> None:
        """Let some servers fall silent in the middle of their answers."""
        rng = self._silence_rng
        eventlet.sleep(rng.uniform(0.5, PLAY_SECONDS - 4.0))
        count = rng.choice((1, 2, 4, len(self._servers)))
        servers = rng.sample(self._servers, count)
        with_reports = rng.random() < SILENT_REPORTS_SHARE
        times = rng.randrange(1, 4)
        for _ in range(times):
            seconds = rng.uniform(*SILENT_SECONDS)
            for server in servers:
                server.fall_silent(seconds, with_reports)
            eventlet.sleep(seconds + rng.uniform(*SILENCE_INTERVAL_SECONDS))
        reports = ', reports too' if with_reports else ''
        self.report.faults.append(
            f'{[s.id for s in servers]} silent {times} times{reports}'
        )

    def _change(self) -> None:
        """Change a route, or stop or reload gateways, as planned."""
        rng = self._change_rng
        eventlet.sleep(rng.uniform(0.5, PLAY_SECONDS - 4.0))
        match rng.randrange(4):
            case 0:
                route = rng.choice(CONFIGURATION['routes'])['name']
                timeout_ms = rng.choice(ROUTE_TIMEOUTS_MS)
                self._set_timeout(route, timeout_ms)
                found = f'timeout of {route} now {timeout_ms} ms'
            case 1:
                count = len(self._added_paths())
                self._remove_route()
                found = f'first of {count} added routes removed'
            case 2:
                gateways = rng.sample(
                    self._gateways, rng.randrange(1, len(self._gateways) + 1)
                )
                for gateway in gateways:
                    gateway.reload()
                found = f'SIGHUP at {[g.host for g in gateways]}'
            case _:
                gateway = rng.choice(self._gateways)
                gateway.restart(signal.SIGTERM)
                found = f'planned stop of {gateway.host}'
        self.report.faults.append(found)

    def _change_limits(self) -> None:
        """Change what callers may send, and how long they may stay idle."""
        rng = self._limit_rng
        eventlet.sleep(rng.uniform(0.5, PLAY_SECONDS - 4.0))
        limits = {
            'max-body-bytes': rng.choice(MAX_BODIES_BYTES),
            'idle-timeout-ms': rng.choice(IDLE_TIMEOUTS_MS),
        }
        self._write(limits=limits)
        self.report.faults.append(f'limits {limits}')

    def _added_paths(self) -> list[str]:
        """Return the prefixes of the routes that were added."""
        return [
            route['path-prefix']
            for route in self._configuration['routes']
            if route['name'].startswith('added-')
        ]

    def _add_route(self) -> None:
        version = self._configuration['version'] + 1
        added = {
            **CONFIGURATION['routes'][-1],
            'name': f'added-{version}',
            'path-prefix': f'/added-{version}/',
        }
        self._write(routes=[*self._configuration['routes'], added])

    def _remove_route(self) -> None:
        """Remove the route that was added first, if there is one."""
        removed = self._added_paths()[:1]
        self._write(
            routes=[
                route
                for route in self._configuration['routes']
                if route['path-prefix'] not in removed
            ]
        )

    def _set_timeout(self, name: str, timeout_ms: int) -> None:
        self._timeouts.append(
            lost_requests.RouteTimeout(
                f'/{name}/', timeout_ms / 1000, timers.now()
            )
        )
        self._write(
            routes=[
                {**route, 'timeout-ms': timeout_ms}
                if route['name'] == name
                else route
                for route in self._configuration['routes']
            ]
        )

    def _write(self, **changed: object) -> None:
        """Write the next version of the configuration."""
        self._configuration = {
            **self._configuration,
            'version': self._configuration['version'] + 1,
            **changed,
        }
        self._put_configuration()

    def _put_configuration(self) -> None:
        self._store.put(
            'config', 'main', self._numbers.write(self._configuration)
        )

    def _service_of(self, path: str) -> str:
        """Return the service that gets requests for a path.

        Routes that were added go where the last of the given ones does.
        """
        routes = self._configuration['routes']
        return next(
            (
                str(route['service'])
                for route in routes
                if path.startswith(str(route['path-prefix']))
            ),
            str(routes[-1]['service']),
        )

    def _write_again(self) -> None:
        """Write what the operator and the servers had written."""
        self._put_configuration()
        for server in self._servers:
            server.update_entry()

    def _revoke_keys(self) -> None:
        """Leave no key in force for a while, then check that all serve."""
        configuration = self._configuration
        self._revocation.play(
            lambda tenants: self._write(tenants=tenants), self._servers
        )
        self._write(tenants=configuration['tenants'])
        for gateway in self._gateways:
            self._callers.wait_until_served(gateway)

    def _check(self) -> None:
        """Add what the servers have seen to the violations."""
        excused = max(gateway.excused_until for gateway in self._gateways)
        violations = self.report.violations
        self._contention.count(self.report.statuses)
        for server in (*self._engines, *self._apps):
            if server.id in self._leaving_since:
                violations += gateway_checks.find_late_arrivals(
                    server,
                    self._leaving_since[server.id],
                    excused,
                    self._ends_at,
                )
            if server.id in self._named:
                named_at, limit = self._named[server.id]
                if server.engine:
                    # Its streams may stall, and gateways learn from heads.
                    named_at = max(named_at, server.limit_told_at)
                violations += gateway_checks.find_excess(
                    server, named_at, limit, excused, self._ends_at
                )
        for service, servers in (
            ('llm', self._engines),
            ('app', self._apps),
            ('speech', [self._speech]),
        ):
            violations += retry_checks.find_excess(
                service,
                [
                    request.sent_at
                    for request in self._callers.sent
                    if self._service_of(request.path) == service
                ],
                [seen for server in servers for seen in server.requests],
                gateway_processes.RETRY_RULE,
            )
        violations += gateway_checks.find_repeated_commands(self._apps)
        violations += gateway_checks.find_cut_bodies(
            self._callers.sent, self._apps
        )
        violations += gateway_path_checks.find_violations(
            self._contention.engine,
            self._callers.sent,
            self._servers,
            gateway_contention.PRIORITY_BY_PATH
            if self._contention.plan.has_priorities
            else {},
        )
        violations += gateway_checks.find_deadly_requests(
            self._engines, self._deadly_part
        )
        gateway_checks.find_lost(
            self.report,
            self._callers.sent,
            lost_requests.Circumstances.from_play(
                self._gateways, self._servers, self._timeouts
            ),
        )


def play(
    seed: int,
    keep: pathlib.Path | None = None,
    gateways: int = GATEWAY_COUNT,
) -> gateway_checks.Report:
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
