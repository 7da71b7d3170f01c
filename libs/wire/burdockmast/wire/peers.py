"""All links of a process: dialled once for each address, and kept."""

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

# Bytes a second that a process spends on heartbeats, both ways together.
HEARTBEAT_BYTES_PER_SECOND = 2400
# Bytes of one heartbeat and of the one that comes back.
HEARTBEAT_PAIR_BYTES = 120


class Peers:
    """Links of one process, by address for those it dialled."""

    def __init__(self, hello: messages.Hello, handler: links.Handler):
        """Create a process's links.

        :param hello: what it tells each peer of itself
        """
        self.hello = hello
        self.link_by_address: dict[ids.Address, links.Link] = {}
        self.accepted: set[links.Link] = set()
        self.connect_subscribers: list[Callable[[links.Link], None]] = []
        self._handler = handler
        self._lock_by_address: dict[
            ids.Address, eventlet.semaphore.Semaphore
        ] = {}
        self._waiting_by_address: dict[ids.Address, list] = {}

    def listen(self, address: ids.Address) -> None:
        """Accept links at ``address``.

        :raises OSError: if it is taken
        """
        connections.listen(
            addresses.split(address),
            lambda: self.hello,
            self._handler,
            self._accept,
        )

    def _accept(self, link: links.Link) -> None:
        self.accepted.add(link)
        self._tell(link)

    def _tell(self, link: links.Link) -> None:
        for subscriber in self.connect_subscribers:
            subscriber(link)

    def get(self, address: ids.Address) -> links.Link | failures.Failure:
        """Return the link to ``address``, dialling if there is none."""
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
            # The dialled address counts: a relay may stand in between.
            link.address = address
            self.link_by_address[address] = link
            self._tell(link)
        return link

    def forget(self, link: links.Link) -> None:
        """Drop a closed link."""
        self.accepted.discard(link)
        if self.link_by_address.get(link.address) is link:
            del self.link_by_address[link.address]
            self._lock_by_address.pop(link.address, None)

    def all(self) -> list[links.Link]:
        """Return the open links, dialled and accepted."""
        return [*self.link_by_address.values(), *self.accepted]

    def heartbeat_period(self) -> float:
        """Return the seconds between heartbeats on each link.

        It grows with the number of links, so that a process spends no more
        on control however many peers it has; peers are told, and are
        patient accordingly.
        """
        count = len(self.link_by_address) + len(self.accepted)
        needed = count * HEARTBEAT_PAIR_BYTES / HEARTBEAT_BYTES_PER_SECOND
        return max(links.MIN_HEARTBEAT_SECONDS, needed)

    def send_heartbeats(self) -> None:
        """Send all peers a heartbeat now: something important changed."""
        for link in self.all():
            link.send_heartbeat()

    def post(
        self,
        address: ids.Address,
        message: messages.Message,
        failed: Callable[[failures.Failure], None],
    ) -> None:
        """Send without waiting; messages to one address stay in order.

        :param failed: called if the peer can't be reached
        """
        link = self.link_by_address.get(address)
        waiting = self._waiting_by_address.get(address)
        if link and not link.closed and waiting is None:
            if not link.send(message):
                failed(link.closed)
            return
        if waiting is not None:
            waiting.append((message, failed))
            return
        self._waiting_by_address[address] = [(message, failed)]
        eventlet.spawn(self._dial_and_send, address)

    def _dial_and_send(self, address: ids.Address) -> None:
        try:
            link = self.get(address)
        finally:
            # Whatever happens, later messages must not wait for this dial.
            waiting = self._waiting_by_address.pop(address)
        for message, failed in waiting:
            if isinstance(link, failures.Failure):
                failed(link)
            elif not link.send(message):
                failed(link.closed)
