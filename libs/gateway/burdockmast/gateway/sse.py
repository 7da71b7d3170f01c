"""Splits a stream of server-sent events."""

import re

_EVENT_END = re.compile(rb'\r?\n\r?\n')
LONGEST_END_BYTES = 4
_ID_FIELD = re.compile(rb'^id: ?([0-9]++)\r?$', re.MULTILINE)
# Most digits of an event's id, without leading zeros.
MAX_ID_DIGITS = 18


class EventSplitter:
    """Returns complete events and checks that their ids increase.

    :ivar incomplete: bytes of the event that is not complete yet
    :ivar last_id: id of the last complete event
    :ivar completed_count: events that the last call of ``feed`` returned
    :ivar is_out_of_order: an event's id is not above the one before it, or
        larger than any
    """

    def __init__(self, last_id: int | None):
        """Create a splitter of a stream that resumes after ``last_id``."""
        self.incomplete = b''
        self.last_id = last_id
        self.completed_count = 0
        self.is_out_of_order = False

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes, none if out of order."""
        # What came earlier was searched then.
        searched = max(0, len(self.incomplete) - LONGEST_END_BYTES + 1)
        data = self.incomplete + data
        start = 0
        self.completed_count = 0
        for end in _EVENT_END.finditer(data, searched):
            found = _ID_FIELD.search(data, start, end.start())
            if found:
                number = _parse_id(found[1])
                if number is None or (
                    self.last_id is not None and number <= self.last_id
                ):
                    self.is_out_of_order = True
                    return b''
                self.last_id = number
            self.completed_count += 1
            start = end.end()
        self.incomplete = data[start:]
        return data[:start]


def _parse_id(digits: bytes) -> int | None:
    """Return an event's id, None if it is larger than any."""
    significant = digits.lstrip(b'0')
    if len(significant) > MAX_ID_DIGITS:
        return None
    return int(significant or b'0')
