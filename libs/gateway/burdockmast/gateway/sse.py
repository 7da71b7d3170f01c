"""Splits a stream of server-sent events.

The ids of events increase and have any number of digits: servers count, or
take the time in milliseconds or nanoseconds. They are kept as they were
written, as a server recognises its own ids.
"""

import re

from burdockmast.base import ids

_EVENT_END = re.compile(rb'\r?\n\r?\n')
LONGEST_END_BYTES = 4
_ID_FIELD = re.compile(rb'^id: ?([^\r\n]*+)', re.MULTILINE)
_DATA_FIELD = re.compile(rb'^data\b', re.MULTILINE)
# Longest id that a request to go on behind it names.
MAX_ID_BYTES = 8192


class EventSplitter:
    """Returns complete events and checks that their ids increase.

    :ivar incomplete: bytes of the event that is not complete yet
    :ivar completed_count: events that the last call of ``feed`` returned
    :ivar is_out_of_order: an event's id is not above the one before it
    :ivar is_numbered: no event with data came behind the one with ``last_id``,
        so that another run that goes on there repeats and leaves out nothing
    """

    def __init__(self, last_id: ids.EventId | None):
        """Create a splitter of a stream that resumes after ``last_id``."""
        self.incomplete = b''
        self.completed_count = 0
        self.is_out_of_order = False
        self.is_numbered = True
        self._last_id = last_id.encode('latin-1') if last_id else b''
        self._last_rank = _rank(self._last_id)

    @property
    def last_id(self) -> ids.EventId | None:
        """The last id that is a number, or the one to resume after."""
        return ids.EventId(self._last_id.decode('latin-1')) or None

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes, none if out of order."""
        # What came earlier was searched then.
        searched = max(0, len(self.incomplete) - LONGEST_END_BYTES + 1)
        data = self.incomplete + data
        start = 0
        self.completed_count = 0
        for end in _EVENT_END.finditer(data, searched):
            if not self._check_id(data, start, end.start()):
                self.is_out_of_order = True
                return b''
            self.completed_count += 1
            start = end.end()
        self.incomplete = data[start:]
        return data[:start]

    def _check_id(self, data: bytes, start: int, end: int) -> bool:
        """Take an event's id; return false if it isn't above the last one."""
        found = _ID_FIELD.search(data, start, end)
        text = found[1].strip() if found else b''
        rank = _rank(text)
        if rank is None:
            if found or _DATA_FIELD.search(data, start, end):
                self.is_numbered = False
            return True
        if self._last_rank is not None and rank <= self._last_rank:
            return False
        self._last_id, self._last_rank = text, rank
        self.is_numbered = True
        return True


def _rank(text: bytes) -> tuple[int, bytes] | None:
    """Return what orders ids as numbers, None if an id is no number."""
    if not text.isdigit() or len(text) > MAX_ID_BYTES:
        return None
    significant = text.lstrip(b'0')
    return len(significant), significant
