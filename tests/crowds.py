"""Concurrent callers that send what a gateway must withstand, for tests."""

import http.client
import itertools
import pathlib
import socket

import eventlet
import eventlet.greenpool

# Longest time for which callers send; a gateway may stop reading.
SENDING_SECONDS = 8.0
# What callers have sent last is taken in before they are looked at.
SETTLING_SECONDS = 0.5


class Crowd:
    """Callers that send a request each and keep their connections open."""

    def __init__(self, platform, size):
        """Connect the callers.

        :param size: number of callers
        """
        self._platform = platform
        self._connections = [platform.connect() for _ in range(size)]

    def send(self, path, headers, pieces):
        """Send the same request on all connections, up to a time.

        :param pieces: returns an iterator over the pieces of the body
        """
        self._run_all(self._send_one, path, headers, pieces)

    def send_head(self, value):
        """Send a head on all connections whose last line doesn't end.

        :param value: of the header in that line
        """
        self._run_all(self._send_one_head, value)

    def _run_all(self, send, *arguments):
        pool = eventlet.greenpool.GreenPool(len(self._connections))
        for connection in self._connections:
            pool.spawn_n(send, connection, *arguments)
        with eventlet.Timeout(SENDING_SECONDS, False):
            pool.waitall()
        eventlet.sleep(SETTLING_SECONDS)

    def _send_one_head(self, connection, value):
        try:
            connection.sock.sendall(
                b'GET /lookup/x HTTP/1.1\r\nHost: h.example\r\nX-Long: '
            )
            connection.sock.sendall(value)
        except OSError:
            # The gateway has closed the connection, or the test has.
            return

    def _send_one(self, connection, path, headers, pieces):
        try:
            connection.putrequest('POST', path, skip_host=True)
            found = {**self._platform.headers(path), **headers}
            for name, value in found.items():
                connection.putheader(name, value)
            connection.endheaders()
            for piece in pieces():
                connection.sock.sendall(piece)
                eventlet.sleep(0)
        except (OSError, http.client.HTTPException):
            # The gateway has closed the connection, or the test has.
            return

    def close(self):
        """Close all connections."""
        for connection in self._connections:
            connection.close()


def flood(address, sources, datagrams, seconds=SENDING_SECONDS):
    """Send datagrams from several addresses for some time.

    :param sources: address of each sender; one may have several senders
    :param datagrams: iterator over what is sent, shared by the senders
    """
    host, _, port = address.rpartition(':')
    senders = []
    for source in sources:
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sender.bind((source, 0))
        senders.append(sender)
    try:
        with eventlet.Timeout(seconds, False):
            for sender in itertools.cycle(senders):
                sender.sendto(next(datagrams), (host, int(port)))
                eventlet.sleep(0)
    finally:
        for sender in senders:
            sender.close()
    eventlet.sleep(SETTLING_SECONDS)


def _status_kib(pid, field):
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        name, _, value = line.partition(':')
        if name == field:
            return int(value.split()[0])
    raise LookupError(field)


def resident_mib(pid):
    """Return the resident memory of a process."""
    return _status_kib(pid, 'VmRSS') / 1024


def peak_mib(pid):
    """Return the largest resident memory of a process so far."""
    return _status_kib(pid, 'VmHWM') / 1024


def descriptor_count(pid):
    """Return the number of open descriptors of a process."""
    return sum(1 for _ in pathlib.Path(f'/proc/{pid}/fd').iterdir())
