"""The time without tokens after which an attempt counts as stalled."""

import pytest

from burdockmast.base import timers
from burdockmast.entry import attempts
from burdockmast.entry import stalls


@pytest.fixture
def clock(monkeypatch):
    """A clock that tests set."""
    now = [100.0]
    monkeypatch.setattr(timers, 'now', lambda: now[0])
    return now


def timeout_after(clock, intervals, deadline=1000.0):
    """Return the stall timeout after tokens that came at ``intervals``."""
    attempt = attempts.Attempt(1, None, (), 0, clock[0], clock[0])
    for interval in intervals:
        clock[0] += interval
        stalls.record_progress(attempt, deadline)
    return attempt.silence_deadline - clock[0]


def test_fast_answer_gets_the_minimum_timeout(clock):
    assert timeout_after(clock, [0.03] * 50) == stalls.MIN_STALL_SECONDS


def test_slow_answer_gets_a_longer_timeout(clock):
    """Proves: an answer is not moved only because its servers are slow."""
    timeout = timeout_after(clock, [0.5] * 50)
    assert timeout == pytest.approx(
        0.5 * stalls.STALL_TOKEN_INTERVALS, rel=0.01
    )


def test_timeout_ends_at_the_deadline(clock):
    assert timeout_after(clock, [0.5] * 4, deadline=102.5) <= 0.5
