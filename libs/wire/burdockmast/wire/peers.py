"""All links of a process: one outgoing link per address, kept open."""

from collections.abc import Callable

import eventlet
import eventlet.semaphore

from burdockmast.base import addresses
from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.wire import connections
from burdockmast.wire import links
from burdockmast.wire import messages

LOG = logs.get('peers')

# Traffic that a process spends on heartbeats, both directions together.
HEARTBEAT_BYTES_PER_SECOND = 2400
# Size of a heartbeat and of the peer's in return.
HEARTBEAT_PAIR_BYTES = 120


class Peers:
    """Links of one process.

    :ivar link_by_address: outgoing links, by the address that was dialled
    :ivar accepted: incoming links
    :ivar connect_subscribers: called with each new link
    """

    def __init__(self, hello: messages.Hello, handler: links.Handler):
        """Create an empty set of links.

        :param hello: the handshake message that each peer gets
        """
        self.hello = hello
        self.link_by_address: dict[ids.Address, links.Link] = {}
        self.accepted: set[links.Link] = set()
        self.connect_subscribers: list[Callable[[links.Link], None]] = []
        self._handler = handler
        self._lock_by_address: dict[
            ids.Address, eventlet.semaphore.Semaphore
        ] = {}
        self._pending_by_address: dict[ids.Address, list] = {}

    def listen(self, address: ids.Address) -> None:
        """Accept links at ``address``.

        :raises OSError: if it is in use
        """
        connections.listen(
            addresses.split(address),
            lambda: self.hello,
            self._handler,
            self._accept,
        )

    def _accept(self, link: links.Link) -> None:
        self.accepted.add(link)
        self._on_connected(link)

    def _on_connected(self, link: links.Link) -> None:
        for subscriber in self.connect_subscribers:
            subscriber(link)

    def get(self, address: ids.Address) -> links.Link | failures.Failure:
        """Return the link to ``address``; open one if there is none."""
        link = self.link_by_address.get(address)
        if link and not link.closed:
            return link
        lock = self._lock_by_address.setdefault(
            address, eventlet.semaphore.Semaphore()
        )
        with lock:
            link = self.link_by_address.get(address)
            if link and not link.closed:
                return link
            return self._dial(address)

    def _dial(self, address: ids.Address) -> links.Link | failures.Failure:
        link = connections.connect(
            address, addresses.split(address), self.hello, self._handler
        )
        if isinstance(link, links.Link):
            # Kept under the dialled address: behind a relay, the peer's
            # Hello names another one.
            link.address = address
            self.link_by_address[address] = link
            self._on_connected(link)
        return link

    def forget(self, link: links.Link) -> None:
        """Remove a closed link."""
        self.accepted.discard(link)
        if self.link_by_address.get(link.address) is link:
            del self.link_by_address[link.address]
            self._lock_by_address.pop(link.address, None)

    def all(self) -> list[links.Link]:
        """Return the open links, outgoing and incoming."""
        return [*self.link_by_address.values(), *self.accepted]

    def heartbeat_period(self) -> float:
        """Return the seconds between heartbeats on each link.

        It grows with the number of links, which bounds the process's
        heartbeat traffic. Heartbeats tell the peers the period, from which
        they derive how long this process may be silent.
        """
        count = len(self.link_by_address) + len(self.accepted)
        needed = count * HEARTBEAT_PAIR_BYTES / HEARTBEAT_BYTES_PER_SECOND
        return max(links.MIN_HEARTBEAT_SECONDS, needed)

    def send_heartbeats(self) -> None:
        """Send all peers a heartbeat now, after an important change."""
        for link in self.all():
            link.send_heartbeat()

    def post(
        self,
        address: ids.Address,
        message: messages.Message,
        on_failure: Callable[[failures.Failure], None],
    ) -> None:
        """Send without blocking; messages to one address stay in order.

        :param on_failure: called if the peer can't be reached
        """
        link = self.link_by_address.get(address)
        pending = self._pending_by_address.get(address)
        if link and not link.closed and pending is None:
            if not link.send(message):
                on_failure(link.closed)
            return
        if pending is not None:
            pending.append((message, on_failure))
            return
        self._pending_by_address[address] = [(message, on_failure)]
        eventlet.spawn(self._dial_and_send, address)

    def _dial_and_send(self, address: ids.Address) -> None:
        try:
            link = self.get(address)
        finally:
            # If dialling raises, later messages must not wait for it forever.
            pending = self._pending_by_address.pop(address)
        for message, on_failure in pending:
            if isinstance(link, failures.Failure):
                on_failure(link)
            elif not link.send(message):
                on_failure(link.closed)
