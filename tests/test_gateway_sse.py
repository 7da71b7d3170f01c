"""Whole events of a stream, and the budget of retries."""

import pytest

from burdockmast.gateway import retries
from burdockmast.gateway import sse


def event(number):
    return b'id: %d\ndata: x\n\n' % number


@pytest.mark.parametrize('size', range(1, 20))
def test_only_whole_events_are_passed_on(size):
    data = event(1) + event(2) + b'id: 3\nda'
    reader = sse.EventSplitter(None)
    found = b''.join(
        reader.feed(data[at : at + size]) for at in range(0, len(data), size)
    )
    assert found == event(1) + event(2)
    assert reader.last == 2
    assert reader.rest == b'id: 3\nda'


@pytest.mark.parametrize('number', [1, 2])
def test_an_event_that_the_caller_has_breaks_the_stream(number):
    reader = sse.EventSplitter(2)
    assert reader.feed(event(number)) == b''
    assert reader.is_broken


def test_a_stream_goes_on_behind_the_last_event():
    reader = sse.EventSplitter(2)
    assert reader.feed(event(3)) == event(3)
    assert not reader.is_broken


def test_retries_stay_within_slack_and_share():
    budget = retries.Budget(0.2, 40, 10.0, now=lambda: 0.0)
    budget.gateway_count = 4
    for _ in range(100):
        budget.deposit('draft')
    taken = sum(budget.withdraw('draft') for _ in range(1000))
    assert taken <= 0.2 * 100 + 40 / 4
    assert taken > 0


def test_retries_come_back_with_time():
    now = [0.0]
    budget = retries.Budget(0.2, 40, 10.0, now=lambda: now[0])
    while budget.withdraw('draft'):
        pass
    now[0] = 10.1
    assert budget.withdraw('draft')
