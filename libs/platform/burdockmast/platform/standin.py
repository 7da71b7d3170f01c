"""A small stand-in for the platform, used by tests.

One process serves the store, engines and plain servers, each at its own
address. Tests change its state directly and read the requests it received.
"""

import collections
from collections.abc import Callable
import contextlib
import copy
import dataclasses
import enum
import functools
import itertools
import json
import math
import random
import socket
import struct
from typing import Any
from typing import NoReturn
import urllib.parse

import eventlet
import eventlet.event
import eventlet.wsgi

from burdockmast.base import timers
from burdockmast.gateway import request_target
from burdockmast.platform import engine_client
from burdockmast.platform import headers
from burdockmast.platform import standin_paths
from burdockmast.platform import store

# Seconds between events of a stream.
EVENT_INTERVAL_SECONDS = 0.005
# Time for which a server that crashed refuses connections.
RESTART_SECONDS = 0.2
# How often a silent server looks whether its caller is still there.
SILENCE_POLL_SECONDS = 0.02


def listen(host: str, application: Any) -> str:
    """Serve a WSGI application on a free port and return its address."""
    sock = eventlet.listen((host, 0), backlog=256)
    eventlet.spawn(_serve, sock, application)
    return '{}:{}'.format(*sock.getsockname())


def _serve(sock: socket.socket, application: Any) -> None:
    eventlet.wsgi.server(
        sock,
        application,
        protocol=request_target.Protocol,
        log_output=False,
        minimum_chunk_size=1,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """A copy of the store's objects at a revision."""

    revision: int
    objects_by_kind: dict[str, dict[str, dict]]


class MetadataStore:
    """Objects by kind and name, with revisions and watches.

    :ivar is_down: answer every call with status 503
    :ivar era: number of the store's history, in all answers
    :ivar oldest_watchable_revision: watches from before it fail with status
        410, as their history is gone
    :ivar break_next_stream_after: number of events after which the next
        stream of any engine breaks off, or None
    :ivar on_stream_break: called when it does
    :ivar calls: number of calls by method and kind
    :ivar raw_replies: bytes that it sends in place of the answers to the next
        lists and watches, each before it closes the connection
    """

    def __init__(self):
        """Create an empty store."""
        self.raw_replies: collections.deque[bytes] = collections.deque()
        self.is_down = False
        self.era = 1
        self.oldest_watchable_revision = 0
        self.break_next_stream_after: int | None = None
        self.on_stream_break: Callable[[], None] = lambda: None
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
        stored = {
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
        self.objects_by_kind[kind][name] = stored
        self._record_change(kind, stored, False)

    def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        self.revision += 1
        stored = self.objects_by_kind[kind].pop(name)
        self._record_change(kind, stored, True)

    def discard_history(self) -> None:
        """Make watches from an earlier revision fail."""
        self.oldest_watchable_revision = self.revision
        self._history.clear()
        self._wake_watches()

    def copy(self) -> 'StoreCopy':
        """Return a copy from which the store can be restored."""
        return StoreCopy(self.revision, copy.deepcopy(self.objects_by_kind))

    def restore(self, saved: 'StoreCopy') -> None:
        """Come back from a copy; later revisions are given out again."""
        self.era += 1
        self.revision = saved.revision
        self.objects_by_kind = copy.deepcopy(saved.objects_by_kind)
        self._history = [h for h in self._history if h[0] <= self.revision]
        self._wake_watches()

    def _record_change(self, kind: str, stored: dict, deleted: bool) -> None:
        self._history.append((self.revision, kind, stored, deleted))
        self._wake_watches()

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, eventlet.event.Event()
        changed.send(None)

    def __call__(self, environ: dict, start_response: Any) -> list[bytes]:
        """Handle one call."""

        def start_with_era(status: str, given: list[tuple[str, str]]) -> Any:
            return start_response(status, [*given, (store.ERA, str(self.era))])

        return self._answer(environ, start_with_era)

    def _answer(self, environ: dict, start_response: Any) -> list[bytes]:
        method = environ['REQUEST_METHOD']
        path = environ['PATH_INFO'].removeprefix(store.OBJECTS_PATH + '/')
        kind, _, name = path.partition('/')
        self.calls[f'{method} {kind}'] += 1
        if self.is_down:
            return _respond(start_response, 503, None)
        if self.raw_replies and method == 'GET' and not name:
            connection = environ['eventlet.input'].get_socket()
            _send_raw(connection, self.raw_replies.popleft())
        query = dict(urllib.parse.parse_qsl(environ.get('QUERY_STRING', '')))
        body = environ['wsgi.input'].read()
        match method:
            case 'GET' if name:
                result = self.objects_by_kind[kind].get(name)
                status = 200 if result else 404
                return _respond(start_response, status, result)
            case 'GET' if 'watch' in query:
                status, result = self._watch(kind, query)
                return _respond(start_response, status, result)
            case 'GET':
                return _respond(start_response, 200, self._list(kind))
            case _:
                status, result = self._write(kind, json.loads(body))
                return _respond(start_response, status, result)

    def _list(self, kind: str) -> dict:
        return {
            'items': list(self.objects_by_kind[kind].values()),
            'has-more': False,
            'current-rev': self.revision,
        }

    def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        since = int(query['watch'])
        with eventlet.Timeout(int(query['wait-ms']) / 1000, False):
            while not self._events_after(kind, since):
                if self._is_unknown(since) or self.is_down:
                    break
                self._changed.wait()
        if self.is_down:
            return 503, None
        if self._is_unknown(since):
            return 410, None
        return 200, {
            'events': self._events_after(kind, since),
            'current-rev': self.revision,
        }

    def _is_unknown(self, since: int) -> bool:
        return not self.oldest_watchable_revision <= since <= self.revision

    def _events_after(self, kind: str, since: int) -> list[dict]:
        return [
            {'object': stored, 'deleted': deleted}
            for revision, of_kind, stored, deleted in self._history
            if of_kind == kind and revision > since
        ]

    def _write(self, kind: str, body: dict) -> tuple[int, Any]:
        metadata = body['metadata']
        name = metadata['name']
        current = self.objects_by_kind[kind].get(name)
        expected = metadata.get('revision')
        if (current is None) != (expected is None) or (
            current and current['metadata']['revision'] != expected
        ):
            return 409, current
        self.put(kind, name, body.get('spec'))
        return 200, self.objects_by_kind[kind][name]


@dataclasses.dataclass(slots=True)
class ReceivedRequest:
    """A request that a backend server received, at monotonic seconds.

    :ivar target: path and query as sent
    :ivar ended_at: at which the server stopped work on it
    :ivar broken_off_at: at which the server broke off its answer
    :ivar run: on a path of several servers, or None
    :ivar is_refused: the server said that it did not run the request
    """

    id: str
    path: str
    header_by_name: dict[str, str]
    at: float = dataclasses.field(default_factory=timers.now)
    ended_at: float = math.inf
    broken_off_at: float = math.inf
    server: str = ''
    target: str = ''
    body: bytes = b''
    run: standin_paths.Run | None = None
    is_refused: bool = False


class Outage(enum.Enum):
    """What happens to new connections to a server that has crashed."""

    REFUSES = 'refuses'
    # Something else holds the port; nobody answers.
    ACCEPTS = 'accepts'
    RESETS = 'resets'


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """Length and speed of a stream."""

    event_count: int
    interval_seconds: float = EVENT_INTERVAL_SECONDS


class BackendServer:
    """A backend server that accepts layers and streams numbered events.

    :ivar event_count: number of the last event of each stream
    :ivar pace_by_path: of streams on paths that begin so, in place of
        ``event_count``
    :ivar body_pause_seconds: between the two halves of the body of a call
    :ivar refuses: refuse requests with a guarantee that they did not run
    :ivar pause_before_event: event before which a stream stalls, or None
    :ivar pause_seconds: how long it stalls
    :ivar is_unsigned: reply without a signature
    :ivar is_silent: accept requests and reply only after a minute
    :ivar delay_seconds: how long a request takes
    :ivar is_unframed: streams have neither a length nor chunks, and end with
        their connection
    :ivar raw_reply: bytes that it sends in place of a reply, before it closes
        the connection, or None
    :ivar error_text: body of the error with which it replies, or empty
    :ivar failing_share: of requests, which it answers with an error
    :ivar rest_seconds: for which it wants no requests after a refusal
    :ivar is_leaving: says in its answers that it leaves
    :ivar limit: requests a second that it names in its answers, or None
    :ivar limit_told_at: monotonic seconds of the first head that names one
    :ivar crashes_on: part of a prompt, or of a path, whose requests end the
        server's process when they begin
    :ivar outage: how it is away after a crash
    :ivar restart_seconds: for which it is away after a crash
    :ivar crashed_at: monotonic seconds of its crashes
    :ivar engine: runs streams on the paths that their requests name, or None
        to run them on this server alone
    :ivar kv_total: memory of runs of ``engine``, in tokens times layers
    :ivar zone: availability zone
    :ivar is_down: is away after a crash
    """

    def __init__(self, host: str, metadata_store: MetadataStore, entry: dict):
        """Start serving and write the server's entry to the store."""
        self.event_count = 5
        self.pace_by_path: dict[str, Pace] = {}
        self.body_pause_seconds = 0.0
        self.refuses = False
        self.is_unsigned = False
        self.pause_before_event: int | None = None
        self.pause_seconds = 0.0
        self.is_silent = False
        self.delay_seconds = 0.0
        self.is_unframed = False
        self.raw_reply: bytes | None = None
        self.error_text = ''
        self.failing_share = 0.0
        self._rng = random.Random(entry['id'])
        self.rest_seconds: float | None = None
        self.is_leaving = False
        self.limit: float | None = None
        self.limit_told_at = math.inf
        self.crashes_on = ''
        self.outage = Outage.REFUSES
        self.restart_seconds = RESTART_SECONDS
        self.crashed_at: list[float] = []
        self._incarnation = 0
        self.engine: standin_paths.PathEngine | None = None
        self.kv_total = math.inf
        self.zone = entry.get('zone', '')
        self.is_down = False
        self._silent_until = 0.0
        self._has_silent_reports = False
        self._connections: set[socket.socket] = set()
        self.requests: list[ReceivedRequest] = []
        self.orders: list[dict] = []
        self.highest_fencing_number = 0
        self.ids_begin_after = 0
        self.id_prefix = b''
        self.id = entry['id']
        self._host = host
        self._port = 0
        self._listen()
        self._metadata_store = metadata_store
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

    def _listen(self) -> None:
        self._sock = eventlet.listen((self._host, self._port), backlog=256)
        self._port = self._sock.getsockname()[1]
        self.address = f'{self._host}:{self._port}'
        incarnation = self._incarnation
        self._server = eventlet.spawn(
            _serve, self._sock, functools.partial(self._handle, incarnation)
        )

    def join(self, engine: standin_paths.PathEngine) -> None:
        """Run streams together with other servers of an engine."""
        self.engine = engine
        engine.add(self)

    @property
    def incarnation(self) -> int:
        """Number of restarts."""
        return self._incarnation

    @property
    def is_quiet(self) -> bool:
        """Whether the server has fallen silent."""
        return self._silent_until > timers.now()

    @property
    def layer_count(self) -> int:
        """Number of layers that the server has."""
        held = self._entry['layers']
        return held['to'] - held['from'] if held else 0

    def holds(self, first: int, end: int) -> bool:
        """Return whether the server has these layers."""
        held = self._entry['layers']
        return bool(held) and held['from'] <= first and end <= held['to']

    def crash(self) -> None:
        """Crash on a request, and start again."""
        if not self.is_down:
            self.crashed_at.append(timers.now())
            self.die(self.restart_seconds)

    def die(self, seconds: float) -> None:
        """End all connections and be away for some time."""
        if self.is_down:
            return
        self.is_down = True
        self._incarnation += 1
        for received in self.requests:
            if math.isinf(received.ended_at):
                received.broken_off_at = timers.now()
        self._server.kill()
        match self.outage:
            case Outage.REFUSES:
                self._sock.close()
            case Outage.RESETS:
                eventlet.spawn(_reset_connections, self._sock)
        for connection in self._connections:
            connection.shutdown(socket.SHUT_RDWR)
        self._connections.clear()
        eventlet.spawn_after(seconds, self._restart)

    def _restart(self) -> None:
        self._sock.close()
        self._listen()
        self.is_down = False
        self.update_entry(born=1000 + self._incarnation)

    def fall_silent(self, seconds: float, with_reports: bool) -> None:
        """Send nothing for some time, in the middle of all answers.

        :param with_reports: of answers to requests for reports as well
        """
        self._silent_until = max(self._silent_until, timers.now() + seconds)
        self._has_silent_reports = with_reports

    def _wait_while_silent(self, connection: socket.socket) -> None:
        """Wait until the server goes on.

        :raises ConnectionError: if the caller leaves meanwhile
        """
        while self.is_quiet:
            _wait_while_connected(connection)

    def _wait_for_stages(
        self,
        connection: socket.socket,
        received: ReceivedRequest,
        run: standin_paths.Run,
    ) -> bool:
        """Wait until all servers of a run can produce the next event.

        :return: false if the run is aborted
        :raises ConnectionError: if the caller leaves meanwhile
        """
        lost_since = math.inf
        while not self.engine.can_step(run):
            # A silent server goes on and does not abort its runs.
            if self.engine.has_lost_stage(run):
                lost_since = min(lost_since, timers.now())
            else:
                lost_since = math.inf
            if timers.now() >= lost_since + self.engine.stall_seconds:
                run.is_aborted = True
                received.broken_off_at = timers.now()
                return False
            _wait_while_connected(connection)
        return True

    def update_entry(self, **changes: object) -> None:
        """Write the server's entry with changed fields."""
        self._entry.update(changes)
        self._entry['sequence'] += 1
        self._metadata_store.put('servers', self.id, dict(self._entry))

    def _handle(
        self, incarnation: int, environ: dict, start_response: Any
    ) -> Any:
        connection = environ['eventlet.input'].get_socket()
        if incarnation < self._incarnation:
            # Its connection was accepted before the crash.
            connection.shutdown(socket.SHUT_RDWR)
            raise ConnectionError('server crashed')
        self._connections.add(connection)
        try:
            yield from self._reply(environ, start_response)
        finally:
            self._connections.discard(connection)

    def _reply(self, environ: dict, start_response: Any) -> Any:
        body = environ['wsgi.input'].read()
        connection = environ['eventlet.input'].get_socket()
        match environ['PATH_INFO']:
            case engine_client.ORDER_PATH:
                status, result = self._accept_order(json.loads(body))
                yield from _respond(start_response, status, result)
            case engine_client.REPORT_PATH:
                if self._has_silent_reports:
                    self._wait_while_silent(connection)
                report = {'sequence': len(self.orders), 'pace': 1.0}
                if self.engine:
                    report |= self.engine.report(self)
                yield from _respond(start_response, 200, report)
            case _:
                received = self._receive(environ, body)
                try:
                    yield from self._serve_request(
                        received, connection, start_response
                    )
                finally:
                    received.ended_at = timers.now()
                    if received.run:
                        received.run.end()

    def _accept_order(self, order: dict) -> tuple[int, Any]:
        if order['op'] == 'repath':
            if self.engine is None:
                return 404, None
            return self.engine.change_path(self, order)
        return self._place(order), None

    def _place(self, order: dict) -> int:
        if order['fence'] < self.highest_fencing_number:
            return engine_client.HTTP_FENCED
        self.highest_fencing_number = order['fence']
        if order['expect'] != len(self.orders):
            return 409
        self.orders.append(order)
        held = {'from': order['from'], 'to': order['to'], 'version': 1}
        self.update_entry(layers=held)
        return engine_client.HTTP_ACCEPTED

    def _receive(self, environ: dict, body: bytes) -> ReceivedRequest:
        header_by_name = {
            name.lower(): value for name, value in environ['headers_raw']
        }
        request_id = header_by_name.get(headers.REQUEST_ID.lower(), '')
        received = ReceivedRequest(
            request_id,
            environ['RAW_PATH_INFO'],
            header_by_name,
            server=self.id,
            target=environ[request_target.ENVIRON_KEY],
            body=body,
        )
        self.requests.append(received)
        return received

    def _serve_request(
        self,
        received: ReceivedRequest,
        connection: socket.socket,
        start_response: Any,
    ) -> Any:
        if self._is_deadly(received):
            self.crash()
            raise ConnectionError('server crashed')
        if self.is_silent:
            eventlet.sleep(60)
        eventlet.sleep(self.delay_seconds)
        if self.refuses:
            received.is_refused = True
            refusal = [(headers.NOT_RUN, '1'), ('Content-Length', '0')]
            if self.rest_seconds is not None:
                refusal.append(('Retry-After', str(self.rest_seconds)))
            start_response('503 Service Unavailable', refusal)
            return [b'']
        if self.raw_reply is not None:
            _send_raw(connection, self.raw_reply)
        if self._rng.random() < self.failing_share:
            return _respond(start_response, 500, 'failed')
        if self.error_text:
            return _respond(start_response, 500, self.error_text)
        if self.is_unsigned:
            return _respond(start_response, 200, 'unsigned')
        run = None
        if self.engine and headers.PATH.lower() in received.header_by_name:
            try:
                run = self.engine.begin(self, received.header_by_name)
            except ValueError as error:
                return _respond(start_response, 400, str(error))
        if isinstance(run, standin_paths.Rejection):
            received.is_refused = True
            refusal = [
                (headers.NOT_RUN, '1'),
                (headers.REFUSED_BY, run.address),
                ('Content-Length', '0'),
            ]
            start_response('503 Service Unavailable', refusal)
            return [b'']
        received.run = run
        # The head is sent with the first event and tells of that time.
        if run and not self._wait_for_stages(connection, received, run):
            connection.shutdown(socket.SHUT_RDWR)
            raise ConnectionError('a server of the path is down')
        reply_headers = [
            (headers.REQUEST_ID, received.id),
            (headers.SIGNATURE, f'seal-{self.id}'),
        ]
        if self.is_leaving:
            reply_headers.append(('Server-Leaving', '1'))
        if self.limit is not None:
            self.limit_told_at = min(self.limit_told_at, timers.now())
            reply_headers.append((headers.LIMIT, str(self.limit)))
        if headers.TOKEN_COUNTS.lower() not in received.header_by_name:
            body = f'answer of {self.id}'.encode()
            length = ('Content-Length', str(len(body)))
            start_response('200 OK', [*reply_headers, length])
            return self._send_in_halves(connection, body)
        if self.is_unframed:
            self._send_unframed(connection, reply_headers, received)
        start_response('200 OK', reply_headers)
        return self._stream(connection, received)

    def _send_in_halves(self, connection: socket.socket, body: bytes) -> Any:
        self._wait_while_silent(connection)
        yield body[: len(body) // 2]
        eventlet.sleep(self.body_pause_seconds)
        self._wait_while_silent(connection)
        yield body[len(body) // 2 :]

    def _send_unframed(
        self,
        connection: socket.socket,
        reply_headers: list[tuple[str, str]],
        received: ReceivedRequest,
    ) -> NoReturn:
        head = ''.join(f'{name}: {value}\r\n' for name, value in reply_headers)
        connection.sendall(f'HTTP/1.1 200 OK\r\n{head}\r\n'.encode())
        with contextlib.suppress(ConnectionError):
            for event in self._stream(connection, received):
                connection.sendall(event)
        connection.shutdown(socket.SHUT_RDWR)
        raise ConnectionError('the stream ends with its connection')

    def _is_deadly(self, received: ReceivedRequest) -> bool:
        parts = received.header_by_name.get(headers.PROMPT_PARTS.lower(), '')
        return bool(self.crashes_on) and (
            f'{self.crashes_on}:' in parts or self.crashes_on in received.path
        )

    def _pace(self, path: str) -> Pace:
        for prefix, pace in self.pace_by_path.items():
            if path.startswith(prefix):
                return pace
        return Pace(self.event_count)

    def _stream(
        self, connection: socket.socket, received: ReceivedRequest
    ) -> Any:
        pace = self._pace(received.path)
        last = self._last_number(received)
        break_after_events = self._metadata_store.break_next_stream_after
        self._metadata_store.break_next_stream_after = None
        for sent_count in itertools.count():
            number = last + sent_count + 1
            if number > pace.event_count:
                return
            if sent_count == break_after_events:
                received.broken_off_at = timers.now()
                self._metadata_store.on_stream_break()
                yield b'id: 99'
                raise ConnectionError('stream broken off by the test')
            if number == self.pause_before_event:
                eventlet.sleep(self.pause_seconds)
            self._wait_while_silent(connection)
            if received.run:
                if not self._wait_for_stages(
                    connection, received, received.run
                ):
                    # Without it, an unframed stream would look complete.
                    yield b'id: 99'
                    raise ConnectionError('a server of the path is down')
                self.engine.record_event(received.run, number)
                eventlet.sleep(self.engine.hop_seconds(received.run))
            yield b'id: %s%d\ndata: token %d\n\n' % (
                self.id_prefix,
                self.ids_begin_after + number,
                number,
            )
            eventlet.sleep(pace.interval_seconds)

    def _last_number(self, received: ReceivedRequest) -> int:
        """Return the number of the event behind which a stream begins."""
        last_id = received.header_by_name.get(headers.LAST_EVENT_ID.lower())
        if last_id is None:
            return 0
        number = last_id.removeprefix(self.id_prefix.decode('latin-1'))
        return int(number) - self.ids_begin_after


def _reset_connections(sock: socket.socket) -> None:
    """Reset all connections until the listening socket is closed."""
    linger = struct.pack('ii', 1, 0)
    with contextlib.suppress(OSError):
        while True:
            connection, _ = sock.accept()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            connection.close()


def _wait_while_connected(connection: socket.socket) -> None:
    """Wait for a moment.

    :raises ConnectionError: if the caller has left
    """
    flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
    with contextlib.suppress(BlockingIOError):
        if not connection.fd.recv(1, flags):
            raise ConnectionError('the caller has left')
    eventlet.sleep(SILENCE_POLL_SECONDS)


def _send_raw(connection: socket.socket, reply: bytes) -> NoReturn:
    """Send bytes in place of an answer, and close the connection."""
    connection.sendall(reply)
    connection.shutdown(socket.SHUT_RDWR)
    raise ConnectionError('the reply is sent')


def _respond(start_response: Any, status: int, value: object) -> list[bytes]:
    body = json.dumps(value).encode()
    start_response(
        f'{status} Answered',
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ],
    )
    return [body]
