"""A crowd of bodies in tiny chunks takes more memory than the machine has."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from rig_3 import crowds  # noqa: E402
from rig_3 import fleet as fleets  # noqa: E402

CROWD = 1000
CHUNK_BYTES = 16
CHUNKS = (b'%x\r\n' % CHUNK_BYTES + b'x' * CHUNK_BYTES + b'\r\n') * 10000
PIECES = 24
CLIENTS = 8
SECONDS = 25.0
KIB_PER_MIB = 1024


class MemoryLimit:
    """Kills a process that exceeds its memory, as the platform does."""

    def __init__(self, gateway, limit_mib):
        """Watch the resident memory of a gateway."""
        self.peak_mib = 0.0
        self.has_killed = False
        self._gateway = gateway
        self._limit_mib = limit_mib
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        status = pathlib.Path(f'/proc/{self._gateway.process.pid}/status')
        while self._gateway.process.poll() is None:
            for line in status.read_text().splitlines():
                if line.startswith('VmRSS:'):
                    mib = int(line.split()[1]) / KIB_PER_MIB
                    self.peak_mib = max(self.peak_mib, mib)
            if self.peak_mib > self._limit_mib:
                self.has_killed = True
                self._gateway.process.kill()
            time.sleep(0.05)


def script(fleet):
    """Return whether the gateway took more memory than its machine has."""
    fleet.store.put('config', 'main', fleets.configuration())
    for name in ('i-7f3a91c2', 'i-02d9e6b4'):
        fleets.Replica(fleet, name, fleets.PLAIN_SERVICE)
    gateway = fleets.Gateway(fleet, 1, **fleets.SMALL_MACHINE)
    fleet.wait_for(gateway.is_ready, 'the gateway')
    limit = MemoryLimit(gateway, fleets.SMALL_MACHINE['memory_mb'])
    calm = crowds.ask_at_once(fleet, gateway, CLIENTS, 1.5)
    fleet.record(
        f'in calm, ordinary clients get {calm}; resident memory '
        f'{limit.peak_mib:.0f} MiB of {fleets.SMALL_MACHINE["memory_mb"]}'
    )
    crowd = crowds.Crowd(fleet, gateway)
    if fleet.has_trouble:
        crowd.send(CROWD, [CHUNKS] * PIECES)
        fleet.record(
            f'{CROWD} clients send {CHUNK_BYTES * 10000 * PIECES} bytes '
            f'each, in chunks of {CHUNK_BYTES}, without the last chunk'
        )
    until = time.monotonic() + SECONDS
    while time.monotonic() < until and not limit.has_killed:
        time.sleep(1.0)
        fleet.record(f'resident memory so far {limit.peak_mib:.0f} MiB')
    if limit.has_killed:
        fleet.record('the platform killed the process: over its memory')
    after = crowds.ask_at_once(fleet, gateway, CLIENTS, 1.5)
    fleet.record(f'ordinary clients get {after}')
    crowd.close()
    return limit.has_killed


fleets.run(__file__, script)
