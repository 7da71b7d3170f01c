"""A gateway's view of the configuration and its age."""

import unittest.mock

import pytest

from burdockmast.base import timers
from burdockmast.gateway import interfaces
from burdockmast.gateway import leaving_servers
from burdockmast.gateway import object_follower
from burdockmast.gateway import view
from burdockmast.platform import configuration

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
