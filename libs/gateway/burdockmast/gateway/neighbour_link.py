"""Sends and receives the messages between gateways as datagrams."""

import collections
from collections.abc import Callable
import math

import eventlet
from eventlet.green import socket
import msgspec

from burdockmast.base import addresses
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import timers
from burdockmast.gateway import busy_readers
from burdockmast.gateway import crash_suspects
from burdockmast.gateway import leaving_servers
from burdockmast.gateway import memory
from burdockmast.gateway import neighbours
from burdockmast.gateway import relays
from burdockmast.gateway import reports
from burdockmast.gateway import server_limits
from burdockmast.gateway.admission import full_servers
from burdockmast.gateway.admission import pressure
from burdockmast.gateway.balance import zone_balance
from burdockmast.gateway.intake import datagrams
from burdockmast.gateway.intake import work_budget

LOG = logs.get('neighbours')

# Work to receive a datagram, to hash a byte of it and to decode one, as that
# to copy so many bytes.
RECEIVING_WORK = 20 * 1024
HASHING_WORK = 4
DECODING_WORK = 64
# Messages that can't be decoded or sent are logged once for this many.
LOG_EVERY = 1000


class NeighbourLink:
    """The datagram socket of a gateway.

    A lost datagram is replaced by the next one, which has all data again.

    :ivar largest_sent_bytes: of a datagram so far
    :ivar dropped: number of datagrams that were not decoded, by reason
    """

    def __init__(
        self,
        address: ids.Address,
        known: neighbours.Neighbours,
        usage: memory.Usage,
        server_reports: reports.ServerReports,
        relay: relays.Relay,
        suspects: crash_suspects.CrashSuspects,
        limits: server_limits.ServerLimits,
        leaving: leaving_servers.LeavingServers,
        waiting: pressure.Pressure | None = None,
        balance: zone_balance.ZoneBalance | None = None,
        full: full_servers.FullServers | None = None,
        configuration_age: Callable[[], float] = lambda: math.inf,
        datagram_limits: datagrams.DatagramLimits | None = None,
        count: Callable[[str], object] = lambda _: None,
    ):
        """Prepare to listen at ``address``.

        :param waiting: requests that wait for room, None to report none
        :param balance: between zones, None if it is not exchanged
        :param full: servers that reject requests, None to report none
        :param configuration_age: returns the seconds since this gateway's
            configuration was last confirmed
        :param datagram_limits: the defaults if none are given
        :param count: counts a dropped datagram of a kind
        """
        self.address = address
        self._neighbours = known
        self._usage = usage
        self._reports = server_reports
        self._relay = relay
        self._suspects = suspects
        self._limits = limits
        self._leaving = leaving
        self._pressure = waiting
        self._configuration_age = configuration_age
        self._balance = balance
        self._full = full
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(neighbours.Message)
        self._sock: socket.socket | None = None
        self._task: eventlet.greenthread.GreenThread | None = None
        self.lost_messages = 0
        self.largest_sent_bytes = 0
        self.dropped: collections.Counter[datagrams.Refusal] = (
            collections.Counter()
        )
        self._filter = datagrams.DatagramFilter(
            datagram_limits or datagrams.DatagramLimits()
        )
        self._count = count
        self._work = work_budget.WorkBudget(busy_readers.Schedule(), 0)

    def start(self) -> None:
        """Open the socket and receive messages in a background task."""
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(addresses.split(self.address))
        self._task = eventlet.spawn(self._receive)

    def send_due(self) -> None:
        """Send the messages that are due."""
        encoded: dict[int, bytes] = {}
        for address, message in self._neighbours.due_messages(
            self._usage.load_by_server(),
            self._zone_news,
            self._learned,
        ):
            data = encoded.get(id(message))
            if data is None:
                data = encoded[id(message)] = self._seal(message)
            if data:
                self.send(address, data)

    def _seal(self, message: neighbours.Message) -> bytes:
        """Return the datagram of a message, empty if it is too large."""
        try:
            data = self._filter.seal(self._encoder.encode(message))
        except ValueError as error:
            self._count('datagrams_not_sent')
            self._record_loss('message to a gateway not sent', error)
            return b''
        self.largest_sent_bytes = max(self.largest_sent_bytes, len(data))
        return data

    def _learned(self, is_for_other_zones: bool) -> neighbours.Learned:
        return neighbours.Learned(
            self._suspects.news(),
            self._limits.news(),
            self._leaving.news(),
            self._balance.news() if self._balance else [],
            pressure=(
                self._pressure.news(is_for_other_zones)
                if self._pressure
                else []
            ),
            configuration_age=self._configuration_age(),
            full=self._full.news() if self._full else [],
        )

    def _zone_news(self) -> neighbours.ZoneNews:
        store = None
        if self._neighbours.is_watcher():
            store = self._relay.news(self._neighbours.alive_neighbours())
        return neighbours.ZoneNews(
            timers.boottime_now(),
            self._reports.take_new(),
            self._reports.take_unresponsive(),
            store,
        )

    def send(self, address: ids.Address, data: bytes) -> None:
        """Send one datagram; if that fails, the next message makes up."""
        try:
            self._sock.sendto(data, addresses.split(address))
        except (OSError, ValueError, OverflowError) as error:
            self._record_loss('message to a gateway not sent', error)

    def close(self) -> None:
        """Stop receiving and close the socket."""
        if self._task is not None:
            self._task.kill()
        self._sock.close()

    def _receive(self) -> None:
        while True:
            pause = self._work.pause_seconds()
            if pause is not None:
                # Datagrams that have arrived already don't let others run.
                eventlet.sleep(pause)
            try:
                # A larger one is cut, but is still seen to be too large.
                data, sender = self._sock.recvfrom(self._filter.max_bytes + 1)
                self._work.add_bytes(RECEIVING_WORK + len(data) * HASHING_WORK)
                content = self._filter.open(data, sender[0])
                if isinstance(content, datagrams.Refusal):
                    self._record_refusal(content, sender[0])
                    continue
                self._work.add_bytes(len(content) * DECODING_WORK)
                self._take_over(self._decoder.decode(content))
            except Exception as error:
                # Whatever one message causes, the next ones are received.
                self._record_loss('message of a gateway not received', error)
                eventlet.sleep(0)

    def _take_over(self, message: neighbours.Message) -> None:
        self._neighbours.receive(message)
        if message.learned.crashes is not None:
            self._suspects.receive(message.learned.crashes)
        self._limits.receive(message.learned.limits, message.sender)
        self._leaving.receive(message.learned.leaving, message.sender)
        is_neighbour = self._neighbours.is_neighbour(message.sender)
        if self._pressure:
            self._pressure.receive(
                message.learned.pressure, message.sender, is_neighbour
            )
        if self._full:
            self._full.receive(message.learned.full)
        if self._balance:
            self._balance.demand.receive(message.learned.demand)
        news = message.zone_news
        if news is None or not is_neighbour:
            return
        self._relay.record_stamp(message.sender, news.stamp)
        self._reports.take_over(news.reports)
        self._reports.check(news.unresponsive)
        if news.store is not None:
            self._relay.receive(news.store)

    def _record_refusal(
        self, refusal: datagrams.Refusal, address: str
    ) -> None:
        self._count(refusal.value)
        if self.dropped[refusal] % LOG_EVERY == 0:
            LOG.warning(
                'datagram dropped',
                extra={
                    'reason': refusal.value,
                    'address': address,
                    'dropped': self.dropped[refusal],
                },
            )
        self.dropped[refusal] += 1

    def _record_loss(self, message: str, error: Exception) -> None:
        if self.lost_messages % LOG_EVERY == 0:
            LOG.warning(
                message,
                extra={'reason': str(error), 'lost': self.lost_messages},
            )
        self.lost_messages += 1
