"""Events of processes, ordered without synchronised clocks.

Each process stamps its events with a Lamport clock, which messages carry.
Sorting by that stamp puts every cause before its effect.
"""

import collections
from collections.abc import Callable
import dataclasses
import time
from typing import Any

from burdockmast.base import ids

# Newest events that each process keeps in memory.
MAX_EVENTS = 5000


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """An event in one process.

    :ivar clock: Lamport time stamp, larger than that of any cause
    :ivar number: sequence number in the process
    :ivar wall: wall clock time of the process, in seconds since the epoch
    :ivar request: id of the request concerned, empty if none
    :ivar what: name of the event
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
        """Key that gives the events of all processes one total order."""
        return (self.clock, self.process, self.number)


class Timeline:
    """The newest events of one process.

    :ivar subscribers: called with each new event
    """

    def __init__(self, process: str):
        """Create an empty timeline of ``process``."""
        self.process = process
        self.clock = 0
        self.subscribers: list[Callable[[Event], None]] = []
        self._number = 0
        self._events: collections.deque[Event] = collections.deque(
            maxlen=MAX_EVENTS
        )

    def advance_clock(self, clock: int) -> None:
        """Advance the Lamport clock to the stamp of a received message."""
        if clock > self.clock:
            self.clock = clock

    def add(
        self, what: str, request: ids.RequestId | str = '', **fields: Any
    ) -> int:
        """Record an event and return its stamp, for messages about it."""
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
        """Return the newest events, only those of ``request`` if given."""
        selected = [
            e for e in self._events if not request or e.request == request
        ]
        return selected[-limit:]


def merge(timelines: list[list[Event]]) -> list[Event]:
    """Merge the events of several processes into one ordered list.

    Events that occur more than once are kept once.
    """
    event_by_sort_key = {
        event.sort_key: event for events in timelines for event in events
    }
    return [event_by_sort_key[key] for key in sorted(event_by_sort_key)]
