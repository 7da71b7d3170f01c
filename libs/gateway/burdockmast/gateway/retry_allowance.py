"""Takes retries from the budget, and slots of the shared slack for it.

Slots are acquired when the budget runs low and released after a window without
use, so that a calm fleet makes no calls for them, and those gateways that need
retries get what the others don't use.
"""

from collections.abc import Callable
import math
import random

import eventlet
import eventlet.event

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import metrics
from burdockmast.base import timers
from burdockmast.gateway import interfaces
from burdockmast.gateway import retries
from burdockmast.gateway import retry_slots

LOG = logs.get('retries')

# Holder of a slot that is free.
FREE = ids.Address('')
# Number of gateways until they are counted.
ASSUMED_GATEWAY_COUNT = 256
SYNC_INTERVAL_SECONDS = 1.0
# Slots that one watcher reclaims in an interval.
MAX_RECLAIMED = 8
# Interval at which watchers look for slots that others have left.
RECLAIM_INTERVAL_SECONDS = 5.0
# Longest wait of a request for a slot.
ACQUIRE_WAIT_SECONDS = 0.25
# Time for which no slot is asked for after none was to be had, or after the
# store has failed.
EXHAUSTED_SECONDS = 1.0
# Requests lack retries for this long after one was refused.
LACKING_SECONDS = 3.0
# A gateway takes at most so many times its equal share of the slots.
FAIR_SHARES = 2.0


class RetryAllowance:
    """Allows retries within the bounds of the operator.

    :ivar gateway_count: gateways as last counted; decides only how many
        slots this one takes, never how many there are
    :ivar position: of this gateway among the counted, None if not known;
        decides only which slots it tries first
    """

    def __init__(
        self,
        own: ids.Address,
        budget: retries.Budget,
        table: retry_slots.SlotTable,
        registry: interfaces.RetrySlotRegistry,
        is_watcher: Callable[[], bool],
        measures: metrics.Metrics,
        rng: random.Random,
        now: Callable[[], float] = timers.boottime_now,
    ):
        """Create an allowance without slots.

        :param own: holder of this gateway's slots
        """
        self.gateway_count = ASSUMED_GATEWAY_COUNT
        self.position: int | None = None
        self._own = own
        self._budget = budget
        self._table = table
        self._registry = registry
        self._is_watcher = is_watcher
        self._metrics = measures
        self._rng = rng
        self._now = now
        self._acquiring: eventlet.event.Event | None = None
        self._exhausted_until = -math.inf
        self._refused_at = -math.inf
        self._reclaim_at = -math.inf

    def deposit(self, service: ids.ServiceId) -> None:
        """Record a request."""
        self._budget.deposit(service)

    def can_withdraw(
        self, service: ids.ServiceId, has_begun: bool = False
    ) -> bool:
        """Tell whether a retry is left, or may be had soon."""
        return (
            self._budget.can_withdraw(service, has_begun)
            or self._may_acquire()
        )

    def withdraw(
        self, service: ids.ServiceId, has_begun: bool, seconds_left: float
    ) -> retries.Permit | None:
        """Take one retry, waiting for a slot for a moment if need be.

        :param seconds_left: until the request's deadline
        :returns: None if no retry is left
        """
        until = self._now() + min(seconds_left, ACQUIRE_WAIT_SECONDS)
        permit = self._budget.withdraw(service, has_begun)
        while permit is None and self._may_acquire() and self._now() < until:
            with eventlet.Timeout(max(0.0, until - self._now()), False):
                self._acquire_soon().wait()
            permit = self._budget.withdraw(service, has_begun)
        if permit is None:
            self._refused_at = self._now()
            self._metrics.count('retries.refused')
            return None
        self._metrics.count('retries.allowed')
        if self._budget.is_low(service) and self._may_acquire():
            self._acquire_soon()
        return permit

    def sync(self) -> None:
        """Renew slots that are in use; release or reclaim others."""
        now = self._now()
        is_lacking = now < self._refused_at + LACKING_SECONDS
        for slot in list(self._budget.slots):
            if slot.is_old(now) and (is_lacking or slot.is_in_use(now)):
                self._renew(slot)
        self.release_unused(math.ceil(self._equal_share) * is_lacking)
        self._mark_inherited()
        if now >= self._reclaim_at and self._is_watcher():
            self._reclaim_at = now + RECLAIM_INTERVAL_SECONDS
            if self._list():
                self._reclaim()

    def release_unused(self, kept: int = 0) -> None:
        """Mark slots as free that were not used in the last window.

        :param kept: slots that are kept all the same
        """
        # Other tasks may use or lose slots during each write.
        while self.held_count > kept and (slot := self._budget.unused_slot()):
            self._budget.slots.remove(slot)
            self._write(
                slot.number, FREE, self._vouched_era(slot), slot.record
            )

    @property
    def held_count(self) -> int:
        """Slots that this gateway holds."""
        return len(self._budget.slots)

    @property
    def _equal_share(self) -> float:
        return self._table.split.slots / max(1, self.gateway_count)

    def _may_acquire(self) -> bool:
        return (
            self.held_count < math.ceil(FAIR_SHARES * self._equal_share)
            and self.held_count < self._table.split.slots
            and self._now() >= self._exhausted_until
        )

    def _acquire_soon(self) -> eventlet.event.Event:
        """Start to acquire slots, unless that is under way."""
        if self._acquiring is None:
            self._acquiring = eventlet.event.Event()
            eventlet.spawn(self._acquire)
        return self._acquiring

    def _acquire(self) -> None:
        """Acquire one slot, and tell those who wait."""
        try:
            self._acquire_one()
        finally:
            acquired, self._acquiring = self._acquiring, None
            acquired.send(None)

    def _acquire_one(self) -> None:
        number = self._choose()
        if number is None:
            self._give_up('no slot is known to be unused')
            return
        written_at = self._now()
        era = self._table.era
        answer = self._write(
            number, self._own, era, self._table.record_of(number)
        )
        if answer is None:
            return
        if not answer.is_written:
            self._on_conflict()
            return
        if answer.era != era:
            return
        self._budget.add_slot(number, answer.record, written_at)
        self._metrics.count('retries.slots_acquired')

    def _on_conflict(self) -> None:
        """List the slots as they are now: others acquire them as well.

        Many gateways that run out of retries at once would otherwise find out
        by a refused write for each slot that it is taken.
        """
        if self._list(is_fresh=True) and not self._available():
            self._give_up('others have acquired the last slots')

    def _choose(self) -> int | None:
        """Return a slot that can be used at once, if there is any.

        Each gateway tries other slots first, so that few writes of gateways
        that acquire slots at the same time are refused.
        """
        found = self._available()
        if not found and self._list():
            found = self._available()
        own = [
            number
            for number in found
            if number % max(1, self.gateway_count) == self.position
        ]
        return self._rng.choice(own or found) if found else None

    def _available(self) -> list[int]:
        held = {slot.number for slot in self._budget.slots}
        return [n for n in self._table.available() if n not in held]

    def _renew(self, slot: retries.HeldSlot) -> None:
        written_at = self._now()
        was_valid = slot.is_valid(written_at)
        answer = self._write(
            slot.number, self._own, self._vouched_era(slot), slot.record
        )
        if answer is None or answer.record is None:
            return
        if answer.record.holder != self._own:
            LOG.info(
                'another gateway has a slot of the retry slack',
                extra={'slot': slot.number, 'holder': answer.record.holder},
            )
            if slot in self._budget.slots:
                self._budget.slots.remove(slot)
            return
        slot.record = answer.record
        if answer.is_written and (was_valid or answer.era == slot.era):
            slot.era = answer.era
            slot.written_at = written_at

    def _vouched_era(self, slot: retries.HeldSlot) -> int:
        """Return the history in which nobody else has used a held slot.

        A restored store may have lost that another gateway took it over
        after its time had run out.
        """
        return self._table.era if slot.is_valid(self._now()) else slot.era

    def _mark_inherited(self) -> None:
        """Mark the slots of a predecessor as unused from now on."""
        if self._table.split.slots and not self._table.has_listing:
            self._list()
        held = {slot.number for slot in self._budget.slots}
        era = self._table.era
        found = [
            (number, self._table.record_of(number))
            for number in self._table.inherited()
            if number not in held
        ]
        # Other tasks may acquire slots during each write, which then fails.
        for number, record in found:
            self._write(number, self._own, era, record, self._now())

    def _reclaim(self) -> None:
        """Mark slots as free that others have left, for new gateways."""
        held = {slot.number for slot in self._budget.slots}
        era = self._table.era
        found = [
            (number, self._table.record_of(number))
            for number in self._table.abandoned()
            if number not in held
        ]
        # Other tasks may acquire slots during each write, which then fails.
        for number, record in self._rng.sample(
            found, min(len(found), MAX_RECLAIMED)
        ):
            self._write(number, FREE, era, record)

    def _list(self, is_fresh: bool = False) -> bool:
        listing = self._registry.list(is_fresh)
        if isinstance(listing, failures.Failure):
            self._give_up(str(listing))
            return False
        self._table.observe(listing)
        return self._table.has_listing

    def _write(
        self,
        number: int,
        holder: ids.Address,
        era: int,
        before: interfaces.SlotRecord | None,
        unused_since: float | None = None,
    ) -> interfaces.SlotAnswer | None:
        """Write a slot, and return the answer if there is one."""
        answer = self._registry.write(
            number, holder, era, before, unused_since
        )
        if isinstance(answer, failures.Failure):
            self._give_up(str(answer))
            return None
        if answer.is_written or answer.record is not None:
            self._table.record(number, answer.record, answer.era)
        else:
            self._table.forget(number)
        return answer

    def _give_up(self, reason: str) -> None:
        self._exhausted_until = self._now() + EXHAUSTED_SECONDS
        LOG.info(
            'no slot of the retry slack to be had; asking again later',
            extra={'reason': reason, 'held': self.held_count},
        )
