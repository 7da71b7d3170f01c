"""The fault soak: plans, what counts as a broken promise, and a short run."""

import time
import types

import pytest
import urllib3

from burdockmast.bench import soak
from burdockmast.bench import soakplans

SERVERS = ['e1', 'e2', 's1']
ENGINES = ['e1', 'e2']
ENTRIES = ['entry-0', 'entry-1']
# Seeds that ever failed stay here, with a line on the cause.
REGRESSIONS = {
    1: 'the first seed of all; it never failed',
    103: 'callers that kept coming held up a planned stop, which cut them',
}


def plan(seed):
    return soakplans.plan(seed, SERVERS, ENGINES, ENTRIES)


def test_plan_is_the_same_for_the_same_seed():
    assert plan(7) == plan(7)
    assert len({str(plan(seed)) for seed in range(50)}) == 50


def test_faults_end_within_the_play_and_never_overlap_on_one_target():
    for seed in range(200):
        strikes = plan(seed)
        assert strikes
        for number, one in enumerate(strikes):
            assert 0 < one.begin < one.end <= soakplans.PLAY_SECONDS
            for other in strikes[number + 1 :]:
                assert other.target != one.target or other.begin >= one.end


def test_every_fault_is_planned_by_some_seed():
    found = {strike.fault for seed in range(400) for strike in plan(seed)}
    assert found == set(soakplans.Fault)


@pytest.fixture
def play():
    """A play on a fleet that says what tests want."""
    fleet = types.SimpleNamespace(
        layout=soak.LAYOUT, servers=[], entries=ENTRIES, counted={}
    )
    fleet.runs = lambda: fleet.counted
    return soak.Play(fleet, 1)


BROKEN = {
    'ran twice': (2, ['cut', 'may_have_run']),
    'ran though it was refused': (1, ['not_run', 'not_run']),
    'did not run though it was answered': (0, ['ran', 'cut']),
}
KEPT = {
    'ran once': (1, ['ran', 'ran']),
    'refused': (0, ['not_run', 'not_run']),
    'ran at the second try': (1, ['not_run', 'ran']),
    'nobody knows': (1, ['cut', 'may_have_run']),
}


@pytest.mark.parametrize('case', BROKEN)
def test_broken_promise_about_a_command_is_found(play, case):
    runs, outcomes = BROKEN[case]
    play._fleet.counted = {'key': runs}
    play._check_runs('key', outcomes)
    assert len(play.report.violations) == 1


@pytest.mark.parametrize('case', KEPT)
def test_kept_promise_about_a_command_is_none(play, case):
    runs, outcomes = KEPT[case]
    play._fleet.counted = {'key': runs}
    play._check_runs('key', outcomes)
    assert not play.report.violations


def test_version_that_goes_back_is_found(play):
    for version in (3, 5, 5):
        play._check_version('entry-0', version)
    assert not play.report.violations
    play._check_version('entry-0', 4)
    assert len(play.report.violations) == 1


def test_cut_is_excused_only_by_a_fault_of_its_entry(play):
    play.report.strikes = []
    play._note_cut('entry-0', 'answer', OSError('reset'))
    assert len(play.report.violations) == 1
    play._killed.add('entry-1')
    play._note_cut('entry-1', 'answer', OSError('reset'))
    assert len(play.report.violations) == 1


def test_planned_stop_excuses_refused_connections_only(play):
    play.report.strikes = [
        soakplans.Strike(0.0, 9.0, soakplans.Fault.STOPPED, 'entry-0')
    ]
    refused = urllib3.exceptions.NewConnectionError(None, 'refused')
    play._note_cut('entry-0', 'answer', refused)
    assert not play.report.violations
    play._note_cut('entry-0', 'answer', OSError('reset'))
    assert len(play.report.violations) == 1


def test_refusals_are_excused_until_shortly_after_a_stop_has_ended(play):
    """A stop that waited for requests used to count as a broken promise."""
    stop = soakplans.Strike(1.0, 2.0, soakplans.Fault.STOPPED, 'entry-0')
    play.report.strikes = [stop]
    play._began = time.monotonic() - 14.0
    refused = urllib3.exceptions.NewConnectionError(None, 'refused')
    play._note_cut('entry-0', 'answer', refused)
    assert not play.report.violations
    play._ended_at[stop] = 3.0
    play._note_cut('entry-0', 'answer', refused)
    assert len(play.report.violations) == 1


@pytest.mark.parametrize(('began_ago', 'expected'), [(24.0, 0), (27.0, 1)])
def test_a_stop_that_does_not_end_in_time_is_found(play, began_ago, expected):
    stop = soakplans.Strike(1.0, 2.0, soakplans.Fault.STOPPED, 'entry-0')
    stopping = types.SimpleNamespace(poll=lambda: None, wait=lambda: 0)
    play._fleet.process_by_name = {'entry-0': stopping}
    play._began_at[stop] = 1.0
    play._began = time.monotonic() - began_ago
    play._await_stop(stop)
    assert len(play.report.violations) == expected


@pytest.mark.parametrize('seed', REGRESSIONS)
def test_promises_hold_in_a_short_soak(seed, tmp_path):
    """Proves: what must always hold, under random faults."""
    report = soak.play(seed, tmp_path)
    assert not report.violations, (report.strikes, report.violations)
    assert report.answered
