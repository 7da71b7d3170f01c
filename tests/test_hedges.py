"""Retries and hedges of calls that may be repeated."""

from concurrent import futures
import dataclasses
import math

import eventlet
import program

from burdockmast.base import failures
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.entry import hedges

WARM = 60
LOST = failures.Failure(failures.Reason.PEER_LOST, 'test')


def hedged_call(results, may_retry=lambda none_running: True, seconds=5.0):
    """Return a call whose attempts have these delays and results."""
    remaining = iter(results)

    def attempt():
        delay, result = next(remaining)
        eventlet.sleep(delay)
        return result

    return hedges.HedgedCall(attempt, may_retry, timers.now() + seconds)


def test_successful_call_needs_one_attempt():
    assert hedged_call([(0, 'first')]).run(math.inf) == 'first'


def test_failed_attempt_is_retried():
    assert hedged_call([(0, LOST), (0, 'second')]).run(math.inf) == 'second'


def test_slow_attempt_is_hedged():
    assert hedged_call([(60, 'slow'), (0, 'hedge')]).run(0.01) == 'hedge'


def test_first_attempt_goes_on_if_its_hedge_fails():
    assert hedged_call([(0.1, 'first'), (0, LOST)]).run(0.01) == 'first'


def test_no_hedge_without_retry_budget():
    call = hedged_call([(0.05, 'first')], may_retry=lambda none_running: False)
    assert call.run(0.01) == 'first'


def test_call_fails_with_the_last_failure():
    call = hedged_call([(0, LOST)] * hedges.MAX_ATTEMPTS)
    assert call.run(math.inf) is LOST


def test_outcome_is_unknown_if_any_attempt_may_have_run():
    unknown = dataclasses.replace(LOST, outcome=outcomes.Outcome.UNKNOWN)
    assert LOST.outcome is outcomes.Outcome.NOT_RUN
    result = hedged_call([(0, unknown)] + [(0, LOST)] * 3).run(math.inf)
    assert result.outcome is outcomes.Outcome.UNKNOWN


def test_hedge_waits_for_a_server_to_join():
    allowed = iter([False, False, True])
    call = hedged_call(
        [(60, 'slow'), (0, 'hedge')], lambda none_running: next(allowed)
    )
    assert call.run(0.01) == 'hedge'


def test_failed_hedge_is_followed_by_another_hedge():
    call = hedged_call([(60, 'slow'), (0, LOST), (0, 'second hedge')])
    assert call.run(0.01) == 'second hedge'


def test_deadline_ends_all_attempts():
    call = hedged_call([(60, 'slow'), (60, 'slow')], seconds=0.05)
    assert call.run(0.01).reason is failures.Reason.DEADLINE


def test_hedge_delay_is_finite_only_after_enough_calls():
    latencies = hedges.Latencies()
    for _ in range(hedges.MIN_SAMPLE_COUNT - 1):
        latencies.record(0.5)
    assert latencies.hedge_delay() == math.inf
    latencies.record(0.5)
    assert latencies.hedge_delay() == 0.5


def test_reads_do_not_wait_for_a_stalled_service(own_fleet):
    """Proves: a read is not lost with the server that it went to."""
    fleet = own_fleet()
    for _ in range(WARM):
        assert fleet.call('stock/x', method='GET').status == 200
    fleet.freeze('service-s1')
    deadline = {'Burdockmast-Deadline': '10'}
    for _ in range(20):
        reply = fleet.call('stock/x', method='GET', **deadline)
        assert reply.status == 200
    fleet.thaw('service-s1')


def test_read_goes_to_a_server_that_joins_while_it_waits(own_fleet):
    """Proves: a read is not lost with the server that it went to."""
    fleet = own_fleet()
    fleet.wait_for_services()
    fleet.kill('side-s2')
    for _ in range(WARM):
        assert fleet.call('stock/x', method='GET').status == 200
    fleet.freeze('service-s1')
    deadline = {'Burdockmast-Deadline': '30'}
    with futures.ThreadPoolExecutor(1) as pool:
        read = pool.submit(fleet.call, 'stock/x', method='GET', **deadline)
        fleet.start('side-s2')
        assert read.result().status == 200
    fleet.thaw('service-s1')


def test_command_is_never_hedged(own_fleet):
    """Proves: a call that must not be repeated is sent once, however slow."""
    fleet = own_fleet()
    for _ in range(WARM):
        fleet.call('stock/x', method='GET')
    for service in ('service-s1', 'service-s2'):
        fleet.set_faults(service, delay=0.5)
    reply = fleet.call('stock/ship', '{"slow": 1}')
    assert reply.status == 200
    program.wait_until(lambda: '{"slow": 1}' in fleet.runs(), 'counted')
    assert fleet.runs()['{"slow": 1}'] == 1
