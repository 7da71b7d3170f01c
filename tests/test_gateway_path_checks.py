"""What counts as a broken promise of requests on paths of servers.

Each check must find what it is for; else a soak passes whatever happens.
"""

import types

import pytest

from burdockmast.bench import gateway_contention
from burdockmast.bench import gateway_path_checks
from burdockmast.bench import gateway_soak
from burdockmast.bench import lost_requests
from burdockmast.gateway.admission import policy
from burdockmast.platform import configuration
from burdockmast.platform import standin
from burdockmast.platform import standin_paths

LAYERS = 4
WHOLE = (standin_paths.Stage('a', 0, 2), standin_paths.Stage('b', 2, 4))
TWICE = (standin_paths.Stage('a', 0, 3), standin_paths.Stage('b', 2, 4))
SKIPPED = (standin_paths.Stage('a', 0, 2), standin_paths.Stage('b', 3, 4))
SWAPPED = WHOLE[::-1]


def engine_with(*runs):
    engine = standin_paths.PathEngine(LAYERS)
    engine.runs += runs
    return engine


def run_of(numbers=(), stages=WHOLE, changes=0):
    events = [standin_paths.ProducedEvent(n, stages, 0.0) for n in numbers]
    changed_at = [0.0] * changes
    return standin_paths.Run(
        'r1', WHOLE, 1, events=events, changed_at=changed_at, ended_at=1.0
    )


def sent(status, path='/draft/1', at=0.0):
    return lost_requests.SentRequest(
        'r1', 'h', path, at, 5.0, ended_at=at + 0.5, status=status
    )


@pytest.mark.parametrize(
    ('run', 'violations'),
    [
        (run_of((3, 4, 5), changes=2), 0),
        (run_of(changes=3), 1),
        (run_of((1, 3)), 1),
        (run_of((1, 1)), 1),
        (run_of((1,), TWICE), 1),
        (run_of((1,), SKIPPED), 1),
        (run_of((1,), SWAPPED), 1),
    ],
)
def test_broken_runs_are_found(run, violations):
    found = gateway_path_checks.find_broken_runs(engine_with(run))
    assert len(found) == violations


def test_invalid_paths_are_found():
    engine = engine_with()
    with pytest.raises(ValueError, match='invalid path'):
        engine.begin(types.SimpleNamespace(address='a'), {})
    assert len(gateway_path_checks.find_broken_runs(engine)) == 1


@pytest.mark.parametrize(('count', 'violations'), [(1, 0), (2, 1)])
def test_streams_that_ran_twice_but_may_not_are_found(count, violations):
    engine = engine_with(*[run_of()] * count)
    found = gateway_path_checks.find_repeated_streams(engine, ['r1'])
    assert len(found) == violations


@pytest.mark.parametrize(
    ('status', 'is_refused', 'violations'),
    [(503, False, 1), (503, True, 0), (408, False, 1), (502, False, 0)],
)
def test_false_refusals_are_found(status, is_refused, violations):
    seen = standin.ReceivedRequest('r1', '/', {}, is_refused=is_refused)
    server = types.SimpleNamespace(requests=[seen])
    found = gateway_path_checks.find_false_refusals([sent(status)], [server])
    assert len(found) == violations


@pytest.mark.parametrize(
    ('other_status', 'served', 'violations'),
    [(200, (), 1), (200, (5,), 0), (503, (), 0)],
)
def test_starved_priorities_are_found(other_status, served, violations):
    low = [sent(200 if n in served else 503, '/bulk/1', n) for n in range(12)]
    high = [sent(other_status, '/draft/1', n / 5) for n in range(60)]
    found = gateway_path_checks.find_starved(
        [*low, *high], gateway_contention.PRIORITY_BY_PATH
    )
    assert len(found) == violations


def test_runs_without_callers_are_found(monkeypatch):
    monkeypatch.setattr(gateway_path_checks, 'LEFT_SECONDS', 0.0)
    run = run_of()
    assert not gateway_path_checks.find_left_runs(engine_with(run))
    run.ended_at = float('inf')
    assert gateway_path_checks.find_left_runs(engine_with(run))


def test_seeds_of_earlier_regressions_play_as_before():
    """Other load would hide the faults for which the seeds are kept."""
    plan = gateway_contention.Plan.from_seed(gateway_contention.FIRST_SEED - 1)
    given = gateway_soak.CONFIGURATION
    assert plan == gateway_contention.Plan()
    assert plan.configure(given) == given


@pytest.mark.parametrize('field', ['has_priorities', 'has_slow_hops'])
def test_plans_enable_admission_control(field):
    """A play without it would not test what it is for."""
    plan = gateway_contention.Plan(**{field: True})
    spec = plan.configure(gateway_soak.CONFIGURATION)
    decoded = configuration.decode('main', spec)
    policies = policy.policy_by_service(decoded)
    assert policies['llm'].is_contended
