"""The fault soak of gateways: what counts as a broken promise, a short run."""

import pytest

from burdockmast.base import timers
from burdockmast.bench import gateway_soak
from burdockmast.platform import headers
from burdockmast.platform import standin

# Seeds that ever failed stay here, with a line on the cause.
REGRESSIONS = {
    115: 'a part that crashed servers before any head was cleared by others',
}


# Seeds with so many gateways that failed and are not mended yet.
MANY_GATEWAYS = 30
OPEN_WITH_MANY_GATEWAYS = (501,)


class Server:
    """A server that has received requests at given times."""

    id = 'i-1'

    def __init__(self, times, part='', path='/draft/1', crashed_at=()):
        self.crashed_at = list(crashed_at)
        self.requests = [
            standin.ReceivedRequest(
                'r1', path, {headers.PROMPT_PARTS.lower(): f'{part}:1,x:1'}, at
            )
            for at in times
        ]


@pytest.fixture
def play():
    """A play without servers and gateways."""
    found = gateway_soak.Play.__new__(gateway_soak.Play)
    found.report = gateway_soak.Report()
    found._engines, found._apps, found._gateways = [], [], []
    found._deadly_part = 'dead'
    found._ends_at = timers.now() + 1e6
    return found


@pytest.mark.parametrize(('count', 'violations'), [(3, 0), (4, 1)])
def test_deadly_requests_after_the_gateways_should_know_are_found(
    play, count, violations
):
    late = [
        10.0 + gateway_soak.STABLE_SECONDS + n for n in range(1, count + 1)
    ]
    play._engines = [Server(late, 'dead', crashed_at=[6, 7, 8, 9, 10.0])]
    play._check_deadly()
    assert len(play.report.violations) == violations


@pytest.mark.parametrize(('count', 'violations'), [(11, 0), (12, 1)])
def test_requests_beyond_a_limit_are_found(play, count, violations):
    play._named = {'i-1': (0.0, 1.0)}
    play._gateways = [type('Calm', (), {'excused_until': 0.0})]
    play._check_limit(Server([50.0 + n / 10 for n in range(count)]))
    assert len(play.report.violations) == violations


@pytest.mark.parametrize(('seconds', 'violations'), [(1.9, 0), (2.1, 1)])
def test_requests_to_a_server_that_left_are_found(play, seconds, violations):
    play._leaving_since = {'i-1': 50.0}
    play._gateways = [type('Calm', (), {'excused_until': 0.0})]
    play._check_leaving(Server([50.0 + seconds]))
    assert len(play.report.violations) == violations


def test_a_command_that_ran_twice_is_found(play):
    play._apps = [Server([1.0, 2.0], path='/confirm/1')]
    play._check_commands()
    assert len(play.report.violations) == 1


def test_a_stream_that_is_cut_but_looks_complete_is_found(play):
    play._check_stream(1, b'id: 1\ndata: token 1\n\n')
    assert len(play.report.violations) == 1


@pytest.mark.parametrize('seed', REGRESSIONS)
def test_promises_of_gateways_hold_in_a_short_soak(seed, tmp_path):
    """Proves: what must always hold, under random faults."""
    report = gateway_soak.play(seed, tmp_path)
    assert not report.violations, (report.faults, report.violations)
    assert report.statuses['draft 200']


@pytest.mark.parametrize('seed', OPEN_WITH_MANY_GATEWAYS)
def test_promises_hold_with_many_gateways(seed, tmp_path):
    report = gateway_soak.play(seed, tmp_path, MANY_GATEWAYS)
    assert not report.violations, (report.faults, report.violations)
