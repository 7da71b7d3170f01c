"""Gateways as processes of their own, with settings for a soak."""

import dataclasses
import math
import os
import pathlib
import random
import signal
import subprocess
import sys

import eventlet

from burdockmast.base import timers
from burdockmast.bench import retry_checks
from burdockmast.platform import settings

# Time without disruption after which a gateway keeps all promises.
STABLE_SECONDS = 3.0
# From the stop signal until the process must have ended.
GRACE_SECONDS = 8
# A process ignores the reload signal only once it has started.
START_SECONDS = 3.0
# Memory of an instance of the usual size.
MEMORY_MB = 300
# Bounds on retries, over all gateways.
RETRY_RULE = retry_checks.RetryRule(ratio=0.2, slack=200, window_seconds=10.0)


@dataclasses.dataclass(slots=True)
class Outage:
    """A signal's effect on a gateway, in monotonic seconds.

    :ivar ended_at: at which it went on, or was started again
    """

    signal: signal.Signals
    began_at: float
    ended_at: float = math.inf


class GatewayProcess:
    """One gateway as a process of its own."""

    def __init__(
        self,
        directory: pathlib.Path,
        host: str,
        store: str,
        memory_mb: int = MEMORY_MB,
        zone: str = 'a',
    ):
        """Write the settings and start the process."""
        self.host = host
        self.name = f'gateway-{host}'
        self.excused_until = 0.0
        self.outages: list[Outage] = []
        self._replaced: subprocess.Popen | None = None
        self._file = directory / f'{host}.toml'
        self._file.write_text(
            f'node = "{self.name}"\nip = "{host}"\nzone = "{zone}"\n'
            'internal-ports = [7010, 7020]\n'
            '[zones]\na = "region"\nb = "region"\n'
            f'[listen]\nfront = "{host}:7000"\nready = "{host}:7001"\n'
            f'[bounds]\nrevoke-ms = 5000\ngrace-s = {GRACE_SECONDS}\n'
            f'budget-ratio = {RETRY_RULE.ratio}\n'
            f'budget-window-s = {RETRY_RULE.window_seconds}\n'
            f'retry-slack = {RETRY_RULE.slack}\ndrain-ms = 2000\n'
            f'[limits]\nmemory-mb = {memory_mb}\n'
            f'[platform]\naddress = "{store}"\n'
        )
        self._log = (directory / f'{host}.log').open('ab')
        self.start()

    def start(self) -> None:
        """Start the process."""
        self._started_at = timers.now()
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'burdockmast.platform.program'],
            env={**os.environ, settings.PATH_VARIABLE: str(self._file)},
            stdout=self._log,
            stderr=self._log,
        )

    def strike(self, rng: random.Random) -> str:
        """Kill, stop or suspend the process, and start it again."""
        number = rng.choice((signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP))
        seconds = rng.uniform(0.5, 2.5)
        if number is signal.SIGSTOP:
            self.suspend(seconds)
        else:
            self.restart(number)
        return f'{number.name} for {seconds:.1f} s at {self.host}'

    def restart(self, number: signal.Signals) -> None:
        """End the process with a signal, and start the next one."""
        outage = self._begin_outage(number)
        process = self.process
        process.send_signal(number)
        while process.poll() is None:
            eventlet.sleep(0.05)
        # Another fault may have ended it as well. A start lets other tasks
        # run before it returns.
        if self._replaced is not process:
            self._replaced = process
            self.start()
        self._end_outage(outage)

    def suspend(self, seconds: float) -> None:
        """Suspend the process for some time."""
        outage = self._begin_outage(signal.SIGSTOP)
        process = self.process
        process.send_signal(signal.SIGSTOP)
        eventlet.sleep(seconds)
        process.send_signal(signal.SIGCONT)
        self._end_outage(outage)

    def _begin_outage(self, number: signal.Signals) -> Outage:
        outage = Outage(number, timers.now())
        self.outages.append(outage)
        return outage

    def _end_outage(self, outage: Outage) -> None:
        outage.ended_at = timers.now()
        self.excused_until = outage.ended_at + STABLE_SECONDS

    def reload(self) -> None:
        """Send the reload signal, unless the process has just started."""
        if timers.now() > self._started_at + START_SECONDS:
            self.process.send_signal(signal.SIGHUP)

    def close(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.wait()
        self._log.close()
