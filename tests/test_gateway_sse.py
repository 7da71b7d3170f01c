"""The splitter of server-sent events."""

import pytest

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
    assert splitter.last_id == '2'
    assert splitter.incomplete == b'id: 3\nda'


@pytest.mark.parametrize('number', [1, 2])
def test_an_event_that_the_caller_has_is_out_of_order(number):
    splitter = sse.EventSplitter('2')
    assert splitter.feed(event(number)) == b''
    assert splitter.is_out_of_order


@pytest.mark.parametrize('digits', [13, 19, 5000])
def test_ids_of_many_digits_are_compared(digits):
    """Guards against ids at which a stream failed, or its task did."""
    splitter = sse.EventSplitter(None)
    larger, largest = b'8' + b'9' * (digits - 1), b'9' * digits
    for number in (b'7', larger, largest):
        assert splitter.feed(b'id: ' + number + b'\n\n')
        assert splitter.last_id == number.decode()
    assert splitter.feed(b'id: ' + larger + b'\n\n') == b''
    assert splitter.is_out_of_order


def test_leading_zeros_of_an_id_are_no_digits():
    splitter = sse.EventSplitter('2')
    sent = b'id: ' + b'0' * 5000 + b'3\n\n'
    assert splitter.feed(sent) == sent
    assert splitter.last_id == '0' * 5000 + '3'
    assert splitter.feed(event(3)) == b''
    assert splitter.is_out_of_order


@pytest.mark.parametrize(
    ('sent', 'is_numbered'),
    [
        (event(3), True),
        (event(3) + b': a comment\n\n', True),
        (b'id:  3 \r\ndata: x\r\n\r\n', True),
        (event(3) + b'data: x\n\n', False),
        (event(3) + b'id: a\ndata: x\n\n', False),
        (b'id: a\ndata: x\n\n' + event(3), True),
        (b'id: ' + b'9' * 9000 + b'\n\n', False),
    ],
)
def test_a_stream_is_numbered_up_to_its_last_event(sent, is_numbered):
    """Guards against a resumption that repeats events without a number."""
    splitter = sse.EventSplitter('2')
    assert splitter.feed(sent) == sent
    assert splitter.is_numbered == is_numbered


def test_a_stream_resumes_after_the_last_event():
    splitter = sse.EventSplitter('2')
    assert splitter.feed(event(3)) == event(3)
    assert not splitter.is_out_of_order


def test_an_event_without_end_is_searched_once():
    """Searching it anew with each piece took the processor from others."""
    splitter = sse.EventSplitter(None)
    searched = []

    class Pattern:
        def finditer(self, data, start=0):
            searched.append(len(data) - start)
            return iter(())

    pattern, sse._EVENT_END = sse._EVENT_END, Pattern()
    try:
        for _ in range(100):
            splitter.feed(b'x' * 1000)
    finally:
        sse._EVENT_END = pattern
    assert sum(searched) < 2 * 100 * 1000
