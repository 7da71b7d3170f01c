"""Stand-in for the network between two processes: slow, silent or cut."""

import socket

import eventlet
import eventlet.queue
import msgspec

from burdockmast.base import addresses
from burdockmast.base import ids
from burdockmast.standins import web

READ_BYTES = 64 * 1024


class Network(msgspec.Struct, forbid_unknown_fields=True):
    """What the network does to connections through it.

    :ivar delay: seconds added one way
    :ivar silence_open: connections that are open now go silent for good
    :ivar cut_open: connections that are open now are closed
    :ivar refuse: new connections get no answer
    """

    delay: float = 0.0
    silence_open: bool = False
    cut_open: bool = False
    refuse: bool = False


class Relay:
    """Forwards connections to one address."""

    def __init__(self, target: ids.Address, delay: float):
        """Create a relay that adds ``delay`` seconds one way."""
        self._target = addresses.split(target)
        self._network = Network(delay)
        self._open: set[Connection] = set()

    def handle(self, environ: dict, body: bytes) -> web.Reply:
        """Change the network, or tell how many connections are open."""
        if environ['PATH_INFO'] == '/network':
            self._network = msgspec.json.decode(body, type=Network)
            for connection in list(self._open):
                if self._network.silence_open:
                    connection.is_silent = True
                if self._network.cut_open:
                    connection.close()
        return 200, {'open': len(self._open)}, {}

    def serve(self, address: tuple[str, int]) -> None:
        """Accept connections until the process ends."""
        listener = eventlet.listen(address, backlog=1024)
        while True:
            near, _ = listener.accept()
            eventlet.spawn(self._connect, near)

    def _connect(self, near: socket.socket) -> None:
        if self._network.refuse:
            eventlet.sleep(3600)
        try:
            far = eventlet.connect(self._target)
        except OSError:
            near.close()
            return
        connection = Connection(near, far, self)
        self._open.add(connection)
        for here, there in ((near, far), (far, near)):
            here.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            waiting = eventlet.queue.LightQueue()
            eventlet.spawn(connection.read, here, waiting)
            eventlet.spawn(connection.write, there, waiting)

    @property
    def delay(self) -> float:
        """Seconds added one way."""
        return self._network.delay

    def forget(self, connection: 'Connection') -> None:
        """Drop a closed connection."""
        self._open.discard(connection)


class Connection:
    """One connection through the relay."""

    def __init__(self, near: socket.socket, far: socket.socket, relay: Relay):
        """Create a connection between two sockets."""
        self.is_silent = False
        self._near = near
        self._far = far
        self._relay = relay

    def read(
        self, sock: socket.socket, waiting: eventlet.queue.LightQueue
    ) -> None:
        """Read one direction; each part may leave after the delay."""
        try:
            while data := sock.recv(READ_BYTES):
                if not self.is_silent:
                    due = eventlet.hubs.get_hub().clock() + self._relay.delay
                    waiting.put((due, data))
        except (OSError, EOFError):
            # EOFError is raised if another task has closed the socket.
            pass
        waiting.put((0.0, b''))

    def write(
        self, sock: socket.socket, waiting: eventlet.queue.LightQueue
    ) -> None:
        """Write one direction in order."""
        try:
            while True:
                due, data = waiting.get()
                if self.is_silent:
                    # Not even the end of the connection gets through.
                    eventlet.sleep(3600)
                if not data:
                    break
                wait = due - eventlet.hubs.get_hub().clock()
                if wait > 0:
                    eventlet.sleep(wait)
                sock.sendall(data)
        except OSError:
            pass
        self.close()

    def close(self) -> None:
        """Close both ends."""
        self._relay.forget(self)
        for sock in (self._near, self._far):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()
