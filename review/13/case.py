"""A resumed stream begins anew if its events have ids of 13 digits."""

import pathlib
import socket
import struct
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from rig_3 import clients  # noqa: E402
from rig_3 import fleet as fleets  # noqa: E402
from rig_3 import http_messages  # noqa: E402

TARGET = '/pufi791/2f'
# Unix milliseconds, as many servers number their events.
FIRST_ID = 1796679042000
EVENTS_BEFORE_RESET = 5


def read_events(fleet, gateway, last_id, stop_after):
    """Ask for a stream; return the ids of its events, and if it was whole.

    :param last_id: of the last event that the client has, None for none
    :param stop_after: events after which the connection is reset, or None
    """
    request = clients.new_id()
    fields = {'Content_Length': '0'}
    if last_id is not None:
        fields['Last_Event_Id'] = str(last_id)
    found = []
    with clients.connect(fleet.host, gateway.front) as sock:
        sock.sendall(clients.head('POST', TARGET, request, **fields))
        reader = http_messages.Reader(sock)
        head = reader.head()
        if head is None or head.status != 200:
            raise fleets.UnusableError('no stream')
        is_whole = False
        data = b''
        try:
            for piece in reader.body_pieces(head, is_request=False):
                data += piece
                *events, data = data.split(b'\n\n')
                for event in events:
                    found.append(int(event.split(b'\n')[0][len('id: ') :]))
                if stop_after and len(found) >= stop_after:
                    break
            else:
                is_whole = True
        except (OSError, http_messages.ConnectionEnded):
            pass
        if stop_after:
            reset = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
    fleet.record(
        f'request {request}, Last-Event-Id {last_id}: events {found}, '
        f'{"whole" if is_whole else "broken off"}'
    )
    return found, is_whole


def script(fleet):
    """Return whether a client got events that it had, or lacks some."""
    fleet.store.put('config', 'main', fleets.configuration())
    replicas = [
        fleets.Replica(
            fleet, name, fleets.PLAIN_SERVICE, [f'first-id={FIRST_ID}']
        )
        for name in ('i-7f3a91c2', 'i-02d9e6b4')
    ]
    gateway = fleets.Gateway(fleet, 1)
    fleet.wait_for(gateway.is_ready, 'the gateway')
    # The gateway may be ready before it knows the replicas.
    fleet.wait_for(
        lambda: (
            clients.ask(fleet.host, gateway.front, 'POST', TARGET).status
            == 200
        ),
        'a stream in calm',
    )
    before, is_whole = read_events(fleet, gateway, None, None)
    if not is_whole:
        raise fleets.UnusableError('no whole stream in calm')
    stop_after = EVENTS_BEFORE_RESET if fleet.has_trouble else None
    found, is_whole = read_events(fleet, gateway, None, stop_after)
    if fleet.has_trouble:
        fleet.record("the client's connection is reset; it resumes")
        rest, is_whole = read_events(fleet, gateway, found[-1], None)
        found += rest
    got = [
        event['headers'].get('last-event-id')
        for replica in replicas
        for event in replica.events('run')
    ]
    fleet.record(f'Last-Event-Id at the replicas: {got}')
    # A stream that is broken off may lack its end, but repeat nothing.
    comes_twice = len(set(found)) < len(found)
    return comes_twice or (is_whole and found != before)


fleets.run(__file__, script)
