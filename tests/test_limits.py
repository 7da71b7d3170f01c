"""Admission queue, retry budgets, and the paths of each policy."""

import collections
import random
import time

import eventlet
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from burdockmast.base import failures
from burdockmast.fleet import changes
from burdockmast.limits import budgets
from burdockmast.limits import queues
from burdockmast.routing import loads
from burdockmast.routing import paths
from burdockmast.routing import policies
from burdockmast.wire import messages


def enqueue(queue, requests):
    """Let requests wait; return their outcomes in order, kept up to date."""
    outcomes = []

    def wait(name, priority, weight):
        waiter = queues.Waiter(name, priority, weight)
        refusal = queue.wait(waiter, 5.0)
        outcomes.append((name, refusal))

    for name, priority, weight in requests:
        eventlet.spawn(wait, name, priority, weight)
    # The first switch lets requests wait, the second delivers refusals.
    eventlet.sleep(0)
    eventlet.sleep(0)
    return outcomes


def admitted_names(outcomes):
    return [name for name, refusal in outcomes if refusal is None]


def test_request_that_is_woken_as_its_time_ends_is_admitted():
    queue = queues.FairQueue(100)
    waiting = eventlet.spawn(queue.wait, queues.Waiter('a', 5, 1.0), 0.01)
    eventlet.sleep(0)
    # The time ends while no other task runs, as in a suspended process.
    time.sleep(0.02)
    queue.wake()
    assert waiting.wait() is None


def test_request_that_is_ended_while_it_waits_leaves_the_queue():
    queue = queues.FairQueue(100)
    ended = [
        eventlet.spawn(queue.wait, queues.Waiter('a', 5, 1.0), 5.0)
        for _ in range(2)
    ]
    eventlet.sleep(0)
    other = eventlet.spawn(queue.wait, queues.Waiter('a', 5, 1.0), 5.0)
    eventlet.sleep(0)
    ended[0].kill()
    assert len(queue) == 2
    # The second is woken and ended in the same turn of the event loop.
    queue.wake()
    ended[1].kill()
    assert other.wait() is None
    assert not len(queue)


def test_large_organisation_does_not_crowd_out_small_ones():
    queue = queues.FairQueue(100)
    outcomes = enqueue(
        queue, [('large', 1, 1.0)] * 40 + [('small', 1, 1.0)] * 5
    )
    for _ in range(10):
        queue.wake()
        eventlet.sleep(0)
    assert collections.Counter(admitted_names(outcomes)) == {
        'large': 5,
        'small': 5,
    }


def test_shares_follow_weights():
    queue = queues.FairQueue(100)
    outcomes = enqueue(queue, [('a', 1, 3.0)] * 40 + [('b', 1, 1.0)] * 40)
    for _ in range(20):
        queue.wake()
        eventlet.sleep(0)
    assert collections.Counter(admitted_names(outcomes)) == {'a': 15, 'b': 5}


def test_higher_priority_goes_first():
    queue = queues.FairQueue(100)
    outcomes = enqueue(queue, [('low', 0, 1.0)] * 3 + [('high', 2, 1.0)] * 3)
    queue.wake(3)
    eventlet.sleep(0)
    assert admitted_names(outcomes) == ['high'] * 3


def test_requests_that_can_be_in_time_go_before_late_ones(clock):
    queue = queues.FairQueue(100)
    admitted = []

    def wait(name, in_time_until):
        waiter = queues.Waiter(name, 5, 1.0, in_time_until)
        if queue.wait(waiter, 5.0) is None:
            admitted.append(name)

    eventlet.spawn(wait, 'late', clock.now + 0.2)
    eventlet.spawn(wait, 'fresh', clock.now + 0.9)
    eventlet.sleep(0)
    clock.now += 0.5
    queue.wake(1)
    eventlet.sleep(0)
    assert admitted == ['fresh']
    queue.wake(1)
    eventlet.sleep(0)
    assert admitted == ['fresh', 'late']


def test_full_queue_refuses_largest_organisation_with_retry_after():
    queue = queues.FairQueue(10)
    outcomes = enqueue(
        queue, [('large', 1, 1.0)] * 10 + [('small', 1, 1.0)] * 2
    )
    refused = [(name, refusal) for name, refusal in outcomes if refusal]
    assert [name for name, _ in refused] == ['large', 'large']
    for _, refusal in refused:
        assert refusal.reason is failures.Reason.OVERLOADED
        assert refusal.retry_after > 0


def test_wait_beyond_the_deadline_is_refused_at_once():
    queue = queues.FairQueue(100)
    enqueue(queue, [('a', 1, 1.0)] * 50)
    for _ in range(10):
        queue.wake()
        eventlet.sleep(0.005)
    waiter = queues.Waiter('a', 1, 1.0)
    refusal = queue.wait(waiter, 0.01)
    assert refusal.reason is failures.Reason.OVERLOADED


def test_retries_are_a_small_share_of_requests():
    budget = budgets.RetryBudget(ratio=0.2, reserve=10)
    for _ in range(10):
        assert budget.withdraw()
    assert not budget.withdraw()
    for _ in range(100):
        budget.deposit()
    assert sum(budget.withdraw() for _ in range(100)) == 10


def table_of(ranges, layer_ns=1000, running=0, slots=64):
    table = loads.LoadTable()
    servers = []
    for number, (first, end) in enumerate(ranges):
        name = f'e{number}'
        servers.append(changes.Server(name, f'127.0.0.1:{number + 1}', 'za'))
        held = (messages.LayerRange('draft', first, end),)
        load = messages.Load(name, running, slots, layer_ns, False, held)
        table.apply_report(load, 1.0)
    return table, servers


POLICIES = [
    policies.LowestCost(),
    policies.ShortestPath(),
    policies.LeastLoaded(),
    policies.RoundRobin(),
]
RANGE = strategies.tuples(
    strategies.integers(0, 23), strategies.integers(1, 24)
).filter(lambda r: r[0] < r[1])


@pytest.mark.parametrize('policy', POLICIES)
@given(ranges=strategies.lists(RANGE, min_size=1, max_size=12))
@settings(derandomize=True, max_examples=100, deadline=None)
def test_path_runs_each_layer_once_in_order_or_there_is_none(policy, ranges):
    """Proves: every layer once, in order, over any overlapping ranges.

    Ranges may also leave gaps, or be held by several servers.
    """
    table, servers = table_of(ranges)
    router = paths.Router(table, policy, seed=1)
    path = router.choose(changes.Model('draft', 24), servers)
    covered = 0
    for first, end in sorted(ranges):
        if first <= covered:
            covered = max(covered, end)
    if covered < 24:
        assert path.reason is failures.Reason.NO_PATH
        return
    held = {s.id: r for s, r in zip(servers, ranges, strict=True)}
    reached = 0
    for hop in path:
        first, end = held[hop.server]
        assert first <= hop.first == reached < hop.end <= end
        reached = hop.end
    assert reached == 24


def test_slow_server_is_avoided_and_full_one_is_not_used():
    table, servers = table_of([(0, 24)] * 3)
    for name, running, step in (('e0', 0, 9000), ('e1', 64, 100)):
        held = (messages.LayerRange('draft', 0, 24),)
        load = messages.Load(name, running, 64, step, False, held)
        table.apply_report(load, 1.0)
    router = paths.Router(table, policies.LowestCost(), seed=1)
    path = router.choose(changes.Model('draft', 24), servers)
    assert [hop.server for hop in path] == ['e2']


def test_own_attempts_count_until_the_next_report():
    table, servers = table_of([(0, 24)], slots=2)
    router = paths.Router(table, policies.LowestCost(), seed=1)
    model = changes.Model('draft', 24)
    for _ in range(2):
        table.add_attempt(router.choose(model, servers))
    full = router.choose(model, servers)
    assert full.reason is failures.Reason.OVERLOADED


def test_sampling_is_repeatable_with_a_seed():
    ranges = [(0, 24)] * 20
    rng = random.Random(5)
    chosen = []
    for _ in range(2):
        table, servers = table_of(ranges, layer_ns=rng.choice([1000]))
        router = paths.Router(table, policies.LowestCost(), seed=7)
        path = router.choose(changes.Model('draft', 24), servers)
        chosen.append([hop.server for hop in path])
    assert chosen[0] == chosen[1]
