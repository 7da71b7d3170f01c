"""What the HTTP stand-ins share: routing, JSON and faults."""

from collections.abc import Callable
from collections.abc import Iterable
import socket
from typing import Any

import eventlet
import eventlet.wsgi
import msgspec

Reply = tuple[int, Any, dict[str, str]]
Handler = Callable[[dict, bytes], Reply]

STATUS_TEXT = {
    200: 'OK',
    201: 'Created',
    404: 'Not Found',
    409: 'Conflict',
    412: 'Precondition Failed',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults in force.

    :ivar outage: refuse every call
    :ivar delay: seconds added to each call
    :ivar lose_answers: writes still to be taken with their answer lost
    :ivar silent: accept calls and never answer
    """

    outage: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    silent: bool = False


class Service:
    """A WSGI application that applies faults before its handler."""

    def __init__(self, handle: Handler):
        """Create an application around ``handle``."""
        self.faults = Faults()
        self._handle = handle

    def __call__(self, environ: dict, start_response: Any) -> Iterable[bytes]:
        """Serve one call."""
        length = int(environ.get('CONTENT_LENGTH') or 0)
        body = environ['wsgi.input'].read(length) if length else b''
        if environ['PATH_INFO'] == '/faults':
            self.faults = msgspec.json.decode(body, type=Faults)
            return _respond(start_response, (200, {}, {}))
        if self.faults.silent:
            eventlet.sleep(3600)
        if self.faults.delay:
            eventlet.sleep(self.faults.delay)
        if self.faults.outage:
            return _respond(start_response, (503, {}, {}))
        reply = self._handle(environ, body)
        if self.faults.lose_answers and environ['REQUEST_METHOD'] != 'GET':
            self.faults.lose_answers -= 1
            cut(environ)
        return _respond(start_response, reply)


def _respond(start_response: Any, reply: Reply) -> Iterable[bytes]:
    status, value, headers = reply
    body = msgspec.json.encode(value)
    start_response(
        f'{status} {STATUS_TEXT.get(status, "Other")}',
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            *headers.items(),
        ],
    )
    return [body]


def cut(environ: dict) -> None:
    """Close the caller's connection without an answer."""
    sock = environ['eventlet.input'].get_socket()
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def serve(address: tuple[str, int], service: Service) -> None:
    """Serve until the process ends."""
    sock = eventlet.listen(address, backlog=1024)
    eventlet.wsgi.server(
        sock, service, log_output=False, debug=False, max_size=8192
    )
