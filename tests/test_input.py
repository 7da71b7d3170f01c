"""Invalid input is refused with a clear error and affects nothing else."""

import contextlib
import json
import socket
import time

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgpack
import program
import pytest

from burdockmast.wire import codec
from burdockmast.wire import messages

HEAVY_CALLERS = 200
# Like the deadline of an ordinary request and half a second.
ANSWER_SECONDS = 2.5
VALID_BODY = {'model': 'draft', 'prompt': [1], 'max_tokens': 1}
ORGANISATION = {'Burdockmast-Organisation': 'souk'}
INVALID_BODIES = {
    'not JSON': (b'{"model": ', 400, 'bad_request'),
    'not an object': (b'[1, 2]', 400, 'bad_request'),
    'no model': (b'{"prompt": [1]}', 400, 'bad_request'),
    'wrong type': (
        json.dumps({**VALID_BODY, 'max_tokens': 'many'}).encode(),
        400,
        'bad_request',
    ),
    'too many tokens': (
        json.dumps({**VALID_BODY, 'max_tokens': 10**9}).encode(),
        400,
        'bad_request',
    ),
    'no tokens wanted': (
        json.dumps({**VALID_BODY, 'max_tokens': 0}).encode(),
        400,
        'bad_request',
    ),
    'empty prompt': (b'{"model": "draft"}', 400, 'bad_request'),
    'unknown role': (
        b'{"model":"draft","messages":[{"role":"boss","content":"x"}]}',
        400,
        'bad_request',
    ),
    'unknown model': (
        json.dumps({**VALID_BODY, 'model': 'other'}).encode(),
        404,
        'unknown_model',
    ),
    'oversized': (b' ' * (1024 * 1024 + 1), 413, 'too_large'),
}
INVALID_HEADERS = {
    'no organisation': ({}, 400, 'bad_request'),
    'unknown organisation': (
        {'Burdockmast-Organisation': 'nobody'},
        403,
        'unknown_organisation',
    ),
    'unknown priority': (
        {**ORGANISATION, 'Burdockmast-Priority': 'highest'},
        400,
        'bad_request',
    ),
    'deadline is no number': (
        {**ORGANISATION, 'Burdockmast-Deadline': 'soon'},
        400,
        'bad_request',
    ),
    'deadline is not finite': (
        {**ORGANISATION, 'Burdockmast-Deadline': 'nan'},
        400,
        'bad_request',
    ),
    'deadline outlives keys': (
        {**ORGANISATION, 'Burdockmast-Deadline': '601'},
        400,
        'bad_request',
    ),
    'deadline has passed': (
        {**ORGANISATION, 'Burdockmast-Deadline': '-1'},
        504,
        'deadline_exceeded',
    ),
    'key too long': (
        {**ORGANISATION, 'Idempotency-Key': 'k' * 300},
        400,
        'bad_request',
    ),
    'two keys': (
        {**ORGANISATION, 'Idempotency-Key': 'a,b'},
        400,
        'bad_request',
    ),
}


def post(fleet, body, headers):
    url = f'{fleet.url("entry-0")}/v1/chat/completions'
    return program.request('POST', url, body=body, headers=headers)


def check_refusal(reply, status, kind):
    error = program.error_of(reply)
    assert (reply.status, error['type']) == (status, kind)
    assert error['outcome'] == 'not_run'
    assert error['message'] and error['step'] and error['request_id']


@pytest.mark.parametrize('name', INVALID_BODIES)
def test_invalid_body_is_refused(shared_fleet, name):
    body, status, kind = INVALID_BODIES[name]
    check_refusal(post(shared_fleet, body, ORGANISATION), status, kind)
    assert program.answer_tokens(shared_fleet.complete([1], 1))


@pytest.mark.parametrize('name', INVALID_HEADERS)
def test_invalid_header_is_refused(shared_fleet, name):
    headers, status, kind = INVALID_HEADERS[name]
    reply = post(shared_fleet, json.dumps(VALID_BODY), headers)
    check_refusal(reply, status, kind)


def test_unknown_service_and_path_are_refused(shared_fleet):
    reply = shared_fleet.call('nothing/here', '{}')
    check_refusal(reply, 404, 'unknown_service')
    url = f'{shared_fleet.url("entry-0")}/v2/nothing'
    check_refusal(program.request('GET', url), 404, 'unknown_service')


def test_repeated_header_is_refused(shared_fleet):
    host, port = shared_fleet.address_by_name['entry-0'].split(':')
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(
            b'POST /v1/services/stock/x HTTP/1.1\r\nHost: x\r\n'
            b'Burdockmast-Organisation: souk\r\nIdempotency-Key: a\r\n'
            b'Idempotency-Key: b\r\nContent-Length: 0\r\n'
            b'Connection: close\r\n\r\n'
        )
        data = b''
        while part := sock.recv(65536):
            data += part
    assert b'400 Bad Request' in data and b'only once' in data


def test_heads_of_callers_do_not_keep_an_entry_from_others(shared_fleet):
    """Guards against heads whose reading grew with the square of them."""
    host, port = shared_fleet.address_by_name['entry-0'].split(':')
    head = (
        b'GET /livez HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
        b'Content-Type: multipart/form-data; a="' + b';' * 8000 + b'\r\n\r\n'
    )
    with contextlib.ExitStack() as stack:
        for _ in range(HEAVY_CALLERS):
            sock = socket.create_connection((host, int(port)), 5)
            stack.enter_context(sock)
            sock.sendall(head)
        began = time.monotonic()
        reply = program.request('GET', f'{shared_fleet.url("entry-0")}/livez')
        took = time.monotonic() - began
    assert reply.status == 200
    assert took < ANSWER_SECONDS


INVALID_FRAMES = {
    'random bytes': b'\x93\x01\x02\x03' * 50,
    'not a message': msgpack.packb({'a': 1}),
    'unknown tag': msgpack.packb([999, 1, 2]),
    'wrong type': msgpack.packb([1, 'one', 2, 3, 4, 5]),
    'wrong protocol': codec.encode(
        messages.Hello(99, messages.Role.ENTRY, 'p', 'a', 'z')
    ),
    'oversized': b'\xc6\x7f\xff\xff\xff' + b'x' * 100_000,
    'huge array': b'\xdd\x7f\xff\xff\xff' + b'\x01' * 1000,
    'truncated': codec.encode(
        messages.Hello(1, messages.Role.ENTRY, 'p', 'a', 'z')
    )[:5],
}


@pytest.mark.parametrize('name', INVALID_FRAMES)
def test_invalid_frame_closes_only_its_connection(shared_fleet, name):
    host, port = shared_fleet.address_by_name['side-e1'].split(':')
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(INVALID_FRAMES[name])
        sock.shutdown(socket.SHUT_WR)
        while sock.recv(65536):
            pass
    assert program.answer_tokens(shared_fleet.complete([2], 2))


@given(strategies.binary(max_size=300))
@settings(derandomize=True, max_examples=300, deadline=None)
def test_decoder_never_raises(data):
    codec.Decoder(limit=4096).feed(data)


MESSAGES = [
    messages.Hello(1, messages.Role.SIDE, 'p', 'a', 'z', 's'),
    messages.Step('a', 3, 4, 5, b'1234'),
    messages.Token('a', 3, 4, 5),
    messages.Start(
        'a', 1, 'm', (messages.Hop('s', 'x', 0, 4),), 0, (1, 2), 2, 9, 100,
        1, 'f', 7,
    ),
    messages.Heartbeat(
        1, 2, 3, 4, 5, 6,
        messages.Load('s', 1, 2, 3, False, (messages.LayerRange('m', 0, 1),)),
        (messages.Strike('f', 'c'),),
    ),
]  # fmt: skip


@given(
    strategies.lists(strategies.sampled_from(MESSAGES), max_size=8),
    strategies.lists(strategies.integers(1, 40), min_size=1, max_size=50),
)
@settings(derandomize=True, max_examples=200, deadline=None)
def test_messages_are_decoded_however_they_are_split(sent, sizes):
    data = b''.join(map(codec.encode, sent))
    decoder = codec.Decoder()
    received = []
    offset = 0
    chunk = 0
    while offset < len(data):
        size = sizes[chunk % len(sizes)]
        found, failure = decoder.feed(data[offset : offset + size])
        assert failure is None
        received += found
        offset += size
        chunk += 1
    assert received == sent


def test_message_over_the_limit_is_a_failure():
    decoder = codec.Decoder(limit=100)
    step = messages.Step('a', 1, 2, 3, b'x' * 200_000)
    _, failure = decoder.feed(codec.encode(step))
    assert failure is not None
