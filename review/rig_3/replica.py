"""A replica as the users' protocol describes it, a process of its own.

Usage: replica.py HOST PORT ID LOG [OPTION...]

Options:
  unframed     answers of calls have neither a length nor chunks, and end with
               their connection; the second half of a body comes later
  spoil=N      each Nth answer is spoiled: another success status, no seal and
               other bytes
  model        holds the layers that orders name, at first none, and runs
               streams on the part of their path that is its own
  first-id=N   the first event of a stream has this id
"""

import json
import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from rig_3 import http_messages  # noqa: E402

BODY_LINES = 40
PAUSE_SECONDS = 0.6
EVENTS = 12
# Larger requests are rejected as if the replica were full.
KV_TOKENS = 50000
EVENT_SECONDS = 0.005
STREAM_PREFIXES = ('/lohu930/', '/pufi791/', '/oneway2/')


class Server:
    """Serves requests until the process is ended."""

    def __init__(self, host, port, name, log, options):
        """Listen on an address."""
        self._name = name
        self._options = options
        self._log = pathlib.Path(log).open('a')
        self._lock = threading.Lock()
        self._listener = socket.create_server((host, port), backlog=64)
        spoiled = [o for o in options if o.startswith('spoil=')]
        self._spoil_each = int(spoiled[0].split('=')[1]) if spoiled else 0
        self._answers = 0
        self._orders = 0
        self._fence = 0
        self._layers = None
        first = [o for o in options if o.startswith('first-id=')]
        self._first_id = int(first[0].split('=')[1]) if first else 1

    def _is_spoiled(self):
        with self._lock:
            self._answers += 1
            return bool(
                self._spoil_each and not self._answers % self._spoil_each
            )

    def record(self, what, **fields):
        """Write an event to the replica's log."""
        with self._lock:
            line = {'what': what, 'at': time.time(), **fields}
            self._log.write(json.dumps(line) + '\n')
            self._log.flush()

    def run(self):
        """Accept connections."""
        while True:
            sock, _ = self._listener.accept()
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        reader = http_messages.Reader(sock)
        try:
            while (request := reader.message()) is not None:
                if not self._answer(sock, request):
                    break
        except (OSError, http_messages.ConnectionEnded):
            pass
        finally:
            sock.close()

    def _send(self, sock, status, fields, body=b'', framed=True):
        lines = [f'HTTP/1.1 {status}', *(f'{n}: {v}' for n, v in fields)]
        if framed:
            lines.append(f'Content-Length: {len(body)}')
        sock.sendall(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)

    def _answer(self, sock, request):
        """Answer a request; return whether the connection goes on."""
        method, target, _ = request.first_line.split()
        expected = request.headers.get('burdockmast-expect-instance')
        identity = [('Burdockmast-Instance-Id', self._name)]
        if expected not in (None, self._name):
            self._send(sock, '421 Misdirected Request', identity)
            return True
        if target == '/health':
            self._send(sock, '200 OK', identity)
            return True
        if target == '/api/report':
            report = {'sequence': self._orders, 'busy': False, 'pace': 1.0}
            self._send(sock, '200 OK', [], json.dumps(report).encode())
            return True
        if target == '/api/order':
            order = json.loads(request.body)
            self._send(sock, f'{self._accept_order(order)} Answered', [])
            return True
        number = request.headers.get('burdockmast-request-id', '')
        tokens = request.headers.get('burdockmast-token-counts', '0')
        if int(tokens.partition(',')[0]) > KV_TOKENS:
            refusal = [('Burdockmast-Not-Executed', '1')]
            self._send(sock, '503 Service Unavailable', refusal)
            self.record('refused', request=number)
            return True
        path = request.headers.get('burdockmast-hop-count', '')
        if 'model' in self._options and not self._holds(path):
            self._send(sock, '421 Misdirected Request', identity)
            return True
        self.record(
            'run',
            request=number,
            method=method,
            target=target,
            headers=request.headers,
            body=len(request.body),
        )
        fields = [
            ('Burdockmast-Request-Id', number),
            ('Burdockmast-Response-Seal', f'seal.{self._name}.{number}'),
        ]
        is_stream = target.startswith(STREAM_PREFIXES)
        if self._is_spoiled():
            self._send(sock, '202 Accepted', fields[:1], b'\x00' * 16)
            self.record('spoiled', request=number)
            return False
        if is_stream:
            self._stream(sock, request, fields, number)
            return False
        return self._call(sock, fields, number)

    def _accept_order(self, order):
        """Take layers as ordered; return the status of the answer."""
        with self._lock:
            if order['op'] != 'place':
                return 400
            if order.get('fence', 0) < self._fence:
                return 412
            if order.get('expect', self._orders) != self._orders:
                return 409
            self._fence = order.get('fence', 0)
            self._orders += 1
            self._layers = {
                'from': order['from'],
                'to': order['to'],
                'version': 1,
            }
        self.record('order', layers=self._layers, fence=self._fence)
        return 202

    def _holds(self, path):
        """Return whether this replica has its own part of a path."""
        part = path.partition(',')[0].partition('=')[2]
        first, _, end = part.partition('-')
        held = self._layers
        return (
            held is not None
            and first.isdigit()
            and held['from'] <= int(first)
            and int(end) <= held['to']
        )

    def _call(self, sock, fields, number):
        lines = [
            f'{self._name} {number} line {n} of {BODY_LINES}\n'
            for n in range(1, BODY_LINES + 1)
        ]
        body = ''.join(lines).encode()
        if 'unframed' not in self._options:
            self._send(sock, '200 OK', fields, body)
            return True
        half = ''.join(lines[: BODY_LINES // 2]).encode()
        self._send(sock, '200 OK', fields, half, framed=False)
        self.record('half', request=number, sent=len(half), whole=len(body))
        time.sleep(PAUSE_SECONDS)
        sock.sendall(body[len(half) :])
        self.record('answered', request=number, status=200, whole=len(body))
        return False

    def _stream(self, sock, request, fields, number):
        last = request.headers.get('last-event-id')
        first = int(last) + 1 if last else self._first_id
        fields = [*fields, ('Content-Type', 'text/event-stream')]
        fields.append(('Transfer-Encoding', 'chunked'))
        self._send(sock, '200 OK', fields, framed=False)
        for event in range(first, self._first_id + EVENTS):
            data = f'id: {event}\ndata: {number} {event}\n\n'.encode()
            sock.sendall(b'%x\r\n%s\r\n' % (len(data), data))
            time.sleep(EVENT_SECONDS)
        sock.sendall(b'0\r\n\r\n')
        self.record('answered', request=number, status=200)


def main():
    """Run a replica."""
    host, port, name, log, *options = sys.argv[1:]
    Server(host, int(port), name, log, options).run()


main()
