"""A backend server in trouble: what it sends never ends.

Usage: python -m burdockmast.bench.endless_server HOST PORT TROUBLE. It runs as
a process of its own, so that it always has more to send.
"""

import contextlib
import enum
import itertools
import socket
import sys
import threading

PIECE = b'x' * 65536
HEAD = (
    b'HTTP/1.1 %s\r\nBurdockmast-Response-Seal: seal\r\n'
    b'Content-Type: text/event-stream\r\n%s\r\n'
)
CHUNKED = b'Transfer-Encoding: chunked\r\n'
LONG = b'Content-Length: 1000000000000\r\n'
REQUEST_BYTES = 65536
BACKLOG = 512


class Trouble(enum.Enum):
    """What never ends."""

    CHUNKS = 'chunks'
    LENGTH = 'length'
    UNFRAMED = 'unframed'
    ERROR = 'error'
    EVENT = 'event'
    COMMENT = 'comment'
    NO_EVENT = 'no-event'
    BLANK_LINES = 'blank-lines'
    EVENTS = 'events'
    HEAD = 'head'
    JUNK = 'junk'


def _send(connection: socket.socket, trouble: Trouble) -> None:
    match trouble:
        case Trouble.CHUNKS:
            connection.sendall(HEAD % (b'200 OK', CHUNKED))
            _repeat(connection, _chunk(PIECE))
        case Trouble.LENGTH:
            connection.sendall(HEAD % (b'200 OK', LONG))
            _repeat(connection, PIECE)
        case Trouble.UNFRAMED | Trouble.NO_EVENT:
            connection.sendall(HEAD % (b'200 OK', b''))
            _repeat(connection, PIECE)
        case Trouble.ERROR:
            connection.sendall(HEAD % (b'500 Failed', CHUNKED))
            _repeat(connection, _chunk(PIECE))
        case Trouble.EVENT:
            connection.sendall(HEAD % (b'200 OK', CHUNKED))
            connection.sendall(_chunk(b'id: 1\ndata: '))
            _repeat(connection, _chunk(PIECE))
        case Trouble.COMMENT:
            connection.sendall(HEAD % (b'200 OK', CHUNKED))
            connection.sendall(_chunk(b': '))
            _repeat(connection, _chunk(PIECE))
        case Trouble.BLANK_LINES:
            connection.sendall(HEAD % (b'200 OK', b''))
            _repeat(connection, b'\n' * len(PIECE))
        case Trouble.EVENTS:
            connection.sendall(HEAD % (b'200 OK', CHUNKED))
            for number in itertools.count(1):
                connection.sendall(
                    _chunk(b'id: %d\ndata: token %d\n\n' % (number, number))
                )
        case Trouble.HEAD:
            connection.sendall(b'HTTP/1.1 200 OK\r\n')
            _repeat(connection, b'Filler: ' + b'x' * 1000 + b'\r\n')
        case Trouble.JUNK:
            _repeat(connection, PIECE)


def _chunk(data: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(data), data)


def _repeat(connection: socket.socket, data: bytes) -> None:
    while True:
        connection.sendall(data)


def _serve(connection: socket.socket, trouble: Trouble) -> None:
    with connection, contextlib.suppress(OSError):
        connection.recv(REQUEST_BYTES)
        _send(connection, trouble)


def main() -> None:
    """Serve until the process is ended."""
    host, port, trouble = sys.argv[1:]
    listener = socket.create_server((host, int(port)), backlog=BACKLOG)
    while True:
        connection, _ = listener.accept()
        threading.Thread(
            target=_serve, args=(connection, Trouble(trouble)), daemon=True
        ).start()


if __name__ == '__main__':
    main()
