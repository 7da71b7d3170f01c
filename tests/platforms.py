"""Runs a gateway process on a stand-in for the platform, for tests."""

import http.client
import json
import os
import subprocess
import sys

import eventlet

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
            'name': 'unsafe',
            'host': 'h.example',
            'path-prefix': '/draft/unsafe/',
            'kind': 'streaming',
            'timeout-ms': 20000,
            'service': 'llm',
            'max-attempts': 2,
        },
        {
            'name': 'plain',
            'host': 'h.example',
            'path-prefix': '/draft/plain/',
            'kind': 'streaming',
            'timeout-ms': 20000,
            'service': 'app',
            'max-attempts': 2,
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
        self.log_file = directory / 'gateway.log'
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
        self.command = [sys.executable, '-m', 'burdockmast.platform.program']
        self.process = None

    def _server(self, name, service, kind):
        entry = {'id': name, 'service': service, 'zone': 'a', 'kind': kind}
        return standin.BackendServer(self.host, self.store, entry)

    def add_app(self, name):
        """Start one more plain server."""
        self.apps.append(self._server(name, 'app', ''))

    def launch(self):
        """Start the process without waiting for it."""
        with self.log_file.open('ab') as log:
            self.process = subprocess.Popen(
                self.command,
                env={**os.environ, settings.PATH_VARIABLE: str(self.file)},
                stdout=log,
            )

    def logged(self, message):
        """Return the lines that the gateway has logged with a message."""
        lines = self.log_file.read_text().splitlines()
        found = [json.loads(line) for line in lines if message in line]
        return [line for line in found if line['message'] == message]

    def start(self):
        self.launch()
        self.wait_for(self.is_ready)
        self.wait_for(lambda: self.ask('/draft/x')[0] == 200)
        for server in [*self.engines, *self.apps]:
            server.requests.clear()

    def restart_with(self, setting, changed):
        """Start the gateway again with another value of a setting."""
        self.stop()
        self.file.write_text(self.file.read_text().replace(setting, changed))
        self.start()

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
        """Send a caller's request; return status, headers and body.

        A header that is given as None is left out.
        """
        found = self.headers(path)
        found.update(
            {name.replace('_', '-'): value for name, value in given.items()}
        )
        found = {k: value for k, value in found.items() if value is not None}
        if body:
            found['Content-Length'] = str(len(body))
        return self._call(self.callers, method, path, found, body)

    def headers(self, path='/draft/'):
        """Return the headers of a sound request."""
        found = {
            'Host': 'h.example',
            'Burdockmast-Request-Id': 'r1',
            'Burdockmast-Deadline-Ms': '20000',
            'Burdockmast-Key': KEY,
        }
        if path.startswith('/draft/'):
            found['Burdockmast-Token-Counts'] = '100,10'
        return found

    def connect(self, address=None):
        """Connect to an address of the gateway, callers' if none is given."""
        port = (address or self.callers).rpartition(':')[2]
        connection = http.client.HTTPConnection(self.host, int(port))
        connection.sock = eventlet.connect((self.host, int(port)))
        return connection

    def _call(self, address, method, path, headers, body=b''):
        connection = self.connect(address)
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


def events(first, last, ids_begin_after=0, id_prefix=b''):
    return b''.join(
        b'id: %s%d\ndata: token %d\n\n' % (id_prefix, ids_begin_after + n, n)
        for n in range(first, last + 1)
    )


def requests_at(servers):
    return [seen for server in servers for seen in server.requests]
