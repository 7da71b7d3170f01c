"""Quarantine of requests that crash the servers that run them."""

from concurrent import futures
import threading
import time

import program

from burdockmast.limits import crash_reports
from burdockmast.standins import layouts
from burdockmast.standins import tokens

POISON = [7, tokens.CRASH_TOKEN, 7]


class Supervisor:
    """Restarts engines that crash, as the platform would."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.crashes = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stopped.set()
        self.thread.join()

    def run(self):
        names = [n for n in self.fleet.process_by_name if 'engine-' in n]
        while not self.stopped.wait(0.05):
            for name in names:
                if self.fleet.process_by_name[name].poll() is not None:
                    self.crashes += 1
                    self.fleet.start(name)


def test_crashing_request_is_refused_everywhere_after_few_crashes(own_fleet):
    """Proves: all entries refuse it at once; healthy requests complete."""
    fleet = own_fleet(
        groups=(
            layouts.Group(0, 12, 5, program.UNHURRIED),
            layouts.Group(12, 24, 2, program.UNHURRIED),
        )
    )
    with Supervisor(fleet) as platform, futures.ThreadPoolExecutor(24) as pool:
        healthy = [
            ([number], pool.submit(fleet.complete, [number], 80, 'entry-0'))
            for number in range(20)
        ]
        refused = fleet.complete(POISON, 5, 'entry-0')
        assert program.error_of(refused)['type'] == 'crashes_servers'
        assert program.error_of(refused)['outcome'] == 'may_have_run'
        for entry in fleet.entries:
            began = time.monotonic()
            again = fleet.complete(POISON, 5, entry)
            assert program.error_of(again)['type'] == 'crashes_servers'
            assert time.monotonic() - began < 1.0
        for prompt, future in healthy:
            found = program.answer_tokens(future.result())
            assert found == program.expected_tokens(prompt, 80)
    assert platform.crashes <= crash_reports.QUARANTINE_CRASH_COUNT


def test_request_that_finds_engines_dead_is_not_blamed(own_fleet):
    """Proves: a request isn't blamed for engines that were already down."""
    fleet = own_fleet(groups=(layouts.Group(0, 24, 4),), services=0)
    dead = [f'engine-e{number}' for number in range(1, 5)]
    for name in dead:
        fleet.kill(name)
    for _ in range(crash_reports.QUARANTINE_CRASH_COUNT):
        refused = fleet.complete([8], 4, **{'Burdockmast-Deadline': '0.5'})
        assert program.error_of(refused)['type'] != 'crashes_servers'
    for name in dead:
        fleet.start(name)
    program.wait_until(
        lambda: fleet.complete([8], 4).status == 200, 'served again'
    )


def test_repeated_reports_of_one_crash_count_once():
    reports = crash_reports.CrashReports()
    for _ in range(10):
        reports.add('f', 'crash1')
    assert reports.count('f') == 1
    reports.add('f', 'crash2')
    assert reports.is_suspect('f') and not reports.is_quarantined('f')
    reports.add('f', 'crash3')
    assert reports.is_quarantined('f')
    reports.clear('f')
    assert reports.count('f') == 0


def test_reports_of_the_most_reported_request_are_never_left_out():
    reports = crash_reports.CrashReports()
    for crash in ('c1', 'c2', 'c3'):
        reports.add('poison', crash)
        for number in range(100):
            reports.add(f'healthy-{crash}-{number}', crash)
    assert {c for f, c in reports.recent() if f == 'poison'} == {
        'c1',
        'c2',
        'c3',
    }
