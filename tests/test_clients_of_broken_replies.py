"""Broken replies to clients of the store, of engines and of plain services."""

import gzip
import types

import broken_replies
import pytest

from burdockmast.base import failures
from burdockmast.base import outcomes
from burdockmast.gateway import backends
from burdockmast.platform import engine_client
from burdockmast.platform import store
from burdockmast.side import engine
from burdockmast.side import service_executor
from burdockmast.store import instance_list
from burdockmast.store import objects
from burdockmast.wire import messages

SIZE_BEFORE_COMPRESSION = 50_000_000


def server_at(address):
    return backends.BackendServer(
        'i-1', 'llm', address, 'a', True, backends.NO_LAYERS, '', 1, 1
    )


def call_service(address, method):
    """Return a failure of a call that a side process makes, or its reply."""
    process = types.SimpleNamespace(
        peers=types.SimpleNamespace(hello=types.SimpleNamespace(process='p')),
        events=types.SimpleNamespace(
            clock=0, add=lambda *args, **extra: None, advance_clock=int
        ),
        metrics=types.SimpleNamespace(count=lambda name: None),
    )
    executor = service_executor.ServiceExecutor(process, f'http://{address}')
    reply = executor.call(
        messages.ServiceCall(
            'c1', 'r1', 'app', method, '/x', (), b'', '', 1, '', 20000, 0
        )
    )
    if reply.reason is None:
        return reply
    assert (reply.status, reply.headers, reply.body) == (0, (), b'')
    return failures.Failure(reply.reason, 'call', outcome=reply.outcome)


CALLS = {
    'read the store': lambda address: store.Client(address).call('GET', 'x'),
    'write to the store': lambda address: store.Client(address).call(
        'POST', 'x', body={}
    ),
    'watch the store': lambda address: store.Feed(
        store.Client(address), 'x', lambda name, spec: spec
    ).watch(1, 1.0),
    'get an object': lambda address: objects.ObjectClient(
        f'http://{address}'
    ).get('x', 'y'),
    'create an object': lambda address: objects.ObjectClient(
        f'http://{address}'
    ).create('x', 'y', {}),
    'delete an object': lambda address: objects.ObjectClient(
        f'http://{address}'
    ).delete('x', 'y'),
    'list instances': lambda address: instance_list.InstanceList(
        f'http://{address}'
    ).list_draining(),
    'run an iteration': lambda address: engine.Client(
        f'http://{address}'
    ).iterate(engine.Iteration([], [], [])),
    'order layers': lambda address: engine.Client(
        f'http://{address}'
    ).load_layers(1, engine.HeldLayers('m', 0, 1)),
    'read from a service': lambda address: call_service(address, 'GET'),
    'call a service': lambda address: call_service(address, 'POST'),
    'fetch a report': lambda address: (
        engine_client.EngineClient().fetch_report(server_at(address))
    ),
    'order layers of a server': lambda address: (
        engine_client.EngineClient().assign_layers(
            server_at(address), backends.LayerRange(0, 1), 1, 0
        )
    ),
}
# Reads that have no effect, of which it isn't told whether they ran.
READS = ('list instances',)


@pytest.mark.parametrize('call', CALLS)
def test_an_invalid_reply_fails_the_call(raw_server, call):
    for case, sent in broken_replies.INVALID.items():
        raw_server.reply = sent
        before = raw_server.request_count
        found = CALLS[call](raw_server.address)
        assert isinstance(found, failures.Failure), case
        if call not in READS:
            assert found.outcome is outcomes.Outcome.UNKNOWN, case
        assert raw_server.request_count == before + 1, case


def test_unusual_replies_to_the_store_s_client_are_whole(raw_server):
    for case, sent in broken_replies.VALID.items():
        raw_server.reply = sent
        response = store.Client(raw_server.address).call('GET', 'x')
        assert response.data == broken_replies.BODY, case


def test_a_broken_head_of_the_store_names_no_era(raw_server):
    client = store.Client(raw_server.address)
    raw_server.reply = broken_replies.reply(b'Store-Era: 7', b'no field')
    assert isinstance(client.call('GET', 'x'), failures.Failure)
    assert client.era == 0
    raw_server.reply = broken_replies.reply(b'Store-Era: 7')
    client.call('GET', 'x')
    assert client.era == 7


def test_a_broken_refusal_of_the_store_may_have_run(raw_server):
    raw_server.reply = broken_replies.reply(
        b'X Name: value', status=b'HTTP/1.1 429 Too Many Requests'
    )
    found = store.Client(raw_server.address).call('POST', 'x', body={})
    assert found.outcome is outcomes.Outcome.UNKNOWN


def test_a_reply_of_the_service_is_passed_on_whole(raw_server):
    raw_server.reply = broken_replies.VALID['a length']
    reply = call_service(raw_server.address, 'POST')
    assert reply.outcome is outcomes.Outcome.RAN
    assert reply.body == broken_replies.BODY


def compressed_reply():
    """Return a reply whose body is larger than what comes of it."""
    body = gzip.compress(gzip.compress(bytes(SIZE_BEFORE_COMPRESSION)))
    lines = (
        b'Content-Length: %d' % len(body),
        b'Content-Encoding: gzip, gzip',
    )
    return body, broken_replies.reply(*lines, body=body)


def test_a_compressed_body_is_not_unpacked(raw_server):
    """Guards against small replies that take all memory and time."""
    body, raw_server.reply = compressed_reply()
    response = store.Client(raw_server.address).call('GET', 'x')
    assert response.data == body
    found = CALLS['get an object'](raw_server.address)
    assert isinstance(found, failures.Failure)


def test_a_compressed_reply_of_the_service_is_passed_on_as_it_is(raw_server):
    body, raw_server.reply = compressed_reply()
    reply = call_service(raw_server.address, 'POST')
    assert reply.body == body
    assert ('Content-Encoding', 'gzip, gzip') in reply.headers


STEP = engine.Step('s1', 0, None, 1)
DECODED_CALLS = {
    name: call
    for name, call in CALLS.items()
    if name
    in (
        'watch the store',
        'get an object',
        'create an object',
        'list instances',
        'fetch a report',
    )
} | {
    'run an iteration': lambda address: engine.Client(
        f'http://{address}'
    ).iterate(engine.Iteration([], [STEP, STEP], [])),
    'ask for the status': lambda address: engine.Client(
        f'http://{address}'
    ).status(),
    'ask for cache events': lambda address: engine.Client(
        f'http://{address}'
    ).cache_events('', 0),
}
UNDECODABLE = {
    'empty': b'',
    'no JSON': b'no JSON',
    'cut': b'{"results": [{"state": 1',
    'no text': b'\x93\xff\0\x80',
    'another type': b'[1, 2]',
    'nested too deeply': b'{"value": ' + b'[' * 100_000,
}


@pytest.mark.parametrize('call', DECODED_CALLS)
@pytest.mark.parametrize('case', UNDECODABLE)
def test_a_body_that_cannot_be_decoded_fails_the_call(raw_server, call, case):
    body = UNDECODABLE[case]
    raw_server.reply = broken_replies.reply(
        b'Content-Length: %d' % len(body), body=body
    )
    found = DECODED_CALLS[call](raw_server.address)
    assert isinstance(found, failures.Failure)


@pytest.mark.parametrize('results', [b'', b'{}', b'{}, {}, {}'])
def test_results_without_their_steps_fail_the_iteration(raw_server, results):
    body = b'{"results": [%s]}' % results
    raw_server.reply = broken_replies.reply(
        b'Content-Length: %d' % len(body), body=body
    )
    found = DECODED_CALLS['run an iteration'](raw_server.address)
    assert found.reason is failures.Reason.PROTOCOL
    assert found.outcome is outcomes.Outcome.UNKNOWN
