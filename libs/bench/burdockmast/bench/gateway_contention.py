"""Faults and load of a play in which requests compete for engine servers.

Priorities, slow hops between zones, servers without memory, deaths of servers
in the middle of paths, and untrusted callers. The seed decides which of them
a play has.
"""

import collections
import dataclasses
import random

import eventlet

from burdockmast.bench import gateway_callers
from burdockmast.bench import gateway_processes
from burdockmast.bench import gateway_untrusted
from burdockmast.platform import standin
from burdockmast.platform import standin_paths

# Plays of lower seeds have none of these, so that the seeds in the regression
# tests keep the faults for which they were kept.
FIRST_SEED = 10000
BULK_PATH = '/bulk/'
PRIORITY_BY_PATH = {'/draft/': 1, '/long/': 5, '/once/': 5, BULK_PATH: 9}
ZONES = ('a', 'b')
HOP_SECONDS = 0.02
# In which new stages of a changed path process the tokens so far.
PREFILL_SECONDS = 0.05
# Room for about three long answers at each server.
SCARCE_KV_BYTES = 18_000_000
BULK_CALLERS_PER_GATEWAY = 3
UNTRUSTED_CALLERS_PER_GATEWAY = 3
MEMORY_FAULT_COUNT = 4
DEATH_FAULT_COUNT = 5
# Tokens for each layer that fit on a server without memory.
FULL_TOKENS = (120, 250, 400)
FULL_SECONDS = (0.5, 3.0)
DEATH_SECONDS = (0.3, 4.0)
# How often a fault looks for a request on a path of several servers.
POLL_SECONDS = 0.02
# Ends of the times in which faults begin.
FIRST_FAULT_SECONDS = 0.5
LAST_FAULT_SECONDS = 9.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a play has."""

    has_priorities: bool = False
    has_slow_hops: bool = False
    has_full_servers: bool = False
    has_deaths: bool = False
    has_untrusted: bool = False

    @classmethod
    def from_seed(cls, seed: int) -> 'Plan':
        """Return the plan of a seed."""
        if seed < FIRST_SEED:
            return cls()
        rng = random.Random(f'contention {seed}')
        return cls(*(rng.random() < 0.5 for _ in dataclasses.fields(cls)))

    def describe(self) -> str:
        """Return the names of what the play has."""
        names = [name for name, on in dataclasses.asdict(self).items() if on]
        return ', '.join(names) or 'no contention'

    def zone(self, number: int) -> str:
        """Return the zone of the server or gateway of a number."""
        return ZONES[number % len(ZONES)] if self.has_slow_hops else ZONES[0]

    def configure(self, configuration: dict) -> dict:
        """Return a configuration with the plan's priorities and delays."""
        routes = list(configuration['routes'])
        engine = dict(configuration['services'][0]['engine'])
        if self.has_priorities:
            long = next(r for r in routes if r['name'] == 'long')
            bulk = {**long, 'name': 'bulk', 'path-prefix': BULK_PATH}
            routes = [
                {**r, 'priority': PRIORITY_BY_PATH.get(r['path-prefix'], 5)}
                for r in (bulk, *routes)
            ]
            engine['kv-bytes'] = SCARCE_KV_BYTES
        if self.has_slow_hops:
            engine |= {
                'act-bytes': 16384,
                'pipe-mbps': 500.0,
                'delays': [
                    {'from': a, 'to': b, 'delay_ms': HOP_SECONDS * 1000}
                    for a, b in (ZONES, ZONES[::-1])
                ],
            }
        llm = {**configuration['services'][0], 'engine': engine}
        services = [llm, *configuration['services'][1:]]
        return {**configuration, 'routes': routes, 'services': services}


class Contention:
    """Engine servers that run requests together, and their faults.

    :ivar plan: what the play has
    :ivar engine: records runs, paths and rejections
    """

    def __init__(
        self,
        seed: int,
        layers: int,
        servers: list[standin.BackendServer],
        faults: list[str],
    ):
        """Join the servers if the seed has a plan.

        :param faults: what happens is added to this list
        """
        self.plan = Plan.from_seed(seed)
        self.engine = standin_paths.PathEngine(layers)
        self._servers = servers
        self._faults = faults
        self._memory_rng = random.Random(f'memory {seed}')
        self._death_rng = random.Random(f'deaths {seed}')
        if seed < FIRST_SEED:
            return
        self.engine.prefill_seconds = PREFILL_SECONDS
        faults.append(self.plan.describe())
        for server in servers:
            server.join(self.engine)
            server.pace_by_path[BULK_PATH] = gateway_callers.LONG_PACE
        if self.plan.has_slow_hops:
            self.engine.hop_seconds_by_zones = {
                ZONES: HOP_SECONDS,
                ZONES[::-1]: HOP_SECONDS,
            }

    def spawn_callers(
        self,
        callers: gateway_callers.Callers,
        gateways: list[gateway_processes.GatewayProcess],
        until: float,
    ) -> list[eventlet.greenthread.GreenThread]:
        """Start the callers that the plan adds."""
        tasks = []
        for number, gateway in enumerate(gateways):
            if self.plan.has_priorities:
                tasks += [
                    eventlet.spawn(
                        callers.call_at_length,
                        gateway,
                        random.Random(f'bulk {number} {n}'),
                        until,
                        list,
                        (BULK_PATH,),
                    )
                    for n in range(BULK_CALLERS_PER_GATEWAY)
                ]
            if self.plan.has_untrusted:
                tasks += [
                    eventlet.spawn(
                        gateway_untrusted.call,
                        gateway.host,
                        random.Random(f'untrusted {number} {n}'),
                        until,
                    )
                    for n in range(UNTRUSTED_CALLERS_PER_GATEWAY)
                ]
        return tasks

    def spawn_faults(self) -> list[eventlet.greenthread.GreenThread]:
        """Start the faults of the plan."""
        faults = [self._fill_memory] * (
            MEMORY_FAULT_COUNT * self.plan.has_full_servers
        ) + [self._kill_in_mid_path] * (
            DEATH_FAULT_COUNT * self.plan.has_deaths
        )
        return [eventlet.spawn(fault) for fault in faults]

    def count(self, statuses: collections.Counter[str]) -> None:
        """Add what the engine has recorded to the counts of a report."""
        for rejection in self.engine.rejections:
            statuses[f'rejected: {rejection.cause.value}'] += 1
        for run in self.engine.runs:
            statuses['path changes'] += len(run.changed_at)
            statuses['runs aborted'] += run.is_aborted

    def _fill_memory(self) -> None:
        """Let some servers reject requests for want of memory."""
        rng = self._memory_rng
        eventlet.sleep(rng.uniform(FIRST_FAULT_SECONDS, LAST_FAULT_SECONDS))
        count = rng.choice((1, 2, len(self._servers)))
        servers = rng.sample(self._servers, count)
        tokens = rng.choice(FULL_TOKENS)
        for server in servers:
            server.kv_total = tokens * server.layer_count
        eventlet.sleep(rng.uniform(*FULL_SECONDS))
        for server in servers:
            server.kv_total = float('inf')
        self._faults.append(f'{count} servers with memory for {tokens} tokens')

    def _kill_in_mid_path(self) -> None:
        """End a server that is on the path of a request, but not first."""
        rng = self._death_rng
        eventlet.sleep(rng.uniform(FIRST_FAULT_SECONDS, LAST_FAULT_SECONDS))
        with eventlet.Timeout(LAST_FAULT_SECONDS, False):
            while not (victims := self._mid_path_servers()):
                eventlet.sleep(POLL_SECONDS)
            server = rng.choice(victims)
            seconds = rng.uniform(*DEATH_SECONDS)
            server.die(seconds)
            self._faults.append(f'{server.id} dies for {seconds:.1f} s')

    def _mid_path_servers(self) -> list[standin.BackendServer]:
        addresses = {
            stage.address
            for run in self.engine.runs
            if run.is_active
            for stage in run.path[1:]
        }
        return [
            server
            for server in self._servers
            if server.address in addresses and not server.is_down
        ]
