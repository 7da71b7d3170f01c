"""Opens and accepts connections, and performs the Hello handshake."""

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

# Timeout of connecting, and then again of the handshake.
CONNECT_SECONDS = 1.0


def exchange_hellos(
    sock: socket.socket, hello: messages.Hello, handler: links.Handler
) -> links.Link | failures.Failure:
    """Perform the handshake and return the running link."""
    decoder = codec.Decoder()
    received = _handshake(sock, hello, decoder, CONNECT_SECONDS)
    if isinstance(received, failures.Failure):
        sock.close()
        return received
    link = links.Link(sock, decoder, received.pop(0), handler)
    link.run(received)
    return link


def _handshake(
    sock: socket.socket,
    hello: messages.Hello,
    decoder: codec.Decoder,
    timeout_seconds: float,
) -> list[messages.AnyMessage] | failures.Failure:
    """Return the first messages from the peer; the first is a valid Hello."""
    received: list[messages.AnyMessage] = []
    peer = ''
    try:
        peer = str(sock.getpeername()[0])
        sock.sendall(codec.encode(hello))
        with eventlet.Timeout(
            timeout_seconds, TimeoutError('no Hello in time')
        ):
            while not received:
                data = sock.recv(codec.READ_BYTES)
                if not data:
                    raise ConnectionError('connection closed before Hello')
                received, failure = decoder.feed(data)
                if failure:
                    raise ConnectionError(failure.detail)
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
        f'expected Hello with protocol version '
        f'{messages.PROTOCOL_VERSION}, got {first}',
    )


def probe(
    address: ids.Address,
    target: tuple[str, int],
    hello: messages.Hello,
    timeout_seconds: float,
) -> messages.Hello | failures.Failure:
    """Check that a peer answers a handshake on a new connection."""
    started_at = timers.now()
    sock = _dial(address, target, timeout_seconds)
    if isinstance(sock, failures.Failure):
        return sock
    try:
        remaining = max(0.0, started_at + timeout_seconds - timers.now())
        received = _handshake(sock, hello, codec.Decoder(), remaining)
    finally:
        sock.close()
    if isinstance(received, failures.Failure):
        return received
    return received[0]


def listen(
    address: tuple[str, int],
    get_hello: Callable[[], messages.Hello],
    handler: links.Handler,
    on_accepted: Callable[[links.Link], None],
) -> socket.socket:
    """Accept links in a new task; return the listening socket.

    :raises OSError: if the address is in use
    """
    listener = eventlet.listen(address, backlog=1024, reuse_port=False)
    eventlet.spawn(_accept, listener, get_hello, handler, on_accepted)
    return listener


def _accept(
    listener: socket.socket,
    get_hello: Callable[[], messages.Hello],
    handler: links.Handler,
    on_accepted: Callable[[links.Link], None],
) -> None:
    while True:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        eventlet.spawn(_accept_link, sock, get_hello, handler, on_accepted)


def _accept_link(
    sock: socket.socket,
    get_hello: Callable[[], messages.Hello],
    handler: links.Handler,
    on_accepted: Callable[[links.Link], None],
) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    match exchange_hellos(sock, get_hello(), handler):
        case links.Link() as link:
            on_accepted(link)
        case failure:
            LOG.warning('Closed an incoming connection: {}.', failure)


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
    address: ids.Address, target: tuple[str, int], timeout_seconds: float
) -> socket.socket | failures.Failure:
    try:
        with eventlet.Timeout(
            timeout_seconds, TimeoutError('connecting timed out')
        ):
            sock = eventlet.connect(target)
    except OSError as error:
        return failures.Failure(
            failures.Reason.PEER_LOST, 'link.connect', address, str(error)
        )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
