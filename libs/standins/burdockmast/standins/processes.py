"""Starts and ends processes on this machine, by their ids.

For tests, demos and benches only; no daemon uses it.
"""

import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from typing import Any

HOST = '127.0.0.1'
# Seconds until a process or a fleet must have come up.
START_SECONDS = 60.0
POLL_SECONDS = 0.02
PORTS = 400
LISTENING_PORTS = range(10_000, 32_000)


class NotReady(Exception):
    """Something did not come up in time."""


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on now.

    They lie below those that the system gives to outgoing connections: one
    of these could take a port before its process has been started.
    """
    candidates = list(LISTENING_PORTS)
    random.shuffle(candidates)
    found = []
    for port in candidates:
        if len(found) == count:
            break
        if _is_free(port):
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


def wait_until(condition, what: str, seconds: float = START_SECONDS) -> Any:
    """Wait for a condition and return its value.

    :raises NotReady: naming ``what``
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise NotReady(f'after {seconds} s still not: {what}')


class Processes:
    """Python processes by name, each with an address and a log."""

    def __init__(self, folder: pathlib.Path):
        """Create the record of processes; nothing runs yet.

        :param folder: where logs are written
        """
        self.folder = pathlib.Path(folder)
        self.process_by_name: dict[str, subprocess.Popen] = {}
        self.address_by_name: dict[str, str] = {}
        self._command_by_name: dict[str, tuple[str, ...]] = {}
        self._ports = iter(free_ports(PORTS))

    def add_address(self, name: str) -> str:
        """Give a process an address, the same each time."""
        if name not in self.address_by_name:
            self.address_by_name[name] = f'{HOST}:{next(self._ports)}'
        return self.address_by_name[name]

    def url(self, name: str) -> str:
        """Return the base URL of a process."""
        return f'http://{self.address_by_name[name]}'

    def start(self, name: str, *command: str) -> None:
        """Start a process, or one again that was ended."""
        command = command or self._command_by_name[name]
        self._command_by_name[name] = command
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.process_by_name[name] = subprocess.Popen(
                [sys.executable, '-W', 'ignore', '-m', *command],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def pid(self, name: str) -> int:
        """Return a process's id."""
        return self.process_by_name[name].pid

    def kill(self, name: str) -> None:
        """End a process without warning."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str, seconds: float = 60.0) -> int:
        """Stop a process as planned; return its exit status."""
        process = self.process_by_name.pop(name)
        process.terminate()
        return process.wait(seconds)

    def freeze(self, name: str) -> None:
        """Pause a process."""
        os.kill(self.pid(name), signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a paused process go on."""
        os.kill(self.pid(name), signal.SIGCONT)

    def close(self) -> None:
        """End all processes."""
        for process in self.process_by_name.values():
            process.kill()
        for process in self.process_by_name.values():
            process.wait()
        self.process_by_name.clear()

    def log(self, name: str) -> str:
        """Return what a process has logged."""
        return (self.folder / f'{name}.log').read_text()

    def check_alive(self) -> None:
        """Check that all processes run.

        :raises NotReady: naming one that has ended, with its log
        """
        for name, process in self.process_by_name.items():
            if process.poll() is not None:
                raise NotReady(f'{name} has ended:\n{self.log(name)}')
