"""Replies that violate HTTP's grammar are no answers, in head and body."""

import re

import broken_replies
import hypothesis
from hypothesis import strategies
import pytest
import urllib3

from burdockmast.base import failures
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import upstream
from burdockmast.platform import headers

TEST_TIMEOUT_SECONDS = 60.0
MAX_BODY_BYTES = 100_000


def ask(raw_server, reply):
    """Return the head and the body of a reply, or what has failed."""
    raw_server.reply = reply
    exchange = upstream.Exchange(
        backends.BackendServer(
            'i-1',
            'app',
            raw_server.address,
            'a',
            True,
            backends.NO_LAYERS,
            '',
            1,
            1,
        )
    )
    until = timers.now() + TEST_TIMEOUT_SECONDS
    try:
        sent = exchange.send_bytes('GET', '/', [('Host', 'h')], b'')
        assert sent is None
        head = exchange.read_head('r1', until, headers.HeaderCodec())
        if isinstance(head, failures.Failure):
            return head, None
        try:
            return head, exchange.read_body(until, MAX_BODY_BYTES)
        except upstream.IncompleteReply as error:
            return head, error
    finally:
        exchange.close()


@pytest.mark.parametrize('case', broken_replies.INVALID)
def test_an_invalid_reply_is_no_answer(raw_server, case):
    head, body = ask(raw_server, broken_replies.INVALID[case])
    if isinstance(head, failures.Failure):
        assert head.reason is failures.Reason.ENGINE_LOST
        assert head.outcome is outcomes.Outcome.UNKNOWN
        assert head.step == 'backend.head'
        return
    assert case.startswith(('chunks', 'short body')), head
    assert isinstance(body, upstream.IncompleteReply)


@pytest.mark.parametrize('case', broken_replies.VALID)
def test_an_unusual_reply_is_whole(raw_server, case):
    sent = broken_replies.VALID[case]
    head, body = ask(raw_server, sent)
    assert head.metadata.is_signed
    assert body == broken_replies.BODY
    assert (head, body) == read_by_grammar(sent)


@pytest.mark.parametrize(
    ('status', 'lines', 'expected'),
    [
        (b'HTTP/1.1 204 No Content', (), b''),
        (b'HTTP/1.1 304 Not Modified', (broken_replies.LENGTH,), b''),
        (b'HTTP/1.1 404 Not Found', (broken_replies.LENGTH,), None),
        (b'HTTP/1.1 599 ', (broken_replies.LENGTH,), None),
    ],
)
def test_the_status_tells_whether_there_is_a_body(
    raw_server, status, lines, expected
):
    sent = broken_replies.reply(*lines, status=status)
    head, body = ask(raw_server, sent)
    assert head.status == int(status.split()[1])
    assert body == (broken_replies.BODY if expected is None else expected)


# A second reading of the grammar, of a whole reply at once: RFC 9112, sections
# 4, 5 and 7.1, without obs-fold; the blank behind the status may be missing.
TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
TEXT = rb'[\t\x20-\x7e\x80-\xff]*'
FIELDS = rb'((?:' + TOKEN + rb':' + TEXT + rb'\r\n)*)'
HEAD = re.compile(
    rb'HTTP/1\.([0-9]) ([0-9]{3})(?: ('
    + TEXT
    + rb'))?\r\n'
    + FIELDS
    + rb'\r\n'
)
QUOTED = rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t -\x7e\x80-\xff])*"'
EXTENSION = (
    rb'[ \t]*;[ \t]*' + TOKEN
    + rb'(?:[ \t]*=[ \t]*(?:' + TOKEN + rb'|' + QUOTED + rb'))?'
)  # fmt: skip
SIZE = re.compile(rb'([0-9A-Fa-f]+)(?:' + EXTENSION + rb')*\r\n')
TRAILERS = re.compile(FIELDS + rb'\r\n')


class NotByGrammarError(Exception):
    """The bytes are no whole reply."""


def match(pattern, data, start):
    found = pattern.match(data, start)
    if not found:
        raise NotByGrammarError(f'{pattern} at {start}')
    return found


def read_by_grammar(data):
    """Return what ``ask`` is to return for a valid reply.

    :raises NotByGrammarError: if it is invalid
    """
    found = match(HEAD, data, 0)
    while 100 <= int(found[2]) < 200 and found[2] != b'101':
        found = match(HEAD, data, found.end())
    status = int(found[2])
    if not 200 <= status < 600:
        raise NotByGrammarError(f'status {status}')
    fields = [
        tuple(part.decode('latin-1') for part in (name, value.strip(b'\t ')))
        for name, _, value in (
            line.partition(b':') for line in found[4].split(b'\r\n')[:-1]
        )
    ]
    metadata = headers.HeaderCodec().read_reply(fields)
    if metadata.request not in ('', 'r1'):
        raise NotByGrammarError('of another request')
    phrase = (found[3] or b'').decode('latin-1').strip('\t ')
    head = upstream.Head(
        status,
        phrase or 'Answered',
        list(urllib3.HTTPHeaderDict(fields).items()),
        metadata,
    )
    return head, body_by_grammar(
        data[found.end() :], found[1] != b'0', status, fields
    )


def body_by_grammar(data, is_chunkable, status, fields):
    lengths = [v for n, v in fields if n.lower() == 'content-length']
    codings = [v for n, v in fields if n.lower() == 'transfer-encoding']
    sizes = {
        int(size) if re.fullmatch('[0-9]+', size.strip('\t ')) else None
        for value in lengths
        for size in value.split(',')
    }
    if None in sizes or len(sizes) > 1 or (lengths and codings):
        raise NotByGrammarError(f'length {lengths}, coding {codings}')
    if codings and (
        len(codings) > 1 or codings[0].lower() != 'chunked' or not is_chunkable
    ):
        raise NotByGrammarError(f'coding {codings}')
    if status in (204, 304):
        return b''
    if codings:
        return chunks_by_grammar(data)
    if not sizes:
        return data
    (size,) = sizes
    if len(data) < size:
        raise NotByGrammarError('short')
    return data[:size]


def chunks_by_grammar(data):
    body, position = b'', 0
    while True:
        line = match(SIZE, data, position)
        size = int(line[1], 16)
        if not size:
            match(TRAILERS, data, line.end())
            return body
        position = line.end() + size + 2
        if data[position - 2 : position] != b'\r\n':
            raise NotByGrammarError('end of a chunk')
        body += data[line.end() : position - 2]


CHANGED_REPLIES = (
    broken_replies.VALID['a length'],
    broken_replies.VALID['early hints'],
    broken_replies.VALID['the same length twice'],
    broken_replies.VALID['several chunks'],
    broken_replies.VALID['extensions'],
    broken_replies.VALID['trailers'],
    broken_replies.reply(b'X-Name: value'),
    broken_replies.reply(
        broken_replies.LENGTH, status=b'HTTP/1.1 404 Not Found'
    ),
)
TELLING_BYTES = b'\0\t\n\x0b\r\x1f +-,.0129:;=_ax\x7f\x85\xa0\xb2\xff'


@strategies.composite
def changed_replies(draw):
    """A valid reply, of which a byte is changed, added or taken away."""
    sent = draw(strategies.sampled_from(CHANGED_REPLIES))
    position = draw(strategies.integers(0, len(sent) - 1))
    removed = draw(strategies.integers(0, 1))
    added = draw(
        strategies.binary(min_size=1 - removed, max_size=1)
        | strategies.sampled_from(TELLING_BYTES).map(lambda b: bytes([b]))
    )
    return sent[:position] + added + sent[position + removed :]


@hypothesis.settings(
    max_examples=2000,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(sent=changed_replies())
def test_a_changed_byte_makes_a_reply_invalid_or_leaves_it_valid(
    raw_server, sent
):
    head, body = ask(raw_server, sent)
    try:
        expected = read_by_grammar(sent)
    except NotByGrammarError:
        assert isinstance(head, failures.Failure) or isinstance(
            body, upstream.IncompleteReply
        ), (head, body)
    else:
        assert (head, body) == expected
