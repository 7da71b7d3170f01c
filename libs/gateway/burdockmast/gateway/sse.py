"""Finds whole events in the bytes of a stream."""

import re

_END = re.compile(rb'\r?\n\r?\n')
_ID = re.compile(rb'^id: ?(\d+)\r?$', re.MULTILINE)


class EventSplitter:
    """Splits a stream after whole events, and follows their ids.

    :ivar rest: bytes of an event that is not complete
    :ivar last: id of the last whole event
    :ivar count: whole events in the last call
    :ivar is_broken: an event does not follow the one before it
    """

    def __init__(self, last: int | None):
        """Create a reader of a stream behind event ``last``."""
        self.rest = b''
        self.last = last
        self.count = 0
        self.is_broken = False

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are complete now."""
        data = self.rest + data
        start = 0
        self.count = 0
        for end in _END.finditer(data):
            found = _ID.search(data, start, end.start())
            if found:
                number = int(found[1])
                if self.last is not None and number <= self.last:
                    self.is_broken = True
                    return b''
                self.last = number
            self.count += 1
            start = end.end()
        self.rest = data[start:]
        return data[:start]
