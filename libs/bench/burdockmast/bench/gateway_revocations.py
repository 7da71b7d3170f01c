"""Revokes all API keys in a play of faults on gateways."""

from collections.abc import Callable
import random
import signal

import eventlet

from burdockmast.base import timers
from burdockmast.bench import gateway_callers
from burdockmast.bench import gateway_checks
from burdockmast.bench import gateway_processes
from burdockmast.platform import standin

# Time without keys in force, and the part of it in which faults begin.
KEYLESS_SECONDS = 8.5
FAULT_SECONDS = 6.0
FAULT_COUNT = 3
STORE_DOWN_SECONDS = (0.5, 3.0)
HELD_KEY = gateway_callers.KEY
# What callers send as a key; only the first was ever in force.
KEYS = (HELD_KEY, 'never-held', '')
# Tenants of configurations in which no key is in force.
KEYLESS_TENANTS = (
    [{'name': 'fes', 'api-keys': []}],
    [{'name': 'fes'}, {'name': 'meknes', 'api-keys': []}],
    [{'name': 'fes', 'api-keys': ['']}],
    [],
    'unreadable',
)


class Revocation:
    """A time without any key in force, in which other faults go on."""

    def __init__(
        self,
        rng: random.Random,
        report: gateway_checks.Report,
        gateways: list[gateway_processes.GatewayProcess],
        store: standin.MetadataStore,
        callers: gateway_callers.Callers,
    ):
        """Create a revocation that adds to a report."""
        self._rng = rng
        self._report = report
        self._gateways = gateways
        self._store = store
        self._callers = callers

    def play(
        self,
        write_tenants: Callable[[object], None],
        servers: list[standin.BackendServer],
    ) -> None:
        """Revoke all keys, and check that no request runs without one.

        :param write_tenants: writes a configuration with these tenants
        """
        tenants = self._rng.choice(KEYLESS_TENANTS)
        until = timers.now() + KEYLESS_SECONDS
        tasks = [
            eventlet.spawn(self._callers.call_with_key, gateway, key, until)
            for gateway in self._gateways
            for key in KEYS
        ]
        eventlet.sleep(self._rng.uniform(0.1, 0.5))
        write_tenants(tenants)
        revoked_at = timers.now()
        self._report.faults.append(f'keys revoked: {tenants}')
        tasks += [eventlet.spawn(self._strike) for _ in range(FAULT_COUNT)]
        for task in tasks:
            task.wait()
        self._report.violations += gateway_checks.find_unauthorized(
            self._callers.sent, servers, HELD_KEY, revoked_at
        )

    def _strike(self) -> None:
        rng = self._rng
        eventlet.sleep(rng.uniform(0.0, FAULT_SECONDS))
        gateway = rng.choice(self._gateways)
        match rng.randrange(4):
            case 0:
                found = gateway.strike(rng)
            case 1:
                gateway.restart(signal.SIGTERM)
                found = f'planned stop of {gateway.host}'
            case 2:
                gateway.reload()
                found = f'SIGHUP at {gateway.host}'
            case _:
                self._store.is_down = True
                eventlet.sleep(rng.uniform(*STORE_DOWN_SECONDS))
                self._store.is_down = False
                found = 'store down'
        self._report.faults.append(f'without keys: {found}')
