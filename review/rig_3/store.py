"""A stand-in for the platform's store, as the users' protocol describes it.

It keeps objects by kind and name, with one revision counter, conditional
writes, deletions and watches. It runs in threads of the calling process.
"""

import copy
import json
import socket
import threading
import time
import urllib.parse

from rig_3 import http_messages


class Store:
    """The store, listening on a free port of a loopback address."""

    def __init__(self, host, revision=1):
        """Start to listen.

        :param revision: at which the counter of changes stands
        """
        self._objects = {}
        self._history = []
        self._revision = revision
        self._era = 1
        self._is_away = False
        self._changed = threading.Condition()
        self._listener = socket.create_server((host, 0), backlog=64)
        self.address = '{}:{}'.format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def put(self, kind, name, spec):
        """Write an object, as the operator or a server does."""
        with self._changed:
            return self._put(kind, name, spec)

    def remove(self, kind, name):
        """Remove an object."""
        with self._changed:
            found = self._objects.get(kind, {}).pop(name, None)
            if found is not None:
                self._revision += 1
                self._record(kind, found, True)
            return found

    def save(self):
        """Return a copy from which the store can come back."""
        with self._changed:
            return self._revision, copy.deepcopy(self._objects)

    def go_away(self):
        """Answer nothing, and end the connections on which calls come."""
        with self._changed:
            self._is_away = True
            self._changed.notify_all()

    def come_back(self, saved):
        """Go on from a copy; later revisions are given out again."""
        with self._changed:
            self._revision, self._objects = copy.deepcopy(saved)
            self._history = [h for h in self._history if h[0] <= saved[0]]
            self._era += 1
            self._is_away = False

    def _put(self, kind, name, spec):
        self._revision += 1
        of_kind = self._objects.setdefault(kind, {})
        before = of_kind.get(name)
        created = self._revision
        if before:
            created = before['metadata']['created-rev']
        of_kind[name] = {
            'metadata': {
                'name': name,
                'revision': self._revision,
                'created-rev': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self._record(kind, of_kind[name], False)
        return of_kind[name]

    def _record(self, kind, stored, is_deleted):
        event = {'object': stored, 'deleted': is_deleted}
        self._history.append((self._revision, kind, event))
        self._changed.notify_all()

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        reader = http_messages.Reader(sock)
        try:
            while (request := reader.message()) is not None:
                if self._is_away:
                    break
                status, value = self._answer(request)
                if self._is_away:
                    break
                body = json.dumps(value).encode()
                sock.sendall(
                    f'HTTP/1.1 {status} Answered\r\n'
                    'Content-Type: application/json\r\n'
                    f'Store-Era: {self._era}\r\n'
                    f'Content-Length: {len(body)}\r\n\r\n'.encode()
                    + body
                )
        except (OSError, http_messages.ConnectionEnded):
            pass
        finally:
            sock.close()

    def _answer(self, request):
        method, target, _ = request.first_line.split()
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        kind, _, name = url.path.removeprefix('/api/objects/').partition('/')
        if method == 'GET' and 'watch' in query:
            return self._watch(kind, query)
        with self._changed:
            of_kind = self._objects.get(kind, {})
            if method == 'GET' and name:
                found = of_kind.get(name)
                return (200, found) if found else (404, None)
            if method == 'GET':
                return 200, {
                    'items': list(of_kind.values()),
                    'has-more': False,
                    'current-rev': self._revision,
                }
            return self._write(method, kind, name, request.body)

    def _write(self, method, kind, name, body):
        of_kind = self._objects.get(kind, {})
        if method == 'DELETE':
            if name not in of_kind:
                return 404, None
            found = of_kind.pop(name)
            self._revision += 1
            self._record(kind, found, True)
            return 200, found
        document = json.loads(body)
        metadata = document['metadata']
        current = of_kind.get(name or metadata['name'])
        if method == 'POST':
            if current:
                return 409, current
            return 201, self._put(kind, metadata['name'], document['spec'])
        if current is None:
            return 404, None
        expected = metadata.get('revision')
        if expected and expected != current['metadata']['revision']:
            return 409, current
        if current['spec'] == document['spec']:
            return 200, current
        return 200, self._put(kind, name, document['spec'])

    def _watch(self, kind, query):
        since = int(query['watch'])
        until = time.monotonic() + int(query['wait-ms']) / 1000
        with self._changed:
            while True:
                if self._is_away:
                    return 503, None
                if since > self._revision:
                    return 410, None
                events = [
                    event
                    for revision, of_kind, event in self._history
                    if of_kind == kind and revision > since
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {
                        'events': events,
                        'current-rev': self._revision,
                    }
                self._changed.wait(left)
