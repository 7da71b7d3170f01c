"""Servers that leave get no requests, whoever says that they leave."""

import dataclasses
import random
import types

import pytest

from burdockmast.base import failures
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import config
from burdockmast.gateway import interfaces
from burdockmast.gateway import layer_placement
from burdockmast.gateway import leaving_servers
from burdockmast.gateway import memory
from burdockmast.gateway import neighbours
from burdockmast.gateway import object_follower
from burdockmast.gateway import path_selector
from burdockmast.gateway import relays
from burdockmast.gateway import server
from burdockmast.gateway import server_limits
from burdockmast.gateway import view

ENGINE = config.Engine(
    layers=80,
    layer_mb=1000.0,
    cache_bytes_per_token=900000,
    step_ms=1.0,
    sequence_ms=0.0,
    context_ms=0.0,
    prefill_tokens_per_second=250000,
    mean_prompt_tokens=700,
    mean_answer_tokens=150,
    activation_bytes_per_token=16000,
    zone_link_mbps=7900,
    accelerator_by_name={
        'big': config.AcceleratorKind('big', 90000, 1.0, 1.0)
    },
)
SERVICE = config.Service('draft', ENGINE)
LEAVING = interfaces.ReplyMetadata(
    'r', True, False, '', False, None, None, True
)


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    created = Clock()
    monkeypatch.setattr(timers, 'now', created)
    monkeypatch.setattr(timers, 'boottime_now', created)
    return created


def backend(name, first, end, ready=True, sequence=1):
    return backends.BackendServer(
        name,
        SERVICE.id,
        f'{name}:1',
        'a',
        ready,
        backends.LayerRange(first, end),
        'big',
        1000,
        sequence,
    )


def following(items):
    """Return a follower of fixed objects."""
    return types.SimpleNamespace(
        item_by_name={item.id: item for item in items}, on_change=[], age=0.0
    )


class Gateway:
    """One gateway's choice of paths over fixed servers."""

    def __init__(self, servers):
        rng = random.Random(1)
        self.leaving = leaving_servers.LeavingServers(lambda: timers.now())
        self.view = view.View(following([]), following(servers), self.leaving)
        self.selector = path_selector.PathSelector(
            self.view,
            types.SimpleNamespace(
                slowdown=lambda s: 1.0, occupancy=lambda s: 0.0
            ),
            memory.Usage(),
            neighbours.Neighbours(
                interfaces.GatewayRecord('gateway', 'a', ''), rng
            ),
            'a',
            rng,
            server_limits.ServerLimits('gateway', list, rng),
        )

    def hear_leaving(self, server):
        self.leaving.record(server.id, server.started_ms, 'r')

    def job(self):
        return types.SimpleNamespace(
            id='r',
            service=SERVICE,
            organisation='fes',
            priority=1,
            arrived_at=timers.now(),
            deadline=timers.now() + 20.0,
            route=types.SimpleNamespace(
                gap_objective_seconds=0.25, objective_seconds=0.6
            ),
            request=types.SimpleNamespace(
                prompt_tokens=700, max_answer_tokens=150, length_hint=0
            ),
        )


HEAD = backend('i-head', 0, 20)
MIDDLE = backend('i-middle', 20, 60)
TAIL = backend('i-tail', 60, 80)


@pytest.mark.parametrize('has_begun', [False, True])
@pytest.mark.parametrize('is_isolated', [False, True])
def test_no_path_leads_through_a_server_that_said_it_leaves(
    has_begun, is_isolated
):
    """Not at its middle either, when no other server holds some layers."""
    gateway = Gateway([HEAD, MIDDLE, TAIL])
    gateway.hear_leaving(MIDDLE)
    path = gateway.selector.find_path(
        gateway.job(), (), has_begun, is_isolated
    )
    assert 'i-middle' not in [stage.server.id for stage in path]


def test_a_request_that_only_leaving_servers_could_serve_is_rejected_at_once(
    clock,
):
    gateway = Gateway([HEAD, MIDDLE, TAIL])
    gateway.hear_leaving(MIDDLE)
    found = gateway.selector.wait_for_path(gateway.job(), (), False)
    assert not found or isinstance(found, failures.Failure)
    assert clock.now == 100.0


def test_layers_of_a_server_that_said_it_leaves_are_placed_elsewhere():
    """Before its entry in the store says so."""
    gateway = Gateway([HEAD, MIDDLE, TAIL])
    gateway.hear_leaving(MIDDLE)
    placements = layer_placement.plan(
        ENGINE, gateway.view.listed(SERVICE.id), {}
    )
    held = set()
    for placement in placements:
        held |= set(range(placement.layers.first, placement.layers.end))
    assert set(range(20, 60)) <= held
    assert MIDDLE not in [placement.server for placement in placements]


def test_all_gateways_learn_that_a_server_leaves(clock):
    told, other = Gateway([HEAD]), Gateway([HEAD])
    told.hear_leaving(HEAD)
    other.leaving.receive(told.leaving.news(), 'told')
    for gateway in (told, other):
        assert gateway.view.usable(SERVICE.id) == []
        assert not gateway.view.server(HEAD.id).is_ready
        assert not gateway.leaving.includes(
            dataclasses.replace(HEAD, started_ms=2000)
        )
    clock.now += leaving_servers.NEWS_SECONDS + 0.1
    assert other.leaving.news() == []
    assert other.view.usable(SERVICE.id) == []


class Store:
    """Objects with revisions, which some gateways can't reach."""

    def __init__(self, clock):
        self._clock = clock
        self.revision = 10
        self.server = HEAD
        self.changed_at = 0
        self.unreachable_from = set()

    def feed_of(self, gateway):
        return types.SimpleNamespace(
            list=lambda: interfaces.Listing(
                self.revision, {self.server.id: self.server}
            ),
            watch=lambda revision, seconds: self._watch(
                gateway, revision, seconds
            ),
        )

    def drain(self):
        self.revision += 1
        self.changed_at = self.revision
        self.server = dataclasses.replace(
            self.server, is_ready=False, entry_sequence=2
        )

    def _watch(self, gateway, revision, seconds):
        if gateway in self.unreachable_from:
            return failures.Failure(
                failures.Reason.STORE_UNAVAILABLE, 'store.watch'
            )
        changes = ()
        if revision < self.changed_at:
            changes = (interfaces.Change(self.server.id, self.server),)
        else:
            self._clock.now += seconds
        return interfaces.Changes(self.revision, changes)


# Time that a gateway needs to choose no more paths through a server after it
# has asked the store.
REACTION_SECONDS = 0.3


@pytest.mark.parametrize('drain_seconds', [2.0, 3.0, 4.0])
def test_a_gateway_learns_in_time_of_leaving_though_its_watchers_are_cut_off(
    clock, monkeypatch, drain_seconds
):
    """Those that watch for it have just confirmed their copies."""
    monkeypatch.setattr(
        object_follower.eventlet,
        'sleep',
        lambda seconds: setattr(clock, 'now', clock.now + seconds),
    )
    store = Store(clock)
    followers = {
        name: object_follower.Follower(
            'servers',
            store.feed_of(name),
            server.SERVERS_WAIT_SECONDS,
            is_watcher=lambda name=name: name != 'a-2',
            relayed_type=backends.BackendServer,
            bound_seconds=drain_seconds,
            is_relied_on=lambda: True,
        )
        for name in ('a-0', 'a-1', 'a-2')
    }
    relay_by_name = {
        name: relays.Relay(name, {'servers': follower})
        for name, follower in followers.items()
    }
    for follower in followers.values():
        follower.poll()
    followers['a-0'].poll()
    confirmed_at = clock.now
    relay_by_name['a-0'].record_stamp('a-2', confirmed_at)
    relay_by_name['a-2'].receive(relay_by_name['a-0'].news(['a-2']))
    store.unreachable_from = {'a-0', 'a-1'}
    store.drain()
    learned_at = []
    followers['a-2'].on_change.append(lambda: learned_at.append(clock.now))
    while not learned_at:
        followers['a-2'].poll()
    assert learned_at[0] - confirmed_at + REACTION_SECONDS <= drain_seconds
