"""A gateway's view of the configuration and its age."""

import unittest.mock

import pytest

from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import interfaces
from burdockmast.gateway import leaving_servers
from burdockmast.gateway import object_follower
from burdockmast.gateway import server_states
from burdockmast.gateway import view
from burdockmast.platform import configuration

Fate = server_states.Fate
READABLE = {'main': configuration.decode('main', {'version': 7})}


@pytest.mark.parametrize('seconds', [0.5, 4.0])
def test_an_unreadable_configuration_is_as_old_as_the_last_readable_one(
    monkeypatch, seconds
):
    """A gateway may learn of it late, when it reaches the store again."""
    now = [100.0]
    monkeypatch.setattr(timers, 'boottime_now', lambda: now[0])
    feed = unittest.mock.Mock()
    followed = object_follower.Follower('configuration', feed, 1.4)
    fleet = view.View(
        followed,
        object_follower.Follower('servers', feed, 3.0),
        leaving_servers.LeavingServers(),
    )

    def list_again(revision, items):
        followed._must_list = True
        feed.list.return_value = interfaces.Listing(revision, items)
        followed.poll()

    list_again(1, READABLE)
    assert fleet.configuration_age == 0.0
    now[0] += seconds
    list_again(2, {})
    assert fleet.configuration.version == 7
    assert fleet.configuration_age == seconds
    now[0] += 1.0
    list_again(3, {})
    assert fleet.configuration_age == seconds + 1.0
    list_again(4, READABLE)
    assert fleet.configuration_age == 0.0


def server(name, started_ms, address='h:1', is_ready=True):
    return backends.BackendServer(
        name, 'app', address, 'a', is_ready, backends.NO_LAYERS, '',
        started_ms, 1,
    )  # fmt: skip


@pytest.mark.parametrize(
    ('listed', 'fate'),
    [
        ([server('i-1', 1)], Fate.RUNS),
        ([server('i-1', 1), server('i-2', 2, 'h:2')], Fate.RUNS),
        ([server('i-1', 1, is_ready=False)], Fate.LEAVES),
        ([server('i-1', 2)], Fate.ENDED),
        ([server('i-1', 1), server('i-2', 2)], Fate.ENDED),
        ([server('i-2', 2)], Fate.ENDED),
        ([], Fate.ENDED),
    ],
)
def test_the_list_tells_what_has_become_of_a_server(listed, fate):
    feed = unittest.mock.Mock()
    feed.list.return_value = interfaces.Listing(1, {s.id: s for s in listed})
    servers = object_follower.Follower('servers', feed, 3.0)
    leaving = leaving_servers.LeavingServers()
    fleet = view.View(
        object_follower.Follower('configuration', feed, 1.4), servers, leaving
    )
    servers.poll()
    assert fleet.fate_of(server('i-1', 1)) is fate
    leaving.record('i-1', 1, 'r1')
    if fate is Fate.RUNS or not listed:
        assert fleet.fate_of(server('i-1', 1)) is Fate.LEAVES
