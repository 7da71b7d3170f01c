"""Orders to engines by side processes that were frozen or replaced."""

import program
import pytest

from burdockmast.fleet import changes
from burdockmast.standins import layouts

GROUPS = (layouts.Group(0, 12, 2), layouts.Group(12, 24, 2))
MOVED = layouts.Layout(
    groups=(layouts.Group(0, 14, 2), layouts.Group(14, 24, 2))
)


def held(fleet, server):
    status = fleet.get_json(f'engine-{server}', '/v1/status')
    return status['held']['first'], status['held']['end']


def orders(fleet, server):
    return fleet.get_json(f'engine-{server}', '/v1/status')['orders']


@pytest.mark.parametrize('fenced', ['--fenced', '--unfenced'])
def test_side_process_frozen_over_a_switch_sends_no_old_order(
    own_fleet, fenced
):
    """Proves: a thawed process doesn't act on an outdated configuration."""
    fleet = own_fleet(groups=GROUPS, engine_options=(fenced,))
    fleet.freeze('side-e1')
    fleet.operate(
        changes.PutPreset(MOVED.preset('moved')),
        changes.SwitchPreset('moved', 'ordinary'),
    )
    program.wait_until(lambda: held(fleet, 'e2') == (0, 14), 'e2 moved')
    fleet.thaw('side-e1')
    program.wait_until(lambda: held(fleet, 'e1') == (0, 14), 'e1 moved')
    fences = [order['fence'] for order in orders(fleet, 'e1')]
    assert fences == sorted(fences)
    tokens = program.answer_tokens(fleet.complete([5], 8))
    assert tokens == program.expected_tokens([5], 8)


def test_replaced_side_process_adopts_what_the_engine_holds(own_fleet):
    fleet = own_fleet(groups=GROUPS, engine_options=('--unfenced',))
    before = len(orders(fleet, 'e1'))
    fleet.set_faults('store', outage=True)
    fleet.kill('side-e1')
    fleet.start('side-e1')
    fleet.kill('side-e2')

    def serves():
        answer = fleet.complete([3], 3, **{'Burdockmast-Deadline': '2'})
        return answer.status == 200

    program.wait_until(serves, 'served by the replaced side process alone')
    assert len(orders(fleet, 'e1')) == before


def test_engine_that_lost_its_layers_gets_them_again(own_fleet):
    fleet = own_fleet(groups=GROUPS)
    fleet.kill('engine-e1')
    fleet.kill('engine-e2')
    refused = fleet.complete([2], 2, **{'Burdockmast-Deadline': '1'})
    assert program.error_of(refused)['outcome'] in ('not_run', 'may_have_run')
    fleet.start('engine-e1')
    program.wait_until(
        lambda: fleet.complete([2], 2).status == 200, 'served again'
    )
