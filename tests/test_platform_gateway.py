"""A gateway process on a stand-in for the platform."""

import http.client
import signal

import eventlet
import platforms
import pytest

from burdockmast.base import timers

# Time in which a request and the close of its connection may cross.
LOSS_SLACK_SECONDS = 0.2


def test_a_stream_passes_every_layer_once(platform):
    status, headers, body = platform.ask('/draft/x?y=z')
    assert status == 200
    assert body == platforms.events(1, 5)
    assert headers['Burdockmast-Response-Seal'].startswith('seal-')
    (seen,) = platforms.requests_at(platform.engines)
    assert seen.path == '/draft/x'
    assert seen.header_by_name['burdockmast-tenant'] == 'fes'
    assert 'burdockmast-key' not in seen.header_by_name
    reached = 0
    for stage in seen.header_by_name['burdockmast-hop-count'].split(','):
        first, end = stage.partition('=')[2].split('-')
        assert int(first) == reached
        reached = int(end)
    assert reached == platforms.LAYERS


def test_a_stream_that_breaks_off_resumes_at_another_server(platform):
    platform.store.break_next_stream_after = 2
    status, _, body = platform.ask('/draft/x')
    assert status == 200
    seen = platforms.requests_at(platform.engines)
    assert body == platforms.events(1, 5)
    resumed = [found.header_by_name.get('last-event-id') for found in seen]
    assert sorted(resumed, key=str) == ['2', None]


# Ids as Unix times in milliseconds and nanoseconds, and longer ones.
LONG_IDS = [1_796_679_042_000, 1_796_679_042_000_000_000, 10**24]


@pytest.mark.parametrize('ids_begin_after', LONG_IDS)
def test_a_caller_resumes_a_stream_whose_ids_are_long(
    platform, ids_begin_after
):
    """Guards against dropping the caller's id, so that events come twice."""
    for engine in platform.engines:
        engine.ids_begin_after = ids_begin_after
    status, _, body = platform.ask(
        '/draft/x', Last_Event_Id=str(ids_begin_after + 2)
    )
    assert status == 200
    assert body == platforms.events(3, 5, ids_begin_after)


@pytest.mark.parametrize('ids_begin_after', LONG_IDS)
def test_a_gateway_resumes_a_stream_whose_ids_are_long(
    platform, ids_begin_after
):
    """Guards against a second run from the start, or no stream at all."""
    for engine in platform.engines:
        engine.ids_begin_after = ids_begin_after
    platform.store.break_next_stream_after = 2
    status, _, body = platform.ask('/draft/x')
    assert status == 200
    assert body == platforms.events(1, 5, ids_begin_after)


def test_a_caller_resumes_with_an_id_that_is_no_number(platform):
    """Guards against dropping an id that only its server understands."""
    for engine in platform.engines:
        engine.id_prefix = b'run-\xe9/'
    status, _, body = platform.ask('/draft/x', Last_Event_Id=b'run-\xe9/2')
    assert status == 200
    assert body == platforms.events(3, 5, id_prefix=b'run-\xe9/')


def test_runs_whose_order_cannot_be_told_are_not_joined(platform):
    """Guards against a run from the start behind events that were sent."""
    for engine in platform.engines:
        engine.id_prefix = b'run-7/'
    platform.store.break_next_stream_after = 2
    with pytest.raises(http.client.IncompleteRead) as raised:
        platform.ask('/draft/x')
    sent = platforms.events(1, 2, id_prefix=b'run-7/')
    assert raised.value.partial == sent
    (line,) = platform.logged('no attempt is left to a stream that has begun')
    assert not line['can_resume']


def test_a_call_keeps_its_last_event_id(platform):
    assert platform.ask('/lookup/x', Last_Event_Id='7')[0] == 200
    (seen,) = platforms.requests_at(platform.apps)
    assert seen.header_by_name['last-event-id'] == '7'


@pytest.mark.parametrize('value', ['soon', '-5', '1e3', ''])
def test_a_deadline_that_is_no_number_is_refused(platform, value):
    """Guards against a request that waits longer than its caller does."""
    status, _, body = platform.ask('/lookup/x', Burdockmast_Deadline_Ms=value)
    assert status == 400
    assert b'decimal number of milliseconds' in body
    assert not platforms.requests_at(platform.apps)


@pytest.mark.parametrize(
    ('attribute', 'value'),
    [('error_text', 'no such weights'), ('is_unsigned', True)],
)
def test_no_error_gets_into_a_stream_that_broke_off(
    platform, attribute, value
):
    """The next server replies with an error, or without a signature."""

    def fail_from_now_on():
        for engine in platform.engines:
            setattr(engine, attribute, value)

    platform.store.break_next_stream_after = 2
    platform.store.on_stream_break = fail_from_now_on
    with pytest.raises(http.client.IncompleteRead) as raised:
        platform.ask('/draft/x')
    assert raised.value.partial == platforms.events(1, 2)


@pytest.mark.parametrize('path', ['/draft/x', '/draft/once/x'])
def test_a_stream_that_ends_with_its_connection_is_complete(platform, path):
    for engine in platform.engines:
        engine.is_unframed = True
    status, _, body = platform.ask(path)
    assert status == 200
    assert body == platforms.events(1, 5)
    assert len(platforms.requests_at(platform.engines)) == 1


def test_a_stream_that_ends_with_its_connection_in_an_event_resumes(platform):
    platform.store.break_next_stream_after = 2
    for engine in platform.engines:
        engine.is_unframed = True
    status, _, body = platform.ask('/draft/x')
    assert status == 200
    assert body == platforms.events(1, 5)
    assert len(platforms.requests_at(platform.engines)) == 2


def test_a_stream_of_a_server_that_crashed_is_not_complete(platform):
    for engine in platform.engines:
        engine.is_unframed = True
        engine.event_count = 30

    def crash_in_the_middle():
        platform.wait_for(lambda: platforms.requests_at(platform.engines))
        eventlet.sleep(0.04)
        for engine in platform.engines:
            if engine.requests:
                engine.crash()

    crashing = eventlet.spawn(crash_in_the_middle)
    status, _, body = platform.ask('/draft/x')
    crashing.wait()
    assert status == 200
    assert body == platforms.events(1, 30)


@pytest.mark.parametrize('event', [1, 3])
def test_a_busy_path_that_cannot_be_replaced_is_waited_for(platform, event):
    for engine in platform.engines:
        engine.pause_before_event = event
        engine.pause_seconds = 1.2
    assert platform.ask('/draft/once/x')[2] == platforms.events(1, 5)
    assert len(platforms.requests_at(platform.engines)) == 1


@pytest.mark.parametrize('path', ['/draft/x', '/lookup/x'])
def test_a_silent_server_is_replaced_by_another(platform, path):
    silent = platform.engines[0] if 'draft' in path else platform.apps[0]
    silent.is_silent = True
    if 'lookup' in path:
        silent.is_silent = False
        silent.refuses = True
    assert platform.ask(path)[0] == 200


def test_a_request_that_must_not_repeat_is_sent_once(platform):
    for app in platform.apps:
        app.is_silent = True
    status, _, _ = platform.ask('/confirm/x', Burdockmast_Deadline_Ms='300')
    assert status == 504
    assert len(platforms.requests_at(platform.apps)) == 1


def test_a_refusal_by_all_servers_promises_that_nothing_ran(platform):
    for app in platform.apps:
        app.refuses = True
    status, headers, _ = platform.ask('/confirm/x')
    assert status == 503
    assert float(headers['Retry-After']) > 0


def test_a_read_that_may_have_run_is_not_reported_as_not_run(platform):
    first, second = platform.apps
    first.is_unsigned = True
    second.refuses = True
    for _ in range(10):
        assert platform.ask('/lookup/x', 'GET')[0] == 502
    # Either server may be tried first; each request must have reached both.
    assert len(first.requests) == len(second.requests) == 10


def test_a_body_over_the_limit_is_refused_without_running(platform):
    changed = {
        **platforms.CONFIGURATION,
        'version': 9,
        'limits': {'max-body-bytes': 10},
    }
    platform.store.put('config', 'main', changed)
    platform.wait_for(
        lambda: platform.ask('/confirm/x', body=b'x' * 11)[0] == 413
    )
    for app in platform.apps:
        app.requests.clear()
    assert platform.ask('/confirm/x', body=b'x' * 11)[0] == 413
    assert not platforms.requests_at(platform.apps)
    assert platform.ask('/confirm/x', body=b'x' * 10)[0] == 200


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [('/draft/x', 'unknown', 401), ('/none/x', platforms.KEY, 404)],
)
def test_what_the_configuration_does_not_allow_is_refused(
    platform, path, key, status
):
    assert platform.ask(path, Burdockmast_Key=key)[0] == status
    assert not platforms.requests_at([*platform.engines, *platform.apps])


def test_a_revoked_key_stops_working(platform):
    changed = {**platforms.CONFIGURATION, 'version': 9, 'tenants': []}
    changed['tenants'] = [{'name': 'fes', 'api-keys': ['other']}]
    platform.store.put('config', 'main', changed)
    platform.wait_for(lambda: platform.ask('/lookup/x', 'GET')[0] == 401)


def test_no_key_is_trusted_long_after_the_store_was_lost(platform):
    platform.store.is_down = True
    platform.wait_for(lambda: platform.ask('/lookup/x', 'GET')[0] == 503)
    assert not platform.is_ready()
    platform.store.is_down = False
    platform.wait_for(lambda: platform.ask('/lookup/x', 'GET')[0] == 200)


def test_a_draining_server_gets_no_new_request(platform):
    draining, ready = platform.apps
    draining.update_entry(state='draining')

    def gets_no_request():
        draining.requests.clear()
        for _ in range(4):
            platform.ask('/lookup/x', 'GET')
        return not draining.requests

    platform.wait_for(gets_no_request)
    assert ready.requests


def test_invalid_store_entries_are_ignored(platform):
    platform.store.put('servers', 'i-odd', {'service': 'app', 'state': 7})
    platform.store.put('servers', 'i-text', 'no entry')
    assert platform.ask('/lookup/x', 'GET')[0] == 200


def test_a_planned_stop_lets_streams_complete(platform):
    for engine in platform.engines:
        engine.event_count = 100
    found = eventlet.spawn(platform.ask, '/draft/x')
    platform.wait_for(lambda: platforms.requests_at(platform.engines))
    platform.process.send_signal(signal.SIGTERM)
    platform.wait_for(lambda: not platform.is_ready())
    assert found.wait()[2] == platforms.events(1, 100)
    platform.wait_for(lambda: platform.process.poll() is not None)
    assert platform.process.returncode == 0


@pytest.mark.parametrize('waiting', [0, 40])
def test_connections_end_as_soon_as_a_stopping_gateway_reads_them_no_more(
    platform, waiting
):
    """Requests sent meanwhile used to get neither an answer nor a close."""
    for engine in platform.engines:
        engine.event_count = 700
    idle = [eventlet.connect((platform.host, 7000)) for _ in range(waiting)]
    connection = platform.connect()
    connection.request('POST', '/draft/x', headers=platform.headers())
    # The head of a reply that begins after the signal announces the close,
    # and the client then drops its socket, which this test reads from.
    reply = connection.getresponse()
    platform.process.send_signal(signal.SIGTERM)
    assert reply.read() == platforms.events(1, 700)
    answered_at = timers.now()
    with eventlet.Timeout(platforms.TEST_TIMEOUT_SECONDS):
        assert not connection.sock.recv(1)
        assert not any(sock.recv(1) for sock in idle)
    assert timers.now() - answered_at < LOSS_SLACK_SECONDS


@pytest.mark.parametrize('path', ['/confirm/x', '/draft/x'])
def test_no_request_is_cut_off_without_an_answer_at_the_end_of_a_stop(
    platform, path
):
    """It may have run, and is told so before the grace ends."""
    platform.restart_with('grace-s = 30', 'grace-s = 4')
    servers = platform.apps if path == '/confirm/x' else platform.engines
    for server in servers:
        server.is_silent = True
    found = eventlet.spawn(platform.ask, path)
    platform.wait_for(lambda: platforms.requests_at(servers))
    platform.process.send_signal(signal.SIGTERM)
    assert found.wait()[0] in (502, 504)
    platform.wait_for(lambda: platform.process.poll() is not None)
    assert platform.process.returncode == 0


def test_a_route_whose_services_have_no_weight_is_refused_at_once(platform):
    split = [{'service': 'app', 'weight': 0}, {'service': 'llm', 'weight': 0}]
    stopped = {
        **platforms.CONFIGURATION['routes'][-1],
        'path-prefix': '/lookup/stopped/',
        'traffic-split': split,
    }
    platform.store.put(
        'config',
        'main',
        {
            **platforms.CONFIGURATION,
            'version': 9,
            'routes': [*platforms.CONFIGURATION['routes'], stopped],
        },
    )
    platform.wait_for(lambda: platform.ask('/lookup/stopped/x')[0] == 503)
    for app in platform.apps:
        app.requests.clear()
    status, headers, _ = platform.ask('/lookup/stopped/x')
    assert status == 503
    assert float(headers['Retry-After']) > 0
    assert not platforms.requests_at([*platform.apps, *platform.engines])


@pytest.mark.parametrize(
    'target',
    [
        '/confirm/x?',
        '/confirm/x?a=&b=%41?c',
        '/confirm/x??',
        '/confirm//x/',
        '/confirm/%2e%2E/%C3%A9;v=1',
        '/draft/x?',
    ],
)
def test_path_and_query_reach_the_server_as_sent(platform, target):
    """An empty query used to be left out."""
    assert platform.ask(target)[0] == 200
    (seen,) = platforms.requests_at([*platform.engines, *platform.apps])
    assert seen.target == target


def test_a_path_that_no_route_begins_is_not_changed_into_one(platform):
    """Several slashes at the start used to be read as one."""
    assert platform.ask('//confirm/x')[0] == 404
    assert not platforms.requests_at(platform.apps)
