"""Logs: structured, limited in rate, and never blocking."""

import json
import os
import subprocess

import logbook
import program
import pytest

from burdockmast.base import log_rate_limiter
from burdockmast.base import logs
from burdockmast.standins import layouts
from burdockmast.standins import processes

PROCESS = {'process': 'p1', 'role': 'entry'}
UNREAD_ENTRY = 'entry-unread'


class Sink:
    """Collects decoded lines in place of a writer."""

    def __init__(self):
        self.lines = []
        self.dropped = 0

    def put(self, line):
        self.lines.append(json.loads(line))


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def sink():
    return Sink()


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def handler(sink, clock):
    log_handler = logs.Handler('info', sink, PROCESS, clock)
    with log_handler.applicationbound():
        yield log_handler


def lines_of(fleet, name):
    """Return the log lines of a process; all must be JSON."""
    return [json.loads(line) for line in fleet.log(name).splitlines()]


def lines_about(fleet, name, request):
    return [x for x in lines_of(fleet, name) if x.get('request') == request]


def test_line_has_time_part_process_and_fields(handler, sink):
    logbook.Logger('answer').info(
        'answer.started', extra={'request': 'r1', 'age_ms': 12}
    )
    (line,) = sink.lines
    assert line['message'] == 'answer.started'
    assert line['part'] == 'answer'
    assert line['level'] == 'info'
    assert line['process'] == 'p1'
    assert line['request'] == 'r1'
    assert line['age_ms'] == 12
    assert line['time'].endswith('Z')


def test_text_with_line_breaks_stays_one_line(handler, sink):
    log = logbook.Logger('web')
    log.info('Found {}.', 'a\nb')
    try:
        raise ValueError('c\nd')
    except ValueError:
        log.exception('Message failed.')
    assert sink.lines[0]['message'] == 'Found a\nb.'
    assert 'ValueError: c\nd' in sink.lines[1]['exception']


def test_flood_of_one_reason_does_not_suppress_another(handler, sink, clock):
    log = logbook.Logger('request')
    for number in range(10_000):
        log.info('refused', extra={'reason': 'overloaded', 'n': number})
        clock.now += 0.0001
    log.info('refused', extra={'reason': 'no_path'})
    handler.report_lost_lines()
    flood = [x for x in sink.lines if x.get('reason') == 'overloaded']
    limit = (
        log_rate_limiter.BURST_LINES + 1.0 * log_rate_limiter.LINES_PER_SECOND
    )
    assert len(flood) <= limit + 1
    assert [x for x in sink.lines if x.get('reason') == 'no_path']
    (report,) = [x for x in sink.lines if x['message'] == 'lines suppressed']
    assert report['count'] == 10_000 - len(flood)
    assert 'overloaded' in report['of']


def test_number_of_kinds_is_bounded():
    rate_limiter = log_rate_limiter.LogRateLimiter(Clock())
    for number in range(10 * log_rate_limiter.MAX_KINDS):
        rate_limiter.allow((str(number),))
    assert len(rate_limiter._tokens_by_kind) <= log_rate_limiter.MAX_KINDS + 1


def test_full_pipe_drops_lines_and_blocks_no_caller():
    """Proves: a full pipe blocks no caller, and lost lines are counted."""
    reader, descriptor = os.pipe()
    writer = logs.Writer(descriptor, limit=100)
    line = b'x' * 1023 + b'\n'
    for _ in range(5000):
        # If this blocked, the test would run into its timeout.
        writer.put(line)
    assert writer.dropped > 0
    read_count = 0
    while read_count < (5000 - writer.dropped) * len(line):
        read_count += len(os.read(reader, 65536))
    assert read_count == (5000 - writer.dropped) * len(line)
    os.close(reader)
    os.close(descriptor)


def test_process_serves_while_its_log_is_not_read(own_fleet):
    fleet = own_fleet(services=0)
    fleet.output_by_name[UNREAD_ENTRY] = subprocess.PIPE
    fleet.start_entry(UNREAD_ENTRY, 'za')
    processes.wait_until(lambda: fleet.serves(UNREAD_ENTRY), UNREAD_ENTRY)
    pipe = fleet.process_by_name[UNREAD_ENTRY].stdout
    # Refusals of many kinds, which log far more than a pipe holds.
    for number in range(600):
        refused = fleet.call(
            f'unknown-{number}/' + 'x' * 500, entry=UNREAD_ENTRY
        )
        assert refused.status == 404
    tokens = program.answer_tokens(fleet.complete([5], 3, UNREAD_ENTRY))
    assert tokens == program.expected_tokens([5], 3)
    # The queued lines are written once the reader continues.
    assert json.loads(pipe.readline())['role'] == 'entry'


def test_refusal_is_logged_with_the_request_id(shared_fleet):
    fleet = shared_fleet
    refused = fleet.call('nowhere/x')
    request = refused.headers['Burdockmast-Request-Id']

    def line():
        return lines_about(fleet, 'entry-0', request)

    (found,) = program.wait_until(line, 'line of the refusal')
    assert found['message'] == 'request.refused'
    assert found['reason'] == 'unknown_service'
    assert found['step'] == 'service.choose'
    assert found['outcome'] == 'not_run'
    assert found['version'] == fleet.ready('entry-0')['version']


def test_answer_logs_the_load_reports_behind_its_path(shared_fleet):
    fleet = shared_fleet
    answer = fleet.complete([6], 2)
    request = answer.headers['Burdockmast-Request-Id']

    def lines():
        found = lines_about(fleet, 'entry-0', request)
        return found if len(found) >= 3 else None

    found = program.wait_until(lines, 'lines of the answer')
    names = [line['message'] for line in found]
    assert names == ['answer.started', 'answer.opened', 'answer.ended']
    started = found[0]
    assert started['version'] > 0
    for believed in started['believed']:
        assert believed['age_ms'] >= 0
        assert set(believed) >= {'server', 'running', 'slots', 'layer_us'}
    stages = [
        line['message']
        for server in ('e1', 'e2', 'e3', 'e4', 'e5', 'e6')
        for line in lines_about(fleet, f'side-{server}', request)
    ]
    assert stages.count('stage.opened') == len(started['path'])


def test_start_stop_and_lost_dependencies_are_logged(own_fleet):
    fleet = own_fleet(groups=(layouts.Group(0, 24, 2),), services=0)

    def has(name, message):
        return [x for x in lines_of(fleet, name) if x['message'] == message]

    assert has('entry-0', 'process.started')
    # A side process that starts before the store logs these events as well.
    program.wait_until(
        lambda: (
            len(has('side-e1', 'store.lost'))
            == len(has('side-e1', 'store.back'))
        ),
        'store found',
    )
    lost_before = len(has('side-e1', 'store.lost'))
    fleet.set_faults('store', outage=True)
    program.wait_until(
        lambda: len(has('side-e1', 'store.lost')) > lost_before, 'store lost'
    )
    fleet.set_faults('store')
    (back,) = program.wait_until(
        lambda: has('side-e1', 'store.back')[lost_before:][:1], 'store back'
    )
    assert back['seconds'] > 0

    def losses():
        lost = has('entry-0', 'peer.lost')
        return [line for line in lost if line['peer_server'] == 'e2']

    # Under high load, a link may have been lost and made again before.
    losses_before = len(losses())
    fleet.kill('side-e2')
    program.wait_until(lambda: len(losses()) > losses_before, 'peer lost')
    fleet.start('side-e2')
    before = len(has('entry-0', 'peer.connected'))
    program.wait_until(
        lambda: len(has('entry-0', 'peer.connected')) > before, 'peer back'
    )
    fleet.stop('entry-0')
    assert has('entry-0', 'process.stopping')
    assert has('entry-0', 'process.stopped')


def test_changed_availability_of_a_server_is_logged(own_fleet):
    fleet = own_fleet(groups=(layouts.Group(0, 24, 2),), services=0)
    fleet.kill('engine-e1')

    def lost():
        return [
            line
            for line in lines_of(fleet, 'entry-0')
            if line['message'] == 'server.standing'
            and line['server'] == 'e1'
            and line['engine_lost']
        ]

    (line,) = program.wait_until(lost, 'engine lost')
    assert line['held'] == []
