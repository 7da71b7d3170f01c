"""Callers that send what a gateway must withstand beside other callers."""

from collections.abc import Callable
from collections.abc import Iterator
import itertools
import random

import eventlet

from burdockmast.base import timers
from burdockmast.bench import gateway_callers
from burdockmast.platform import headers

# Longest time that one connection is used, and pause between two.
CONNECTION_SECONDS = 2.0
PAUSE_SECONDS = 0.2
# Between two pieces of what is sent.
PIECE_INTERVAL_SECONDS = 0.02
_numbers = itertools.count(1)


def call(host: str, rng: random.Random, until: float) -> None:
    """Open one connection after another, each with another kind of abuse."""
    while timers.now() < until:
        eventlet.sleep(PAUSE_SECONDS * rng.uniform(0.5, 1.5))
        try:
            _send(host, rng.choice(KINDS))
        except OSError:
            # The gateway has closed the connection, or is not there.
            continue


def _send(host: str, pieces: Callable[[], Iterator[bytes]]) -> None:
    with eventlet.Timeout(CONNECTION_SECONDS, False):
        connection = eventlet.connect((host, 7000))
        try:
            for piece in pieces():
                connection.sendall(piece)
                eventlet.sleep(PIECE_INTERVAL_SECONDS)
        finally:
            connection.close()


def _head(path: str, *lines: str, key: str = gateway_callers.KEY) -> bytes:
    found = (
        f'POST {path} HTTP/1.1',
        'Host: h.example',
        f'{headers.REQUEST_ID}: u{next(_numbers)}',
        f'{headers.API_KEY}: {key}',
        *lines,
    )
    return ('\r\n'.join(found) + '\r\n\r\n').encode()


def _unfinished_head() -> Iterator[bytes]:
    yield b'POST /draft/u HTTP/1.1\r\nHost: h.example\r\n'
    yield from itertools.repeat(b'X-Filler: ' + b'x' * 200 + b'\r\n')


def _endless_body() -> Iterator[bytes]:
    yield _head('/confirm/u', 'Transfer-Encoding: chunked')
    yield from itertools.repeat(b'10000\r\n' + b'x' * 65536 + b'\r\n')


def _tiny_chunks() -> Iterator[bytes]:
    yield _head('/draft/u', 'Transfer-Encoding: chunked')
    yield from itertools.repeat(b'1\r\nx\r\n' * 500)


def _short_body() -> Iterator[bytes]:
    yield _head('/confirm/u', 'Content-Length: 4000000')
    yield from itertools.repeat(b'x' * 65536, 20)
    yield from itertools.repeat(b'', 50)


def _bad_framing() -> Iterator[bytes]:
    yield _head('/confirm/u', 'Transfer-Encoding: chunked')
    yield b'zz\r\nno chunk\r\n'


def _no_http() -> Iterator[bytes]:
    yield bytes(range(256)) * 20


def _wrong_key() -> Iterator[bytes]:
    for _ in range(10):
        yield _head('/lookup/u', 'Content-Length: 0', key='unknown')


def _early_end() -> Iterator[bytes]:
    """Yield a request whose caller does not wait for the answer."""
    yield _head(
        '/long/u',
        'Content-Length: 0',
        f'{headers.TOKEN_COUNTS}: 100,60',
        f'{headers.DEADLINE}: 8000',
    )
    yield from itertools.repeat(b'', 10)


KINDS = (
    _unfinished_head,
    _endless_body,
    _tiny_chunks,
    _short_body,
    _bad_framing,
    _no_http,
    _wrong_key,
    _early_end,
)
