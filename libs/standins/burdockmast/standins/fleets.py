"""Runs a whole fleet on this machine: daemons, stand-ins and a caller.

For tests, demos and benches only; no daemon uses it.
"""

from collections.abc import Iterator
import contextlib
import json
import pathlib
import tempfile
from typing import Any

import urllib3

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.fleet import change_journal
from burdockmast.fleet import changes
from burdockmast.node import inspection
from burdockmast.operator import queries
from burdockmast.standins import layouts
from burdockmast.standins import processes
from burdockmast.store import objects

ORGANISATION = 'souk'
PRESET = ids.PresetId('ordinary')
DAEMON = 'burdockmast.operator.core'
STAND_IN = 'burdockmast.standins.program'
HTTP = urllib3.PoolManager(maxsize=256, retries=False)


def request(method: str, url: str, **options: Any) -> urllib3.HTTPResponse:
    """Send one HTTP request, never repeated."""
    options.setdefault('timeout', 60.0)
    return HTTP.request(method, url, retries=False, **options)


class Fleet(processes.Processes):
    """Processes of one fleet, started and ended by their ids."""

    def __init__(
        self, folder: pathlib.Path, layout: layouts.Layout | None = None
    ):
        """Create a fleet; nothing runs yet.

        :param folder: where settings and logs are written
        """
        super().__init__(folder)
        self.layout = layout or layouts.Layout()
        self.entries: list[str] = []
        self.servers: list[changes.Server] = []
        self.add_address('store')

    # Parts of a fleet.

    def write_settings(self, name: str, settings: dict[str, Any]) -> str:
        """Write a settings file; return its path."""
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        return str(path)

    def start_store(self) -> None:
        """Start the Object API's stand-in."""
        address = self.address_by_name['store']
        options = self.layout.store_options
        self.start('store', STAND_IN, 'object-api', address, *options)

    def start_instance_list(self) -> None:
        """Start the stand-in of the platform's instance list."""
        address = self.add_address('instances')
        lag = str(self.layout.instance_lag)
        self.start(
            'instances', STAND_IN, 'instance-list', address, '--lag', lag
        )

    def start_weight_store(self) -> None:
        """Start the stand-in of the store of model weights."""
        address = self.add_address('weights')
        rate = str(self.layout.weight_rate)
        self.start(
            'weights', STAND_IN, 'weight-store', address, '--layers', rate
        )

    def list_instance(self, name: str, state: str) -> None:
        """Change an instance's state in the platform's list."""
        path = f'{self.url("instances")}/v1/instances/{name}'
        request('PUT', path, body=json.dumps(state))

    def _platform(self, name: str) -> dict[str, str]:
        """Return the settings that say where the platform is."""
        settings = {'store_url': self.url('store'), 'instance': name}
        if 'instances' in self.process_by_name:
            settings['instances_url'] = self.url('instances')
        return settings

    def start_engine(
        self, server: str, accelerator: layouts.Accelerator
    ) -> str:
        """Start the stand-in of a server's engine; return its URL."""
        name = f'engine-{server}'
        store = ()
        if self.layout.weight_rate is not None:
            store = ('--weight-store', self.url('weights'))
        self.start(
            name,
            STAND_IN,
            'engine',
            self.add_address(name),
            '--model',
            layouts.MODEL,
            str(self.layout.layers),
            *accelerator.options(),
            *store,
            *self.layout.engine_options,
        )
        return self.url(name)

    def start_service(self, server: str) -> str:
        """Start the stand-in of a plain service; return its URL."""
        name = f'service-{server}'
        address = self.add_address(name)
        options = self.layout.service_options
        self.start(name, STAND_IN, 'service', address, *options)
        return self.url(name)

    def start_side(
        self, server: str, zone: str, delay: float = 0.0, **settings: Any
    ) -> str:
        """Start a side; return the address that others reach it at."""
        name = f'side-{server}'
        self.add_address(name)
        path = self.write_settings(
            name,
            {
                'zone': zone,
                'server': server,
                'peer_address': self.address_by_name[name],
                'metrics_address': self.add_address(f'{name}-metrics'),
                **self._platform(name),
                'slots': self.layout.slots,
                **self.layout.side_settings,
                **settings,
            },
        )
        self.start(name, DAEMON, 'side', path)
        if not delay:
            return self.address_by_name[name]
        return self.start_relay(name, delay)

    def start_relay(self, target: str, delay: float = 0.0) -> str:
        """Put a network before a process; return the address to use."""
        name = f'relay-{target}'
        address = self.add_address(name)
        control = self.add_address(f'{name}-control')
        self.start(
            name,
            STAND_IN,
            'relay',
            address,
            self.address_by_name[target],
            control,
            '--delay',
            str(delay),
        )
        return address

    def start_entry(self, name: str, zone: str, **settings: Any) -> None:
        """Start an entry instance."""
        address = self.add_address(name)
        peer = self.add_address(f'{name}-peer')
        path = self.write_settings(
            name,
            {
                'zone': zone,
                'http_address': address,
                'peer_address': peer,
                'metrics_address': self.add_address(f'{name}-metrics'),
                **self._platform(name),
                'peers': [server.address for server in self.servers[:3]],
                **self.layout.entry_settings,
                **settings,
            },
        )
        self.start(name, DAEMON, 'entry', path)
        if name not in self.entries:
            self.entries.append(name)

    def start_all(self, relay_sides: bool = False) -> None:
        """Start everything and wait until it serves.

        :param relay_sides: put a network before each side
        """
        self.start_store()
        if self.layout.instance_lag is not None:
            self.start_instance_list()
        if self.layout.weight_rate is not None:
            self.start_weight_store()
        for number, (server, group) in enumerate(self.layout.engines()):
            zone = layouts.ZONES[number % len(layouts.ZONES)]
            engine = self.start_engine(server, group.accelerator)
            address = self.start_side(
                server, zone, group.link_delay, engine_url=engine
            )
            if relay_sides and not group.link_delay:
                address = self.start_relay(f'side-{server}')
            self.servers.append(
                changes.Server(
                    server,
                    ids.Address(address),
                    ids.ZoneId(zone),
                    accelerator=group.accelerator.name,
                )
            )
        for number in range(1, self.layout.services + 1):
            self._start_service_server(f's{number}', number)
        for number in range(self.layout.entries):
            zone = layouts.ZONES[number % len(layouts.ZONES)]
            self.start_entry(f'entry-{number}', zone)
        processes.wait_until(self._store_answers, 'store up')
        self.operate(
            *[changes.AddServer(server) for server in self.servers],
            changes.PutPreset(self.layout.preset(PRESET)),
            changes.SwitchPreset(PRESET, ids.PresetId('')),
        )
        for server, _ in self.layout.engines():
            processes.wait_until(lambda s=server: self.holds_layers(s), server)
        for entry in self.entries:
            processes.wait_until(lambda e=entry: self.serves(e), entry)
        for entry in self.entries:
            processes.wait_until(
                lambda e=entry: self.is_linked(e), f'all links of {entry}'
            )

    def _start_service_server(self, server: str, number: int) -> None:
        zone = layouts.ZONES[number % len(layouts.ZONES)]
        service = self.start_service(server)
        address = self.start_side(server, zone, service_url=service)
        self.servers.append(
            changes.Server(
                ids.ServerId(server),
                ids.Address(address),
                ids.ZoneId(zone),
                changes.ServerKind.SERVICE,
                service=layouts.SERVICE,
            )
        )

    def _store_answers(self) -> bool:
        return self.get_json('store', '/counts') is not None

    def ready(self, entry: str) -> dict[str, Any] | None:
        """Return what an entry tells the balancer."""
        return self.get_json(entry, '/readyz')

    def holds_layers(self, server: str) -> bool:
        """Tell whether an engine has taken an order to load layers."""
        self.check_alive()
        status = self.get_json(f'engine-{server}', '/v1/status')
        return bool(status and status['held'])

    def serves(self, entry: str) -> bool:
        """Tell whether an entry serves the model and the service."""
        self.check_alive()
        state = self.ready(entry)
        if not state or not state['ready'] or not state['preset']:
            return False
        if self.complete([1], 1, entry).status != 200:
            return False
        if not self.layout.services:
            return True
        path = f'{layouts.SERVICE}/ping'
        return self.call(path, entry=entry, method='GET').status == 200

    def is_linked(self, entry: str) -> bool:
        """Tell whether an entry has links to all side processes.

        It serves as soon as one path is complete, while other side processes
        may not even listen yet.
        """
        self.check_alive()
        address = ids.Address(self.address_by_name[f'{entry}-peer'])
        body = queries.send_query(address, 'status')
        if isinstance(body, failures.Failure):
            return False
        linked = {
            peer.address for peer in inspection.decode_status(body).peers
        }
        return linked >= {
            self.address_by_name[f'side-{server.id}']
            for server in self.servers
        }

    # Operators and callers.

    def writer(self, author: str = 'tests') -> change_journal.ChangeWriter:
        """Return an operator's writer."""
        store = objects.ObjectClient(self.url('store'))
        return change_journal.ChangeWriter(store, author)

    def operate(self, *bodies: changes.Body) -> change_journal.Accepted:
        """Have changes accepted; return the last one's version."""
        writer = self.writer()
        for body in bodies:
            result = writer.submit(body)
            if not isinstance(result, change_journal.Accepted):
                raise processes.NotReady(f'{body}: {result}')
        return result

    def get_json(self, name: str, path: str) -> Any:
        """Return a JSON document of a process, None if there is none."""
        try:
            response = request('GET', self.url(name) + path, timeout=2.0)
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        return json.loads(response.data)

    def post_json(self, name: str, path: str, value: Any) -> None:
        """Post a JSON document to a process."""
        body = json.dumps(value)
        request('POST', self.url(name) + path, body=body)

    def complete(
        self,
        prompt: list[int],
        count: int,
        entry: str | None = None,
        stream: bool = False,
        preload: bool = True,
        **headers: str,
    ) -> urllib3.HTTPResponse:
        """Ask for an answer of ``count`` tokens.

        :param preload: read the whole answer at once
        """
        body = {
            'model': layouts.MODEL,
            'prompt': prompt,
            'max_tokens': count,
            'stream': stream,
        }
        return request(
            'POST',
            f'{self.url(entry or self.entries[0])}/v1/chat/completions',
            body=json.dumps(body),
            headers={'Burdockmast-Organisation': ORGANISATION, **headers},
            preload_content=preload,
        )

    def call(
        self,
        path: str,
        body: str | None = None,
        entry: str | None = None,
        method: str = 'POST',
        **headers: str,
    ) -> urllib3.HTTPResponse:
        """Call a plain service."""
        return request(
            method,
            f'{self.url(entry or self.entries[0])}/v1/services/{path}',
            body=body,
            headers={'Burdockmast-Organisation': ORGANISATION, **headers},
        )

    def set_faults(self, name: str, **faults: Any) -> None:
        """Set a stand-in's faults; without any, it works."""
        self.post_json(name, '/faults', faults)

    def wait_for_services(self) -> None:
        """Wait until the stand-ins of plain services answer."""
        for name in list(self.process_by_name):
            if name.startswith('service-'):
                processes.wait_until(
                    lambda n=name: self.get_json(n, '/runs') is not None, name
                )

    def runs(self) -> dict[str, int]:
        """Return how often the plain services ran each key, together."""
        total: dict[str, int] = {}
        for name in self.address_by_name:
            if name.startswith('service-') and name in self.process_by_name:
                for key, count in self.get_json(name, '/runs').items():
                    total[key] = total.get(key, 0) + count
        return total


@contextlib.contextmanager
def running(layout: layouts.Layout) -> Iterator[Fleet]:
    """Run a whole fleet for the time of a measurement or demo."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(pathlib.Path(folder), layout)
        try:
            fleet.start_all()
            yield fleet
        finally:
            fleet.close()
