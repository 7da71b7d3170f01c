"""The entry process: creates its parts, dispatches messages, shuts down."""

import socket

import eventlet
import eventlet.greenthread
import eventlet.patcher
import eventlet.wsgi

from burdockmast.base import addresses
from burdockmast.base import failures
from burdockmast.base import logs
from burdockmast.base import request_heads
from burdockmast.entry import answers
from burdockmast.entry import fleet
from burdockmast.entry import services
from burdockmast.entry import stalls
from burdockmast.entry import web
from burdockmast.limits import queues
from burdockmast.node import node
from burdockmast.routing import policies
from burdockmast.settings import models
from burdockmast.wire import links
from burdockmast.wire import messages

LOG = logs.get('entry')

# The patched select module of eventlet has no poll.
_select = eventlet.patcher.original('select')

LISTEN_BACKLOG = 4096
MAX_CONCURRENT_REQUESTS = 8192
# Time for the load balancer to see that this instance is not ready; it may
# poll only once a second.
READINESS_GRACE_SECONDS = 2.0
# Time limit for running requests to end when the instance shuts down.
DRAIN_SECONDS = 60.0
# Polls for pending connections before the listener is closed.
MAX_ACCEPT_POLL_COUNT = 100


class Entry:
    """One entry instance."""

    def __init__(self, settings: models.EntrySettings):
        """Create the instance's parts; ``start`` starts them."""
        self.settings = settings
        self.node = node.Node.from_config(settings, messages.Role.ENTRY, self)
        self.node.describe_role = self._details
        policy = policies.POLICY_BY_NAME[settings.routing]
        self.view = fleet.FleetView(self.node, policy, settings.subset)
        self.queue = queues.FairQueue(settings.queue)
        self.answers = answers.Answers(self.node, self.view, self.queue)
        self._is_stopping = False
        self.node.draining_instances.subscribers.append(
            self._on_instances_update
        )
        self.application = web.Application(
            self.node,
            self.answers,
            services.ServiceClient(self.node, self.view),
            settings.default_deadline,
            settings.body_bytes,
        )

    def start(self) -> socket.socket:
        """Start all parts; return the listening socket for ``serve``.

        :raises OSError: if an address is in use
        """
        self.node.start()
        self.node.timers.subscribe(
            'dial', fleet.DIAL_INTERVAL_SECONDS, self.view.dial_unlinked
        )
        self.node.timers.subscribe(
            'stalls', stalls.POLL_SECONDS, self.answers.stall_detector.poll
        )
        return eventlet.listen(
            addresses.split(self.settings.http_address), backlog=LISTEN_BACKLOG
        )

    def serve(self, sock: socket.socket) -> None:
        """Serve callers until ``stop`` shuts the socket down.

        Returns after all accepted requests have been answered.
        """
        try:
            eventlet.wsgi.server(
                sock,
                self.application,
                log_output=False,
                protocol=request_heads.Protocol,
                max_size=MAX_CONCURRENT_REQUESTS,
                # The default buffers 4 KiB, which is 20 tokens.
                minimum_chunk_size=1,
                debug=False,
            )
        except OSError as error:
            if not self._is_stopping:
                LOG.error(
                    'Listening socket failed; callers are not served: {}.',
                    error,
                )
                raise

    def stop(
        self, sock: socket.socket, serving: eventlet.greenthread.GreenThread
    ) -> None:
        """Shut down gracefully.

        The instance first reports that it is not ready, so that the load
        balancer stops sending requests. It then refuses new connections
        instead of new requests, so that every request sent is answered, and
        waits for the running requests.

        :param serving: the task that runs ``serve``
        """
        self.node.events.add(
            'process.stopping', requests=self.application.running_count
        )
        self._is_stopping = True
        self.application.is_draining = True
        eventlet.sleep(READINESS_GRACE_SECONDS)
        _stop_listening(sock)
        with eventlet.Timeout(DRAIN_SECONDS, False):
            serving.wait()

    def _on_instances_update(self) -> None:
        """Report not ready as soon as the platform drains this instance."""
        is_draining = self.node.draining_instances.is_draining
        self.application.is_draining = self._is_stopping or is_draining

    def receive(self, link: links.Link, message: messages.AnyMessage) -> None:
        """Dispatch a message to the part that handles it."""
        match message:
            case messages.Token() | messages.Finished() | messages.Failed():
                self.answers.receive(message)
            case messages.Begun():
                self.answers.on_begun(message)
            case _ if self.node.receive(link, message):
                if isinstance(message, messages.Heartbeat) and message.load:
                    self._apply_load(message)

    def _apply_load(self, heartbeat: messages.Heartbeat) -> None:
        load = heartbeat.load
        earlier = self.view.loads.report_by_server.get(load.server)
        if earlier is None or _availability(earlier.load) != _availability(
            load
        ):
            self._record_availability(load)
        self.view.loads.apply_report(load, heartbeat.period_ms / 1000)
        self.queue.wake(load.slots - load.running)

    def _record_availability(self, load: messages.Load) -> None:
        held = [f'{h.model}:{h.first}-{h.end}' for h in load.held]
        self.node.events.add(
            'server.standing',
            server=load.server,
            held=held,
            leaving=load.leaving,
            engine_lost=load.is_engine_lost,
        )

    def build_heartbeat(self, link: links.Link) -> messages.Heartbeat:
        """Return the heartbeat for a peer."""
        return self.node.heartbeat()

    def heartbeat_period(self) -> float:
        """Return the seconds between heartbeats."""
        return self.node.peers.heartbeat_period()

    def on_closed(self, link: links.Link, why: failures.Failure) -> None:
        """Fail what depended on a lost link."""
        self.node.on_closed(link, why)
        self.view.on_link_closed(link)
        self.answers.on_link_closed(link, why)

    def _details(self) -> dict:
        return {
            'http_address': self.settings.http_address,
            'requests': self.application.running_count,
            'waiting': len(self.queue),
            'servers': len(self.view.servers),
        }


def _stop_listening(sock: socket.socket) -> None:
    """Stop listening once no connections are pending.

    The kernel resets connections that are still pending at shutdown, together
    with requests that may have been sent on them.
    """
    for _ in range(MAX_ACCEPT_POLL_COUNT):
        if not _has_pending_connection(sock):
            break
        eventlet.sleep(0)
    # Unlike close, shutdown wakes the task that accepts connections.
    sock.shutdown(socket.SHUT_RDWR)


def _has_pending_connection(sock: socket.socket) -> bool:
    poll = _select.poll()
    poll.register(sock.fileno(), _select.POLLIN)
    return bool(poll.poll(0))


def _availability(load: messages.Load) -> tuple[object, ...]:
    """Return the fields that decide whether a server may get new answers."""
    return load.held, load.leaving, load.is_engine_lost
