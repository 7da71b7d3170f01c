"""Streams leave paths with lost servers early, and wait for busy ones."""

import dataclasses
import random
import types

import eventlet
import eventlet.event
import pytest

from burdockmast.base import failures
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import config
from burdockmast.gateway import interfaces
from burdockmast.gateway import leaving_servers
from burdockmast.gateway import object_follower
from burdockmast.gateway import reports
from burdockmast.gateway import server_states
from burdockmast.gateway import silence
from burdockmast.gateway import view

LAYERS = 10
SERVICE = config.Service('s', types.SimpleNamespace(layers=LAYERS))
BUSY = silence.Silence(
    seconds=0.3,
    limit_seconds=0.6,
    may_retry=True,
    is_repeat=False,
    has_lost_server=False,
    has_unresponsive_server=False,
    is_path_active=False,
)


@pytest.mark.parametrize(
    ('changes', 'tries'),
    [
        ({}, False),
        ({'seconds': 0.7}, True),
        ({'seconds': 0.7, 'is_path_active': True}, False),
        ({'seconds': 2.0, 'is_path_active': True}, True),
        ({'has_lost_server': True}, True),
        ({'has_lost_server': True, 'is_path_active': True}, True),
        ({'has_lost_server': True, 'may_retry': False}, False),
        ({'has_unresponsive_server': True}, False),
        ({'has_unresponsive_server': True, 'seconds': 0.5}, True),
        ({'seconds': 1.1, 'is_repeat': True}, False),
        ({'has_lost_server': True, 'is_repeat': True}, True),
        ({'seconds': 1.3, 'is_repeat': True}, True),
        ({'seconds': 1.3, 'is_repeat': True, 'is_path_active': True}, False),
        ({'seconds': 1.5, 'may_retry': False}, False),
        ({'seconds': 10.0, 'may_retry': False}, False),
    ],
)
def test_another_path_is_tried_as_soon_as_that_helps(changes, tries):
    found = dataclasses.replace(BUSY, **changes)
    assert silence.should_try_another(found) is tries


class Engines:
    """Engines that report, unless they are lost to this gateway."""

    def __init__(self):
        self.lost = set()
        self.asked = []

    def fetch_report(self, server, should_keep_waiting):
        self.asked.append(server.id)
        if server.id in self.lost:
            return failures.Failure(
                failures.Reason.ENGINE_LOST, 'engine.report', server.id
            )
        return interfaces.ServerReport(0, False, 1.0, 0.4, ())


class Gateway:
    """What a gateway knows of two servers."""

    def __init__(self, engines):
        self.servers = [
            backends.BackendServer(
                f'i-{n}',
                's',
                f'i-{n}:1',
                'a',
                True,
                backends.LayerRange(0, LAYERS),
                '',
                1,
                1,
            )
            for n in range(2)
        ]
        follower = object_follower.Follower('servers', None, 1.0)
        follower.item_by_name = {s.id: s for s in self.servers}
        self.view = view.View(
            object_follower.Follower('configuration', None, 1.0),
            follower,
            leaving_servers.LeavingServers(),
        )
        self.reports = reports.ServerReports(
            self.view, engines, random.Random(1)
        )

    def usable(self):
        return [s.id for s in self.view.preferred(SERVICE)]


@pytest.fixture
def engines():
    return Engines()


@pytest.fixture
def gateway(engines):
    return Gateway(engines)


def test_a_server_that_a_neighbour_lost_is_checked(engines, gateway):
    neighbour = Gateway(engines)
    engines.lost.add('i-0')
    neighbour.reports.fetch(neighbour.servers, 'r1')
    eventlet.sleep(0)
    lost = neighbour.reports.take_unresponsive()
    assert lost == ['i-0']
    gateway.reports.check(lost)
    eventlet.sleep(0)
    assert gateway.usable() == ['i-1']


def test_a_neighbour_that_is_cut_off_costs_no_server(engines, gateway):
    """Only the link of the neighbour is broken."""
    gateway.reports.check(['i-0', 'i-1', 'unknown'])
    eventlet.sleep(0)
    assert sorted(engines.asked) == ['i-0', 'i-1']
    assert gateway.usable() == ['i-0', 'i-1']


def test_news_of_a_lost_server_do_not_circulate(engines, gateway):
    engines.lost.add('i-0')
    for _ in range(5):
        gateway.reports.check(['i-0'])
        eventlet.sleep(0)
    assert engines.asked == ['i-0']
    assert gateway.reports.take_unresponsive() == ['i-0']
    assert gateway.reports.take_unresponsive() == []


def test_an_unresponsive_server_is_avoided_until_it_answers(
    engines, gateway, monkeypatch
):
    now = timers.now()
    monkeypatch.setattr(timers, 'now', lambda: now)
    gateway.reports.fetch(gateway.servers[:1], 'r1')
    gateway.reports.check(['i-1'])
    own, told = gateway.servers
    assert gateway.reports.slowdown(own) == 1.0
    assert gateway.reports.slowdown(told) == reports.UNRESPONSIVE_SLOWDOWN
    now += 2 * reports.ANSWER_SECONDS
    assert gateway.reports.slowdown(own) == reports.UNRESPONSIVE_SLOWDOWN
    assert sorted(gateway.reports.take_unresponsive()) == ['i-0', 'i-1']
    eventlet.sleep(0)
    assert gateway.reports.slowdown(own) == 1.0
    assert gateway.reports.slowdown(told) == 1.0
    assert gateway.reports.take_unresponsive() == []


def test_a_report_that_cannot_be_read_ejects_nobody(gateway, monkeypatch):
    failure = failures.Failure(failures.Reason.PROTOCOL, 'engine.report')
    monkeypatch.setattr(
        gateway.reports._engines, 'fetch_report', lambda *given: failure
    )
    gateway.reports.fetch(gateway.servers, 'r1')
    eventlet.sleep(0)
    assert gateway.usable() == ['i-0', 'i-1']


class CountedServers(dict):
    """Servers by name, which count how often all are looked at."""

    walks = 0

    def values(self):
        self.walks += 1
        return super().values()


def test_a_report_with_many_addresses_walks_the_servers_once(
    engines, gateway, monkeypatch
):
    """Guards against work that is the product of addresses and servers."""
    stalled = tuple(
        interfaces.StalledRequest(f'r{n}', f'10.0.{n // 250}.{n % 250}:1')
        for n in range(1000)
    ) + (interfaces.StalledRequest('r', 'i-1:1'),)
    report = interfaces.ServerReport(0, False, 1.0, 0.4, stalled)
    monkeypatch.setattr(engines, 'fetch_report', lambda *given: report)
    servers = CountedServers(gateway.view._servers.item_by_name)
    gateway.view._servers.item_by_name = servers
    gateway.reports.fetch(gateway.servers[:1], 'r1')
    eventlet.sleep(0)
    assert servers.walks == 1
    assert gateway.usable() == ['i-0']


def test_gateways_share_the_reports_that_one_fetched(engines, gateway):
    neighbour = Gateway(engines)
    neighbour.reports.fetch(neighbour.servers, 'r1')
    eventlet.sleep(0)
    gateway.reports.take_over(neighbour.reports.take_new())
    assert gateway.reports.occupancy(gateway.servers[0]) == 0.4
    before = len(engines.asked)
    gateway.reports.fetch(gateway.servers, 'r2')
    eventlet.sleep(0)
    assert len(engines.asked) == before


def test_failed_servers_are_told_from_those_that_refuse(gateway):
    began = timers.now()
    gateway.view.rest('i-0', 'full', 'r1')
    gateway.view.record_failure(
        'i-1', server_states.Evidence.NO_ANSWER, 'no report', 'r1'
    )
    assert gateway.view.failed_since(['i-0', 'i-1'], began) == ['i-1']
    assert gateway.view.failed_since(['i-1'], timers.now() + 1) == []


def test_a_late_report_ends_the_state_of_a_silent_server(
    engines, gateway, monkeypatch
):
    """It is asked once only, and is avoided until it answers."""
    answered = eventlet.event.Event()

    def fetch_report(server, should_keep_waiting):
        engines.asked.append(server.id)
        while not answered.ready():
            assert should_keep_waiting()
            eventlet.sleep(0.01)
        return interfaces.ServerReport(0, False, 1.0, 0.4, ())

    monkeypatch.setattr(engines, 'fetch_report', fetch_report)
    for _ in range(3):
        gateway.reports.fetch(gateway.servers[:1], 'r1')
        eventlet.sleep(0.01)
    assert gateway.usable() == ['i-1']
    assert gateway.reports.slowdown(gateway.servers[0]) > 1.0
    answered.send(None)
    eventlet.sleep(0.02)
    assert gateway.usable() == ['i-0', 'i-1']
    assert engines.asked == ['i-0']


def test_a_wait_for_a_late_report_ends(gateway, engines, monkeypatch):
    now = timers.now()
    monkeypatch.setattr(timers, 'now', lambda: now)
    waits = []

    def fetch_report(server, should_keep_waiting):
        nonlocal now
        while should_keep_waiting():
            waits.append(now)
            now += 0.1
        return failures.Failure(failures.Reason.DEADLINE, 'backend.head')

    monkeypatch.setattr(engines, 'fetch_report', fetch_report)
    gateway.reports.fetch(gateway.servers[:1], 'r1')
    eventlet.sleep(0)
    assert len(waits) <= reports.MAX_WAIT_SECONDS / 0.1 + 1
    assert gateway.usable() == ['i-1']


def test_a_silent_server_that_alone_holds_layers_is_used(gateway):
    for server in gateway.servers:
        gateway.view.record_failure(
            server.id, server_states.Evidence.NO_ANSWER, 'silent', 'r1'
        )
    assert gateway.usable() == ['i-0', 'i-1']
