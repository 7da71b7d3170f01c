"""Opens and accepts connections, and exchanges the Hellos on them."""

from collections.abc import Callable
import socket

import eventlet

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import timers
from burdockmast.wire import codec
from burdockmast.wire import links
from burdockmast.wire import messages

LOG = logs.get('link')

# Seconds for a connection, and then for the peer's Hello.
CONNECT_SECONDS = 1.0


def exchange_hellos(
    sock: socket.socket, hello: messages.Hello, handler: links.Handler
) -> links.Link | failures.Failure:
    """Send our Hello, check the peer's and return the running link."""
    decoder = codec.Decoder()
    early = _exchange(sock, hello, decoder, CONNECT_SECONDS)
    if isinstance(early, failures.Failure):
        sock.close()
        return early
    link = links.Link(sock, decoder, early.pop(0), handler)
    link.run(early)
    return link


def _exchange(
    sock: socket.socket,
    hello: messages.Hello,
    decoder: codec.Decoder,
    seconds: float,
) -> list[messages.AnyMessage] | failures.Failure:
    """Return what came first from the peer, a checked Hello at its head."""
    received: list[messages.AnyMessage] = []
    peer = ''
    try:
        peer = str(sock.getpeername()[0])
        sock.sendall(codec.encode(hello))
        with eventlet.Timeout(seconds, TimeoutError('no Hello')):
            while not received:
                data = sock.recv(codec.READ_BYTES)
                if not data:
                    raise ConnectionError('closed before Hello')
                received, broken = decoder.feed(data)
                if broken:
                    raise ConnectionError(broken.detail)
    except (OSError, EOFError) as error:
        return failures.Failure(
            failures.Reason.PEER_LOST, 'link.hello', peer, str(error)
        )
    first = received[0]
    if (
        isinstance(first, messages.Hello)
        and first.protocol == messages.PROTOCOL_VERSION
    ):
        return received
    return failures.Failure(
        failures.Reason.PROTOCOL,
        'link.hello',
        peer,
        f'expected Hello of protocol {messages.PROTOCOL_VERSION}, got {first}',
    )


def probe(
    address: ids.Address,
    target: tuple[str, int],
    hello: messages.Hello,
    seconds: float,
) -> messages.Hello | failures.Failure:
    """Exchange Hellos over a new connection and close it."""
    began = timers.now()
    sock = _dial(address, target, seconds)
    if isinstance(sock, failures.Failure):
        return sock
    try:
        left = max(0.0, began + seconds - timers.now())
        received = _exchange(sock, hello, codec.Decoder(), left)
    finally:
        sock.close()
    if isinstance(received, failures.Failure):
        return received
    return received[0]


def listen(
    address: tuple[str, int],
    hello: Callable[[], messages.Hello],
    handler: links.Handler,
    accepted: Callable[[links.Link], None],
) -> socket.socket:
    """Accept links in a task of its own; return the listening socket.

    :raises OSError: if the address is taken
    """
    listener = eventlet.listen(address, backlog=1024, reuse_port=False)
    eventlet.spawn(_accept, listener, hello, handler, accepted)
    return listener


def _accept(
    listener: socket.socket,
    hello: Callable[[], messages.Hello],
    handler: links.Handler,
    accepted: Callable[[links.Link], None],
) -> None:
    while True:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        eventlet.spawn(_greet, sock, hello, handler, accepted)


def _greet(
    sock: socket.socket,
    hello: Callable[[], messages.Hello],
    handler: links.Handler,
    accepted: Callable[[links.Link], None],
) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    match exchange_hellos(sock, hello(), handler):
        case links.Link() as link:
            accepted(link)
        case failure:
            LOG.warning('Refused a connection: {}.', failure)


def connect(
    address: ids.Address,
    target: tuple[str, int],
    hello: messages.Hello,
    handler: links.Handler,
) -> links.Link | failures.Failure:
    """Open a link to a listening peer."""
    sock = _dial(address, target, CONNECT_SECONDS)
    if isinstance(sock, failures.Failure):
        return sock
    return exchange_hellos(sock, hello, handler)


def _dial(
    address: ids.Address, target: tuple[str, int], seconds: float
) -> socket.socket | failures.Failure:
    try:
        with eventlet.Timeout(seconds, TimeoutError('no answer')):
            sock = eventlet.connect(target)
    except OSError as error:
        return failures.Failure(
            failures.Reason.PEER_LOST, 'link.connect', address, str(error)
        )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
