"""A retry budget for each service.

Every attempt of a request after the first takes one retry from the budget.
When many servers fail under high load, retries add only a limited share to
the load, however many requests fail. The share of each gateway's own requests
is its own; what the operator allows beyond it is held in slots.
"""

import collections
from collections.abc import Callable
import dataclasses
import math

from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.gateway import interfaces
from burdockmast.gateway import retry_slots

# Attempts of a request that are certain not to have run.
MAX_NOT_RUN_ATTEMPTS = 4
# Share of the ratio that is used; the rest is a margin, as requests may arrive
# unevenly in the two windows that are compared.
RATIO_SHARE = 0.75
# Share of its retries that a gateway uses for new requests. A refused request
# may come again; a begun stream that is not resumed is cut.
NEW_REQUESTS_SHARE = 0.6
# A held slot is renewed at this age while it is in use.
RENEWAL_AGE_SECONDS = 8.0
# A slot is in use for this long after a retry.
IN_USE_SECONDS = 5.0


class Times:
    """Times of what happened lately, by service."""

    def __init__(self, seconds: float, now: Callable[[], float]):
        """Create a record that forgets after ``seconds``."""
        self._seconds = seconds
        self._now = now
        self._by_service: dict[ids.ServiceId, collections.deque[float]] = {}

    def add(self, service: ids.ServiceId) -> None:
        """Record that it happened now."""
        self._recent(service).append(self._now())

    def count(self, service: ids.ServiceId) -> int:
        """Return how often it happened."""
        return len(self._recent(service))

    def last(self) -> float:
        """Return when it happened last, to any service."""
        return max(
            (times[-1] for times in self._by_service.values() if times),
            default=-math.inf,
        )

    def _recent(self, service: ids.ServiceId) -> collections.deque[float]:
        times = self._by_service.setdefault(service, collections.deque())
        since = self._now() - self._seconds
        while times and times[0] <= since:
            times.popleft()
        return times


@dataclasses.dataclass(slots=True)
class HeldSlot:
    """A slot that this gateway holds.

    :ivar record: as written last
    :ivar era: number of the store's history in which it was written last
    :ivar written_at: boot time seconds at which that write was sent
    :ivar used: retries that were taken from it
    """

    number: int
    record: interfaces.SlotRecord
    era: int
    written_at: float
    used: Times

    def is_valid(self, now: float) -> bool:
        """Whether retries may be taken from it."""
        return now < self.written_at + retry_slots.LEASE_SECONDS

    def is_unused_since(self, since: float) -> bool:
        """Whether it was held all the time, and no retry was taken."""
        return max(self.written_at, self.used.last()) < since

    def is_old(self, now: float) -> bool:
        """Whether it must be renewed to be used on."""
        return now - self.written_at >= RENEWAL_AGE_SECONDS

    def is_in_use(self, now: float) -> bool:
        """Whether a retry was taken from it lately."""
        return now - self.used.last() < IN_USE_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Allows one retry.

    :ivar send_before: boot time seconds until which it may be sent
    """

    send_before: float


FIRST_ATTEMPT = Permit(math.inf)


class Budget:
    """Limits the retries of each service in a sliding window.

    It lives on the clock that goes on while the process is suspended: what was
    allowed before is as old as it really is.

    :ivar slots: that this gateway holds
    """

    def __init__(
        self,
        ratio: float,
        split: retry_slots.Split,
        window: float,
        now: Callable[[], float] = timers.boottime_now,
    ):
        """Create a budget that no request has used, without slots.

        :param ratio: retries for each request, over all gateways
        :param split: how the slack is split into slots
        :param window: length of the sliding window in seconds
        """
        self.slots: list[HeldSlot] = []
        self._ratio = ratio * RATIO_SHARE
        self._split = split
        self._now = now
        self.used_seconds = window + retry_slots.SEND_SECONDS
        self._requests = Times(window, now)
        self._used = Times(self.used_seconds, now)

    def deposit(self, service: ids.ServiceId) -> None:
        """Record a request."""
        self._requests.add(service)

    def withdraw(
        self, service: ids.ServiceId, has_begun: bool = False
    ) -> Permit | None:
        """Take one retry; return None if none is left.

        :param has_begun: the retry resumes what has begun, and may use the
            part that is kept from new requests
        """
        used = self._find(service, has_begun)
        if used is None:
            return None
        used.add(service)
        return Permit(self._now() + retry_slots.SEND_SECONDS)

    def can_withdraw(
        self, service: ids.ServiceId, has_begun: bool = False
    ) -> bool:
        """Tell whether a retry is left."""
        return self._find(service, has_begun) is not None

    def is_low(self, service: ids.ServiceId) -> bool:
        """Tell whether half of a slot or less is left."""
        now = self._now()
        left = self._ratio_limit(service, 1.0) - self._used.count(service)
        for slot in self.slots:
            if slot.is_valid(now):
                left += self._split.retries - slot.used.count(service)
        return left <= self._split.retries / 2

    def add_slot(
        self, number: int, record: interfaces.SlotRecord, written_at: float
    ) -> None:
        """Add a slot of which nothing was used in the last window."""
        used = Times(self.used_seconds, self._now)
        self.slots.append(
            HeldSlot(number, record, record.era, written_at, used)
        )

    def unused_slot(self) -> HeldSlot | None:
        """Return a slot of which nothing was used in the last window."""
        since = self._now() - self.used_seconds
        return next(
            (slot for slot in self.slots if slot.is_unused_since(since)), None
        )

    def _find(self, service: ids.ServiceId, has_begun: bool) -> Times | None:
        """Return where the next retry is counted, None if there is none."""
        share = 1.0 if has_begun else NEW_REQUESTS_SHARE
        if self._used.count(service) < self._ratio_limit(service, share):
            return self._used
        now = self._now()
        limit = math.ceil(self._split.retries * share)
        for slot in self.slots:
            if slot.is_valid(now) and slot.used.count(service) < limit:
                return slot.used
        return None

    def _ratio_limit(self, service: ids.ServiceId, share: float) -> int:
        """Return the retries that this gateway's own requests allow.

        A part of a retry counts as none: over many gateways, the rounding
        would add up.
        """
        requests = self._requests.count(service)
        return math.floor(self._ratio * requests * share)
