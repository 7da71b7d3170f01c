"""Answers that would come too late are refused before they begin."""

from concurrent import futures

import program
import pytest

from burdockmast.entry import durations
from burdockmast.standins import layouts

# One answer at a time, of 24 ms a token.
NARROW = {'groups': (layouts.Group(0, 24, 1, program.UNHURRIED),), 'slots': 1}


def test_nothing_is_expected_of_a_model_without_answers():
    assert durations.AnswerDurations().expected_seconds('draft', 100) == 0.0


def test_expected_time_follows_tokens_given_not_allowed():
    recorded = durations.AnswerDurations()
    for _ in range(100):
        recorded.record('draft', 50, 200, 5.0)
    assert recorded.expected_seconds('draft', 200) == pytest.approx(5.0)
    assert recorded.expected_seconds('draft', 400) == pytest.approx(10.0)


def test_answer_that_could_not_be_whole_is_refused_early(own_fleet):
    """Proves: load is shed early, and the refusal is honest and at once."""
    fleet = own_fleet(**NARROW, entries=1)
    for number in range(3):
        program.answer_tokens(fleet.complete([number], 20))
    with futures.ThreadPoolExecutor(1) as pool:
        long = pool.submit(fleet.complete, [9], 200, stream=True)
        program.wait_until(
            lambda: fleet.get_json('engine-e1', '/v1/status')['sequences'],
            'at work',
        )
        # 100 tokens take more than its 2 s, once it has to wait at all.
        late = fleet.complete([1], 100, **{'Burdockmast-Deadline': '2'})
        error = program.error_of(late)
        assert error['type'] == 'overloaded'
        assert error['outcome'] == 'not_run'
        assert error['retry_after'] > 0
        assert not long.done()
        tokens = program.streamed_tokens(long.result(60).data)
        assert tokens == program.expected_tokens([9], 200)


def test_idle_server_tries_what_may_be_late(own_fleet):
    """Proves: nothing is refused for a guess while there is room."""
    fleet = own_fleet(**NARROW, entries=1)
    program.answer_tokens(fleet.complete([1], 20))
    late = fleet.complete([2], 100, **{'Burdockmast-Deadline': '1'})
    assert program.error_of(late)['type'] == 'deadline_exceeded'
