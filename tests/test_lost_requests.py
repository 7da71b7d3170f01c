"""Which requests the fault soak of gateways takes for lost."""

import contextlib
import math
import signal

import eventlet
from eventlet.green.http import client
import pytest

from burdockmast.base import timers
from burdockmast.bench import gateway_checks
from burdockmast.bench import gateway_processes
from burdockmast.bench import lost_requests
from burdockmast.platform import headers
from burdockmast.platform import standin

HOST = '127.0.0.1'
SENT_AT = 100.0
STABLE = gateway_processes.STABLE_SECONDS
# Last part of the grace period of a gateway that is stopped at 100 s.
LAST_PART_AT = SENT_AT + gateway_processes.GRACE_SECONDS * 5 / 6


class Gateway:
    """A gateway that got signals at given times."""

    host = HOST

    def __init__(self, *outages):
        self.outages = [gateway_processes.Outage(*o) for o in outages]


class Server:
    """A server that has received runs of requests."""

    def __init__(self, *runs):
        self.requests = list(runs)


def make_run(at=SENT_AT, ended_at=SENT_AT + 20, broken_off_at=math.inf):
    return standin.ReceivedRequest(
        'r1', '/long/1', {}, at, ended_at, broken_off_at, 'i-1'
    )


def make_request(
    seconds=1.0, ending=lost_requests.Ending.CUT, sent_at=SENT_AT, status=200
):
    if ending is lost_requests.Ending.CLOSED:
        status = None
    return lost_requests.SentRequest(
        'r1', HOST, '/long/1', sent_at, 8.0, sent_at + seconds, ending, status
    )


def find_excuse(request, *outages, runs=None, timeouts=()):
    """Return the excuse for a request; '' if it counts as lost."""
    report = gateway_checks.Report()
    servers = [Server(*([make_run()] if runs is None else runs))]
    gateway_checks.find_lost(
        report,
        [request],
        lost_requests.Circumstances.from_play(
            [Gateway(*outages)], servers, list(timeouts)
        ),
    )
    assert len(report.violations) + len(report.excused) == 1
    return ''.join(report.excused)


@pytest.mark.parametrize(
    'ending',
    [
        lost_requests.Ending.CUT,
        lost_requests.Ending.CLOSED,
        lost_requests.Ending.UNANSWERED,
        lost_requests.Ending.OPEN,
    ],
)
def test_request_without_a_whole_answer_is_lost(ending):
    assert not find_excuse(make_request(ending=ending))


def test_only_an_internal_error_among_whole_answers_is_a_loss():
    whole = lost_requests.Ending.WHOLE
    assert not find_excuse(
        make_request(ending=whole, status=500),
        (signal.SIGSTOP, SENT_AT, SENT_AT + 1),
    )
    for status in (200, 404, 502, 503, 504):
        assert not make_request(ending=whole, status=status).is_lost


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
@pytest.mark.parametrize(
    ('began_at', 'ended_at', 'is_excused'),
    [
        (SENT_AT - 9, SENT_AT - STABLE + 0.1, True),
        (SENT_AT - 9, SENT_AT - STABLE - 0.1, False),
        (SENT_AT + 0.9, SENT_AT + 2, True),
        (SENT_AT + 1.1, SENT_AT + 2, False),
    ],
)
def test_disruption_of_the_gateway_excuses(
    number, began_at, ended_at, is_excused
):
    found = find_excuse(make_request(1.0), (number, began_at, ended_at))
    assert bool(found) is is_excused


def test_disruption_of_another_gateway_excuses_nothing():
    request = make_request()
    request.host = '127.0.0.2'
    assert not find_excuse(request, (signal.SIGKILL, SENT_AT, SENT_AT + 1))


def test_reload_signal_excuses_nothing():
    assert not find_excuse(
        make_request(), (signal.SIGHUP, SENT_AT, SENT_AT + 1)
    )


@pytest.mark.parametrize(
    ('other', 'is_excused'),
    [
        (make_run(SENT_AT, SENT_AT + 0.9), True),
        (make_run(SENT_AT, SENT_AT + 1.1), False),
        (make_run(SENT_AT + 0.91, SENT_AT + 0.92), False),
        (make_run(SENT_AT, broken_off_at=SENT_AT + 0.1), True),
    ],
)
def test_server_that_broke_off_excuses_if_no_other_was_at_work(
    other, is_excused
):
    broken = make_run(broken_off_at=SENT_AT + 0.9)
    assert find_excuse(make_request(1.0), runs=[broken])
    found = find_excuse(make_request(1.0), runs=[broken, other])
    assert bool(found) is is_excused


def test_server_that_broke_off_after_the_cut_excuses_nothing():
    broken = make_run(broken_off_at=SENT_AT + 1.1)
    assert not find_excuse(make_request(1.0), runs=[broken])


@pytest.mark.parametrize(('seconds', 'is_excused'), [(7.9, False), (8, True)])
def test_begun_answer_may_be_cut_at_its_deadline(seconds, is_excused):
    assert bool(find_excuse(make_request(seconds))) is is_excused


@pytest.mark.parametrize(
    'ending',
    [lost_requests.Ending.CLOSED, lost_requests.Ending.UNANSWERED],
)
def test_request_without_a_head_is_answered_at_its_deadline(ending):
    assert not find_excuse(make_request(8.1, ending))


@pytest.mark.parametrize(
    ('prefix', 'written_at', 'is_excused'),
    [
        ('/long/', SENT_AT - 1, True),
        ('/long/', SENT_AT + 0.1, False),
        ('/once/', SENT_AT - 1, False),
    ],
)
def test_timeout_of_the_route_when_it_was_sent_counts(
    prefix, written_at, is_excused
):
    timeouts = [lost_requests.RouteTimeout(prefix, 3.0, written_at)]
    assert not find_excuse(make_request(2.9), timeouts=timeouts)
    found = find_excuse(make_request(3.0), timeouts=timeouts)
    assert bool(found) is is_excused


@pytest.mark.parametrize(
    ('seconds', 'runs', 'is_excused'),
    [(0.1, [], True), (0.3, [], False), (0.1, [make_run()], False)],
)
def test_request_may_cross_the_close_of_a_stopping_gateway(
    seconds, runs, is_excused
):
    request = make_request(seconds, lost_requests.Ending.CLOSED)
    stop = (signal.SIGTERM, SENT_AT - 4, SENT_AT + 4)
    assert bool(find_excuse(request, stop, runs=runs)) is is_excused
    assert not find_excuse(request, runs=runs)


@pytest.mark.parametrize(
    ('sent_after', 'cut_at', 'run_ended_at', 'is_excused'),
    [
        (2.9, LAST_PART_AT + 0.1, LAST_PART_AT + 0.5, True),
        (3.1, LAST_PART_AT + 0.1, LAST_PART_AT + 0.5, False),
        (2.9, LAST_PART_AT - 0.1, LAST_PART_AT + 0.5, False),
        (2.9, LAST_PART_AT + 0.1, LAST_PART_AT - 0.1, False),
    ],
)
def test_planned_stop_cuts_only_what_servers_work_on_at_its_end(
    sent_after, cut_at, run_ended_at, is_excused
):
    sent_at = SENT_AT + sent_after
    request = make_request(cut_at - sent_at, sent_at=sent_at)
    stop = (signal.SIGTERM, SENT_AT, SENT_AT + gateway_processes.GRACE_SECONDS)
    found = find_excuse(request, stop, runs=[make_run(sent_at, run_ended_at)])
    assert bool(found) is is_excused


def test_gateway_that_was_started_after_a_planned_stop_may_lose_nothing():
    assert not find_excuse(
        make_request(), (signal.SIGTERM, SENT_AT - 5, SENT_AT - 0.1)
    )


@pytest.fixture
def server():
    """A stand-in's server, with answers of some tenths of a second."""
    found = standin.BackendServer(
        HOST, standin.MetadataStore(), {'id': 'i-1', 'service': 'app'}
    )
    found.pace_by_path['/long/'] = standin.Pace(4, 0.1)
    found.body_pause_seconds = 0.1
    return found


def ask(server, path, sent):
    """Return the body of a server's answer."""
    host, port = server.address.split(':')
    connection = client.HTTPConnection(host, int(port))
    connection.request('POST', path, headers=sent)
    with contextlib.closing(connection):
        return connection.getresponse().read()


STREAM = {headers.TOKEN_COUNTS: '1,4'}


@pytest.mark.parametrize('sent', [STREAM, {}], ids=['stream', 'call'])
@pytest.mark.parametrize('silent_after', [0.0, 0.06])
@pytest.mark.parametrize('is_unframed', [False, True])
def test_silent_server_goes_on_with_its_answers(
    server, sent, silent_after, is_unframed
):
    server.is_unframed = is_unframed
    expected = ask(server, '/long/1', sent)
    began_at = timers.now()
    asking = eventlet.spawn_after(0.01, ask, server, '/long/2', sent)
    eventlet.sleep(silent_after)
    server.fall_silent(0.6, with_reports=False)
    assert asking.wait() == expected
    assert timers.now() - began_at > 0.6
    assert math.isinf(server.requests[-1].broken_off_at)


def test_silent_server_sees_that_its_caller_leaves(server):
    server.fall_silent(30.0, with_reports=False)
    asking = eventlet.spawn(ask, server, '/long/1', STREAM)
    eventlet.sleep(0.1)
    asking.kill()
    eventlet.sleep(0.1)
    assert math.isfinite(server.requests[0].ended_at)


def test_crash_marks_the_requests_under_way(server):
    asking = eventlet.spawn(ask, server, '/long/1', STREAM)
    eventlet.sleep(0.15)
    server.crash()
    with pytest.raises((OSError, client.HTTPException)):
        asking.wait()
    assert math.isfinite(server.requests[0].broken_off_at)


def test_broken_stream_is_marked(server):
    server._metadata_store.break_next_stream_after = 1
    with pytest.raises((OSError, client.HTTPException)):
        ask(server, '/long/1', STREAM)
    assert math.isfinite(server.requests[0].broken_off_at)
