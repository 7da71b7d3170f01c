"""A client of the gateways, with a socket of its own for each connection."""

import dataclasses
import itertools
import socket

from rig_3 import fleet as fleets
from rig_3 import http_messages

_numbers = itertools.count(1)


def new_id():
    """Return the id of a new request."""
    return f'{next(_numbers):016x}'


@dataclasses.dataclass
class Answer:
    """What a client got for a request.

    :ivar reply: None if the connection ended without one
    """

    request: str
    reply: http_messages.Message | None

    @property
    def status(self):
        """The status, 0 without a reply."""
        return self.reply.status if self.reply else 0

    def describe(self):
        """Return a line for the record."""
        if self.reply is None:
            return f'request {self.request}: no answer'
        seal = self.reply.headers.get('burdockmast-response-seal')
        return (
            f'request {self.request}: {self.reply.first_line}, '
            f'seal {seal}, {len(self.reply.body)} bytes of body, '
            f'{"whole" if self.reply.is_whole else "broken off"}'
        )


def head(method, target, request, **given):
    """Return the head of a sound request."""
    fields = {
        'Host': fleets.HOST_NAME,
        'Burdockmast-Request-Id': request,
        'Burdockmast-Deadline-Ms': '20000',
        'Burdockmast-Key': fleets.KEY,
        **{name.replace('_', '-'): value for name, value in given.items()},
    }
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{n}: {v}' for n, v in fields.items() if v is not None]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def connect(gateway_host, port, timeout=25.0):
    """Return a new connection."""
    return socket.create_connection((gateway_host, port), timeout=timeout)


def ask(host, port, method, target, body=b'', **given):
    """Send a request on a new connection and return its answer."""
    request = new_id()
    if body or method == 'POST':
        given['Content_Length'] = str(len(body))
    with connect(host, port) as sock:
        sock.sendall(head(method, target, request, **given) + body)
        try:
            reply = http_messages.Reader(sock).message(is_request=False)
        except (OSError, http_messages.ConnectionEnded):
            reply = None
    return Answer(request, reply)
