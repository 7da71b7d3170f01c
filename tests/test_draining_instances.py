"""The platform's instance list: a listed instance gets no new work."""

from concurrent import futures

import program
import pytest

from burdockmast.standins import instancelist
from burdockmast.standins import layouts

LAG_SECONDS = 1.0
LEAVING = 'leaving'
GROUPS = (
    layouts.Group(0, 12, 2, program.UNHURRIED),
    layouts.Group(12, 24, 2, program.UNHURRIED),
)


@pytest.fixture
def listed_fleet(own_fleet):
    return own_fleet(groups=GROUPS, instance_lag=LAG_SECONDS)


def steps(fleet, server):
    return fleet.get_json(f'engine-{server}', '/v1/status')['steps']


def sequences(fleet, server):
    return fleet.get_json(f'engine-{server}', '/v1/status')['sequences']


def busy_head(fleet):
    """Return a server of the first layers that is running answers."""
    heads = [s for s in ('e1', 'e2') if sequences(fleet, s)]
    return heads[0] if heads else None


def request_some(fleet, count=6):
    """Request short answers, all of which must be right."""
    for number in range(count):
        tokens = program.answer_tokens(fleet.complete([number, 7], 3))
        assert tokens == program.expected_tokens([number, 7], 3)


def gets_no_work(fleet, server):
    before = steps(fleet, server)
    request_some(fleet)
    return steps(fleet, server) == before


def test_listed_server_finishes_its_answers_and_gets_no_new_ones(listed_fleet):
    """Proves: a draining server gets no new work after a few seconds.

    No operator retires it; only the platform's list shows it, with a lag.
    """
    fleet = listed_fleet
    with futures.ThreadPoolExecutor(4) as pool:
        asked = [
            pool.submit(fleet.complete, [number], 60, stream=True)
            for number in range(4)
        ]
        server = program.wait_until(
            lambda: busy_head(fleet), 'a server runs answers'
        )
        fleet.list_instance(f'side-{server}', LEAVING)
        for number, future in enumerate(asked):
            tokens = program.streamed_tokens(future.result(60).data)
            assert tokens == program.expected_tokens([number], 60)
    program.wait_until(lambda: gets_no_work(fleet, server), 'no new work')
    assert gets_no_work(fleet, server)


def test_server_that_is_no_longer_listed_gets_work_again(listed_fleet):
    fleet = listed_fleet
    fleet.list_instance('side-e1', LEAVING)
    program.wait_until(lambda: gets_no_work(fleet, 'e1'), 'no new work')
    fleet.list_instance('side-e1', instancelist.LIVE)
    program.wait_until(lambda: not gets_no_work(fleet, 'e1'), 'work again')


def test_listed_entry_reports_not_ready_and_keeps_serving(listed_fleet):
    """Proves: requests that still reach a draining entry are answered."""
    fleet = listed_fleet
    fleet.list_instance('entry-1', LEAVING)
    program.wait_until(
        lambda: not fleet.ready('entry-1')['ready'], 'entry-1 is not ready'
    )
    assert fleet.ready('entry-0')['ready']
    reply = fleet.complete([4], 3, 'entry-1')
    assert program.answer_tokens(reply) == program.expected_tokens([4], 3)


@pytest.mark.parametrize('fault', [{'outage': True}, {'silent': True}])
def test_unavailable_instance_list_changes_nothing(listed_fleet, fault):
    fleet = listed_fleet
    fleet.set_faults('instances', **fault)
    request_some(fleet)
    fleet.set_faults('instances')
    fleet.list_instance('side-e2', LEAVING)
    program.wait_until(lambda: gets_no_work(fleet, 'e2'), 'no new work')
