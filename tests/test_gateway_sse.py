"""The splitter of server-sent events and the retry budget."""

import pytest

from burdockmast.gateway import retries
from burdockmast.gateway import sse


def event(number):
    return b'id: %d\ndata: x\n\n' % number


@pytest.mark.parametrize('size', range(1, 20))
def test_only_complete_events_are_forwarded(size):
    data = event(1) + event(2) + b'id: 3\nda'
    splitter = sse.EventSplitter(None)
    found = b''.join(
        splitter.feed(data[at : at + size]) for at in range(0, len(data), size)
    )
    assert found == event(1) + event(2)
    assert splitter.last_id == 2
    assert splitter.incomplete == b'id: 3\nda'


@pytest.mark.parametrize('number', [1, 2])
def test_an_event_that_the_caller_has_is_out_of_order(number):
    splitter = sse.EventSplitter(2)
    assert splitter.feed(event(number)) == b''
    assert splitter.is_out_of_order


def test_a_stream_resumes_after_the_last_event():
    splitter = sse.EventSplitter(2)
    assert splitter.feed(event(3)) == event(3)
    assert not splitter.is_out_of_order


def test_retries_stay_within_slack_and_ratio():
    budget = retries.Budget(0.2, 40, 10.0, now=lambda: 0.0)
    budget.gateway_count = 4
    for _ in range(100):
        budget.deposit('draft')
    taken = sum(budget.withdraw('draft') for _ in range(1000))
    assert taken <= 0.2 * 100 + 40 / 4
    assert taken > 0


def test_retries_are_allowed_again_after_the_window():
    now = [0.0]
    budget = retries.Budget(0.2, 40, 10.0, now=lambda: now[0])
    while budget.withdraw('draft'):
        pass
    now[0] = 10.1
    assert budget.withdraw('draft')


def test_retries_of_new_requests_leave_some_to_streams_that_have_begun():
    """A stream that is cut costs its caller more than a refusal."""
    budget = retries.Budget(0.2, 40, 10.0, now=lambda: 0.0)
    budget.gateway_count = 1
    while budget.withdraw('llm'):
        pass
    assert budget.withdraw('llm', has_begun=True)


def test_retries_of_begun_streams_and_new_requests_stay_within_one_budget():
    budget = retries.Budget(0.2, 40, 10.0, now=lambda: 0.0)
    budget.gateway_count = 4
    for _ in range(100):
        budget.deposit('llm')
    taken = sum(
        budget.withdraw('llm', has_begun=number % 2 == 0)
        for number in range(1000)
    )
    assert 0 < taken <= 0.2 * 100 + 40 / 4
    assert not budget.can_withdraw('llm')
