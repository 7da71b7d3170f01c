"""A plain replica that follows the platform's pages.

Usage: python3 -m rig.replica OPTIONS, a JSON object with the fields of
``Options``. It writes one JSON line to its log for each request that it runs,
when it begins to run it.

SIGUSR1: the replica leaves without reporting ``draining``. Its entry is
removed, it says so in all its answers, and goes on serving.
"""

import asyncio
import dataclasses
import hashlib
import json
import signal
import sys
import time

from rig import wire

HEARTBEAT_SECONDS = 1.2
INSTANCE = 'Burdockmast-Instance-Id'
ANSWER_BYTES = 800


@dataclasses.dataclass(slots=True)
class Options:
    """What a replica is.

    :ivar log: file to which it writes what it runs
    :ivar store: address of the platform's store
    :ivar unframed_path: requests whose path begins so get an answer without
        a length, in two parts
    :ivar part_seconds: time between these parts
    """

    id: str
    service: str
    zone: str
    host: str
    port: int
    store: str
    log: str
    work_seconds: float = 0.045
    unframed_path: str = ''
    part_seconds: float = 0.0


def answer_of(request_id: str) -> bytes:
    """Return the body with which each replica answers a request."""
    seed = hashlib.sha256(request_id.encode()).hexdigest()
    return (seed * (ANSWER_BYTES // len(seed) + 1)).encode()[:ANSWER_BYTES]


class Replica:
    """One replica."""

    def __init__(self, options: Options):
        """Create a replica that doesn't serve yet."""
        self._options = options
        self._is_leaving = False
        self._born = int(time.time() * 1000)
        self._log = open(options.log, 'a', encoding='utf-8')  # noqa: SIM115

    def record(self, what: str, **fields: object) -> None:
        """Write a line to the log."""
        line = {'at': time.monotonic(), 'replica': self._options.id}
        self._log.write(json.dumps({**line, 'what': what, **fields}) + '\n')
        self._log.flush()

    async def run(self) -> None:
        """Serve until the process is ended."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self._leave)
        options = self._options
        server = await asyncio.start_server(
            self._serve, options.host, options.port
        )
        self.record('started')
        await asyncio.gather(server.serve_forever(), self._beat())

    def _leave(self) -> None:
        if not self._is_leaving:
            self._is_leaving = True
            asyncio.ensure_future(self._remove_entry())

    async def _remove_entry(self) -> None:
        name = f'/api/objects/servers/{self._options.id}'
        status = await self._call('DELETE', name)
        self.record('entry removed', status=status)

    async def _beat(self) -> None:
        options = self._options
        entry = {
            'metadata': {'name': options.id},
            'spec': {
                'service': options.service,
                'address': f'{options.host}:{options.port}',
                'zone': options.zone,
                'version': 'v1',
                'slots': 6,
                'state': 'ready',
                'cold-remaining-ms': 0,
                'sequence': 1,
                'born': self._born,
            },
        }
        kind = '/api/objects/servers'
        while not self._is_leaving:
            try:
                if await self._call('PUT', f'{kind}/{options.id}', entry) == (
                    404
                ):
                    await self._call('POST', kind, entry)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _call(self, method: str, path: str, body: object = None) -> int:
        host, _, port = self._options.store.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = json.dumps(body).encode() if body else b''
            writer.write(wire.encode_request(method, path, {}, data))
            reply = await wire.read_message(reader, True)
            return int(reply.start[1]) if reply else 0
        finally:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while request := await wire.read_message(reader):
                await self._answer(request, writer)
                if 'close' in request.headers.get('connection', ''):
                    break
        except (OSError, wire.ProtocolError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> None:
        method, path = request.start[0], request.start[1]
        given = request.headers
        headers: dict[str, object] = {INSTANCE: self._options.id}
        if self._is_leaving:
            headers['Server-Leaving'] = 1
        if given.get('burdockmast-expect-instance', self._options.id) != (
            self._options.id
        ):
            writer.write(wire.encode_reply(421, headers, b''))
            return
        if path == '/health':
            writer.write(wire.encode_reply(200, headers, b''))
            return
        request_id = given.get('burdockmast-request-id', '')
        self.record(
            'runs',
            request=request_id,
            method=method,
            path=path,
            bytes=len(request.body),
            digest=hashlib.sha256(request.body).hexdigest()[:16],
            tenant=given.get('burdockmast-tenant'),
            leaving=self._is_leaving,
        )
        headers['Burdockmast-Request-Id'] = request_id
        headers['Burdockmast-Response-Seal'] = f'seal.{self._options.id}'
        await asyncio.sleep(self._options.work_seconds)
        body = answer_of(request_id)
        unframed_path = self._options.unframed_path
        if not unframed_path or not path.startswith(unframed_path):
            writer.write(wire.encode_reply(200, headers, body))
            await writer.drain()
            return
        headers['Connection'] = 'close'
        half = len(body) // 2
        writer.write(wire.encode_reply(200, headers, None) + body[:half])
        await writer.drain()
        await asyncio.sleep(self._options.part_seconds)
        writer.write(body[half:])
        await writer.drain()


if __name__ == '__main__':
    asyncio.run(Replica(Options(**json.loads(sys.argv[1]))).run())
