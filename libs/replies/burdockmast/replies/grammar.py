"""The grammar of HTTP/1.x replies: RFC 9112, and RFC 9110, 5.5 and 15.

What doesn't follow it is rejected, not repaired: a reader that skips a line or
guesses a length may take other bytes for the body than the server sent.
Continued lines (obs-fold), a lone LF and a list of transfer codings are
rejected too, as RFC 9112 allows. The blank behind the status code may be
missing, as many servers leave it out with the reason phrase.

The work to read a reply is proportional to its bytes, also if it is invalid.
So no two neighbours in an expression match the same bytes, and repetitions of
single bytes are possessive: what they have matched isn't tried anew.
"""

import dataclasses
import http.client
import io
import re

# Most bytes of a head, interim replies included, or of a trailer section.
MAX_HEAD_BYTES = 131072
MAX_FIELDS = 100
# Most bytes of a line with the size of a chunk.
MAX_SIZE_LINE_BYTES = 65536

SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
FINAL_STATUSES = range(FIRST_FINAL_STATUS, 600)
NO_CONTENT = 204
NOT_MODIFIED = 304

# Most digits of the size of a body, without leading zeros and with them:
# Python, and so urllib3, reads no numbers of more than 4,300 digits.
MAX_LENGTH_DIGITS = 18
MAX_PADDED_DIGITS = 4000

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
_TEXT = rb'[\t\x20-\x7e\x80-\xff]*+'
_QUOTED = (
    rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]++'
    rb'|\\[\t\x20-\x7e\x80-\xff])*"'
)
_EXTENSION = (
    rb'[ \t]*+;[ \t]*+'
    + _TOKEN
    + rb'(?:[ \t]*+=[ \t]*+(?:'
    + _TOKEN
    + rb'|'
    + _QUOTED
    + rb'))?'
)
_STATUS_LINE = re.compile(
    rb'HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: (' + _TEXT + rb'))?\r\n'
)
_FIELD = re.compile(rb'(' + _TOKEN + rb'):(' + _TEXT + rb')\r\n')
_CHUNK_SIZE = re.compile(
    rb'(?=[0-9A-Fa-f])0*+([1-9A-Fa-f][0-9A-Fa-f]{0,14}+)?(?:'
    + _EXTENSION
    + rb')*\r\n'
)
_END_OF_LINE = b'\r\n'
_BLANKS = b' \t'

Fields = list[tuple[str, str]]


class InvalidReplyError(http.client.HTTPException):
    """The reply violates the grammar, or it ended too early.

    The text, which may get to callers, has no bytes of the reply: they may
    belong to somebody else.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Length:
    """A body of a known size."""

    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Chunks:
    """A body in chunks, of which an empty one is the last."""


@dataclasses.dataclass(frozen=True, slots=True)
class UntilClose:
    """A body that ends with its connection."""


Framing = Length | Chunks | UntilClose


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head of a final reply.

    :ivar minor_version: of HTTP/1
    :ivar fields: names and values, without blanks around values
    """

    minor_version: int
    status: int
    phrase: str
    fields: Fields


def read_head(stream: io.BufferedIOBase) -> Head:
    """Read the head of the final reply, and skip interim ones (1xx).

    :raises InvalidReplyError: if one of them is invalid
    :raises http.client.RemoteDisconnected: if nothing comes
    """
    left = MAX_HEAD_BYTES
    while True:
        line = stream.readline(left)
        if not line:
            raise http.client.RemoteDisconnected(
                'the connection ended without a reply'
            )
        found = _STATUS_LINE.fullmatch(line)
        if not found:
            raise _invalid('status line', line)
        fields, left = _read_fields(stream, left - len(line))
        status = int(found[2])
        if status == SWITCHING_PROTOCOLS:
            raise InvalidReplyError('the protocol is switched without request')
        if status >= FIRST_FINAL_STATUS:
            phrase = (found[3] or b'').strip(_BLANKS)
            return Head(
                int(found[1]), status, phrase.decode('latin-1'), fields
            )


def read_trailers(stream: io.BufferedIOBase) -> None:
    """Read and drop the trailer section behind the last chunk.

    :raises InvalidReplyError: if it is invalid
    """
    _read_fields(stream, MAX_HEAD_BYTES)


def _read_fields(stream: io.BufferedIOBase, left: int) -> tuple[Fields, int]:
    """Read field lines up to the empty line.

    :param left: bytes that may be read
    :returns: the fields, and how many bytes may still be read
    """
    fields: Fields = []
    while (line := stream.readline(left)) != _END_OF_LINE:
        left -= len(line)
        found = _FIELD.fullmatch(line)
        if not found:
            raise _invalid(f'field line {len(fields) + 1}', line)
        if len(fields) == MAX_FIELDS:
            raise InvalidReplyError(f'more than {MAX_FIELDS} fields')
        name, value = found.groups()
        fields.append(
            (name.decode('latin-1'), value.strip(_BLANKS).decode('latin-1'))
        )
    return fields, left - len(line)


def find_framing(head: Head, is_head_request: bool) -> Framing:
    """Return where the body of a reply ends.

    :param is_head_request: the request's method is HEAD
    :raises InvalidReplyError: if the head doesn't tell it without doubt
    """
    lengths: list[str] = []
    codings: list[str] = []
    for name, value in head.fields:
        match name.lower():
            case 'content-length':
                lengths.append(value)
            case 'transfer-encoding':
                codings.append(value.lower())
    framing = _framing_of(lengths, codings, head.minor_version)
    if is_head_request or head.status in (NO_CONTENT, NOT_MODIFIED):
        return Length(0)
    return framing


def _framing_of(
    lengths: list[str], codings: list[str], minor_version: int
) -> Framing:
    if codings:
        if codings != ['chunked'] or lengths or not minor_version:
            raise InvalidReplyError('invalid Transfer-Encoding')
        return Chunks()
    if not lengths:
        return UntilClose()
    sizes = {_parse_size(s) for text in lengths for s in text.split(',')}
    if len(sizes) > 1:
        raise InvalidReplyError('unequal values of Content-Length')
    return Length(sizes.pop())


def _parse_size(text: str) -> int:
    """Return an element of a list of lengths, which may have blanks around.

    :raises InvalidReplyError: if it is no number, or larger than any body
    """
    digits = text.strip(_BLANKS.decode())
    significant = digits.lstrip('0')
    if (
        not (digits.isascii() and digits.isdigit())
        or len(digits) > MAX_PADDED_DIGITS
        or len(significant) > MAX_LENGTH_DIGITS
    ):
        raise InvalidReplyError('invalid Content-Length')
    return int(significant or '0')


def read_chunk_size(stream: io.BufferedIOBase) -> int:
    """Read the line before the data of a chunk, and return its bytes.

    :raises InvalidReplyError: if it is invalid
    """
    line = stream.readline(MAX_SIZE_LINE_BYTES)
    found = _CHUNK_SIZE.fullmatch(line)
    if not found:
        raise _invalid('size of a chunk', line)
    return int(found[1] or b'0', 16)


def read_chunk_end(stream: io.BufferedIOBase) -> None:
    """Read the end of the line behind the data of a chunk.

    :raises InvalidReplyError: if something else comes
    """
    end = stream.read(len(_END_OF_LINE))
    if end != _END_OF_LINE:
        raise _invalid('end of a chunk', end)


def _invalid(what: str, line: bytes) -> InvalidReplyError:
    kind = 'invalid' if line.endswith(b'\n') else 'incomplete or too long'
    return InvalidReplyError(f'{kind} {what}')
