"""Connections whose replies are read by the grammar, for urllib3.

The standard library's reader takes what it can't read for something else: it
ends the head at an invalid line, ignores an invalid length, and reads numbers
as Python writes them. Here the head and the framing of chunks are read by
``grammar``; everything else is left to the library.
"""

import http.client
from typing import Any

import urllib3
import urllib3.connection
import urllib3.connectionpool

from burdockmast.replies import grammar

# Most bytes for which memory is taken before they have come.
_PIECE_BYTES = 65536
_HTTP_1_0 = 10
_HTTP_1_1 = 11


class Response(http.client.HTTPResponse):
    """A reply of which nothing is returned unless its head is valid.

    :raises grammar.InvalidReplyError: by ``begin`` and by reads of the body
    """

    def begin(self) -> None:
        """Read the head, unless it has been read."""
        if self.headers is not None:
            return
        head = grammar.read_head(self.fp)
        framing = grammar.find_framing(head, self._method == 'HEAD')
        self.code = self.status = head.status
        self.reason = head.phrase
        self.version = _HTTP_1_1 if head.minor_version else _HTTP_1_0
        self.headers = self.msg = http.client.HTTPMessage()
        for name, value in head.fields:
            self.headers[name] = value
        self.chunked = False
        self.chunk_left = None
        self.length = None
        self.will_close = self._check_close()
        match framing:
            case grammar.Length(size_bytes):
                self.length = size_bytes
            case grammar.Chunks():
                self.chunked = True
            case grammar.UntilClose():
                self.will_close = True

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left of a chunk, None behind the last one.

        All reads of a body in chunks ask it before they read data.
        """
        if self.chunk_left:
            return self.chunk_left
        if self.chunk_left == 0:
            grammar.read_chunk_end(self.fp)
        self.chunk_left = grammar.read_chunk_size(self.fp) or None
        if self.chunk_left is None:
            grammar.read_trailers(self.fp)
            self._close_conn()
        return self.chunk_left

    def _safe_read(self, amt: int) -> bytes:
        """Return exactly so many bytes, whatever a server promises to send.

        :raises http.client.IncompleteRead: if the connection ends before
        """
        pieces = []
        left = amt
        while left:
            piece = self.fp.read(min(left, _PIECE_BYTES))
            if not piece:
                raise http.client.IncompleteRead(b''.join(pieces), left)
            pieces.append(piece)
            left -= len(piece)
        return b''.join(pieces)


class Connection(urllib3.connection.HTTPConnection):
    """An HTTP connection with valid replies."""

    response_class = Response


class _SecureConnection(urllib3.connection.HTTPSConnection):
    response_class = Response


class _Pool(urllib3.connectionpool.HTTPConnectionPool):
    ConnectionCls = Connection


class _SecurePool(urllib3.connectionpool.HTTPSConnectionPool):
    ConnectionCls = _SecureConnection


class _PoolManager(urllib3.PoolManager):
    """Leaves bodies as they are sent.

    No request asks for a content coding, and a compressed body may have a
    thousand times the bytes that have come.
    """

    def urlopen(
        self, method: str, url: str, redirect: bool = True, **options: Any
    ) -> urllib3.BaseHTTPResponse:
        """Make a request, like that of urllib3."""
        options['decode_content'] = False
        return super().urlopen(method, url, redirect, **options)


def pool_manager(**options: Any) -> urllib3.PoolManager:
    """Return a pool manager that raises an error for invalid replies.

    Like all that urllib3 can't read, they raise its ``ProtocolError``. Content
    codings are not decoded.

    :param options: of ``urllib3.PoolManager``
    """
    manager = _PoolManager(**options)
    manager.pool_classes_by_scheme = {'http': _Pool, 'https': _SecurePool}
    return manager
