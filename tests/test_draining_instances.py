"""The platform's instance list: who is leaving gets no new work."""

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


def working_head(fleet):
    """Return a server of the first layers that runs answers now."""
    heads = [s for s in ('e1', 'e2') if sequences(fleet, s)]
    return heads[0] if heads else None


def serve_some(fleet, count=6):
    """Give short answers; all must be right."""
    for number in range(count):
        tokens = program.answer_tokens(fleet.complete([number, 7], 3))
        assert tokens == program.expected_tokens([number, 7], 3)


def gets_no_work(fleet, server):
    before = steps(fleet, server)
    serve_some(fleet)
    return steps(fleet, server) == before


def test_listed_server_ends_its_answers_and_gets_no_new_ones(listed_fleet):
    """Proves: a leaving server gets no new work after a few seconds.

    No operator retires it; the platform alone says so, and late.
    """
    fleet = listed_fleet
    with futures.ThreadPoolExecutor(4) as pool:
        asked = [
            pool.submit(fleet.complete, [number], 60, stream=True)
            for number in range(4)
        ]
        server = program.wait_until(lambda: working_head(fleet), 'at work')
        fleet.list_instance(f'side-{server}', LEAVING)
        for number, future in enumerate(asked):
            tokens = program.streamed_tokens(future.result(60).data)
            assert tokens == program.expected_tokens([number], 60)
    program.wait_until(lambda: gets_no_work(fleet, server), 'no new work')
    assert gets_no_work(fleet, server)


def test_server_that_stays_after_all_gets_work_again(listed_fleet):
    fleet = listed_fleet
    fleet.list_instance('side-e1', LEAVING)
    program.wait_until(lambda: gets_no_work(fleet, 'e1'), 'no new work')
    fleet.list_instance('side-e1', instancelist.LIVE)
    program.wait_until(lambda: not gets_no_work(fleet, 'e1'), 'work again')


def test_listed_entry_is_not_ready_and_serves_on(listed_fleet):
    """Proves: what still comes to a leaving entry is answered."""
    fleet = listed_fleet
    fleet.list_instance('entry-1', LEAVING)
    program.wait_until(
        lambda: not fleet.ready('entry-1')['ready'], 'the balancer told'
    )
    assert fleet.ready('entry-0')['ready']
    reply = fleet.complete([4], 3, 'entry-1')
    assert program.answer_tokens(reply) == program.expected_tokens([4], 3)


@pytest.mark.parametrize('fault', [{'outage': True}, {'silent': True}])
def test_instance_list_that_is_out_changes_nothing(listed_fleet, fault):
    fleet = listed_fleet
    fleet.set_faults('instances', **fault)
    serve_some(fleet)
    fleet.set_faults('instances')
    fleet.list_instance('side-e2', LEAVING)
    program.wait_until(lambda: gets_no_work(fleet, 'e2'), 'no new work')
