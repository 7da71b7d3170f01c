"""A bounded waiting line, fair between organisations."""

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
from burdockmast.limits import retryschedule

# Weight of the newest sample in the smoothed time between admissions.
PACE_WEIGHT = 0.1
# Step of a refusal by the queue.
WAIT_STEP = 'admission.wait'


@dataclasses.dataclass(slots=True)
class Waiter:
    """A request that waits for admission.

    :ivar priority: larger goes first
    :ivar weight: the organisation's share
    """

    organisation: ids.OrganisationId
    priority: int
    weight: float
    number: int | None = None
    event: eventlet.event.Event = dataclasses.field(
        default_factory=eventlet.event.Event
    )


class FairQueue:
    """Waiting requests; the next is of the least served organisation.

    Higher priorities go first. Within one, each organisation's virtual
    time grows by 1/weight with each admission, and the smallest is next;
    an organisation that was away starts at the present virtual time, so
    that absence saves up nothing. A full queue drops the newest request
    of the organisation that waits most beyond its share.
    """

    def __init__(self, limit: int, seed: int | None = None):
        """Create an empty queue.

        :param limit: requests that may wait
        :param seed: makes times to come back repeatable
        """
        self._limit = limit
        self._numbers = itertools.count()
        self._waiting: list[Waiter] = []
        self._virtual_by_organisation: dict[ids.OrganisationId, float] = {}
        self._virtual = 0.0
        self._pace = 0.0
        self._woken_at = 0.0
        self._retry_schedule = retryschedule.RetrySchedule(random.Random(seed))

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._waiting)

    def expected_wait(self, waiter: Waiter) -> float:
        """Return the seconds that a new request is likely to wait."""
        return self._pace * self._ahead(waiter)

    def _ahead(self, waiter: Waiter) -> int:
        """Return how many of those that wait would be admitted earlier.

        Answers the rush of one large organisation, whose requests must not
        make those of others look hopeless.
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
        turn = self._start(waiter.organisation) + own / waiter.weight
        for (name, weight), waiting in waiting_by_share.items():
            turns = (turn - self._start(name)) * weight
            count += min(waiting, max(0, math.floor(turns) + 1))
        return count + own

    def _start(self, organisation: ids.OrganisationId) -> float:
        """Return the virtual time of an organisation's next request."""
        virtual = self._virtual_by_organisation.get(organisation, 0.0)
        return max(virtual, self._virtual)

    def wait(self, waiter: Waiter, seconds: float) -> failures.Failure | None:
        """Wait for admission; return why there was none.

        :param seconds: until the request would be of no use
        """
        if self.expected_wait(waiter) > seconds:
            return self._refusal(waiter, 'wait would exceed the deadline')
        if waiter.number is None:
            waiter.number = next(self._numbers)
        self._waiting.append(waiter)
        if len(self._waiting) > self._limit:
            self._shed()
        with eventlet.Timeout(seconds, False):
            return waiter.event.wait()
        self._waiting.remove(waiter)
        return failures.Failure(
            failures.Reason.DEADLINE, WAIT_STEP, detail='while waiting'
        )

    def wake(self, count: int = 1) -> None:
        """Admit up to ``count`` requests that wait."""
        for _ in range(min(count, len(self._waiting))):
            waiter = min(self._waiting, key=self._order)
            self._waiting.remove(waiter)
            self._note_admission(waiter)
            waiter.event.send(None)

    def _order(self, waiter: Waiter) -> tuple[int, float, int]:
        start = self._start(waiter.organisation)
        return (-waiter.priority, start, waiter.number)

    def _note_admission(self, waiter: Waiter) -> None:
        _, start, _ = self._order(waiter)
        self._virtual = start
        organisation = waiter.organisation
        self._virtual_by_organisation[organisation] = start + 1 / waiter.weight
        now = timers.now()
        if self._woken_at:
            sample = min(now - self._woken_at, 1.0)
            self._pace += PACE_WEIGHT * (sample - self._pace)
        self._woken_at = now

    def _shed(self) -> None:
        lowest = min(waiter.priority for waiter in self._waiting)
        candidates = [w for w in self._waiting if w.priority == lowest]
        excess_by_organisation: dict[ids.OrganisationId, float] = {}
        for waiter in candidates:
            held = excess_by_organisation.get(waiter.organisation, 0.0)
            excess_by_organisation[waiter.organisation] = (
                held + 1 / waiter.weight
            )
        victim = max(
            candidates,
            key=lambda w: (excess_by_organisation[w.organisation], w.number),
        )
        self._waiting.remove(victim)
        refusal = self._refusal(victim, 'too many requests wait')
        victim.event.send(refusal)

    def _refusal(self, waiter: Waiter, detail: str) -> failures.Failure:
        return failures.Failure(
            failures.Reason.OVERLOADED,
            WAIT_STEP,
            detail=detail,
            retry_after=self.retry_after(waiter),
        )

    def retry_after(self, waiter: Waiter) -> float:
        """Return the seconds after which a refused caller may come back."""
        wait = self.expected_wait(waiter)
        return self._retry_schedule.next_delay(timers.now(), wait, self._pace)


def admit(
    queue: FairQueue,
    waiter: Waiter,
    deadline: float,
    attempt: Callable[[], object | failures.Failure],
) -> object | failures.Failure:
    """Repeat ``attempt`` until it finds capacity or ``deadline`` passes.

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
