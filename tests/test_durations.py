"""Answers that can't complete before their deadline are refused early."""

from concurrent import futures

import program
import pytest

from burdockmast.entry import durations
from burdockmast.standins import layouts

# One answer at a time, at 24 ms per token.
ONE_SLOT = {
    'groups': (layouts.Group(0, 24, 1, program.UNHURRIED),),
    'slots': 1,
}


def test_expected_time_of_a_model_without_answers_is_zero():
    assert durations.AnswerDurations().expected_seconds('draft', 100) == 0.0


def test_expected_time_follows_generated_tokens_not_the_limit():
    recorded = durations.AnswerDurations()
    for _ in range(100):
        recorded.record('draft', 50, 200, 5.0)
    assert recorded.expected_seconds('draft', 200) == pytest.approx(5.0)
    assert recorded.expected_seconds('draft', 400) == pytest.approx(10.0)


def test_answer_that_can_not_complete_in_time_is_refused_early(own_fleet):
    """Proves: load is shed early, and the refusal is immediate and correct."""
    fleet = own_fleet(**ONE_SLOT, entries=1)
    for number in range(3):
        program.answer_tokens(fleet.complete([number], 20))
    with futures.ThreadPoolExecutor(1) as pool:
        long = pool.submit(fleet.complete, [9], 200, stream=True)
        program.wait_until(
            lambda: fleet.get_json('engine-e1', '/v1/status')['sequences'],
            'running',
        )
        # 100 tokens at 24 ms each exceed the deadline of 2 s. The estimate
        # counts only for requests that have to wait.
        late = fleet.complete([1], 100, **{'Burdockmast-Deadline': '2'})
        error = program.error_of(late)
        assert error['type'] == 'overloaded'
        assert error['outcome'] == 'not_run'
        assert error['retry_after'] > 0
        assert not long.done()
        tokens = program.streamed_tokens(long.result(60).data)
        assert tokens == program.expected_tokens([9], 200)


def test_idle_server_starts_an_answer_that_may_be_late(own_fleet):
    """Proves: no request is refused by an estimate while a slot is free."""
    fleet = own_fleet(**ONE_SLOT, entries=1)
    program.answer_tokens(fleet.complete([1], 20))
    late = fleet.complete([2], 100, **{'Burdockmast-Deadline': '1'})
    assert program.error_of(late)['type'] == 'deadline_exceeded'
