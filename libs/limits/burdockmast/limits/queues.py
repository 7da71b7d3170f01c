"""Bounded admission queue, fair between organisations."""

import collections
from collections.abc import Callable
import dataclasses
import itertools
import math
import random

import eventlet
import eventlet.event

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.limits import retry_schedule

# Weight of the newest sample in the smoothed interval between admissions.
INTERVAL_WEIGHT = 0.1
# Names the queue as the step of its refusals.
WAIT_STEP = 'admission.wait'


@dataclasses.dataclass(slots=True)
class Waiter:
    """A request that waits for admission.

    :ivar priority: larger goes first
    :ivar weight: the organisation's share of admissions
    :ivar in_time_until: monotonic seconds after which it is late anyway;
        within a priority, requests that can still be in time go first
    :ivar number: order of arrival, kept if the request has to wait again
    :ivar tried_round: in which it took its turn last
    """

    organisation: ids.OrganisationId
    priority: int
    weight: float
    in_time_until: float = math.inf
    number: int | None = None
    tried_round: int = 0
    event: eventlet.event.Event = dataclasses.field(
        default_factory=eventlet.event.Event
    )


class FairQueue:
    """Start-time fair queue of requests that wait for admission.

    Higher priorities go first. Within a priority, the organisation with the
    smallest virtual time is next, and each admission advances its virtual
    time by 1/weight. An organisation that had no requests resumes at the
    queue's current virtual time, so it gains no credit while absent. A full
    queue drops a request of the lowest priority: the newest one of the
    organisation with the most waiting requests relative to its weight.
    """

    def __init__(
        self,
        limit: int,
        seed: int | None = None,
        now: Callable[[], float] = lambda: timers.now(),
    ):
        """Create an empty queue.

        :param limit: requests that may wait
        :param seed: makes retry delays repeatable
        """
        self._limit = limit
        self._now = now
        self._round = 1
        self._numbers = itertools.count()
        self._waiting: list[Waiter] = []
        self._virtual_time_by_organisation: dict[
            ids.OrganisationId, float
        ] = {}
        self._virtual_time = 0.0
        self._admission_interval = 0.0
        self._admitted_at = 0.0
        self._retry_schedule = retry_schedule.RetrySchedule(
            random.Random(seed)
        )

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def expected_wait(self, waiter: Waiter) -> float:
        """Estimate the seconds that a new request would wait."""
        return self._admission_interval * self._count_ahead(waiter)

    def _count_ahead(self, waiter: Waiter) -> int:
        """Return how many waiting requests would be admitted earlier.

        Counting all of them would let a burst of one large organisation
        push the expected waits of others beyond their deadlines.
        """
        count = 0
        waiting_by_share: collections.Counter[
            tuple[ids.OrganisationId, float]
        ] = collections.Counter()
        for other in self._waiting:
            if other.priority > waiter.priority:
                count += 1
            elif other.priority == waiter.priority:
                waiting_by_share[other.organisation, other.weight] += 1
        own = waiting_by_share.pop((waiter.organisation, waiter.weight), 0)
        own_start = (
            self._virtual_start(waiter.organisation) + own / waiter.weight
        )
        for (name, weight), waiting in waiting_by_share.items():
            admissions = (own_start - self._virtual_start(name)) * weight
            count += min(waiting, max(0, math.floor(admissions) + 1))
        return count + own

    def _virtual_start(self, organisation: ids.OrganisationId) -> float:
        """Return the virtual time of an organisation's next request."""
        virtual = self._virtual_time_by_organisation.get(organisation, 0.0)
        return max(virtual, self._virtual_time)

    def wait(self, waiter: Waiter, seconds: float) -> failures.Failure | None:
        """Wait for admission; return None, or why it was refused.

        :param seconds: longest wait after which the request is of use
        """
        if self.expected_wait(waiter) > seconds:
            return self._refusal(
                waiter, 'expected wait exceeds the time limit'
            )
        if waiter.number is None:
            waiter.number = next(self._numbers)
        self._waiting.append(waiter)
        if len(self._waiting) > self._limit:
            self._shed()
        try:
            with eventlet.Timeout(seconds, False):
                return waiter.event.wait()
        except BaseException:
            self._leave(waiter)
            raise
        if waiter.event.ready():
            # Admitted or shed in the same turn of the event loop.
            return waiter.event.wait()
        self._waiting.remove(waiter)
        return failures.Failure(
            failures.Reason.DEADLINE,
            WAIT_STEP,
            detail='timed out in the admission queue',
            retry_after=self.retry_after(waiter),
        )

    def _leave(self, waiter: Waiter) -> None:
        """Forget a request that was ended while it waited."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        else:
            # It can't use the capacity for which it was woken.
            self.wake()

    def enter(self, waiter: Waiter, seconds: float) -> failures.Failure | None:
        """Add a request that tries in turn; return why it was refused.

        It stays until ``leave``, whatever comes of its turns.

        :param seconds: longest wait after which the request is of use
        """
        if self.expected_wait(waiter) > seconds:
            return self._refusal(
                waiter, 'expected wait exceeds the time limit'
            )
        if not self._waiting:
            # Time in which nobody waited is no interval between admissions.
            self._admitted_at = 0.0
        if waiter.number is None:
            waiter.number = next(self._numbers)
        self._waiting.append(waiter)
        if len(self._waiting) > self._limit:
            self._shed()
        return None

    def leave(self, waiter: Waiter) -> None:
        """Remove a request that was added by ``enter``, if it is still in."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)

    def is_next(self, waiter: Waiter) -> bool:
        """Return whether no waiting request goes before a new one."""
        own_rank = self._sort_key(waiter)[:3]
        return all(self._sort_key(w)[:3] > own_rank for w in self._waiting)

    def begin_round(self) -> None:
        """Let turns begin with the first request again."""
        self._round += 1

    def take_turns(
        self, count: int, goes_first: Callable[[int], bool]
    ) -> list[Waiter]:
        """Return the requests that are to try now, in order.

        They are the next of this round, so that one that fits nowhere holds
        up no others. A round in which all have tried ends.

        :param goes_first: whether the next request of a priority goes before
            those of all others
        """
        due = [w for w in self._waiting if w.tried_round < self._round]
        if not due:
            self.begin_round()
            due = self._waiting
        ordered = sorted(due, key=self._sort_key)
        first_by_priority: dict[int, Waiter] = {}
        for waiter in ordered:
            first_by_priority.setdefault(waiter.priority, waiter)
        chosen = [
            waiter
            for priority, waiter in first_by_priority.items()
            if goes_first(priority)
        ]
        chosen += [w for w in ordered if w not in chosen]
        for waiter in chosen[:count]:
            waiter.tried_round = self._round
        return chosen[:count]

    def wait_for_turn(
        self, waiter: Waiter, seconds: float
    ) -> failures.Failure | None:
        """Wait until the request may try; return None, or why it is refused.

        :param seconds: longest wait after which the request is of use
        """
        woken = waiter.event
        with eventlet.Timeout(max(0.0, seconds), False):
            woken.wait()
        if woken.ready():
            # Maybe in the turn of the event loop in which its time ended.
            if waiter.event is woken:
                waiter.event = eventlet.event.Event()
            return woken.wait()
        return failures.Failure(
            failures.Reason.DEADLINE,
            WAIT_STEP,
            detail='timed out in the admission queue',
            retry_after=self.retry_after(waiter),
        )

    def wake_in_turn(
        self,
        count: int,
        goes_first: Callable[[int], bool] = lambda _: False,
    ) -> None:
        """Let up to ``count`` waiting requests try, which stay in the queue.

        :param goes_first: see ``take_turns``
        """
        for waiter in self.take_turns(count, goes_first):
            if not waiter.event.ready():
                waiter.event.send(None)

    def wake(self, count: int = 1) -> None:
        """Admit up to ``count`` waiting requests."""
        for _ in range(min(count, len(self._waiting))):
            waiter = min(self._waiting, key=self._sort_key)
            self._waiting.remove(waiter)
            self.record_admission(waiter)
            waiter.event.send(None)

    def _sort_key(self, waiter: Waiter) -> tuple[int, bool, float, int]:
        start = self._virtual_start(waiter.organisation)
        is_late = self._now() >= waiter.in_time_until
        return (-waiter.priority, is_late, start, waiter.number)

    def record_admission(self, waiter: Waiter) -> None:
        """Count a request towards its organisation's share."""
        start = self._virtual_start(waiter.organisation)
        self._virtual_time = start
        organisation = waiter.organisation
        self._virtual_time_by_organisation[organisation] = (
            start + 1 / waiter.weight
        )
        now = self._now()
        if self._admitted_at:
            sample = min(now - self._admitted_at, 1.0)
            self._admission_interval += INTERVAL_WEIGHT * (
                sample - self._admission_interval
            )
        self._admitted_at = now

    def _shed(self) -> None:
        lowest = min(waiter.priority for waiter in self._waiting)
        candidates = [w for w in self._waiting if w.priority == lowest]
        excess_by_organisation: dict[ids.OrganisationId, float] = {}
        for waiter in candidates:
            excess = excess_by_organisation.get(waiter.organisation, 0.0)
            excess_by_organisation[waiter.organisation] = (
                excess + 1 / waiter.weight
            )
        victim = max(
            candidates,
            key=lambda w: (excess_by_organisation[w.organisation], w.number),
        )
        self._waiting.remove(victim)
        refusal = self._refusal(victim, 'admission queue is full')
        if victim.event.ready():
            # It has been woken for its turn, which it takes first.
            victim.event = eventlet.event.Event()
        victim.event.send(refusal)

    def _refusal(self, waiter: Waiter, detail: str) -> failures.Failure:
        return failures.Failure(
            failures.Reason.OVERLOADED,
            WAIT_STEP,
            detail=detail,
            retry_after=self.retry_after(waiter),
        )

    def retry_after(self, waiter: Waiter) -> float:
        """Return the seconds after which a refused caller may retry."""
        wait = self.expected_wait(waiter)
        return self._retry_schedule.next_delay(
            self._now(), wait, self._admission_interval
        )


def admit(
    queue: FairQueue,
    waiter: Waiter,
    deadline: float,
    attempt: Callable[[], object | failures.Failure],
) -> object | failures.Failure:
    """Call ``attempt`` until it finds capacity or ``deadline`` passes.

    The request waits in the queue between calls, and before the first one if
    other requests wait.

    :param deadline: monotonic seconds
    :returns: the attempt's result, or why the request is refused
    """
    if not len(queue):
        result = attempt()
        if not _is_busy(result):
            return result
    while True:
        refusal = queue.wait(waiter, deadline - timers.now())
        if refusal:
            return refusal
        result = attempt()
        if not _is_busy(result):
            return result
        waiter.event = eventlet.event.Event()


def _is_busy(result: object) -> bool:
    return (
        isinstance(result, failures.Failure)
        and result.reason is failures.Reason.OVERLOADED
    )
