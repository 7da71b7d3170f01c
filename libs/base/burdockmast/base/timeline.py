"""The time line of events, ordered without trusting clocks to agree.

Each process stamps its events with a Lamport clock, which messages carry
along. Sorting by that stamp puts every cause before its effect.
"""

import collections
from collections.abc import Callable
import dataclasses
import time
from typing import Any

from burdockmast.base import ids

# Events kept in memory by each process.
MAX_EVENTS = 5000


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One thing that happened in one process.

    :ivar clock: Lamport stamp; larger than that of any cause
    :ivar wall: seconds since the epoch by the process's own clock
    """

    clock: int
    process: str
    number: int
    wall: float
    request: str
    what: str
    fields: dict[str, Any]

    @property
    def sort_key(self) -> tuple[int, str, int]:
        """Key that sorts events of many processes consistently."""
        return (self.clock, self.process, self.number)


class Timeline:
    """Bounded record of the events of one process."""

    def __init__(self, process: str):
        """Create an empty record of ``process``."""
        self.process = process
        self.clock = 0
        self.subscribers: list[Callable[[Event], None]] = []
        self._number = 0
        self._events: collections.deque[Event] = collections.deque(
            maxlen=MAX_EVENTS
        )

    def advance_clock(self, clock: int) -> None:
        """Take in the stamp of a received message."""
        if clock > self.clock:
            self.clock = clock

    def add(
        self, what: str, request: ids.RequestId | str = '', **fields: Any
    ) -> int:
        """Record an event and return its stamp, to send along."""
        self.clock += 1
        self._number += 1
        event = Event(
            self.clock,
            self.process,
            self._number,
            time.time(),
            request,
            what,
            fields,
        )
        self._events.append(event)
        for subscriber in self.subscribers:
            subscriber(event)
        return self.clock

    def select(
        self, request: str = '', limit: int = MAX_EVENTS
    ) -> list[Event]:
        """Return the newest events, of one request if it is given."""
        chosen = [
            e for e in self._events if not request or e.request == request
        ]
        return chosen[-limit:]


def merge(records: list[list[Event]]) -> list[Event]:
    """Merge the events of many processes into one time line.

    A process that was asked twice counts once.
    """
    event_by_order = {
        event.sort_key: event for record in records for event in record
    }
    return [event_by_order[order] for order in sorted(event_by_order)]
