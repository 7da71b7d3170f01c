"""A small metadata store that follows the platform's pages.

Usage: python3 -m rig.metadata_store HOST PORT
"""

import asyncio
import json
import sys
import time
from urllib import parse

from rig import wire

PREFIX = '/api/objects/'
HEARTBEAT_SECONDS = 1.2
# Entries of servers are removed after this time without a write.
EXPIRY_SECONDS = 3 * HEARTBEAT_SECONDS
EXPIRING_KIND = 'servers'
ERA = '1'


class Store:
    """Objects by kind and name, with revisions and watches."""

    def __init__(self):
        """Create an empty store."""
        self.revision = 1
        self._objects: dict[str, dict[str, dict]] = {}
        self._written_at: dict[str, float] = {}
        self._history: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()

    def _record(self, kind: str, stored: dict, deleted: bool) -> None:
        event = json.loads(json.dumps(stored))
        self._history.append((self.revision, kind, event, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    def _put(self, kind: str, name: str, body: dict) -> dict:
        stored = self._objects.setdefault(kind, {}).get(name)
        spec = body.get('spec')
        if kind == EXPIRING_KIND:
            self._written_at[name] = time.monotonic()
        if stored is not None and stored['spec'] == spec:
            return stored
        self.revision += 1
        created = stored['metadata']['created-rev'] if stored else None
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created-rev': created or self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self._objects[kind][name] = stored
        self._record(kind, stored, False)
        return stored

    def delete(self, kind: str, name: str) -> int:
        """Remove an object; return the status."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is None:
            return 404
        self.revision += 1
        self._record(kind, stored, True)
        return 200

    async def expire(self) -> None:
        """Remove entries that their servers no longer write."""
        while True:
            await asyncio.sleep(0.1)
            oldest = time.monotonic() - EXPIRY_SECONDS
            for name in list(self._objects.get(EXPIRING_KIND, {})):
                if self._written_at[name] < oldest:
                    self.delete(EXPIRING_KIND, name)

    async def handle(self, request: wire.Message) -> tuple[int, object]:
        """Carry out a call."""
        method, target = request.start[0], request.start[1]
        path, _, query_text = target.partition('?')
        query = dict(parse.parse_qsl(query_text))
        kind, _, name = path.removeprefix(PREFIX).partition('/')
        body = json.loads(request.body) if request.body else {}
        found = self._objects.setdefault(kind, {})
        match method:
            case 'GET' if name:
                return (200, found[name]) if name in found else (404, None)
            case 'GET' if 'watch' in query:
                return await self._watch(kind, query)
            case 'GET':
                items = [
                    found[n]
                    for n in sorted(found)
                    if n > query.get('after', '')
                ]
                return 200, {
                    'items': items,
                    'has-more': False,
                    'current-rev': self.revision,
                }
            case 'POST':
                name = body['metadata']['name']
                if name in found:
                    return 409, found[name]
                return 201, self._put(kind, name, body)
            case 'PUT':
                if name not in found:
                    return 404, None
                revision = body.get('metadata', {}).get('revision')
                current = found[name]['metadata']['revision']
                if revision is not None and revision != current:
                    return 409, found[name]
                return 200, self._put(kind, name, body)
            case 'DELETE':
                return self.delete(kind, name), None
        return 400, None

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, object]:
        since = int(query['watch'])
        until = time.monotonic() + int(query.get('wait-ms', '0')) / 1000
        if since > self.revision:
            return 410, None
        while True:
            events = [
                {'object': stored, 'deleted': deleted}
                for revision, of_kind, stored, deleted in self._history
                if of_kind == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'current-rev': self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue


async def main(host: str, port: int) -> None:
    """Serve until the process is ended."""
    store = Store()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while request := await wire.read_message(reader):
                status, value = await store.handle(request)
                headers = {
                    'Content-Type': 'application/json',
                    'Store-Era': ERA,
                }
                body = json.dumps(value).encode()
                writer.write(wire.encode_reply(status, headers, body))
                await writer.drain()
        except (OSError, wire.ProtocolError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, host, port)
    await asyncio.gather(server.serve_forever(), store.expire())


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1], int(sys.argv[2])))
