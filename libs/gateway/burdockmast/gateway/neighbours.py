"""Gateways tell each other what they use of servers.

Answers the herd: gateways that see only their own requests all choose the
fastest pipeline, and its servers run out of memory while others are idle.
News is lost now and then, and old news counts for nothing.
"""

import socket

import eventlet
import eventlet.green.socket
import msgpack

from burdockmast.base import addresses
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.gateway import memory

LOG = logs.get('neighbours')

PROTOCOL = 1
# Datagrams that one gateway sends in a second, however many there are: for
# more of them, each hears of the others less often.
DATAGRAMS_PER_SECOND = 10.0
SHORTEST_PERIOD_SECONDS = 0.5
# Largest datagram, in bytes; news of 1,000 servers is shorter.
DATAGRAM_BYTES = 65000


class Neighbours:
    """Sends what this gateway uses, and takes in what others do."""

    def __init__(
        self, address: ids.Address, instance: str, usage: memory.Usage
    ):
        """Create the exchange of one gateway; nothing is sent yet."""
        self.address_by_instance: dict[str, ids.Address] = {}
        self._address = address
        self._instance = instance
        self._usage = usage
        self._sock = eventlet.green.socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        )

    def start(self) -> None:
        """Listen and begin to send.

        :raises OSError: if the address is taken
        """
        self._sock.bind(addresses.split(self._address))
        eventlet.spawn(self._receive)
        eventlet.spawn(self._send)

    def _send(self) -> None:
        while True:
            others = {
                address
                for instance, address in self.address_by_instance.items()
                if instance != self._instance
            }
            eventlet.sleep(
                max(
                    SHORTEST_PERIOD_SECONDS,
                    len(others) / DATAGRAMS_PER_SECOND,
                )
            )
            if not others:
                continue
            news = msgpack.packb([PROTOCOL, self._instance, self._usage.own()])
            for address in others:
                try:
                    self._sock.sendto(news, addresses.split(address))
                except OSError as error:
                    LOG.info(
                        'news not sent',
                        extra={'peer': address, 'reason': str(error)},
                    )

    def _receive(self) -> None:
        while True:
            try:
                news, (host, port) = self._sock.recvfrom(DATAGRAM_BYTES)
                protocol, instance, used = msgpack.unpackb(
                    news, max_buffer_size=DATAGRAM_BYTES
                )
                if protocol == PROTOCOL:
                    self._usage.learn(instance, used)
            except (OSError, ValueError, TypeError) as error:
                LOG.warning('news not read', extra={'reason': str(error)})
