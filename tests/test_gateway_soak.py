"""The fault soak of gateways: what counts as a broken promise, a short run."""

import math
import signal
import unittest.mock

import eventlet
import pytest

from burdockmast.bench import gateway_checks
from burdockmast.bench import gateway_processes
from burdockmast.bench import gateway_soak
from burdockmast.bench import lost_requests
from burdockmast.platform import headers
from burdockmast.platform import standin

# Seeds that ever failed stay here, with a line on the cause.
REGRESSIONS = {
    115: 'a part that crashed servers before any head was cleared by others',
    3000: 'streams were cut as their sound servers fell silent',
    4012: 'connections stayed open, unread, while a process cleaned up',
    4030: 'the same',
    4053: 'the same, for seconds',
    4224: 'an unframed stream of a crashed server looked complete (open)',
    6004: 'four requests with a deadly part after nine crashes (open)',
    6052: 'the same (open)',
    10019: 'heads of stalled streams named the limit of an earlier time, or '
    'came so late that gateways could not know it',
    20001: 'a stream of a stopping gateway found no path in time (open)',
}
# Revisions and ids of events of many digits, decimal numbers of the operator.
LARGE_NUMBERS = (20005,)

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


@pytest.mark.parametrize(('count', 'violations'), [(3, 0), (4, 1)])
def test_deadly_requests_after_the_gateways_should_know_are_found(
    count, violations
):
    late = [
        10.0 + gateway_processes.STABLE_SECONDS + n
        for n in range(1, count + 1)
    ]
    engine = Server(late, 'dead', crashed_at=[6, 7, 8, 9, 10.0])
    found = gateway_checks.find_deadly_requests([engine], 'dead')
    assert len(found) == violations


@pytest.mark.parametrize(('count', 'violations'), [(11, 0), (12, 1)])
def test_requests_beyond_a_limit_are_found(count, violations):
    server = Server([50.0 + n / 10 for n in range(count)])
    found = gateway_checks.find_excess(server, 0.0, 1.0, 0.0, math.inf)
    assert len(found) == violations


@pytest.mark.parametrize(('seconds', 'violations'), [(1.9, 0), (2.1, 1)])
def test_requests_to_a_server_that_left_are_found(seconds, violations):
    found = gateway_checks.find_late_arrivals(
        Server([50.0 + seconds]), 50.0, 0.0, math.inf
    )
    assert len(found) == violations


def test_a_command_that_ran_twice_is_found():
    server = Server([1.0, 2.0], path='/confirm/1')
    assert len(gateway_checks.find_repeated_commands([server])) == 1


def test_a_stream_that_is_cut_but_looks_complete_is_found():
    cut = b'id: 1\ndata: token 1\n\n'
    assert len(gateway_checks.find_false_end(1, cut, events=2)) == 1


@pytest.mark.parametrize(
    ('key', 'sent_at', 'violations'),
    [('k1', 54.9, 0), ('k1', 55.1, 1), ('unknown', 1.0, 1), ('', 1.0, 1)],
)
def test_requests_that_run_without_a_key_in_force_are_found(
    key, sent_at, violations
):
    request = lost_requests.SentRequest(
        'r1', 'host', '/confirm/1', sent_at, 5.0, api_key=key
    )
    found = gateway_checks.find_unauthorized(
        [request], [Server([sent_at])], 'k1', 50.0
    )
    assert len(found) == violations
    assert not gateway_checks.find_unauthorized(
        [request], [Server([])], 'k1', 50.0
    )


def test_signals_that_overlap_start_one_process():
    class Gateway(gateway_processes.GatewayProcess):
        def __init__(self):
            self.outages, self.starts, self._replaced = [], 0, None
            self.process = unittest.mock.Mock(poll=lambda: 0)

        def start(self):
            eventlet.sleep(0.01)
            self.starts += 1
            self.process = unittest.mock.Mock(poll=lambda: None)

    gateway = Gateway()
    signals = [
        eventlet.spawn(gateway.restart, number)
        for number in (signal.SIGTERM, signal.SIGKILL)
    ]
    for task in signals:
        task.wait()
    assert gateway.starts == 1


@pytest.mark.parametrize('seed', [*REGRESSIONS, *LARGE_NUMBERS])
def test_promises_of_gateways_hold_in_a_short_soak(seed, tmp_path):
    """Proves: what must always hold, under random faults."""
    report = gateway_soak.play(seed, tmp_path)
    assert not report.violations, (report.faults, report.violations)
    assert report.statuses['draft 200']


@pytest.mark.parametrize('seed', OPEN_WITH_MANY_GATEWAYS)
def test_promises_hold_with_many_gateways(seed, tmp_path):
    report = gateway_soak.play(seed, tmp_path, MANY_GATEWAYS)
    assert not report.violations, (report.faults, report.violations)
