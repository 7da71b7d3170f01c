"""The stand-in's engine runs requests on paths of several servers."""

import http.client
import json

import eventlet
import pytest

from burdockmast.base import timers
from burdockmast.platform import headers
from burdockmast.platform import standin
from burdockmast.platform import standin_paths

LAYERS = 4
TOKENS = 10
EVENTS = 20


class Engine:
    """Servers a, b, b2 and c of an engine; b and b2 hold the same layers."""

    def __init__(self):
        self.paths = standin_paths.PathEngine(LAYERS, stall_seconds=0.4)
        self.server_by_name = {}
        store = standin.MetadataStore()
        for name, first, end in (
            ('a', 0, 1),
            ('b', 1, 3),
            ('b2', 1, 3),
            ('c', 3, 4),
        ):
            entry = {'id': name, 'service': 'llm', 'zone': name, 'kind': ''}
            server = standin.BackendServer('127.0.0.1', store, entry)
            server.update_entry(layers={'from': first, 'to': end})
            server.event_count = EVENTS
            server.join(self.paths)
            self.server_by_name[name] = server

    def path(self, *names):
        """Return a path in the format of the header."""
        parts = []
        for name, layers in zip(names, ('0-1', '1-3', '3-4'), strict=True):
            parts.append(f'{self.server_by_name[name].address}={layers}')
        return ','.join(parts)

    def call(self, target, body, **given):
        """Send a request to server a; return its response."""
        address = self.server_by_name['a'].address
        host, _, port = address.partition(':')
        connection = http.client.HTTPConnection(address)
        connection.sock = eventlet.connect((host, int(port)))
        connection.request('POST', target, body=body, headers=given)
        return connection.getresponse()

    def stream(self, *names):
        """Begin a request on a path."""
        sent = {
            headers.REQUEST_ID: 'r1',
            headers.PATH: self.path(*names),
            headers.TOKEN_COUNTS: f'{TOKENS - 1},1',
        }
        return self.call('/draft/1', b'', **sent)

    def change(self, *names, request='r1'):
        """Order a change of path; return the status and body."""
        order = {'op': 'repath', 'id': request, 'path': self.path(*names)}
        response = self.call('/api/order', json.dumps(order).encode())
        return response.status, json.loads(response.read())


@pytest.fixture
def engine():
    with eventlet.Timeout(10):
        yield Engine()


def test_stream_stalls_until_its_path_leaves_a_dead_server(engine):
    """Without a stall, no test shows that a path was changed in time."""
    response = engine.stream('a', 'b', 'c')
    read = response.read(20)
    engine.server_by_name['b'].die(0.05)
    eventlet.sleep(0.2)
    run = engine.paths.runs[0]
    count = len(run.events)
    eventlet.sleep(0.1)
    assert len(run.events) == count < EVENTS
    assert engine.change('a', 'b2', 'c') == (200, None)
    body = read + response.read()
    assert body.endswith(b'id: 20\ndata: token 20\n\n')
    used = [[s.address for s in event.stages] for event in run.events]
    assert [event.number for event in run.events] == list(range(1, 21))
    for name, numbers in (('b', range(count)), ('b2', range(count, EVENTS))):
        address = engine.server_by_name[name].address
        assert all(used[number][1] == address for number in numbers)


def test_stalled_stream_is_aborted(engine):
    """A stream that never ends would hide that nobody changed its path."""
    response = engine.stream('a', 'b', 'c')
    engine.server_by_name['b'].die(0.05)
    with pytest.raises(http.client.IncompleteRead):
        response.read()
    assert engine.paths.runs[0].is_aborted
    assert engine.change('a', 'b2', 'c') == (404, None)


def test_head_of_a_stalled_stream_names_the_limit_of_its_time(engine):
    """Older heads that come later ended limits that had been named since."""
    first = engine.server_by_name['a']
    began_at = timers.now()
    engine.server_by_name['b'].fall_silent(0.3, with_reports=False)
    eventlet.spawn_after(0.1, setattr, first, 'limit', 2.0)
    assert engine.stream('a', 'b', 'c').getheader(headers.LIMIT) == '2.0'
    assert began_at + 0.3 <= first.limit_told_at <= timers.now()


def test_silence_of_a_server_aborts_nothing(engine):
    """An abort would excuse answers that are lost although no server is."""
    response = engine.stream('a', 'b', 'c')
    engine.server_by_name['b'].fall_silent(0.6, with_reports=False)
    assert response.read().endswith(b'id: 20\ndata: token 20\n\n')


def test_stream_that_is_aborted_before_its_first_event_has_no_head(engine):
    """A status 500 of the stand-in would look like a gateway's mistake."""
    engine.server_by_name['b'].fall_silent(0.2, with_reports=False)
    eventlet.spawn_after(0.1, engine.server_by_name['b'].die, 5.0)
    with pytest.raises(ConnectionError):
        engine.stream('a', 'b', 'c')


def test_changes_that_can_not_be_carried_out_are_rejected(engine):
    """A change to a server that is down must not look like a success."""
    assert engine.change('a', 'b2', 'c')[0] == 404
    # Orders may take longer than a stream of the usual length.
    engine.server_by_name['a'].event_count = 100 * EVENTS
    response = engine.stream('a', 'b', 'c')
    response.read(20)
    assert engine.change('a', 'b2', 'c', request='r2')[0] == 404
    engine.server_by_name['b2'].die(5.0)
    refused = engine.change('a', 'b2', 'c')
    assert refused == (409, {'address': engine.server_by_name['b2'].address})
    assert engine.change('a', 'c', 'b2')[0] == 409
    assert not engine.paths.invalid_paths
    engine.server_by_name['c'].address = 'elsewhere'
    assert engine.change('a', 'b2', 'c')[0] == 400
    assert engine.paths.invalid_paths


def test_server_without_memory_is_named_in_the_rejection(engine):
    """Gateways learn from it which server of a path is full."""
    engine.server_by_name['b'].kv_total = 2 * TOKENS
    response = engine.stream('a', 'b', 'c')
    refused = engine.stream('a', 'b', 'c')
    assert refused.status == 503
    assert refused.getheader(headers.NOT_RUN)
    address = engine.server_by_name['b'].address
    assert refused.getheader(headers.REFUSED_BY) == address
    response.read()
    assert engine.stream('a', 'b', 'c').status == 200


def test_hops_between_zones_take_time(engine):
    """Answers of paths through slow hops come later, as on the platform."""
    run = standin_paths.Run('r', engine.paths._parse(engine.path(*'abc')), 1)
    engine.paths.hop_seconds_by_zones = {('a', 'b'): 1.0, ('c', 'a'): 2.0}
    assert engine.paths.hop_seconds(run) == 3.0
