"""Queueing and refusing on the heaviest days, judged by what callers get."""

import collections
import heapq
import math
import random

import eventlet
import pytest

from burdockmast.base import timers
from burdockmast.limits import queues
from burdockmast.limits import retryschedule

SERVED_A_SECOND = 20
PACE = 1 / SERVED_A_SECOND
# Callers of a burst, all within its first half second.
BURST = 400
NEWCOMERS_A_SECOND = 8
DEADLINE_SECONDS = 60.0
SEEDS = range(10)


@pytest.fixture
def clock(monkeypatch):
    now = [1000.0]
    monkeypatch.setattr(timers, 'now', lambda: now[0])
    return now


def flooded(clock, organisation, count):
    """Return a busy queue in which one organisation's requests wait."""
    queue = queues.FairQueue(512)
    for _ in range(count):
        waiter = queues.Waiter(organisation, 1, 1.0)
        eventlet.spawn(queue.wait, waiter, 600.0)
    eventlet.sleep(0)
    for _ in range(100):
        clock[0] += PACE
        queue.wake()
        waiter = queues.Waiter(organisation, 1, 1.0)
        eventlet.spawn(queue.wait, waiter, 600.0)
        eventlet.sleep(0)
    return queue


def is_refused(queue, waiter, seconds):
    """Tell whether a request is refused at once instead of waiting."""
    task = eventlet.spawn(queue.wait, waiter, seconds)
    eventlet.sleep(0)
    if not task.dead:
        task.kill()
        return False
    return task.wait() is not None


def test_small_organisation_is_not_refused_for_the_queue_of_a_large_one(
    clock,
):
    """Load: a large organisation's rush, far beyond what is served.

    Its own requests would wait for 15 s; one of another organisation is
    next but one.
    """
    queue = flooded(clock, 'large', 300)
    small = queues.Waiter('small', 1, 1.0)
    assert not is_refused(queue, small, 2.0)
    large = queues.Waiter('large', 1, 1.0)
    assert is_refused(queue, large, 2.0)


def test_urgent_request_is_not_refused_for_those_behind_it(clock):
    queue = flooded(clock, 'large', 300)
    urgent = queues.Waiter('large', 2, 1.0)
    assert not is_refused(queue, urgent, 2.0)


def test_heavier_organisation_expects_a_shorter_wait(clock):
    queue = flooded(clock, 'large', 300)
    for _ in range(50):
        for name, weight in (('heavy', 4.0), ('light', 1.0)):
            waiter = queues.Waiter(name, 1, weight)
            eventlet.spawn(queue.wait, waiter, 600.0)
    eventlet.sleep(0)
    heavy = queue.expected_wait(queues.Waiter('heavy', 1, 4.0))
    light = queue.expected_wait(queues.Waiter('light', 1, 1.0))
    assert heavy < light < queue.expected_wait(queues.Waiter('large', 1, 1.0))


def test_expected_wait_is_what_a_request_then_waits(clock):
    """A refusal for the expected wait is right only if that is right."""
    queue = flooded(clock, 'large', 60)
    waiter = queues.Waiter('small', 1, 1.0)
    behind = [queues.Waiter('small', 1, 1.0) for _ in range(9)]
    for one in behind:
        eventlet.spawn(queue.wait, one, 600.0)
    eventlet.sleep(0)
    expected = queue.expected_wait(waiter)
    task = eventlet.spawn(queue.wait, waiter, 600.0)
    eventlet.sleep(0)
    began = clock[0]
    while not task.dead:
        clock[0] += PACE
        queue.wake()
        eventlet.sleep(0)
    assert clock[0] - began == pytest.approx(expected, abs=2.5 * PACE)


class Rush:
    """Callers of one burst at a server with a short queue.

    Each refused caller comes back when it is told to, in whole seconds as
    the header has it.
    """

    QUEUE = 40

    def __init__(self, plan, seed):
        self.plan = plan
        self.random = random.Random(seed)
        self.refusals_by_caller = collections.Counter()
        self.returns_by_second = collections.Counter()
        self.served_at_by_caller = {}

    def play(self, seconds):
        arrivals = [
            (self.random.uniform(0, 0.5), caller) for caller in range(BURST)
        ]
        newcomers = int(seconds * NEWCOMERS_A_SECOND)
        arrivals += [
            (self.random.uniform(0, seconds), BURST + number)
            for number in range(newcomers)
        ]
        heapq.heapify(arrivals)
        waiting = collections.deque()
        now = 0.0
        while now < seconds:
            now += PACE
            while arrivals and arrivals[0][0] <= now:
                at, caller = heapq.heappop(arrivals)
                if len(waiting) < self.QUEUE:
                    waiting.append(caller)
                    continue
                self.refusals_by_caller[caller] += 1
                back = at + math.ceil(self.plan(at, PACE * len(waiting)))
                self.returns_by_second[int(back)] += 1
                heapq.heappush(arrivals, (back, caller))
            if waiting:
                self.served_at_by_caller[waiting.popleft()] = now
        return self


def same_for_all(now, wait):
    """The plan before: everybody is told the expected wait."""
    return min(max(wait, 0.5), 30.0)


def one_by_one(seed):
    schedule = retryschedule.RetrySchedule(random.Random(seed))
    return lambda now, wait: schedule.next_delay(now, wait, PACE)


@pytest.mark.parametrize('seed', SEEDS)
def test_refused_callers_do_not_come_back_as_one_wave(seed):
    """Load: twenty times what is served, within half a second."""
    rush = Rush(one_by_one(seed), seed).play(90)
    assert max(rush.returns_by_second.values()) <= SERVED_A_SECOND


@pytest.mark.parametrize('seed', SEEDS)
def test_callers_of_a_rush_are_refused_a_few_times(seed):
    """Within a deadline of a minute nobody has to come back thrice."""
    before = Rush(same_for_all, seed).play(90)
    after = Rush(one_by_one(seed), seed).play(90)
    most = 1 + DEADLINE_SECONDS / retryschedule.MAX_DELAY_SECONDS
    assert max(after.refusals_by_caller.values()) <= most
    assert after.refusals_by_caller.total() < (
        0.5 * before.refusals_by_caller.total()
    )
    # Nobody pays for it with being served: as many are.
    assert len(after.served_at_by_caller) >= len(before.served_at_by_caller)


@pytest.mark.parametrize('seed', SEEDS)
def test_who_was_refused_first_comes_back_first(seed):
    schedule = one_by_one(seed)
    backs = [n * 0.001 + schedule(n * 0.001, 2.0) for n in range(200)]
    assert backs == sorted(backs)


def test_plan_never_exceeds_the_ceiling():
    schedule = one_by_one(1)
    for number in range(100_000):
        seconds = schedule(number * 1e-6, 2.0)
        assert (
            retryschedule.MIN_DELAY_SECONDS
            <= seconds
            <= retryschedule.MAX_DELAY_SECONDS
        )


def test_quiet_time_leaves_no_plan_behind():
    schedule = one_by_one(1)
    for _ in range(300):
        schedule(0.0, 1.0)
    assert schedule(100.0, 1.0) == pytest.approx(1.0)
