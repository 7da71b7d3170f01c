"""Crashes that the list of servers shows after an answer was broken off."""

import pytest

from burdockmast.gateway import backends
from burdockmast.gateway import crash_suspects
from burdockmast.gateway import server_states
from burdockmast.gateway.crashes import broken_attempts

Fate = server_states.Fate


class Fleet:
    """A gateway's records, and what the list shows of servers."""

    def __init__(self, clock):
        self.clock = clock
        self.fate_by_server = {}
        self.suspects = crash_suspects.CrashSuspects(lambda: clock.now)
        self.broken = broken_attempts.BrokenAttempts(
            self.suspects,
            lambda server: self.fate_by_server.get(server.id, Fate.RUNS),
            lambda: clock.now,
        )

    def send(self, number, fingerprint='deadly'):
        server = backends.BackendServer(
            f'i-{number}', 'app', f'h:{number}', 'a', True,
            backends.NO_LAYERS, '', 1, 1,
        )  # fmt: skip
        return self.suspects.track((fingerprint,), server)

    def break_off(self, number, fingerprint='deadly'):
        attempt = self.send(number, fingerprint)
        self.clock.now += 0.01
        self.broken.add(attempt)
        self.suspects.untrack(attempt)

    def run_well(self, number, fingerprint='deadly'):
        attempt = self.send(number, fingerprint)
        self.clock.now += 0.01
        self.suspects.record_answer(attempt)
        self.broken.record_answer(attempt)
        self.suspects.untrack(attempt)

    def show(self, number, fate):
        self.fate_by_server[f'i-{number}'] = fate
        self.broken.check()


@pytest.fixture
def fleet(clock):
    return Fleet(clock)


def test_a_broken_answer_alone_is_no_crash(fleet):
    fleet.break_off(1)
    fleet.broken.check()
    assert fleet.suspects.count('deadly') == 0


def test_a_server_that_ended_after_it_broke_off_an_answer_crashed(fleet):
    fleet.break_off(1)
    fleet.clock.now += 3.0
    fleet.show(1, Fate.ENDED)
    assert fleet.suspects.count('deadly') == 1


def test_three_such_crashes_reject_a_request(fleet):
    for number in range(3):
        fleet.break_off(number)
        fleet.clock.now += 1.0
    for number in range(3):
        fleet.show(number, Fate.ENDED)
    assert fleet.suspects.judge(['deadly']) is crash_suspects.Verdict.REJECT


def test_each_crash_counts_once(fleet):
    fleet.break_off(1)
    fleet.show(1, Fate.ENDED)
    fleet.broken.check()
    assert fleet.suspects.count('deadly') == 1


def test_a_request_that_ran_well_since_the_crash_is_not_accused(fleet):
    fleet.break_off(1)
    fleet.run_well(2)
    fleet.show(1, Fate.ENDED)
    assert fleet.suspects.count('deadly') == 0


def test_a_server_that_answers_later_requests_has_not_crashed(fleet):
    fleet.break_off(1)
    fleet.clock.now += 0.1
    fleet.run_well(1, 'other')
    fleet.show(1, Fate.ENDED)
    assert fleet.suspects.count('deadly') == 0


def test_answers_to_earlier_requests_may_be_from_before_the_crash(fleet):
    earlier = fleet.send(1, 'other')
    fleet.break_off(1)
    fleet.broken.record_answer(earlier)
    fleet.show(1, Fate.ENDED)
    assert fleet.suspects.count('deadly') == 1


@pytest.mark.parametrize('fate', [Fate.LEAVES, Fate.ENDED])
def test_a_server_that_leaves_or_had_ended_is_no_sign(fleet, fate):
    fleet.fate_by_server['i-1'] = fate
    fleet.break_off(1)
    fleet.show(1, Fate.ENDED)
    assert fleet.suspects.count('deadly') == 0


def test_a_server_that_leaves_after_it_broke_off_an_answer_is_no_sign(fleet):
    fleet.break_off(1)
    fleet.show(1, Fate.LEAVES)
    fleet.show(1, Fate.ENDED)
    assert fleet.suspects.count('deadly') == 0


def test_an_end_long_after_a_broken_answer_is_another_matter(fleet):
    fleet.break_off(1)
    fleet.clock.now += broken_attempts.MAX_OUTAGE_SECONDS + 0.1
    fleet.show(1, Fate.ENDED)
    assert fleet.suspects.count('deadly') == 0


def test_broken_attempts_of_a_server_are_bounded(fleet, monkeypatch):
    monkeypatch.setattr(broken_attempts, 'MAX_ATTEMPTS', 2)
    for number in range(3):
        fleet.break_off(1, f'request {number}')
    fleet.show(1, Fate.ENDED)
    counts = [fleet.suspects.count(f'request {n}') for n in range(3)]
    assert counts == [0, 1, 1]
