"""Gateways without processes, callers or a network, in virtual time.

They follow the stand-in of the store and exchange their messages as in a
process. The callers' side is left out.
"""

import collections
import io
import random
from unittest import mock

import eventlet
import eventlet.hubs
import greenlet
import msgspec
import urllib3

from burdockmast.base import timers
from burdockmast.gateway import neighbours
from burdockmast.gateway import server
from burdockmast.gateway import settings
from burdockmast.platform import configuration
from burdockmast.platform import retry_slots
from burdockmast.platform import servers
from burdockmast.platform import shared_records
from burdockmast.platform import standin
from burdockmast.platform import store

CALL_SECONDS = 0.004
MESSAGE_SECONDS = 0.001


class VirtualTime:
    """Lets green threads wait without that time passes."""

    def __init__(self, monkeypatch):
        self.now = 1000.0
        hub = eventlet.hubs.get_hub()
        monkeypatch.setattr(hub, 'clock', self)
        monkeypatch.setattr(hub, 'wait', self._wait)
        # Functions of this module are default arguments elsewhere.
        clocks = mock.Mock(monotonic=self, clock_gettime=lambda _: self.now)
        monkeypatch.setattr(timers, 'time', clocks)

    def __call__(self):
        return self.now

    def _wait(self, seconds=None):
        self.now += seconds or 0.0


def configuration_of(version, is_contended=True):
    engine = {'layers': 80, 'step-ms': 1.0}
    if is_contended:
        engine['delays'] = [{'from': 'a', 'to': 'b', 'delay_ms': 20.0}]
    return {
        'version': version,
        'services': [{'name': 'llm', 'engine': engine}, {'name': 'app'}],
        'tenants': [{'name': 'fes', 'api-keys': [f'key-{version}']}],
    }


class Gateway:
    """One gateway, until it is stopped.

    :ivar is_cut: from the store
    :ivar is_deaf: gets no messages
    :ivar is_mute: sends no messages
    """

    def __init__(self, fleet, record):
        self.record = record
        self._fleet = fleet
        self.is_stopped = False
        self.is_cut = False
        self.is_deaf = False
        self.is_mute = False
        client = store.Client('store', _pool=self)
        with mock.patch.object(server.logs.Log, 'from_config'):
            self.server = server.Gateway(
                settings.Settings(
                    instance=record.name,
                    zone=record.zone,
                    callers_address='',
                    ready_address='',
                    metrics_address='',
                    neighbours_address=record.address,
                    revoke_seconds=5.0,
                    apply_seconds=fleet.bound_seconds,
                    drain_seconds=fleet.bound_seconds,
                    grace_seconds=10.0,
                    memory_mb=1000.0,
                    retry_ratio=0.1,
                    retry_slack=48.0,
                    retry_window=10.0,
                ),
                server.Platform(
                    store.Feed(
                        client, configuration.KIND, configuration.decode
                    ),
                    store.Feed(client, servers.KIND, servers.decode),
                    shared_records.PlannerLock(client, record.name),
                    shared_records.GatewayRegistry(client, record),
                    shared_records.QuarantineRegistry(client),
                    retry_slots.RetrySlotRegistry(client),
                    None,
                    None,
                ),
            )
        self.view = self.server.view
        self.link = self.server._neighbour_link
        self.link.start = lambda: None
        self.link.send = self._send
        self._subscriptions = []
        subscribe = self.server._timers.subscribe
        self.server._timers.subscribe = lambda *arguments: (
            self._subscriptions.append(subscribe(*arguments))
        )
        self.server.start_following()

    def stop(self):
        """End all tasks, at their next calls."""
        self.is_stopped = True
        for subscription in self._subscriptions:
            subscription.cancel()

    def _check_running(self):
        if self.is_stopped:
            raise greenlet.GreenletExit

    def request(self, method, url, body=b'', **_):
        """Call the stand-in as a connection pool does."""
        self._check_running()
        path, _, query = url.removeprefix('http://store').partition('?')
        self._fleet.record_call(method, path, query)
        eventlet.sleep(CALL_SECONDS)
        if self.is_cut:
            raise urllib3.exceptions.ProtocolError('cut off')
        found = []
        data = self._fleet.metadata(
            {
                'REQUEST_METHOD': method,
                'PATH_INFO': path,
                'QUERY_STRING': query,
                'wsgi.input': io.BytesIO(body),
            },
            lambda status, headers: found.extend((status, headers)),
        )
        self._check_running()
        return urllib3.HTTPResponse(
            body=b''.join(data),
            headers=dict(found[1]),
            status=int(found[0].split()[0]),
        )

    def _send(self, address, data):
        self._check_running()
        if not self.is_mute and self._fleet.rng.random() >= self._fleet.loss:
            eventlet.spawn_after(
                MESSAGE_SECONDS, self._fleet.deliver, address, data
            )

    def deliver(self, data):
        if not self.is_stopped and not self.is_deaf:
            self.link._take_over(
                msgspec.msgpack.decode(data, type=neighbours.Message)
            )

    def version(self):
        """Return the version of what this gateway knows."""
        server_entry = self.view.server('i-0')
        if self.view.configuration is None or server_entry is None:
            return 0
        return min(
            self.view.configuration.version, server_entry.entry_sequence
        )

    def take_retries(self, seconds=2.0, interval=0.1):
        """Ask for more retries than there are, for some seconds."""
        until = timers.now() + seconds
        while timers.now() < until:
            self.server._budget.withdraw('app', True, 1.0)
            eventlet.sleep(interval)


class Fleet:
    """Gateways in zones, and the calls that they make.

    :ivar calls: method and kind of each, with its time
    :ivar bound_seconds: within which changes must be in force
    :ivar loss: share of the messages between gateways that get lost
    """

    def __init__(
        self, gateways_by_zone, is_contended=True, loss=0.0, bound=3.0
    ):
        self.rng = random.Random(1)
        self.loss = loss
        self.bound_seconds = bound
        self.is_contended = is_contended
        self.metadata = standin.MetadataStore()
        self.calls = []
        self.gateway_by_address = {}
        self.version = 0
        self.configure()
        self.put_server('i-0', self.version)
        for zone, count in gateways_by_zone.items():
            for number in range(count):
                self.start(f'{zone}-{number}', zone)

    @property
    def gateways(self):
        return list(self.gateway_by_address.values())

    def start(self, name, zone, address=None):
        address = address or f'127.0.0.1:{7000 + len(self.gateways)}'
        self.gateway_by_address[address] = Gateway(
            self, server.interfaces.GatewayRecord(name, zone, address)
        )

    def restart(self, gateway):
        gateway.stop()
        record = gateway.record
        self.start(record.name, record.zone, record.address)

    def configure(self):
        """Write the next version."""
        self.version += 1
        self.metadata.put(
            configuration.KIND,
            configuration.NAME,
            configuration_of(self.version, self.is_contended),
        )

    def put_server(self, name, sequence, state='ready'):
        self.metadata.put(
            servers.KIND,
            name,
            {
                'service': 'app',
                'address': '10.0.0.1:80',
                'zone': 'a',
                'state': state,
                'sequence': sequence,
                'born': 1000,
            },
        )

    def record_call(self, method, path, query):
        kind = path.removeprefix(store.OBJECTS_PATH + '/').partition('/')[0]
        how = 'watch' if 'watch=' in query else 'list'
        if method != 'GET':
            how = 'write'
        self.calls.append((timers.now(), method, kind, how))

    def count(self, since=0.0):
        """Count calls by method, kind and how they ask."""
        return collections.Counter(
            (method, kind, how)
            for at, method, kind, how in self.calls
            if at >= since
        )

    def deliver(self, address, data):
        self.gateway_by_address[address].deliver(data)

    def change(self, seconds, interval=0.1):
        """Write versions, and return the seconds until each was everywhere.

        Each is a configuration and an entry of a server with its number.
        Gateways that are cut off from the store are not waited for.
        """
        until = timers.now() + seconds
        next_at = timers.now()
        written_at = {}
        delays = []
        while written_at or timers.now() < until:
            if next_at <= timers.now() < until:
                self.configure()
                self.put_server('i-0', self.version)
                written_at[self.version] = timers.now()
                next_at += interval
            eventlet.sleep(0.02)
            everywhere = min(
                gateway.version()
                for gateway in self.gateways
                if not gateway.is_stopped and not gateway.is_cut
            )
            for version in [v for v in written_at if v <= everywhere]:
                delays.append(timers.now() - written_at.pop(version))
        return delays

    def close(self):
        for gateway in self.gateways:
            gateway.stop()
