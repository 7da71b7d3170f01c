"""Requests that no path can serve are refused at once, as not run."""

import types

import program
import pytest

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.entry import attempt_starter
from burdockmast.entry import attempts
from burdockmast.entry import fleet as fleets
from burdockmast.fleet import changes
from burdockmast.routing import demands
from burdockmast.routing import loads
from burdockmast.routing import policies
from burdockmast.standins import layouts
from burdockmast.wire import messages

MODEL = changes.Model('draft', 24)
NO_PATH = failures.Failure(failures.Reason.NO_PATH, 'routing.choose')
GROUPS = (
    layouts.Group(0, 12, 2, program.UNHURRIED),
    layouts.Group(12, 24, 2, program.UNHURRIED),
)
LOW = changes.Placement('low', MODEL.id, 0, 12)
HIGH = changes.Placement('high', MODEL.id, 12, 24)


class View:
    """A fleet view that has no path."""

    def __init__(self, path_may_appear):
        self.path_may_appear = path_may_appear
        self.poll_count = 0

    def choose_path(self, model, excluded, demand):
        self.poll_count += 1
        return NO_PATH

    def may_have_path(self, model, since):
        return self.path_may_appear

    def redial_refused(self, since):
        pass


def choose(view, delivered=()):
    """Return the path or failure for a request with 60 s left."""
    request = attempts.Request(
        ids.RequestId('r'),
        None,
        0,
        timers.now() + 60.0,
        MODEL,
        (1,),
        8,
        ids.Fingerprint('f'),
    )
    process = types.SimpleNamespace(
        crash_reports=None, events=None, metrics=None, follower=None
    )
    starter = attempt_starter.AttemptStarter(process, view, None)
    progress = attempts.Progress(list(delivered))
    return starter._choose_path(request, progress, demands.Demand())


@pytest.fixture
def sleeps(monkeypatch):
    """The sleeps of a waiting request; they only advance a fake clock."""
    durations = []
    now = [1000.0]

    def sleep(seconds):
        durations.append(seconds)
        now[0] += seconds

    monkeypatch.setattr(attempt_starter.eventlet, 'sleep', sleep)
    monkeypatch.setattr(timers, 'now', lambda: now[0])
    return durations


def test_request_does_not_wait_if_no_server_will_hold_its_layers(sleeps):
    assert choose(View(path_may_appear=False)) is NO_PATH
    assert not sleeps


def test_request_waits_while_servers_load_layers(sleeps):
    assert choose(View(path_may_appear=True)) is NO_PATH
    waited = sum(sleeps)
    assert waited == pytest.approx(
        attempt_starter.PATH_TIMEOUT_SECONDS, abs=0.2
    )


def test_answer_with_delivered_tokens_waits_for_an_engine_to_restart(sleeps):
    choose(View(path_may_appear=False), delivered=[1, 2])
    waited = sum(sleeps)
    assert waited == pytest.approx(
        attempt_starter.RESUME_PATH_TIMEOUT_SECONDS, abs=0.2
    )


def load(server, held=(), is_leaving=False, is_engine_lost=False):
    ranges = tuple(messages.LayerRange(MODEL.id, a, b) for a, b in held)
    return messages.Load(
        server,
        0,
        64,
        1000,
        is_leaving,
        ranges,
        is_engine_lost=is_engine_lost,
    )


ALL_HELD = [load('low', [(0, 12)]), load('high', [(12, 24)])]
CASES = {
    'all layers held': (ALL_HELD, True),
    'one server loads': ([load('low'), ALL_HELD[1]], True),
    'one server has not reported yet': ([ALL_HELD[1]], True),
    'engine lost': ([load('low', is_engine_lost=True), ALL_HELD[1]], False),
    'leaving': ([load('low', [(0, 12)], is_leaving=True), ALL_HELD[1]], False),
}


@pytest.mark.parametrize('case', CASES)
def test_path_may_appear_only_on_servers_that_will_hold_its_layers(case):
    reports, expected = CASES[case]
    table = loads.LoadTable()
    for report in reports:
        table.apply_report(report, 1.0)
    found = fleets.expected_ranges(MODEL, {'low': LOW, 'high': HIGH}, table)
    assert (fleets.covers(MODEL, found)) is expected


@pytest.fixture
def view():
    """A view of two servers that have not been dialled yet."""
    servers = {
        name: changes.Server(name, f'127.0.0.1:{number}', 'za')
        for number, name in enumerate(('low', 'high'), 1)
    }
    placed = {'low': LOW, 'high': HIGH}
    current = types.SimpleNamespace(server_by_id=servers, placement=placed.get)
    process = types.SimpleNamespace(
        peers=types.SimpleNamespace(
            hello=types.SimpleNamespace(process='entry'),
            link_by_address={},
            get=lambda address: NO_PATH,
        ),
        follower=types.SimpleNamespace(subscribers=[], configuration=current),
    )
    found = fleets.FleetView(process, policies.LowestCost(), 24)
    found._subset.apply_change(current, None)
    return found


def dial_all(view):
    for server in view.servers:
        view._dial(server.address)


def test_server_counts_as_unreachable_only_after_a_failed_dial(view):
    """A server that lost its connection may still be running."""
    assert len(view.servers) == 2
    came = timers.now()
    assert view.may_have_path(MODEL, came)
    dial_all(view)
    assert not view.may_have_path(MODEL, came)


def test_server_whose_connection_was_just_lost_may_be_reachable(view):
    came = timers.now()
    dial_all(view)
    for server in view.servers:
        hello = types.SimpleNamespace(server=server.id)
        link = types.SimpleNamespace(address=server.address, hello=hello)
        view.on_link_closed(link)
    assert view.may_have_path(MODEL, came)
    dial_all(view)
    assert not view.may_have_path(MODEL, came)


def test_server_that_refused_before_the_request_came_is_dialled_again(view):
    """A starting process refuses connections until it listens."""
    dial_all(view)
    came = timers.now()
    assert view.may_have_path(MODEL, came)
    dial_all(view)
    assert not view.may_have_path(MODEL, came)


def test_server_that_stayed_silent_is_not_waited_for(view, monkeypatch):
    """A dial of an instance that is gone runs into the dial timeout."""
    times = iter(range(100))
    monkeypatch.setattr(timers, 'now', lambda: float(next(times)))
    dial_all(view)
    assert not view.may_have_path(MODEL, timers.now())


def test_request_is_refused_as_not_run_while_a_range_has_no_engine(
    own_fleet,
):
    """Proves: a request that can't be served is refused once that is known."""
    fleet = own_fleet(groups=GROUPS, services=0)
    for server in ('e1', 'e2'):
        fleet.kill(f'engine-{server}')
    for server in ('e1', 'e2'):
        program.wait_until(
            lambda s=server: 'engine.lost' in fleet.log(f'side-{s}'),
            f'{server} lost',
        )

    def refused():
        reply = fleet.complete([3], 4, **{'Burdockmast-Deadline': '5'})
        error = program.error_of(reply)
        return error if error['outcome'] == 'not_run' else None

    error = program.wait_until(refused, 'refused as not run')
    assert error['type'] == 'no_path'
    assert error['retry_after'] > 0
