"""A gateway process on a stand-in for the platform."""

import http.client
import os
import signal
import subprocess
import sys

import eventlet
import pytest

from burdockmast.platform import settings
from burdockmast.platform import standin

TEST_TIMEOUT_SECONDS = 60.0
KEY = 'k1'
LAYERS = 80
CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'draft',
            'host': 'h.example',
            'path-prefix': '/draft/',
            'kind': 'streaming',
            'timeout-ms': 20000,
            'slo-ms': 500,
            'priority': 1,
            'service': 'llm',
            'max-attempts': 2,
            'resumable': True,
            'gap-aim-ms': 200,
        },
        {
            'name': 'once',
            'host': 'h.example',
            'path-prefix': '/draft/once/',
            'kind': 'streaming',
            'timeout-ms': 20000,
            'service': 'llm',
            'max-attempts': 1,
            'resumable': True,
        },
        {
            'name': 'confirm',
            'host': 'h.example',
            'path-prefix': '/confirm/',
            'kind': 'unsafe',
            'timeout-ms': 20000,
            'service': 'app',
            'max-attempts': 2,
        },
        {
            'name': 'lookup',
            'host': 'h.example',
            'path-prefix': '/lookup/',
            'kind': 'safe',
            'timeout-ms': 20000,
            'service': 'app',
            'max-attempts': 2,
        },
    ],
    'services': [
        {
            'name': 'llm',
            'engine': {
                'layers': LAYERS,
                'layer-mb': 1000.0,
                'kv-bytes': 900000,
                'usual': {'prompt': 100, 'answer': 10},
                'kinds': [{'name': 'big', 'mb': 45000.0}],
            },
        },
        {'name': 'app'},
    ],
    'tenants': [{'name': 'fes', 'api-keys': [KEY]}],
}


class Platform:
    """The platform's stand-in with backend servers and one gateway process."""

    def __init__(self, directory, number):
        self.host = f'127.77.{number // 250}.{number % 250 + 1}'
        self.store = standin.MetadataStore()
        self.engines = [
            self._server(f'i-{name}', 'llm', 'big') for name in 'abcd'
        ]
        self.apps = [self._server(f'i-app{n}', 'app', '') for n in range(2)]
        self.store.put('config', 'main', CONFIGURATION)
        self.file = directory / 'local.toml'
        self.callers = f'{self.host}:7000'
        self.ready = f'{self.host}:7001'
        self.file.write_text(
            f"""
            node = "gateway-1"
            ip = "{self.host}"
            zone = "a"
            internal-ports = [7010, 7020]
            [zones]
            a = "region"
            [listen]
            front = "{self.callers}"
            ready = "{self.ready}"
            [bounds]
            revoke-ms = 5000
            grace-s = 30
            budget-ratio = 0.2
            budget-window-s = 10
            retry-slack = 200
            [platform]
            address = "{standin.listen(self.host, self.store)}"
            """
        )
        self.process = None

    def _server(self, name, service, kind):
        entry = {'id': name, 'service': service, 'zone': 'a', 'kind': kind}
        return standin.BackendServer(self.host, self.store, entry)

    def start(self):
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'burdockmast.platform.program'],
            env={**os.environ, settings.PATH_VARIABLE: str(self.file)},
            stdout=subprocess.DEVNULL,
        )
        self.wait_for(self.is_ready)
        self.wait_for(lambda: self.ask('/draft/x')[0] == 200)
        for server in [*self.engines, *self.apps]:
            server.requests.clear()

    def wait_for(self, condition):
        with eventlet.Timeout(TEST_TIMEOUT_SECONDS):
            while not condition():
                eventlet.sleep(0.02)

    def is_ready(self):
        try:
            return self._call(self.ready, 'GET', '/api/ready', {})[0] == 200
        except OSError:
            return False

    def ask(self, path, method='POST', body=b'', **given):
        """Send a caller's request; return status, headers and body."""
        found = {
            'Host': 'h.example',
            'Burdockmast-Request-Id': 'r1',
            'Burdockmast-Deadline-Ms': '20000',
            'Burdockmast-Key': KEY,
        }
        if path.startswith('/draft/'):
            found['Burdockmast-Token-Counts'] = '100,10'
        found.update(
            {name.replace('_', '-'): value for name, value in given.items()}
        )
        if body:
            found['Content-Length'] = str(len(body))
        return self._call(self.callers, method, path, found, body)

    def _call(self, address, method, path, headers, body=b''):
        connection = http.client.HTTPConnection(address)
        connection.sock = eventlet.connect(
            (self.host, int(address.rpartition(':')[2]))
        )
        try:
            connection.putrequest(method, path, skip_host='Host' in headers)
            for name, value in headers.items():
                connection.putheader(name, value)
            connection.endheaders(body or None)
            response = connection.getresponse()
            body = response.read()
            return response.status, dict(response.getheaders()), body
        finally:
            connection.close()

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


@pytest.fixture
def platform(tmp_path):
    found = Platform(tmp_path, os.getpid() % 60000)
    try:
        found.start()
        yield found
    finally:
        found.stop()


def events(first, last):
    return b''.join(
        b'id: %d\ndata: token %d\n\n' % (n, n) for n in range(first, last + 1)
    )


def requests_at(servers):
    return [seen for server in servers for seen in server.requests]


def test_a_stream_passes_every_layer_once(platform):
    status, headers, body = platform.ask('/draft/x?y=z')
    assert status == 200
    assert body == events(1, 5)
    assert headers['Burdockmast-Response-Seal'].startswith('seal-')
    (seen,) = requests_at(platform.engines)
    assert seen.path == '/draft/x'
    assert seen.header_by_name['burdockmast-tenant'] == 'fes'
    assert 'burdockmast-key' not in seen.header_by_name
    reached = 0
    for stage in seen.header_by_name['burdockmast-hop-count'].split(','):
        first, end = stage.partition('=')[2].split('-')
        assert int(first) == reached
        reached = int(end)
    assert reached == LAYERS


def test_a_stream_that_breaks_off_resumes_at_another_server(platform):
    platform.store.break_next_stream_after = 2
    status, _, body = platform.ask('/draft/x')
    assert status == 200
    seen = requests_at(platform.engines)
    assert body == events(1, 5)
    resumed = [found.header_by_name.get('last-event-id') for found in seen]
    assert sorted(resumed, key=str) == ['2', None]


@pytest.mark.parametrize('event', [1, 3])
def test_a_busy_path_that_cannot_be_replaced_is_waited_for(platform, event):
    for engine in platform.engines:
        engine.pause_before_event = event
        engine.pause_seconds = 1.2
    assert platform.ask('/draft/once/x')[2] == events(1, 5)
    assert len(requests_at(platform.engines)) == 1


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
    assert len(requests_at(platform.apps)) == 1


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
    changed = {**CONFIGURATION, 'version': 9, 'limits': {'max-body-bytes': 10}}
    platform.store.put('config', 'main', changed)
    platform.wait_for(
        lambda: platform.ask('/confirm/x', body=b'x' * 11)[0] == 413
    )
    for app in platform.apps:
        app.requests.clear()
    assert platform.ask('/confirm/x', body=b'x' * 11)[0] == 413
    assert not requests_at(platform.apps)
    assert platform.ask('/confirm/x', body=b'x' * 10)[0] == 200


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [('/draft/x', 'unknown', 401), ('/none/x', KEY, 404)],
)
def test_what_the_configuration_does_not_allow_is_refused(
    platform, path, key, status
):
    assert platform.ask(path, Burdockmast_Key=key)[0] == status
    assert not requests_at([*platform.engines, *platform.apps])


def test_a_revoked_key_stops_working(platform):
    changed = {**CONFIGURATION, 'version': 9, 'tenants': []}
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
    platform.wait_for(lambda: requests_at(platform.engines))
    platform.process.send_signal(signal.SIGTERM)
    platform.wait_for(lambda: not platform.is_ready())
    assert found.wait()[2] == events(1, 100)
    platform.wait_for(lambda: platform.process.poll() is not None)
    assert platform.process.returncode == 0
