"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
import dataclasses
import http

MAX_HEAD_BYTES = 65536


class ProtocolError(Exception):
    """The peer sent something that is no message."""


@dataclasses.dataclass(slots=True)
class Message:
    """A request or a reply.

    :ivar start: the first line, split at its spaces
    :ivar headers: by lower-case name
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b''


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return a message without its body, None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ProtocolError('the head is not complete') from None
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(' ', 2), headers)


async def read_message(
    reader: asyncio.StreamReader, is_reply: bool = False
) -> Message | None:
    """Return a whole message, None at the end.

    :raises ProtocolError: if it breaks off
    """
    found = await read_head(reader)
    if found is None:
        return None
    try:
        if found.headers.get('transfer-encoding', '').lower() == 'chunked':
            found.body = await _read_chunks(reader)
        elif 'content-length' in found.headers:
            size = int(found.headers['content-length'])
            found.body = await reader.readexactly(size)
        elif is_reply:
            found.body = await reader.read()
    except asyncio.IncompleteReadError:
        raise ProtocolError('the body is not complete') from None
    return found


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        line = await reader.readline()
        if not line.endswith(b'\n'):
            raise ProtocolError('the body is not complete')
        size = int(line.split(b';')[0], 16)
        if not size:
            await reader.readline()
            return b''.join(parts)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)


def encode_reply(
    status: int, headers: dict[str, object], body: bytes | None
) -> bytes:
    """Return a reply; without a length if the body is None."""
    lines = [f'HTTP/1.1 {status} {http.HTTPStatus(status).phrase}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join(lines) + '\r\n\r\n'
    return head.encode('latin-1') + (body or b'')


def encode_request(
    method: str, path: str, headers: dict[str, object], body: bytes = b''
) -> bytes:
    """Return a request with its length."""
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body or method not in ('GET', 'DELETE'):
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join(lines) + '\r\n\r\n'
    return head.encode('latin-1') + body
