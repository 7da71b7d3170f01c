"""Servers that were slow once are tried again, and only now and then."""

import collections

import pytest

from burdockmast.base import timers
from burdockmast.fleet import changes
from burdockmast.routing import loads
from burdockmast.routing import paths
from burdockmast.routing import policies
from burdockmast.wire import messages

MODEL = changes.Model('draft', 24)
SERVERS = [
    changes.Server(name, f'127.0.0.1:{number}', 'za')
    for number, name in enumerate(('steady', 'slow_once'), 1)
]
LAYER_NS_BY_SERVER = {'steady': 1_000_000, 'slow_once': 1_200_000}
PERIOD = 1.0
ANSWERS_A_SECOND = 10


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now = 1000.0


@pytest.fixture
def clock(monkeypatch):
    found = Clock()
    monkeypatch.setattr(timers, 'now', lambda: found.now)
    return found


def report(table, server, layer_ns):
    held = (messages.LayerRange(MODEL.id, 0, MODEL.layers),)
    load = messages.Load(server, 0, 64, layer_ns, False, held, ())
    table.apply_report(load, PERIOD)


def play(clock, seconds, seed=1):
    """Return how many answers each server got at light load."""
    table = loads.LoadTable()
    router = paths.Router(table, policies.LowestCost(), seed)
    chosen = collections.Counter()
    for number in range(seconds * ANSWERS_A_SECOND):
        if number % ANSWERS_A_SECOND == 0:
            for server, layer_ns in LAYER_NS_BY_SERVER.items():
                # A server's time changes a little whenever it is measured.
                measured = layer_ns + chosen[server]
                report(table, server, measured)
        (hop,) = router.choose(MODEL, SERVERS)
        chosen[hop.server] += 1
        clock.now += 1 / ANSWERS_A_SECOND
    return chosen


def test_server_measured_slow_once_is_measured_again(clock):
    """Load: few answers, all of which the fastest server could take."""
    for seed in range(20):
        assert play(clock, 60, seed)['slow_once'] > 0, f'seed {seed}'


def test_few_answers_are_spent_on_measuring(clock):
    """A caller in twenty may be slow: measuring stays well below that."""
    total = collections.Counter()
    for seed in range(20):
        total += play(clock, 60, seed)
    assert total['slow_once'] < 0.02 * total.total()


def test_server_that_is_at_work_needs_no_trial(clock):
    table = loads.LoadTable()
    router = paths.Router(table, policies.LowestCost(), 1)
    for number in range(2000):
        for server, layer_ns in LAYER_NS_BY_SERVER.items():
            report(table, server, layer_ns + number)
        (hop,) = router.choose(MODEL, SERVERS)
        assert hop.server == 'steady'
        clock.now += 1.0
