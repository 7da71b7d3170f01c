"""The entry process: its parts, and which part gets which message."""

import socket

import eventlet
import eventlet.greenthread
import eventlet.patcher
import eventlet.wsgi

from burdockmast.base import addresses
from burdockmast.base import failures
from burdockmast.base import logs
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

# eventlet's own has no poll.
_select = eventlet.patcher.original('select')

# Connections that may wait to be accepted.
BACKLOG = 4096
# Requests served at once.
CONCURRENCY = 8192
# Seconds that the balancer has to see that this instance is not ready: it may
# look once a second.
LEAVE_SECONDS = 2.0
# Seconds that a planned stop waits for answers.
DRAIN_SECONDS = 60.0
# Looks for connections that wait to be accepted, before none are any more.
ACCEPT_LOOKS = 100


class Entry:
    """One entry instance."""

    def __init__(self, settings: models.EntrySettings):
        """Create the instance's parts; ``start`` begins their work."""
        self.settings = settings
        self.node = node.Node.from_config(settings, messages.Role.ENTRY, self)
        self.node.describe_role = self._details
        policy = policies.POLICY_BY_NAME[settings.routing]
        self.view = fleet.FleetView(self.node, policy, settings.subset)
        self.queue = queues.FairQueue(settings.queue)
        self.answers = answers.Answers(self.node, self.view, self.queue)
        self._is_stopping = False
        self.node.instances.subscribers.append(self._instance_listed)
        self.application = web.Application(
            self.node,
            self.answers,
            services.Services(self.node, self.view),
            settings.default_deadline,
            settings.body_bytes,
        )

    def start(self) -> socket.socket:
        """Begin all work but that for callers; return their socket.

        :raises OSError: if an address is taken
        """
        self.node.start()
        self.node.timers.subscribe('dial', fleet.DIAL_SECONDS, self.view.dial)
        self.node.timers.subscribe(
            'stalls', stalls.WATCH_SECONDS, self.answers.stalls.look
        )
        return eventlet.listen(
            addresses.split(self.settings.http_address), backlog=BACKLOG
        )

    def serve(self, sock: socket.socket) -> None:
        """Serve callers until ``stop`` has closed the socket.

        Returns when all that was accepted before has been answered.
        """
        try:
            eventlet.wsgi.server(
                sock,
                self.application,
                log_output=False,
                max_size=CONCURRENCY,
                # The default gathers 4 KiB, which are 20 tokens.
                minimum_chunk_size=1,
                debug=False,
            )
        except OSError as error:
            if not self._is_stopping:
                LOG.error('Callers are not served any more: {}.', error)
                raise

    def stop(
        self, sock: socket.socket, serving: eventlet.greenthread.GreenThread
    ) -> None:
        """Let the balancer turn away, then end when all is answered.

        Callers that keep coming are turned away when they connect, before
        they have sent anything, so that whatever was sent is answered.

        :param serving: the task that runs ``serve``
        """
        self.node.events.add(
            'process.stopping', requests=self.application.running
        )
        self._is_stopping = True
        self.application.leaving = True
        eventlet.sleep(LEAVE_SECONDS)
        _end_listening(sock)
        with eventlet.Timeout(DRAIN_SECONDS, False):
            serving.wait()

    def _instance_listed(self) -> None:
        """Let the balancer turn away before the platform stops us."""
        is_leaving = self.node.instances.is_draining
        self.application.leaving = self._is_stopping or is_leaving

    def receive(self, link: links.Link, message: messages.AnyMessage) -> None:
        """Hand a message to its part."""
        match message:
            case messages.Token() | messages.Finished() | messages.Failed():
                self.answers.receive(message)
            case messages.Begun():
                self.answers.begun(message)
            case _ if self.node.receive(link, message):
                if isinstance(message, messages.Heartbeat) and message.load:
                    self._learn(message)

    def _learn(self, heartbeat: messages.Heartbeat) -> None:
        load = heartbeat.load
        earlier = self.view.loads.report_by_server.get(load.server)
        if earlier is None or _standing(earlier.load) != _standing(load):
            self._note_standing(load)
        self.view.loads.apply_report(load, heartbeat.period_ms / 1000)
        self.queue.wake(load.slots - load.running)

    def _note_standing(self, load: messages.Load) -> None:
        held = [f'{h.model}:{h.first}-{h.end}' for h in load.held]
        self.node.events.add(
            'server.standing',
            server=load.server,
            held=held,
            leaving=load.leaving,
            engine_lost=load.is_engine_lost,
        )

    def describe(self, link: links.Link) -> messages.Heartbeat:
        """Return the heartbeat for a peer."""
        return self.node.heartbeat()

    def period(self) -> float:
        """Return the seconds between heartbeats."""
        return self.node.peers.period()

    def closed(self, link: links.Link, why: failures.Failure) -> None:
        """End what depended on a lost link."""
        self.node.closed(link, why)
        self.view.closed(link)
        self.answers.link_closed(link, why)

    def _details(self) -> dict:
        return {
            'http_address': self.settings.http_address,
            'requests': self.application.running,
            'waiting': len(self.queue),
            'servers': len(self.view.servers),
        }


def _end_listening(sock: socket.socket) -> None:
    """End listening on a socket once nobody waits to be accepted.

    The system then resets connections that still wait, and with them requests
    that may have been sent already.
    """
    for _ in range(ACCEPT_LOOKS):
        if not _is_waited_for(sock):
            break
        eventlet.sleep(0)
    # Unlike closing, this wakes the task that accepts.
    sock.shutdown(socket.SHUT_RDWR)


def _is_waited_for(sock: socket.socket) -> bool:
    poll = _select.poll()
    poll.register(sock.fileno(), _select.POLLIN)
    return bool(poll.poll(0))


def _standing(load: messages.Load) -> tuple[object, ...]:
    """Return what decides whether a server may get new answers at all."""
    return load.held, load.leaving, load.is_engine_lost
