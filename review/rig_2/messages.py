"""Reads and writes HTTP/1.1 messages of sound peers."""

import asyncio
import dataclasses

REQUEST_ID = 'burdockmast-request-id'
DEADLINE = 'burdockmast-deadline-ms'
KEY = 'burdockmast-key'
EXPECTED_INSTANCE = 'burdockmast-expect-instance'
INSTANCE = 'burdockmast-instance-id'
LAST_EVENT = 'last-event-id'
SEAL = 'burdockmast-response-seal'
NOT_RUN = 'burdockmast-not-executed'

PHRASES = {
    200: 'OK',
    201: 'Created',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
    421: 'Misdirected Request',
    503: 'Service Unavailable',
}


class Incomplete(Exception):
    """The message ended too early, or it is none."""


@dataclasses.dataclass
class Message:
    """A request or an answer; names of fields are in lower case."""

    first_line: str
    fields: dict[str, str]
    body: bytes = b''

    @property
    def words(self) -> list[str]:
        """The words of the first line."""
        return self.first_line.split(' ')

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.words[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a first line and fields."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1')[:-4].split('\r\n')
    fields = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if not colon:
            raise Incomplete(f'no field: {line!r}')
        fields[name.lower()] = value.strip()
    return Message(first, fields)


async def read_request(reader: asyncio.StreamReader) -> Message:
    """Read a request with its body."""
    found = await read_head(reader)
    await _read_body(reader, found)
    return found


async def read_answer(reader: asyncio.StreamReader) -> Message:
    """Read an answer that has a length or chunks.

    :raises Incomplete: if it ends early
    """
    try:
        found = await read_head(reader)
        if not found.first_line.startswith('HTTP/1.1 '):
            raise Incomplete(f'no answer: {found.first_line!r}')
        await _read_body(reader, found)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Incomplete(type(error).__name__) from None
    return found


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read a chunk; an empty one is the end of the body."""
    try:
        line = await reader.readuntil(b'\r\n')
        data = await reader.readexactly(int(line.split(b';')[0], 16) + 2)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Incomplete(type(error).__name__) from None
    return data[:-2]


async def _read_body(reader: asyncio.StreamReader, found: Message) -> None:
    if found.fields.get('transfer-encoding', '').lower() == 'chunked':
        pieces = []
        while size := int((await reader.readline()).split(b';')[0], 16):
            pieces.append(await reader.readexactly(size))
            await reader.readexactly(2)
        while await reader.readline() != b'\r\n':
            pass
        found.body = b''.join(pieces)
    else:
        length = int(found.fields.get('content-length', '0'))
        found.body = await reader.readexactly(length)


def encode(
    first_line: str, fields: dict[str, str], body: bytes = b''
) -> bytes:
    """Return a message whose fields are all given."""
    lines = [first_line, *(f'{k}: {v}' for k, v in fields.items())]
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def answer(status: int, fields: dict[str, str], body: bytes = b'') -> bytes:
    """Return an answer with a length."""
    return encode(
        f'HTTP/1.1 {status} {PHRASES[status]}',
        {**fields, 'content-length': str(len(body))},
        body,
    )
