"""The platform's metadata store, as a process of its own.

It speaks what the page on the protocol says of objects, lists, watches and
entries of servers that expire. Its port is printed when it listens.
"""

import asyncio
import json
import sys
import time
import urllib.parse

from rig_2 import messages

HEARTBEAT_SECONDS = 1.2
PAGE = 500
CONFLICT = 409


class Store:
    """Objects by kind and name."""

    def __init__(self):
        """Create an empty store."""
        self.revision = 100
        self.by_kind: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self.written_at: dict[str, float] = {}
        self.changed = asyncio.Event()

    def _record(self, kind: str, stored: dict, deleted: bool) -> None:
        self.events.append((self.revision, kind, stored, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Create or replace an object."""
        objects = self.by_kind.setdefault(kind, {})
        before = objects.get(name)
        if kind == 'servers':
            self.written_at[name] = time.monotonic()
        if before and _is_same(kind, before['spec'], spec):
            return before
        self.revision += 1
        created = self.revision
        if before:
            created = before['metadata']['created-rev']
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created-rev': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        objects[name] = stored
        self._record(kind, stored, False)
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Delete an object, if there is one."""
        stored = self.by_kind.get(kind, {}).pop(name, None)
        if stored:
            self.revision += 1
            self._record(kind, stored, True)

    async def expire(self) -> None:
        """Remove entries of servers that have been silent."""
        while True:
            await asyncio.sleep(0.2)
            oldest = time.monotonic() - 3 * HEARTBEAT_SECONDS
            for name, at in list(self.written_at.items()):
                if at < oldest:
                    del self.written_at[name]
                    self.remove('servers', name)

    async def call(self, request: messages.Message) -> tuple[int, object]:
        """Carry out a call; return the status and the body."""
        method, target = request.words[:2]
        split = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(split.query))
        kind, _, name = split.path.removeprefix('/api/objects/').partition('/')
        name = urllib.parse.unquote(name)
        body = json.loads(request.body) if request.body else {}
        objects = self.by_kind.setdefault(kind, {})
        if method == 'GET' and not name:
            if 'watch' in query:
                return await self._watch(kind, query)
            return 200, self._list(objects, query)
        if method == 'POST':
            name = body['metadata']['name']
            if name in objects:
                return CONFLICT, objects[name]
            return 201, self.put(kind, name, body.get('spec'))
        if name not in objects:
            return 404, None
        if method == 'GET':
            return 200, objects[name]
        expected = body.get('metadata', {}).get('revision')
        expected = expected or query.get('revision')
        found = objects[name]['metadata']['revision']
        if expected and int(expected) != found:
            return CONFLICT, objects[name]
        if method == 'PUT':
            return 200, self.put(kind, name, body.get('spec'))
        self.remove(kind, name)
        return 200, None

    def _list(self, objects: dict[str, dict], query: dict[str, str]) -> dict:
        names = sorted(n for n in objects if n > query.get('after', ''))
        return {
            'items': [objects[n] for n in names[:PAGE]],
            'has-more': len(names) > PAGE,
            'current-rev': self.revision,
        }

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, object]:
        since = int(query['watch'])
        until = time.monotonic() + int(query.get('wait-ms', '0')) / 1000
        while True:
            found = [
                {'object': stored, 'deleted': deleted}
                for revision, of_kind, stored, deleted in self.events
                if revision > since and of_kind == kind
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {'events': found, 'current-rev': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls on one connection."""
        try:
            while True:
                request = await messages.read_request(reader)
                status, body = await self.call(request)
                writer.write(
                    messages.answer(
                        status,
                        {'content-type': 'application/json', 'store-era': '1'},
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def _is_same(kind: str, before: object, after: object) -> bool:
    """Return whether a write changes nothing, or only says 'still here'."""
    if kind != 'servers':
        return before == after
    return {**before, 'sequence': 0} == {**after, 'sequence': 0}


async def run(path: str) -> None:
    """Serve until the process is killed, with the configuration of a file."""
    store = Store()
    with open(path, encoding='utf-8') as file:
        store.put('config', 'main', json.load(file))
    server = await asyncio.start_server(store.serve, '127.0.0.1', 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await store.expire()


if __name__ == '__main__':
    asyncio.run(run(sys.argv[1]))
