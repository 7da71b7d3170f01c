"""Gateways know the load of all others, with few messages."""

import collections
import dataclasses
import os
import random

import eventlet
import msgspec
import pytest

from burdockmast.gateway import crash_suspects
from burdockmast.gateway import interfaces
from burdockmast.gateway import leaving_servers
from burdockmast.gateway import loads
from burdockmast.gateway import memory
from burdockmast.gateway import neighbour_link
from burdockmast.gateway import neighbours
from burdockmast.gateway import relays
from burdockmast.gateway import reports
from burdockmast.gateway import server_limits
from burdockmast.gateway.intake import datagrams

TICK_SECONDS = 0.05


class Fleet:
    """Gateways that exchange messages in virtual time."""

    def __init__(self, clock, zones, loss=0.0):
        self.clock = clock
        self.rng = random.Random(1)
        self.loss = loss
        self.sent = collections.Counter()
        self.sent_bytes_between_zones = 0
        self.load_by_name = {}
        self.by_name = {}
        self.records = [
            interfaces.GatewayRecord(f'{zone}-{n}', zone, f'{zone}-{n}:1')
            for zone, count in zones.items()
            for n in range(count)
        ]
        for record in self.records:
            self.start(record)

    def start(self, record):
        created = neighbours.Neighbours(
            record, self.rng, lambda: self.clock.now
        )
        created.set_registered(self.records)
        self.by_name[record.name] = created
        self.load_by_name.setdefault(record.name, {})

    def stop(self, name):
        del self.by_name[name]

    def run(self, seconds):
        for _ in range(round(seconds / TICK_SECONDS)):
            self.clock.now += TICK_SECONDS
            for name in list(self.by_name):
                self._send(name)

    def _send(self, name):
        due = self.by_name[name].due_messages(self.load_by_name[name])
        for address, message in due:
            receiver = address.partition(':')[0]
            self.sent[name] += 1
            if receiver[0] != name[0]:
                data = msgspec.msgpack.encode(message)
                self.sent_bytes_between_zones += len(data)
            if receiver in self.by_name and self.rng.random() >= self.loss:
                self.by_name[receiver].receive(message)

    def assert_all_know_all(self):
        expected = loads.add(
            *(self.load_by_name[name] for name in self.by_name)
        )
        for name, gateway in self.by_name.items():
            known = loads.add(
                self.load_by_name[name], gateway.load_by_server()
            )
            assert known == expected, name


@pytest.mark.parametrize(
    'zones',
    [
        {'a': 2, 'b': 1, 'c': 1},
        {'a': 9, 'b': 9, 'c': 8},
        {'a': 13, 'b': 15, 'c': 15, 'd': 11, 'e': 14},
    ],
)
def test_all_gateways_know_the_load_of_all(clock, zones):
    fleet = Fleet(clock, zones)
    for number, name in enumerate(fleet.by_name):
        fleet.load_by_name[name] = {
            f'i-{number % 40}': (1 + number, 100.0 * number),
            'i-shared': (1, 7.0),
        }
    fleet.run(3.0)
    fleet.assert_all_know_all()


def test_lost_messages_are_made_up_for_by_later_ones(clock):
    fleet = Fleet(clock, {'a': 5, 'b': 5}, loss=0.3)
    for name in fleet.by_name:
        fleet.load_by_name[name] = {'i-1': (3, 30.0)}
    fleet.run(2.0)
    fleet.loss = 0.0
    fleet.run(1.0)
    fleet.assert_all_know_all()


def test_ended_requests_are_no_longer_counted(clock):
    fleet = Fleet(clock, {'a': 3, 'b': 2})
    fleet.load_by_name['a-0'] = {'i-1': (3, 30.0)}
    fleet.run(2.0)
    fleet.load_by_name['a-0'] = {}
    fleet.run(2.0)
    assert fleet.by_name['a-2'].load_by_server() == {}
    assert fleet.by_name['b-1'].load_by_server() == {}


@pytest.mark.parametrize('lost', ['a-0', 'a-1', 'b-0'])
def test_a_gateway_that_is_gone_is_forgotten(clock, lost):
    """The first of a zone also speaks for its zone to others."""
    fleet = Fleet(clock, {'a': 3, 'b': 3})
    for name in fleet.by_name:
        fleet.load_by_name[name] = {'i-1': (1, 1.0), f'i-{name}': (1, 1.0)}
    fleet.run(2.0)
    fleet.stop(lost)
    fleet.run(loads.VALID_SECONDS + 2 * neighbours.SILENT_SECONDS)
    fleet.assert_all_know_all()


def test_a_new_gateway_is_told_before_the_registry_is_read_again(clock):
    fleet = Fleet(clock, {'a': 3, 'b': 3})
    fleet.run(2.0)
    fleet.load_by_name['a-1'] = {'i-1': (2, 2.0)}
    fleet.records.append(interfaces.GatewayRecord('a-9', 'a', 'a-9:1'))
    fleet.start(fleet.records[-1])
    fleet.run(1.0)
    fleet.assert_all_know_all()


def test_a_restarted_gateway_at_another_address_is_told_there(clock):
    fleet = Fleet(clock, {'a': 2})
    fleet.run(1.0)
    moved = interfaces.GatewayRecord('a-1', 'a', 'moved:1')
    fleet.by_name['a-0'].receive(
        neighbours.Message(moved.name, moved.zone, moved.address, [])
    )
    clock.now += 1.0
    due = fleet.by_name['a-0'].due_messages({})
    assert [address for address, _ in due] == ['moved:1']


def test_only_one_gateway_of_a_zone_tells_other_zones(clock):
    fleet = Fleet(clock, {'a': 8, 'b': 8})
    fleet.run(3.0)
    before = fleet.sent['a-3'], fleet.sent['a-0']
    fleet.run(3.0)
    # Seven neighbours in each interval, and nothing beyond that.
    intervals = 3.0 / neighbours.MIN_INTERVAL_SECONDS
    assert fleet.sent['a-3'] - before[0] <= 7 * (intervals + 1)
    remote = 3.0 * neighbours.REMOTE_MESSAGES_PER_SECOND
    assert fleet.sent['a-0'] - before[1] <= 7 * (intervals + 1) + remote


@pytest.mark.parametrize('count', [14, 60, 150])
def test_messages_do_not_grow_with_the_zone(clock, count):
    fleet = Fleet(clock, {'a': count})
    fleet.run(1.0)
    fleet.sent.clear()
    fleet.run(2.0)
    most = 2.0 * neighbours.MAX_MESSAGES_PER_SECOND * 2 + count
    assert max(fleet.sent.values()) <= most


def test_zones_exchange_less_than_the_control_budget(clock):
    """3 KB a second is what a daemon may spend on control traffic."""
    zones = {'a': 13, 'b': 15, 'c': 15, 'd': 11, 'e': 14}
    fleet = Fleet(clock, zones)
    for name in fleet.by_name:
        fleet.load_by_name[name] = {
            f'{name[0]}-{n}': (3, 200000.0) for n in range(30)
        }
    fleet.run(2.0)
    fleet.sent_bytes_between_zones = 0
    fleet.run(5.0)
    assert fleet.sent_bytes_between_zones / 5.0 / len(fleet.by_name) <= 3000


def test_silent_registered_gateways_are_told_now_and_then(clock):
    fleet = Fleet(clock, {'a': 1})
    gone = interfaces.GatewayRecord('a-gone', 'a', 'gone:1')
    fleet.by_name['a-0'].set_registered([*fleet.records, gone])
    fleet.run(10.0)
    most = 10.0 / neighbours.SILENT_PEER_INTERVAL_SECONDS + 1
    assert 1 <= fleet.sent['a-0'] <= most


def test_one_gateway_unregisters_those_that_are_gone(clock):
    fleet = Fleet(clock, {'a': 3, 'b': 1})
    gone = interfaces.GatewayRecord('a-gone', 'a', 'gone:1')
    for gateway in fleet.by_name.values():
        gateway.set_registered([*fleet.records, gone])
    fleet.run(10.0)
    found = [g.gone_gateways() for g in fleet.by_name.values()]
    assert found == [[], [], [], []]
    clock.now += neighbours.GONE_SECONDS
    fleet.run(1.0)
    found = [g.gone_gateways() for g in fleet.by_name.values()]
    assert found == [['a-gone'], [], [], []]


def test_a_gateway_that_hears_nobody_unregisters_nobody(clock):
    fleet = Fleet(clock, {'a': 3})
    for name in ('a-1', 'a-2'):
        fleet.stop(name)
    fleet.run(2 * neighbours.GONE_SECONDS)
    assert fleet.by_name['a-0'].gone_gateways() == []


def test_only_expired_sources_are_dropped(clock):
    table = loads.LoadTable(lambda: clock.now)
    table.update('one', {'i-1': (1, 10.0)})
    clock.now += loads.VALID_SECONDS / 2
    table.update('two', {'i-1': (2, 20.0)})
    assert table.total() == {'i-1': (3, 30.0)}
    clock.now += loads.VALID_SECONDS / 2
    assert table.total() == {'i-1': (2, 20.0)}
    assert table.load_of('one') == {}


@pytest.fixture
def limits_by_name():
    """Limits on datagrams of gateways that don't have the defaults."""
    return {}


@pytest.fixture
def linked(limits_by_name):
    """Two gateways with real sockets on the loopback interface."""
    process = os.getpid() % 60000
    host = f'127.91.{process // 250}.{process % 250 + 1}'
    records = [
        interfaces.GatewayRecord(f'a-{n}', 'a', f'{host}:{7400 + n}')
        for n in range(2)
    ]
    created = []
    for record in records:
        known = neighbours.Neighbours(record, random.Random(1))
        known.set_registered(records)
        usage = memory.Usage()
        link = neighbour_link.NeighbourLink(
            record.address,
            known,
            usage,
            reports.ServerReports(None, None, random.Random(1)),
            relays.Relay(record.name, {}),
            crash_suspects.CrashSuspects(),
            server_limits.ServerLimits(record.name, list, random.Random(1)),
            leaving_servers.LeavingServers(),
            datagram_limits=limits_by_name.get(record.name),
        )
        link.start()
        created.append((known, usage, link))
    yield created
    for _, _, link in created:
        link.close()


def test_loads_arrive_as_datagrams(linked):
    (_, usage, link), (known, _, _) = linked
    stage = interfaces.backends.Stage(
        interfaces.backends.BackendServer(
            'i-1', 's', '', 'a', True, interfaces.backends.NO_LAYERS, '', 1, 1
        ),
        0,
        10,
    )
    usage.reserve((stage,), 5)
    with eventlet.Timeout(10):
        while not known.is_informed:
            link.send_due()
            eventlet.sleep(0.02)
    assert known.load_by_server() == {'i-1': (1, 50.0)}


def test_an_unexpected_error_does_not_end_the_reception(linked, monkeypatch):
    (_, _, sender), (known, _, receiver) = linked
    take_over = receiver._take_over
    errors = [RuntimeError('by the test'), KeyError('by the test')]

    def fail_first(message):
        if errors:
            raise errors.pop()
        take_over(message)

    monkeypatch.setattr(receiver, '_take_over', fail_first)
    with eventlet.Timeout(10):
        while not known.is_informed:
            sender.send_due()
            eventlet.sleep(0.02)
    assert receiver.lost_messages == 2


@pytest.mark.parametrize(
    'data',
    [b'', b'\xc1', b'\x94\xa1a\xa1a', msgspec.msgpack.encode([1, 2, 3, 4])],
)
def test_malformed_datagrams_are_ignored(linked, data):
    (_, _, sender), (known, _, receiver) = linked
    sender.send(receiver.address, data)
    with eventlet.Timeout(10):
        while not receiver.lost_messages:
            eventlet.sleep(0.02)
        while not known.is_informed:
            sender.send_due()
            eventlet.sleep(0.02)


KEYED = datagrams.DatagramLimits(b'known-to-gateways-only')
OTHER_KEY = datagrams.DatagramLimits(b'known-to-others-only')


@pytest.mark.parametrize('limits_by_name', [{'a-0': KEYED, 'a-1': KEYED}])
def test_gateways_with_the_same_key_hear_each_other(linked):
    (_, _, sender), (known, _, _) = linked
    with eventlet.Timeout(10):
        while not known.is_informed:
            sender.send_due()
            eventlet.sleep(0.02)


@pytest.mark.parametrize(
    'limits_by_name', [{'a-1': KEYED}, {'a-0': OTHER_KEY, 'a-1': KEYED}]
)
def test_a_gateway_with_a_key_hears_only_those_that_have_it(linked):
    (_, _, sender), (known, _, receiver) = linked
    with eventlet.Timeout(10):
        while sum(receiver.dropped.values()) < 3:
            sender.send_due()
            eventlet.sleep(0.02)
    assert set(receiver.dropped) == {datagrams.Refusal.UNAUTHENTICATED}
    assert not receiver.lost_messages
    assert not known.alive_neighbours()


def test_forged_datagrams_use_up_no_rate_of_a_gateway(clock):
    """Anybody can send with the address of a gateway."""
    limits = dataclasses.replace(KEYED, max_per_second=3)
    found = datagrams.DatagramFilter(limits, lambda: clock.now)
    for _ in range(10):
        opened = found.open(b'x' * 40, '127.0.0.1')
        assert opened is datagrams.Refusal.UNAUTHENTICATED
    sealed = found.seal(b'content')
    opened = [found.open(sealed, '127.0.0.1') for _ in range(4)]
    assert opened == [b'content'] * 3 + [datagrams.Refusal.RATE_EXCEEDED]
    clock.now += datagrams.WINDOW_SECONDS
    assert found.open(sealed, '127.0.0.1') == b'content'


def test_many_sender_addresses_take_bounded_memory(clock):
    """Sender addresses can be forged, each with a count of its own."""
    rates = datagrams.SenderRates(3, lambda: clock.now)
    accepted = sum(rates.add(str(n)) for n in range(2 * 4096))
    assert accepted == datagrams.MAX_ADDRESSES + 3


def test_a_datagram_that_others_would_drop_is_not_sent(clock):
    found = datagrams.DatagramFilter(dataclasses.replace(KEYED, max_bytes=64))
    assert len(found.seal(b'x' * 32)) == 64
    with pytest.raises(ValueError, match='65 bytes'):
        found.seal(b'x' * 33)
    opened = found.open(b'x' * 65, '127.0.0.1')
    assert opened is datagrams.Refusal.TOO_LARGE
