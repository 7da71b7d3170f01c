"""Finds out whether a server that broke off an answer has crashed.

A connection that ends may mean a crash, or that only this answer was broken
off. A server whose process has ended refuses new connections.
"""

import socket

import eventlet
import eventlet.event

from burdockmast.base import addresses
from burdockmast.base import ids
from burdockmast.gateway import backends
from burdockmast.gateway import upstream


class CrashChecks:
    """Asks servers for a connection, once for all requests that ask."""

    def __init__(self):
        """Create a record without checks."""
        self._running: dict[ids.ServerId, eventlet.event.Event] = {}

    def has_crashed(self, server: backends.BackendServer) -> bool:
        """Return whether a server refuses connections.

        One that doesn't reply at all may only be cut off.
        """
        running = self._running.get(server.id)
        if running is not None:
            return running.wait()
        running = self._running[server.id] = eventlet.event.Event()
        # The task that asks may be ended, and others wait for the answer.
        eventlet.spawn_n(self._check, server, running)
        return running.wait()

    def _check(
        self, server: backends.BackendServer, running: eventlet.event.Event
    ) -> None:
        refuses = False
        try:
            refuses = _refuses_connections(server)
        finally:
            del self._running[server.id]
            running.send(refuses)


def _refuses_connections(server: backends.BackendServer) -> bool:
    with upstream.BoundedSocket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.settimeout(upstream.CONNECT_TIMEOUT_SECONDS)
        try:
            sock.connect(addresses.split(server.address))
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
    return False
