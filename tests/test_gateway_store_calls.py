"""Gateways call the store seldom, also if all need the same at once."""

import eventlet
import eventlet.hubs
import logbook
import pytest
import store_calls


@pytest.fixture
def start_fleet(monkeypatch):
    """Start gateways in virtual time, in zones a, b and so on."""
    fleets = []

    def start(*counts, **options):
        fleets.append(
            store_calls.Fleet(
                dict(zip('abcdef', counts, strict=False)), **options
            )
        )
        return fleets[-1]

    store_calls.VirtualTime(monkeypatch)
    with logbook.NullHandler().applicationbound():
        yield start
        for fleet in fleets:
            fleet.close()
        # Lets the tasks of the gateways end.
        eventlet.sleep(30.0)


def test_gateways_that_run_out_of_retries_at_once_acquire_slots(start_fleet):
    """Each used to try nearly all slots, one refused write after the other."""
    fleet = start_fleet(8, 8)
    eventlet.sleep(10.0)
    before = fleet.count()
    for gateway in fleet.gateways:
        eventlet.spawn(gateway.take_retries)
    eventlet.sleep(2.0)
    calls = fleet.count() - before
    slots = fleet.metadata.objects_by_kind['burdockmast-retry-slots']
    assert len(slots) == 46
    assert calls['POST', 'burdockmast-retry-slots', 'write'] <= 2 * len(slots)
    assert calls['GET', 'burdockmast-retry-slots', 'list'] <= 4 * 16


@pytest.mark.parametrize('number', [0, 1, 5])
@pytest.mark.parametrize(
    ('is_contended', 'pause'),
    [
        (False, 0.0),
        # A standby does not notice a first watcher that is away for less than
        # 0.6 s, and a process takes longer to start.
        (True, 1.0),
    ],
)
def test_a_gateway_that_restarts_does_not_make_neighbours_list(
    start_fleet, number, is_contended, pause
):
    """It knows only that the last change came before its own listing."""
    fleet = start_fleet(6, is_contended=is_contended)
    eventlet.sleep(5.0)
    fleet.put_server('i-1', 1)
    eventlet.sleep(5.0)
    fleet.metadata.put('others', 'x', {})
    before = fleet.count()
    fleet.gateways[number].stop()
    eventlet.sleep(pause)
    fleet.restart(fleet.gateways[number])
    eventlet.sleep(4.0)
    calls = fleet.count() - before
    assert calls['GET', 'config', 'list'] == 1
    assert calls['GET', 'servers', 'list'] == 1


@pytest.mark.parametrize('loss', [0.0, 0.3])
def test_quick_changes_do_not_make_each_gateway_list_each_time(
    start_fleet, loss
):
    """Each used to list the configuration for each change it was told of."""
    fleet = start_fleet(6, 6, loss=loss)
    eventlet.sleep(5.0)
    before = fleet.count()
    delays = fleet.change(4.0)
    calls = fleet.count() - before
    assert calls['GET', 'config', 'list'] <= 12 * 6
    assert calls['GET', 'config', 'watch'] <= 12 * 6
    assert max(delays) < 2.0


def test_a_change_is_in_force_at_a_gateway_that_misses_all_messages(
    start_fleet,
):
    """It asks the store by itself before its copy is too old."""
    fleet = start_fleet(6)
    eventlet.sleep(5.0)
    fleet.gateways[4].is_deaf = True
    assert max(fleet.change(4.0)) < 3.0


def test_deployments_without_admission_control_list_at_once(start_fleet):
    fleet = start_fleet(6, is_contended=False)
    eventlet.sleep(5.0)
    assert max(fleet.change(2.0)) < 0.5


def test_a_gateway_that_starts_is_counted_though_listings_are_rare(
    start_fleet,
):
    fleet = start_fleet(2, 1)
    eventlet.sleep(30.0)
    before = fleet.count()
    eventlet.sleep(32.0)
    listings = fleet.count() - before
    assert listings['GET', 'burdockmast-gateways', 'list'] <= 3 * 3
    fleet.start('a-9', 'a')
    eventlet.sleep(1.0)
    assert 'a-9' in fleet.gateways[0].server._neighbours.known_gateways()
    eventlet.sleep(18.0)
    assert {g.server._budget.gateway_count for g in fleet.gateways} == {4}


def test_a_gateway_that_was_unregistered_registers_again(start_fleet):
    """Another one may have taken it for gone."""
    fleet = start_fleet(3)
    eventlet.sleep(30.0)
    fleet.metadata.remove('burdockmast-gateways', 'a-1')
    eventlet.sleep(24.0)
    assert 'a-1' in fleet.metadata.objects_by_kind['burdockmast-gateways']


def test_one_gateway_of_a_zone_watches_a_calm_store(start_fleet):
    """Each watch that waits is a call."""
    fleet = start_fleet(6, 1)
    eventlet.sleep(20.0)
    before = fleet.count()
    eventlet.sleep(10.0)
    calls = fleet.count() - before
    assert calls['GET', 'config', 'watch'] <= 2 * 9
    assert calls['GET', 'servers', 'watch'] <= 2 * 8
    assert calls['GET', 'config', 'list'] == 0
    assert calls['GET', 'servers', 'list'] == 0


@pytest.mark.parametrize('bound', [2.0, 3.0])
@pytest.mark.parametrize('failure', ['stopped', 'cut', 'deaf', 'mute'])
def test_changes_are_in_force_in_time_though_the_watcher_fails(
    start_fleet, failure, bound
):
    fleet = start_fleet(6, loss=0.1, bound=bound)
    eventlet.sleep(20.0)
    watcher = fleet.gateways[0]
    setattr(watcher, f'is_{failure}', True)
    assert max(fleet.change(6.0, interval=0.7)) < bound


@pytest.mark.parametrize('pause', [0.0, 1.0, 3.0])
def test_changes_are_in_force_in_time_though_the_watcher_restarts(
    start_fleet, pause
):
    fleet = start_fleet(6)
    eventlet.sleep(20.0)
    fleet.gateways[0].stop()
    eventlet.sleep(pause)
    fleet.restart(fleet.gateways[0])
    eventlet.sleep(1.0)
    assert max(fleet.change(4.0, interval=0.7)) < 3.0


def test_gateways_that_start_at_once_do_not_all_watch(start_fleet):
    """Each counts itself among the watchers before it hears the others."""
    fleet = start_fleet(6, is_contended=False)
    eventlet.sleep(1.0)
    calls = fleet.count()
    assert calls['GET', 'config', 'watch'] <= 3
    assert calls['GET', 'servers', 'watch'] <= 3


def test_gateways_of_this_file_leave_no_tasks_behind(start_fleet):
    """They would go on beside the tests that follow."""
    hub = eventlet.hubs.get_hub()
    eventlet.sleep(1.0)
    before = hub.get_timers_count()
    fleet = start_fleet(2)
    eventlet.sleep(3.0)
    fleet.close()
    eventlet.sleep(60.0)
    assert hub.get_timers_count() <= before


def test_changes_after_a_restore_are_in_force_in_time(start_fleet):
    """What neighbours told of the earlier history must not delay them."""
    fleet = start_fleet(6, loss=0.1)
    eventlet.sleep(20.0)
    saved = fleet.metadata.copy()
    fleet.change(3.0)
    fleet.metadata.restore(saved)
    assert max(fleet.change(5.0, interval=0.3)) < 3.0
