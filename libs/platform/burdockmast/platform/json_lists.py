"""Reads JSON of which parts may not be decodable.

One element that is nested too deeply, or is no JSON, makes the decoder fail
for the whole document. Here the elements are told apart by their brackets
alone, without recursion, so that each can be decoded by itself.
"""

from collections.abc import Iterator
import re

import eventlet
import msgspec

# What the decoder raises for JSON that it can't read: it gives up on deep
# nesting with an error of its own kind.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)

# A string that doesn't end reaches to the end of the document: each quote in
# it would else begin a search of its own.
_TOKEN = re.compile(
    rb'"[^"\\]*+(?:\\.[^"\\]*+)*+(?:"|\\?\Z)|[\[\]{},]', re.DOTALL
)
# Tokens of a document after which other tasks run.
TOKENS_PER_TURN = 5000


def _tokens(document: bytes) -> Iterator[re.Match[bytes]]:
    """Yield strings, brackets and commas, and let others run meanwhile."""
    for count, match in enumerate(_TOKEN.finditer(document), 1):
        if count % TOKENS_PER_TURN == 0:
            eventlet.sleep(0)
        yield match


def split(document: bytes, key: str) -> tuple[bytes, list[bytes]]:
    """Split the list under a key of a JSON object.

    :returns: the document with an empty list, and the undecoded elements
    :raises msgspec.DecodeError: if the document has no such list
    """
    name = f'"{key}"'.encode()
    depth = 0
    before = b''
    elements = []
    list_starts_at = element_starts_at = -1
    for match in _tokens(document):
        token = match.group()
        if token == b'[' and depth == 1 and before == name:
            list_starts_at = element_starts_at = match.end()
        if token in b'[{':
            depth += 1
        elif token in b']}':
            depth -= 1
        has_ended = list_starts_at >= 0 and depth == 1 and token == b']'
        if list_starts_at >= 0 and (
            has_ended or (depth == 2 and token == b',')
        ):
            element = document[element_starts_at : match.start()].strip()
            if element:
                elements.append(element)
            element_starts_at = match.end()
        if has_ended:
            rest = document[:list_starts_at] + document[match.start() :]
            return rest, elements
        before = token
    raise msgspec.DecodeError(f'no complete list {key!r}')


def find_string(document: bytes, outer: str, inner: str) -> str | None:
    """Return the string under a key of an object that is under a key.

    :returns: None if there is none that can be decoded
    """
    outer_name, inner_name = (f'"{key}"'.encode() for key in (outer, inner))
    depth = 0
    is_in_outer = False
    before = b''
    for match in _tokens(document):
        token = match.group()
        if token in b'[{':
            depth += 1
            if depth == 2:
                is_in_outer = token == b'{' and before == outer_name
        elif token in b']}':
            depth -= 1
        elif depth == 2 and is_in_outer and before == inner_name:
            try:
                return msgspec.json.decode(token, type=str)
            except DECODE_ERRORS:
                return None
        before = token
    return None
