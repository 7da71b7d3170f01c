"""Many callers in one process, each with a kept connection.

Usage: python3 -m rig.callers OPTIONS, a JSON object with the fields of
``Options``. Each caller sends one request after the other. It writes a line
for each new connection that it tried, and for each answer.
"""

import asyncio
import dataclasses
import json
import random
import sys
import time

from rig import wire

# Callers allow a new connection one second.
CONNECT_SECONDS = 1.0
# Pause after a request that was not served.
PAUSE_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class Options:
    """Who calls what.

    :ivar name: begins the names of the callers and their requests
    :ivar ramp_seconds: over which the callers come, one by one
    :ivar until: monotonic seconds
    :ivar log: file for the lines
    """

    name: str
    count: int
    address: str
    host: str
    path: str
    key: str
    deadline_ms: int
    ramp_seconds: float
    until: float
    log: str


class Caller:
    """One caller."""

    def __init__(self, options: Options, name: str, log: object):
        """Create a caller without a connection."""
        self._options = options
        self._name = name
        self._log = log
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._number = 0

    def _record(self, what: str, outcome: object) -> None:
        line = [time.monotonic(), self._name, what, outcome]
        self._log.write(json.dumps(line) + '\n')

    async def run(self) -> None:
        """Send requests up to the end."""
        while time.monotonic() < self._options.until:
            if not await self._send():
                self._close()
                await asyncio.sleep(PAUSE_SECONDS * random.uniform(0.8, 1.2))
        self._close()

    async def _connect(self) -> bool:
        host, _, port = self._options.address.rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                self._reader, self._writer = await asyncio.open_connection(
                    host, int(port)
                )
        except (OSError, TimeoutError) as error:
            self._record('connect', type(error).__name__)
            return False
        self._record('connect', 'open')
        return True

    async def _send(self) -> bool:
        """Send a request; return whether it was served."""
        if self._writer is None and not await self._connect():
            return False
        options = self._options
        self._number += 1
        request = f'{self._name}.{self._number}'
        headers = {
            'Host': options.host,
            'Burdockmast-Request-Id': request,
            'Burdockmast-Deadline-Ms': options.deadline_ms,
            'Burdockmast-Key': options.key,
        }
        path = f'{options.path}{request}'
        try:
            async with asyncio.timeout(options.deadline_ms / 1000):
                self._writer.write(wire.encode_request('GET', path, headers))
                reply = await wire.read_message(self._reader, True)
        except (OSError, TimeoutError, wire.ProtocolError) as error:
            self._record('answer', type(error).__name__)
            return False
        if reply is None:
            self._record('answer', 'closed')
            return False
        self._record('answer', reply.start[1])
        if 'close' in reply.headers.get('connection', ''):
            self._close()
        return reply.start[1] == '200'

    def _close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._writer = None


async def main(options: Options) -> None:
    """Let all callers call."""
    with open(options.log, 'a', encoding='utf-8', buffering=1) as log:
        tasks = []
        for number in range(options.count):
            caller = Caller(options, f'{options.name}-{number}', log)
            tasks.append(asyncio.ensure_future(caller.run()))
            await asyncio.sleep(options.ramp_seconds / options.count)
        await asyncio.gather(*tasks)


if __name__ == '__main__':
    asyncio.run(main(Options(**json.loads(sys.argv[1]))))
