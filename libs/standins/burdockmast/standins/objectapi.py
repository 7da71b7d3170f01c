"""Stand-in for the platform's Object API."""

import bisect
import time
import urllib.parse

import eventlet
import msgspec

from burdockmast.standins import rates
from burdockmast.standins import web

VALUE_BYTES = 1_000_000
POLL_SECONDS = 0.02


class ObjectApi:
    """Objects by kind and name, with conditional writes and watches."""

    def __init__(self, writes_per_second: float, reads_per_second: float):
        """Create an empty store with its call rates."""
        self._writes = rates.Rate(writes_per_second)
        self._reads = rates.Rate(reads_per_second)
        self._revision = 0
        self._names_by_kind: dict[str, list[str]] = {}
        self._object_by_key: dict[tuple[str, str], dict] = {}
        self.call_counts = {'read': 0, 'write': 0, 'refused': 0}

    def handle(self, environ: dict, body: bytes) -> web.Reply:
        """Serve one call."""
        path = environ['PATH_INFO']
        if path == '/counts':
            return 200, self.call_counts, {}
        parts = path.strip('/').split('/')
        if parts[:2] != ['v1', 'objects'] or len(parts) not in (3, 4):
            return 404, {}, {}
        method = environ['REQUEST_METHOD']
        is_write = method in ('PUT', 'DELETE')
        if not (self._writes if is_write else self._reads).take():
            self.call_counts['refused'] += 1
            return 429, {}, {'Retry-After': '1'}
        self.call_counts['write' if is_write else 'read'] += 1
        if method == 'DELETE':
            return self._delete(parts[2], parts[3])
        if method == 'PUT':
            return self._put(environ, parts[2], parts[3], body)
        if len(parts) == 4:
            return self._get(parts[2], parts[3])
        return self._list(environ, parts[2])

    def _get(self, kind: str, name: str) -> web.Reply:
        found = self._object_by_key.get((kind, name))
        return (200, found, {}) if found else (404, {}, {})

    def _put(
        self, environ: dict, kind: str, name: str, body: bytes
    ) -> web.Reply:
        if len(body) > VALUE_BYTES:
            return 409, {'error': 'value too large'}, {}
        found = self._object_by_key.get((kind, name))
        if environ.get('HTTP_IF_NONE_MATCH') == '*' and found:
            return 412, {}, {}
        expected = environ.get('HTTP_IF_MATCH')
        if expected and (
            not found or expected.strip('"') != str(found['revision'])
        ):
            return 412, {}, {}
        self._revision += 1
        stored = {
            'name': name,
            'revision': self._revision,
            'value': msgspec.json.decode(body),
        }
        if not found:
            bisect.insort(self._names_by_kind.setdefault(kind, []), name)
        self._object_by_key[kind, name] = stored
        return 201, stored, {}

    def _delete(self, kind: str, name: str) -> web.Reply:
        found = self._object_by_key.pop((kind, name), None)
        if not found:
            return 404, {}, {}
        self._names_by_kind[kind].remove(name)
        return 200, found, {}

    def _list(self, environ: dict, kind: str) -> web.Reply:
        query = dict(urllib.parse.parse_qsl(environ['QUERY_STRING']))
        deadline = time.monotonic() + float(query.get('wait', 0))
        limit = int(query.get('limit', 100))
        while True:
            names = self._names_by_kind.get(kind, [])
            at = bisect.bisect_left(names, query.get('start', ''))
            chosen = names[at : at + limit]
            if chosen or time.monotonic() >= deadline:
                items = [self._object_by_key[kind, name] for name in chosen]
                return 200, {'items': items}, {}
            eventlet.sleep(POLL_SECONDS)
