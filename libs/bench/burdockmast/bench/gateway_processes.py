"""Gateways as processes of their own, with settings for a soak."""

import os
import pathlib
import random
import signal
import subprocess
import sys

import eventlet

from burdockmast.base import timers
from burdockmast.platform import settings

# Time without disruption after which a gateway keeps all promises.
STABLE_SECONDS = 3.0


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
