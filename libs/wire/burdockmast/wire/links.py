"""One connection to a peer: its tasks, heartbeats and questions."""

import collections
import socket
from typing import Protocol

import eventlet
import eventlet.event
import eventlet.semaphore

from burdockmast.base import failures
from burdockmast.base import logs
from burdockmast.base import timers
from burdockmast.wire import codec
from burdockmast.wire import messages

LOG = logs.get('link')

# Shortest time between heartbeats in one direction, in seconds.
MIN_HEARTBEAT_SECONDS = 1.0
# Heartbeats of the peer that may be missing before it counts as silent.
MAX_MISSED_HEARTBEATS = 3
# A heartbeat due within this time is sent now, in seconds.
HEARTBEAT_SLACK_SECONDS = 0.1
# Bytes that may wait for a slow peer before the connection is given up.
MAX_BACKLOG_BYTES = 16 * 1024 * 1024
# Weight of the newest sample in the smoothed round trip.
RTT_WEIGHT = 0.2


class Handler(Protocol):
    """What a process does with its links; called from the link's tasks."""

    def receive(self, link: 'Link', message: messages.AnyMessage) -> None:
        """Handle a message; must not block for long."""

    def build_heartbeat(self, link: 'Link') -> messages.Heartbeat:
        """Return the heartbeat to send; the link fills in its stamps."""

    def on_closed(self, link: 'Link', why: failures.Failure) -> None:
        """Learn that the link is gone."""

    def heartbeat_period(self) -> float:
        """Return the seconds between heartbeats on each link."""


class Link:
    """A connection with both Hellos exchanged.

    A reader task, a writer task and a heartbeat task serve it. The writer
    sends all that is waiting in one call, so that many small messages
    cost little more than one.
    """

    def __init__(
        self,
        sock: socket.socket,
        decoder: codec.Decoder,
        hello: messages.Hello,
        handler: Handler,
    ):
        """Create a link; ``run`` starts its tasks."""
        self.hello = hello
        self.address = hello.address
        self.rtt = 0.0
        self.closed: failures.Failure | None = None
        self.bytes_sent = 0
        self.bytes_received = 0
        self._sock = sock
        self._decoder = decoder
        self._handler = handler
        self._outgoing: collections.deque[bytes] = collections.deque()
        self._outgoing_bytes = 0
        self._wake = eventlet.semaphore.Semaphore(0)
        self._waiting_by_call: dict[str, eventlet.event.Event] = {}
        self._heard_at = timers.now()
        self._peer_stamp = 0
        self._peer_stamp_at = 0.0
        self._peer_period = MIN_HEARTBEAT_SECONDS

    def run(self, early: list[messages.AnyMessage]) -> None:
        """Start the tasks; ``early`` came along with the Hello."""
        for message in early:
            self._dispatch(message)
        eventlet.spawn(self._read)
        eventlet.spawn(self._write)
        eventlet.spawn(self._send_heartbeats)

    def send(self, message: messages.Message) -> bool:
        """Queue a message; false if the link is closed."""
        if self.closed:
            return False
        data = codec.encode(message)
        if self._outgoing_bytes > MAX_BACKLOG_BYTES:
            self.close(self._failure(failures.Reason.PEER_SILENT, 'backlog'))
            return False
        if not self._outgoing:
            self._wake.release()
        self._outgoing.append(data)
        self._outgoing_bytes += len(data)
        return True

    def request(
        self, message: messages.AnyMessage, seconds: float
    ) -> messages.AnyMessage | failures.Failure:
        """Send a question and wait for the reply with the same ``call``.

        After a failure the peer may or may not have acted on it.
        """
        event = eventlet.event.Event()
        self._waiting_by_call[message.call] = event
        try:
            if not self.send(message):
                return self.closed
            with eventlet.Timeout(seconds, False):
                return event.wait()
            return self._failure(failures.Reason.PEER_SILENT, 'ask')
        finally:
            self._waiting_by_call.pop(message.call, None)

    def close(self, why: failures.Failure) -> None:
        """End the link once; its owner and all waiters learn why."""
        if self.closed:
            return
        self.closed = why
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        # The reader has to see the end before the socket's number is free for
        # another one.
        eventlet.spawn(self._sock.close)
        self._wake.release()
        for event in list(self._waiting_by_call.values()):
            event.send(why)
        self._handler.on_closed(self, why)

    def send_heartbeat(self) -> None:
        """Send a heartbeat now, beside the periodic ones."""
        self.send(self._stamped(self._handler.build_heartbeat(self)))

    @property
    def silent_seconds(self) -> float:
        """Seconds since the last byte from the peer."""
        return timers.now() - self._heard_at

    @property
    def _patience(self) -> float:
        return MAX_MISSED_HEARTBEATS * self._peer_period

    @property
    def _is_lapsed(self) -> bool:
        return self.silent_seconds > self._patience

    def _failure(
        self, reason: failures.Reason, step: str, detail: str = ''
    ) -> failures.Failure:
        return failures.Failure(reason, f'link.{step}', self.address, detail)

    def _read(self) -> None:
        while not self.closed:
            try:
                data = self._sock.recv(codec.READ_BYTES)
            except (OSError, EOFError) as error:
                # EOFError is raised if another task has closed the socket.
                return self.close(
                    self._failure(
                        failures.Reason.PEER_LOST, 'read', str(error)
                    )
                )
            if not data:
                return self.close(
                    self._failure(failures.Reason.PEER_LOST, 'read', 'closed')
                )
            if self._is_lapsed:
                # This process was paused and what waited here is old: its
                # sender may have been told that it may not have run.
                return self.close(
                    self._failure(failures.Reason.PEER_SILENT, 'read', 'late')
                )
            self._heard_at = timers.now()
            self.bytes_received += len(data)
            received, broken = self._decoder.feed(data)
            for message in received:
                self._dispatch(message)
            if broken:
                LOG.warning('Dropped {}: {}.', self.address, broken.detail)
                return self.close(
                    self._failure(broken.reason, 'read', broken.detail)
                )

    def _write(self) -> None:
        while True:
            self._wake.acquire()
            if self.closed:
                return
            data = b''.join(self._outgoing)
            self._outgoing.clear()
            self.bytes_sent += len(data)
            try:
                self._sock.sendall(data)
            except OSError as error:
                return self.close(
                    self._failure(
                        failures.Reason.PEER_LOST, 'write', str(error)
                    )
                )
            self._outgoing_bytes = sum(map(len, self._outgoing))

    def _send_heartbeats(self) -> None:
        due = timers.now()
        while not self.closed:
            if self._is_lapsed:
                return self.close(
                    self._failure(failures.Reason.PEER_SILENT, 'heartbeat')
                )
            period = self._handler.heartbeat_period()
            if timers.now() >= due - HEARTBEAT_SLACK_SECONDS:
                due = timers.now() + period
                self.send_heartbeat()
            eventlet.sleep(min(period, self._patience))

    def _stamped(self, heartbeat: messages.Heartbeat) -> messages.Heartbeat:
        held = timers.now() - self._peer_stamp_at
        return messages.Heartbeat(
            heartbeat.clock,
            heartbeat.version,
            heartbeat.store_age_ms,
            int(timers.now() * 1e6),
            self._peer_stamp,
            int(held * 1e6),
            heartbeat.load,
            heartbeat.strikes,
            int(self._handler.heartbeat_period() * 1000),
            heartbeat.list_revision,
        )

    def _dispatch(self, message: messages.AnyMessage) -> None:
        if isinstance(message, messages.REPLY_TYPES):
            event = self._waiting_by_call.pop(message.call, None)
            if event:
                event.send(message)
            return
        if isinstance(message, messages.Heartbeat):
            self._measure(message)
        try:
            self._handler.receive(self, message)
        except Exception:
            LOG.exception('Message from {} failed.', self.address)

    def _measure(self, heartbeat: messages.Heartbeat) -> None:
        self._peer_period = heartbeat.period_ms / 1000
        self._peer_stamp = heartbeat.stamp_us
        self._peer_stamp_at = timers.now()
        if not heartbeat.echo_us:
            return
        round_trip_us = (
            timers.now() * 1e6 - heartbeat.echo_us - heartbeat.held_us
        )
        sample = max(0.0, round_trip_us / 1e6)
        if not self.rtt:
            self.rtt = sample
        self.rtt += RTT_WEIGHT * (sample - self.rtt)
