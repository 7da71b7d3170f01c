"""When an answer counts as standing still."""

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


def patience_after(clock, pauses, deadline=1000.0):
    """Return the seconds that an attempt may be silent after its pauses."""
    attempt = attempts.Attempt(1, None, (), 0, clock[0], clock[0])
    for pause in pauses:
        clock[0] += pause
        stalls.record_progress(attempt, deadline)
    return attempt.silence_deadline - clock[0]


def test_quick_answer_is_given_the_shortest_patience(clock):
    assert patience_after(clock, [0.03] * 50) == stalls.MIN_STALL_SECONDS


def test_slow_answer_is_given_more(clock):
    """Proves: an answer is not moved only because its servers are slow."""
    patience = patience_after(clock, [0.5] * 50)
    assert patience == pytest.approx(
        0.5 * stalls.STALL_TOKEN_INTERVALS, rel=0.01
    )


def test_patience_ends_with_the_deadline(clock):
    assert patience_after(clock, [0.5] * 4, deadline=102.5) <= 0.5
