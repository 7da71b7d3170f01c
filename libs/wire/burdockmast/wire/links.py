"""One connection to a peer: its tasks, heartbeats and requests."""

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

# Shortest time between heartbeats in one direction.
MIN_HEARTBEAT_SECONDS = 1.0
# A peer counts as silent after this many of its periods without any data.
MAX_MISSED_HEARTBEATS = 3
# A heartbeat that is due within this time is sent at once.
HEARTBEAT_SLACK_SECONDS = 0.1
# The link is closed if more than this is queued for a slow peer.
MAX_BACKLOG_BYTES = 16 * 1024 * 1024
# Weight of the newest sample in the moving average of the round trip.
RTT_WEIGHT = 0.2


class Handler(Protocol):
    """Callbacks of a process for its links; called from the links' tasks."""

    def receive(self, link: 'Link', message: messages.AnyMessage) -> None:
        """Handle a message; must not block for long."""

    def build_heartbeat(self, link: 'Link') -> messages.Heartbeat:
        """Return the heartbeat to send.

        The link fills in the time stamps and the period.
        """

    def on_closed(self, link: 'Link', why: failures.Failure) -> None:
        """Clean up after the link was closed."""

    def heartbeat_period(self) -> float:
        """Return the seconds between heartbeats on each link."""


class Link:
    """A connection after the handshake.

    A reader task, a writer task and a heartbeat task serve it. The writer
    sends all queued messages in one call, so that many small messages
    cost little more than one.

    :ivar rtt: smoothed round trip time in seconds, 0.0 if unknown
    :ivar closed: why the link was closed, None while it is open
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
        self._wake_writer = eventlet.semaphore.Semaphore(0)
        self._event_by_call: dict[str, eventlet.event.Event] = {}
        self._received_at = timers.now()
        self._peer_stamp = 0
        self._peer_stamp_received_at = 0.0
        self._peer_period_seconds = MIN_HEARTBEAT_SECONDS

    def run(self, early: list[messages.AnyMessage]) -> None:
        """Start the tasks.

        :param early: messages that were received together with the Hello
        """
        for message in early:
            self._dispatch(message)
        eventlet.spawn(self._read)
        eventlet.spawn(self._write)
        eventlet.spawn(self._send_heartbeats)

    def send(self, message: messages.Message) -> bool:
        """Queue a message; return False if the link is closed."""
        if self.closed:
            return False
        data = codec.encode(message)
        if self._outgoing_bytes > MAX_BACKLOG_BYTES:
            self.close(self._failure(failures.Reason.PEER_SILENT, 'backlog'))
            return False
        if not self._outgoing:
            self._wake_writer.release()
        self._outgoing.append(data)
        self._outgoing_bytes += len(data)
        return True

    def request(
        self, message: messages.AnyMessage, timeout_seconds: float
    ) -> messages.AnyMessage | failures.Failure:
        """Send a message and wait for the reply with the same ``call`` id.

        After a failure the peer may or may not have acted on the message.
        """
        event = eventlet.event.Event()
        self._event_by_call[message.call] = event
        try:
            if not self.send(message):
                return self.closed
            with eventlet.Timeout(timeout_seconds, False):
                return event.wait()
            return self._failure(failures.Reason.PEER_SILENT, 'ask')
        finally:
            self._event_by_call.pop(message.call, None)

    def close(self, why: failures.Failure) -> None:
        """Close the link and pass ``why`` to its handler and all waiters.

        Further calls do nothing.
        """
        if self.closed:
            return
        self.closed = why
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        # The reader task must see the end of the stream before the file
        # descriptor is closed: a new socket may get the same number.
        eventlet.spawn(self._sock.close)
        self._wake_writer.release()
        for event in list(self._event_by_call.values()):
            event.send(why)
        self._handler.on_closed(self, why)

    def send_heartbeat(self) -> None:
        """Send a heartbeat now, in addition to the periodic ones."""
        self.send(self._with_stamps(self._handler.build_heartbeat(self)))

    @property
    def silent_seconds(self) -> float:
        """Seconds since data was last received from the peer."""
        return timers.now() - self._received_at

    @property
    def _silence_limit_seconds(self) -> float:
        return MAX_MISSED_HEARTBEATS * self._peer_period_seconds

    @property
    def _is_peer_silent(self) -> bool:
        return self.silent_seconds > self._silence_limit_seconds

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
            if self._is_peer_silent:
                # This process was paused and the data in the socket's buffer
                # is old: its sender may already count it as possibly not run.
                return self.close(
                    self._failure(failures.Reason.PEER_SILENT, 'read', 'late')
                )
            self._received_at = timers.now()
            self.bytes_received += len(data)
            received, failure = self._decoder.feed(data)
            for message in received:
                self._dispatch(message)
            if failure:
                LOG.warning(
                    'Closing the link to {}: invalid message: {}.',
                    self.address,
                    failure.detail,
                )
                return self.close(
                    self._failure(failure.reason, 'read', failure.detail)
                )

    def _write(self) -> None:
        while True:
            self._wake_writer.acquire()
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
            if self._is_peer_silent:
                return self.close(
                    self._failure(failures.Reason.PEER_SILENT, 'heartbeat')
                )
            period = self._handler.heartbeat_period()
            if timers.now() >= due - HEARTBEAT_SLACK_SECONDS:
                due = timers.now() + period
                self.send_heartbeat()
            eventlet.sleep(min(period, self._silence_limit_seconds))

    def _with_stamps(
        self, heartbeat: messages.Heartbeat
    ) -> messages.Heartbeat:
        held = timers.now() - self._peer_stamp_received_at
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
            event = self._event_by_call.pop(message.call, None)
            if event:
                event.send(message)
            return
        if isinstance(message, messages.Heartbeat):
            self._measure_round_trip(message)
        try:
            self._handler.receive(self, message)
        except Exception:
            LOG.exception(
                'Handling a message from {} failed; it is dropped.',
                self.address,
            )

    def _measure_round_trip(self, heartbeat: messages.Heartbeat) -> None:
        self._peer_period_seconds = heartbeat.period_ms / 1000
        self._peer_stamp = heartbeat.stamp_us
        self._peer_stamp_received_at = timers.now()
        if not heartbeat.echo_us:
            return
        round_trip_us = (
            timers.now() * 1e6 - heartbeat.echo_us - heartbeat.held_us
        )
        sample = max(0.0, round_trip_us / 1e6)
        if not self.rtt:
            self.rtt = sample
        self.rtt += RTT_WEIGHT * (sample - self.rtt)
