"""Slots of the retry slack that all gateways share.

The load: servers fail most requests while gateways are killed, stopped,
started, suspended or cut off, so that no gateway knows what the others have
spent, or how many there are. The sum of their retries stays bounded all the
same, because each slot stands for a fixed part of the slack and passes from
one gateway to the next only after a whole window without use.

A slot is an object in the store, which is written only under the condition
that nobody wrote it since. Its holder uses it for a limited time after its
last write. Others take it once it is marked as free, or once they have seen
it unchanged for longer than its holder may use it, and a window more. No clock
is compared with another one's.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import math

from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.gateway import interfaces

# Time for which a slot is used after its last write was sent.
LEASE_SECONDS = 15.0
# A retry is sent at most this long after it was withdrawn.
SEND_SECONDS = 0.5
# Added to waits for other processes, whose clocks may run faster.
CLOCK_MARGIN_SECONDS = 0.5
# Number of the store's history before any restore. A slot that was never
# written in it was never used.
FIRST_ERA = 1
# Share of the slack that the slots add up to.
SLACK_SHARE = 0.97
# Slots into which the slack is split, if there are as many retries.
MOST_SLOTS = 48


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """How the slack is split into slots.

    All gateways compute the same split from the same bounds.

    :ivar slots: number of slots
    :ivar retries: retries of each slot in a window, for each service
    """

    slots: int
    retries: int

    @classmethod
    def from_slack(cls, slack: float) -> 'Split':
        """Split the retries that the operator allows beyond the ratio."""
        usable = slack * SLACK_SHARE
        if usable < 1:
            return cls(0, 0)
        retries = math.ceil(usable / MOST_SLOTS)
        return cls(math.floor(usable / retries), retries)


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    """A slot as it was seen, unchanged since then.

    :ivar since: boot time seconds
    """

    record: interfaces.SlotRecord | None
    since: float


class SlotTable:
    """What a gateway has seen of the slots."""

    def __init__(
        self,
        own: ids.Address,
        split: Split,
        window_seconds: float,
        boot: str = '',
        now: Callable[[], float] = timers.boottime_now,
    ):
        """Create a table that has seen nothing.

        :param own: holder of the slots of this gateway and of its
            predecessors, which have ended
        :param boot: see ``interfaces.RetrySlotRegistry``
        """
        self.split = split
        self.era = 0
        self._own = own
        self._boot = boot
        self._now = now
        self._used_seconds = window_seconds + SEND_SECONDS
        self._seen: dict[int, _Seen] = {}

    @property
    def has_listing(self) -> bool:
        """Whether a listing of the store's present history was seen."""
        return bool(self._seen)

    def observe(self, listing: interfaces.SlotListing) -> None:
        """Take over a listing, which may be some seconds old."""
        if listing.era < self.era:
            return
        self._enter(listing.era)
        for number in range(self.split.slots):
            self._record(number, listing.record_by_number.get(number))

    def record(
        self, number: int, record: interfaces.SlotRecord | None, era: int
    ) -> None:
        """Take over the state of a slot from an answer of the store."""
        if era < self.era:
            return
        self._enter(era)
        self._record(number, record)

    def _enter(self, era: int) -> None:
        if era > self.era:
            self.era = era
            self._seen.clear()

    def _record(
        self, number: int, record: interfaces.SlotRecord | None
    ) -> None:
        seen = self._seen.get(number)
        if seen is None or seen.record != record:
            self._seen[number] = _Seen(record, self._now())

    def forget(self, number: int) -> None:
        """Take a slot for unknown until the next listing."""
        self._seen.pop(number, None)

    def record_of(self, number: int) -> interfaces.SlotRecord | None:
        """Return a slot as it was seen last; None if it was never written."""
        return self._seen[number].record

    def available(self) -> list[int]:
        """Return the slots that may be used as soon as they are acquired."""
        now = self._now()
        return [
            number
            for number, seen in self._seen.items()
            if now - self._quiet_since(seen)
            >= self._quiet_seconds(seen.record)
        ]

    def inherited(self) -> list[int]:
        """Return the slots of a predecessor, which has ended.

        A mark that they are unused tells the next process of this gateway
        since when, in case that this one ends before it can use them.
        """
        return [
            number
            for number, seen in self._seen.items()
            if self._boot
            and seen.record is not None
            and seen.record.holder == self._own
            and seen.record.era == self.era
            and seen.record.unused_since is None
        ]

    def _quiet_since(self, seen: _Seen) -> float:
        """Return since when a slot was not used, as far as is known."""
        record = seen.record
        if (
            record is None
            or record.unused_since is None
            or record.holder != self._own
            or record.boot != self._boot
            or record.era != self.era
        ):
            return seen.since
        return min(seen.since, record.unused_since)

    def abandoned(self) -> Iterator[int]:
        """Yield the available slots that no gateway would take at once.

        They are marked as free for gateways that have just started.
        """
        for number in self.available():
            if self._quiet_seconds(self._seen[number].record) > 0:
                yield number

    def _quiet_seconds(self, record: interfaces.SlotRecord | None) -> float:
        """Return for how long a slot must be unchanged before it is used."""
        quiet = LEASE_SECONDS + self._used_seconds + CLOCK_MARGIN_SECONDS
        match record:
            case None if self.era <= FIRST_ERA:
                return 0.0
            case interfaces.SlotRecord(era=self.era, holder=''):
                return 0.0
            case interfaces.SlotRecord(era=self.era, holder=self._own):
                return self._used_seconds
        return quiet
