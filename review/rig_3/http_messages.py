"""Reads HTTP/1.1 messages from plain sockets, for the stand-ins."""

import dataclasses

MAX_HEAD_BYTES = 65536


class ConnectionEnded(Exception):
    """The peer closed the connection within a message."""


@dataclasses.dataclass
class Message:
    """A request or a response.

    :ivar first_line: request line or status line
    :ivar headers: names in lower case, and values
    :ivar is_whole: the end of the body has come, by its framing
    """

    first_line: str
    headers: dict[str, str]
    body: bytes = b''
    is_whole: bool = True

    @property
    def status(self):
        """The status of a response."""
        return int(self.first_line.split()[1])


class Reader:
    """Reads messages from a socket one by one."""

    def __init__(self, sock):
        """Read from a connected socket."""
        self._sock = sock
        self._buffer = b''

    def _fill(self):
        data = self._sock.recv(65536)
        if not data:
            raise ConnectionEnded
        self._buffer += data

    def _line(self):
        while b'\r\n' not in self._buffer:
            if len(self._buffer) > MAX_HEAD_BYTES:
                raise ConnectionEnded
            self._fill()
        line, _, self._buffer = self._buffer.partition(b'\r\n')
        return line

    def _exactly(self, size):
        while len(self._buffer) < size:
            self._fill()
        data, self._buffer = self._buffer[:size], self._buffer[size:]
        return data

    def head(self):
        """Return the next message without its body, None at the end."""
        if not self._buffer:
            try:
                self._fill()
            except ConnectionEnded:
                return None
        first = self._line().decode('latin-1')
        headers = {}
        while line := self._line():
            name, _, value = line.decode('latin-1').partition(':')
            headers[name.strip().lower()] = value.strip()
        return Message(first, headers)

    def body_pieces(self, message, is_request):
        """Yield the body of a message as it comes.

        :raises ConnectionEnded: if the connection ends before the body does
        """
        if message.headers.get('transfer-encoding', '').lower() == 'chunked':
            while size := int(self._line().split(b';')[0], 16):
                yield self._exactly(size)
                self._line()
            while self._line():
                pass
        elif 'content-length' in message.headers:
            left = int(message.headers['content-length'])
            while left:
                if not self._buffer:
                    self._fill()
                piece = self._exactly(min(left, len(self._buffer)))
                left -= len(piece)
                yield piece
        elif not is_request:
            while True:
                if self._buffer:
                    yield self._exactly(len(self._buffer))
                try:
                    self._fill()
                except ConnectionEnded:
                    return

    def message(self, is_request=True):
        """Return the next message with its body, None at the end."""
        found = self.head()
        if found is None:
            return None
        has_body = is_request or found.status not in (204, 304)
        try:
            if has_body:
                for piece in self.body_pieces(found, is_request):
                    found.body += piece
        except (ConnectionEnded, ConnectionError, TimeoutError):
            found.is_whole = False
        return found
