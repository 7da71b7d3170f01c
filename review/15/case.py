"""A gateway's own answers to HEAD have a body, behind which all is garbled.

A client asks on one connection for a route's head, then posts. The operator
takes its route away in between (with trouble), or only another one.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from rig_3 import clients  # noqa: E402
from rig_3 import fleet as fleets  # noqa: E402
from rig_3 import http_messages  # noqa: E402

APPLY_SECONDS = 2.0


def read_answer(reader, method):
    """Read an answer as a client does: one to HEAD has no body."""
    found = reader.head()
    if found is not None and method != 'HEAD':
        for piece in reader.body_pieces(found, is_request=False):
            found.body += piece
    return found


def ask(fleet, sock, reader, method, target, body=b''):
    """Send a request on a connection; return the first line of the answer."""
    request = clients.new_id()
    fields = {'Content_Length': str(len(body))} if body else {}
    sock.sendall(clients.head(method, target, request, **fields) + body)
    try:
        found = read_answer(reader, method)
        first = found.first_line if found else '(the connection ended)'
    except (OSError, ValueError, http_messages.ConnectionEnded) as error:
        first = f'(no answer: {error!r})'
    fleet.record(f'{method} {target}, request {request}: {first!r}')
    return request, first


def script(fleet):
    """Return whether a client got bytes that are no answer."""
    fleet.store.put('config', 'main', fleets.configuration(7))
    replica = fleets.Replica(fleet, 'i-7f3a91c2', fleets.PLAIN_SERVICE)
    gateway = fleets.Gateway(fleet, 1)
    fleet.wait_for(gateway.is_ready, 'the gateway')
    with clients.connect(fleet.host, gateway.front) as sock:
        reader = http_messages.Reader(sock)
        _, first = ask(fleet, sock, reader, 'HEAD', '/cufi504/2f')
        if not first.startswith('HTTP/1.1 200'):
            raise fleets.UnusableError('no answer in calm')
        changed = fleets.configuration(8)
        gone = 'r-lookup' if fleet.has_trouble else 'r-plain-stream'
        changed['routes'] = [
            route for route in changed['routes'] if route['name'] != gone
        ]
        fleet.store.put('config', 'main', changed)
        fleet.record(f'version 8 is acknowledged; it has no route {gone}')
        time.sleep(APPLY_SECONDS + 0.5)
        ask(fleet, sock, reader, 'HEAD', '/cufi504/2f')
        request, first = ask(
            fleet, sock, reader, 'POST', '/puxa403/2f', b'crate 7'
        )
    ran = [e['request'] for e in replica.events('run')]
    fleet.record(f'replica ran {ran}; the last request is {request}')
    return not first.startswith('HTTP/1.1 ')


fleets.run(__file__, script)
