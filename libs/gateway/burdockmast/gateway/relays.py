"""Passes what a few gateways learn from the store on to their neighbours.

Each call to the store has a price, a waiting watch included, so that a watch
of each gateway costs more the more gateways there are. In each availability
zone only the first few gateways watch the store. They tell the others which
objects have changed, and until when nothing else has.

Ages are safe against delayed messages and suspended instances: a watcher
returns the last time stamp that it received from a neighbour, and the
neighbour counts from that stamp by its own clock.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Protocol

import msgspec

from burdockmast.base import timers

# Largest encoded size of the changes of one message. Neighbours that miss
# changes ask the store themselves.
MAX_CHANGES_BYTES = 32000
# Largest difference of two instances' clocks over the time that a time stamp
# is on its way.
MAX_DRIFT_SECONDS = 0.01


class FeedNews(msgspec.Struct, frozen=True, array_like=True):
    """What a watcher knows of one kind of objects.

    :ivar revision: of the store up to which the watcher's copy is complete
    :ivar changed_revision: not lower than the revision of the last change
    :ivar age: seconds since the copy was last known to be current
    :ivar outage_end_age: seconds since the store last returned from an outage,
        or None
    :ivar from_revision: revision after which ``changes`` are complete
    :ivar changes: name and encoded object, None if it was deleted
    :ivar corrected_revision: of the last listing that showed what watches had
        not told; copies that were listed before may lack it
    :ivar era: number of the store's history, whose revisions these are
    """

    kind: str
    revision: int
    changed_revision: int
    age: float
    outage_end_age: float | None
    from_revision: int
    changes: list[tuple[str, bytes | None]]
    corrected_revision: int = 0
    era: int = 0


class StoreNews(msgspec.Struct, frozen=True, array_like=True):
    """What a watcher tells its neighbours.

    :ivar heard: for each neighbour, its last time stamp and the seconds since
        that was received
    """

    heard: dict[str, tuple[float, float]]
    feeds: list[FeedNews]


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Changes of the store between two revisions.

    :ivar received_at: monotonic seconds
    """

    from_revision: int
    revision: int
    changes: list[tuple[str, bytes | None]]
    received_at: float


def contiguous_changes(
    batches: Sequence[Batch],
) -> tuple[int, list[tuple[str, bytes | None]]]:
    """Return the last changes, and the revision after which they begin.

    Earlier batches are left out if there may be others in between, which a
    neighbour has told.
    """
    changes: list[tuple[str, bytes | None]] = []
    from_revision: int | None = None
    for batch in reversed(batches):
        if from_revision is not None and batch.revision < from_revision:
            break
        changes = [*batch.changes, *changes]
        from_revision = batch.from_revision
    return from_revision or 0, changes


class Follower(Protocol):
    """A copy of one kind of objects."""

    def news(self) -> FeedNews | None:
        """Return what to tell neighbours, None if that is nothing."""

    def take_over(
        self,
        news: FeedNews,
        confirmed_at: float,
        outage_end_at: float | None,
    ) -> None:
        """Apply what a watcher tells; times are of ``boottime_now``."""


class Relay:
    """The store news of one gateway."""

    def __init__(
        self, instance: str, follower_by_kind: Mapping[str, Follower]
    ):
        """Create a relay for the gateway ``instance``."""
        self._instance = instance
        self._follower_by_kind = follower_by_kind
        self._heard: dict[str, tuple[float, float]] = {}

    def record_stamp(self, sender: str, stamp: float) -> None:
        """Record the time stamp of a neighbour's message."""
        self._heard[sender] = (stamp, timers.boottime_now())

    def news(self, neighbours: Sequence[str]) -> StoreNews:
        """Return what a watcher tells its neighbours now."""
        now = timers.boottime_now()
        self._heard = {
            name: heard
            for name, heard in self._heard.items()
            if name in neighbours
        }
        feeds = [
            news
            for follower in self._follower_by_kind.values()
            if (news := follower.news()) is not None
        ]
        return StoreNews(
            {
                name: (stamp, now - at)
                for name, (stamp, at) in self._heard.items()
            },
            feeds,
        )

    def receive(self, news: StoreNews) -> None:
        """Apply what a watcher tells."""
        heard = news.heard.get(self._instance)
        if heard is None:
            return
        stamp, since_heard = heard
        if stamp + since_heard > timers.boottime_now() + MAX_DRIFT_SECONDS:
            # The stamp is of an earlier start of this instance, whose clock
            # began anew since then.
            return
        for feed in news.feeds:
            follower = self._follower_by_kind.get(feed.kind)
            if follower is None:
                continue
            # The watcher received the stamp after it was sent, so these times
            # are not later than the true ones.
            outage_end_at = (
                None
                if feed.outage_end_age is None
                else stamp + since_heard - feed.outage_end_age
            )
            follower.take_over(
                feed, stamp + since_heard - feed.age, outage_end_at
            )
