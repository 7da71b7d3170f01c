"""A small stand-in of the prepared platform, for tests.

One process serves the store, engines and plain servers, each at an address
of its own. Tests change its state directly and read what it has seen.
"""

import collections
import dataclasses
import itertools
import json
from typing import Any
import urllib.parse

import eventlet
import eventlet.event
import eventlet.wsgi

from burdockmast.platform import engine_client
from burdockmast.platform import headers
from burdockmast.platform import store

# Seconds between events of a stream.
EVENT_SECONDS = 0.005


def listen(host: str, application: Any) -> str:
    """Serve a WSGI application at a free port; return its address."""
    sock = eventlet.listen((host, 0), backlog=256)
    eventlet.spawn(
        eventlet.wsgi.server,
        sock,
        application,
        log_output=False,
        minimum_chunk_size=1,
    )
    return '{}:{}'.format(*sock.getsockname())


class MetadataStore:
    """Objects by kind and name, with revisions and watches.

    :ivar is_down: answers every call with 503
    :ivar oldest_watchable_revision: of the history that is kept
    :ivar break_next_stream_after: events before the next stream breaks
    """

    def __init__(self):
        """Create an empty store."""
        self.is_down = False
        self.oldest_watchable_revision = 0
        self.break_next_stream_after: int | None = None
        self.revision = 1
        self.calls: collections.Counter[str] = collections.Counter()
        self.objects_by_kind: dict[str, dict[str, dict]] = (
            collections.defaultdict(dict)
        )
        self._history: list[tuple[int, str, dict, bool]] = []
        self._changed = eventlet.event.Event()

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object, as an operator or a server would."""
        self.revision += 1
        found = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created-rev': self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects_by_kind[kind][name] = found
        self._note(kind, found, False)

    def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        self.revision += 1
        found = self.objects_by_kind[kind].pop(name)
        self._note(kind, found, True)

    def discard_history(self) -> None:
        """Make watches from before now fail."""
        self.oldest_watchable_revision = self.revision
        self._history.clear()
        self._wake()

    def _note(self, kind: str, found: dict, deleted: bool) -> None:
        self._history.append((self.revision, kind, found, deleted))
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, eventlet.event.Event()
        changed.send(None)

    def __call__(self, environ: dict, start_response: Any) -> list[bytes]:
        """Answer one call."""
        method = environ['REQUEST_METHOD']
        path = environ['PATH_INFO'].removeprefix(store.OBJECTS_PATH + '/')
        kind, _, name = path.partition('/')
        self.calls[f'{method} {kind}'] += 1
        if self.is_down:
            return _answer(start_response, 503, None)
        query = dict(urllib.parse.parse_qsl(environ.get('QUERY_STRING', '')))
        body = environ['wsgi.input'].read()
        match method:
            case 'GET' if name:
                found = self.objects_by_kind[kind].get(name)
                status = 200 if found else 404
                return _answer(start_response, status, found)
            case 'GET' if 'watch' in query:
                status, found = self._watch(kind, query)
                return _answer(start_response, status, found)
            case 'GET':
                return _answer(start_response, 200, self._list(kind))
            case _:
                status, found = self._write(kind, json.loads(body))
                return _answer(start_response, status, found)

    def _list(self, kind: str) -> dict:
        return {
            'items': list(self.objects_by_kind[kind].values()),
            'has-more': False,
            'current-rev': self.revision,
        }

    def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        since = int(query['watch'])
        with eventlet.Timeout(int(query['wait-ms']) / 1000, False):
            while not self._after(kind, since):
                if since < self.oldest_watchable_revision or self.is_down:
                    break
                self._changed.wait()
        if self.is_down:
            return 503, None
        if since < self.oldest_watchable_revision:
            return 410, None
        return 200, {
            'events': self._after(kind, since),
            'current-rev': self.revision,
        }

    def _after(self, kind: str, since: int) -> list[dict]:
        return [
            {'object': found, 'deleted': deleted}
            for revision, of_kind, found, deleted in self._history
            if of_kind == kind and revision > since
        ]

    def _write(self, kind: str, body: dict) -> tuple[int, Any]:
        metadata = body['metadata']
        name = metadata['name']
        known = self.objects_by_kind[kind].get(name)
        expected = metadata.get('revision')
        if (known is None) != (expected is None) or (
            known and known['metadata']['revision'] != expected
        ):
            return 409, known
        self.put(kind, name, body.get('spec'))
        return 200, self.objects_by_kind[kind][name]


@dataclasses.dataclass(slots=True)
class ReceivedRequest:
    """A request that a server got."""

    id: str
    path: str
    header_by_name: dict[str, str]


class BackendServer:
    """A backend server: takes layers, and streams numbered events.

    :ivar event_count: of each stream
    :ivar refuses: answer requests with a promise that they have not run
    :ivar pause_before_event: event before which a stream stands still
    :ivar is_unsigned: answer without a signature
    :ivar is_silent: take requests and say nothing
    """

    def __init__(self, host: str, parent: MetadataStore, entry: dict):
        """Start an engine and list it."""
        self.event_count = 5
        self.refuses = False
        self.is_unsigned = False
        self.pause_before_event: int | None = None
        self.pause_seconds = 0.0
        self.is_silent = False
        self.requests: list[ReceivedRequest] = []
        self.orders: list[dict] = []
        self.highest_fencing_number = 0
        self.id = entry['id']
        self.address = listen(host, self)
        self._store = parent
        self._entry = {
            **entry,
            'address': self.address,
            'state': 'ready',
            'sequence': 1,
            'born': 1000,
            'layers': None,
        }
        del self._entry['id']
        self.update_entry()

    def update_entry(self, **changes: object) -> None:
        """Write the entry anew."""
        self._entry.update(changes)
        self._entry['sequence'] += 1
        self._store.put('servers', self.id, dict(self._entry))

    def __call__(self, environ: dict, start_response: Any) -> Any:
        """Answer one call."""
        body = environ['wsgi.input'].read()
        match environ['PATH_INFO']:
            case engine_client.ORDER_PATH:
                status = self._order(json.loads(body))
                return _answer(start_response, status, None)
            case engine_client.REPORT_PATH:
                report = {'sequence': len(self.orders), 'pace': 1.0}
                return _answer(start_response, 200, report)
        return self._run(environ, start_response)

    def _order(self, order: dict) -> int:
        if order['fence'] < self.highest_fencing_number:
            return engine_client.HTTP_FENCED
        self.highest_fencing_number = order['fence']
        if order['expect'] != len(self.orders):
            return 409
        self.orders.append(order)
        held = {'from': order['from'], 'to': order['to'], 'version': 1}
        self.update_entry(layers=held)
        return engine_client.HTTP_ACCEPTED

    def _run(self, environ: dict, start_response: Any) -> Any:
        header_by_name = {
            name.lower(): value for name, value in environ['headers_raw']
        }
        request = header_by_name.get(headers.REQUEST_ID.lower(), '')
        seen = ReceivedRequest(
            request, environ['RAW_PATH_INFO'], header_by_name
        )
        self.requests.append(seen)
        if self.is_silent:
            eventlet.sleep(60)
        if self.refuses:
            start_response(
                '503 Service Unavailable',
                [(headers.NOT_RUN, '1'), ('Content-Length', '0')],
            )
            return [b'']
        if self.is_unsigned:
            return _answer(start_response, 200, 'of nobody')
        sealed = [
            (headers.REQUEST_ID, request),
            (headers.SIGNATURE, f'seal-{self.id}'),
        ]
        if headers.TOKEN_COUNTS.lower() not in header_by_name:
            body = f'answer of {self.id}'.encode()
            length = ('Content-Length', str(len(body)))
            start_response('200 OK', [*sealed, length])
            return [body]
        start_response('200 OK', sealed)
        return self._stream(header_by_name)

    def _stream(self, header_by_name: dict[str, str]) -> Any:
        last = int(header_by_name.get(headers.LAST_EVENT_ID.lower(), 0))
        breaks_after = self._store.break_next_stream_after
        self._store.break_next_stream_after = None
        for sent in itertools.count():
            number = last + sent + 1
            if number > self.event_count:
                return
            if sent == breaks_after:
                yield b'id: 99'
                raise ConnectionError('the stream breaks off')
            if number == self.pause_before_event:
                eventlet.sleep(self.pause_seconds)
            yield b'id: %d\ndata: token %d\n\n' % (number, number)
            eventlet.sleep(EVENT_SECONDS)


def _answer(start_response: Any, status: int, value: object) -> list[bytes]:
    body = json.dumps(value).encode()
    start_response(
        f'{status} Answered',
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ],
    )
    return [body]
