"""Decides what share of servers' memory a request of a priority may fill.

The load: callers of several priorities compete for too little memory of model
servers, through dozens of gateways with a few requests a second each. A
request of a low priority finds room at one gateway while requests of the
highest wait or are refused at all others.

Gateways tell each other how many requests of each priority wait, were refused
and were admitted lately. While those of a higher priority wait anywhere, lower
ones may fill only a part of each server, so that room that comes free goes to
the higher one. A lower priority keeps a minimum part of the admissions: it
earns a fraction of a turn for each admission of a higher one, and a request
with a turn may fill all of the memory and goes first.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses
import math

import msgspec

from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import timers
from burdockmast.gateway.admission import policy

LOG = logs.get('admission')

# Refusals, rejections and admissions count for this long, and reports of other
# gateways as well: as long as their loads.
RECENT_SECONDS = 1.5
# A priority is under pressure if more than this share of its requests wait or
# were refused lately. Callers need 95 in 100 answers in time; a single request
# that a server rejected holds back nobody.
PRESSED_SHARE = 0.05
# Factor on the memory that a priority may fill, for each higher priority that
# is under pressure. A fifth of a server's memory may fill before other
# gateways hear of it.
HELD_SHARE = 0.8
# Time in which the share falls by what one higher priority takes from it. A
# request may wait for a second, so that the room has to come free earlier.
FALL_SECONDS = 0.3
# Time in which it rises again: about as long as answers hold their memory, so
# that lower priorities don't fill at once what higher ones were waiting for.
RISE_SECONDS = 3.0
# Part of the higher priorities' admissions that a lower one keeps, and the
# share of its requests up to which it does, relative to the share of theirs
# that are admitted: it must not be served better than they are.
MIN_ADMITTED_SHARE = 0.1
MAX_RELATIVE_SHARE = 0.5
# Turns that a priority may save up at a gateway.
MAX_TURNS = 2.0
# Priorities of a service that are told apart; lower ones count as the last.
MAX_PRIORITIES = 8
MAX_SERVICES = 16


class PressureNews(msgspec.Struct, frozen=True, array_like=True):
    """How many requests of a priority compete for room.

    :ivar zone: whose gateways these requests came to, empty for the sender's
        own requests
    :ivar waiting: requests that wait now
    :ivar refused: that were refused or rejected for want of room lately
    :ivar admitted: that got a path lately
    :ivar age: seconds since these numbers were counted
    """

    zone: str
    service: str
    priority: int
    waiting: int
    refused: int
    admitted: int
    age: float


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Requests of one priority."""

    waiting: int = 0
    refused: int = 0
    admitted: int = 0

    def __add__(self, other: 'Counts') -> 'Counts':
        """Return the sum."""
        return Counts(
            self.waiting + other.waiting,
            self.refused + other.refused,
            self.admitted + other.admitted,
        )

    @property
    def total(self) -> int:
        """All of them."""
        return self.waiting + self.refused + self.admitted

    @property
    def lacking(self) -> int:
        """Those without a path."""
        return self.waiting + self.refused

    @property
    def admitted_share(self) -> float:
        """Share of them that got a path."""
        return self.admitted / self.total if self.total else 1.0

    @property
    def is_pressed(self) -> bool:
        """Whether requests of this priority lack room."""
        return 1 - self.admitted_share > PRESSED_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class _Source:
    """Who counted: a gateway of this zone, or another zone."""

    name: str
    is_zone: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """Numbers of a source, and the monotonic seconds of counting them."""

    counts: Counts
    counted_at: float


@dataclasses.dataclass(slots=True)
class _Level:
    """The state of one priority of a service at this gateway.

    :ivar waiting: requests of this gateway that wait
    :ivar refused_at: monotonic seconds of the last refusals
    :ivar admitted_at: monotonic seconds of the last admissions
    :ivar reports: of others, by source
    :ivar share: of servers' memory that it may fill
    :ivar turns: that it has earned
    """

    waiting: int = 0
    refused_at: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    admitted_at: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    reports: dict[_Source, _Report] = dataclasses.field(default_factory=dict)
    share: float = 1.0
    turns: float = 0.0

    def own_counts(self, now: float) -> Counts:
        """Return the numbers of this gateway."""
        for times in (self.refused_at, self.admitted_at):
            while times and times[0] <= now - RECENT_SECONDS:
                times.popleft()
        return Counts(
            self.waiting, len(self.refused_at), len(self.admitted_at)
        )

    def heard_counts(self, now: float, from_zones: bool) -> Counts:
        """Return the numbers that others reported lately.

        :param from_zones: include those of other zones
        """
        for source, report in list(self.reports.items()):
            if report.counted_at <= now - RECENT_SECONDS:
                del self.reports[source]
        return sum(
            (
                report.counts
                for source, report in self.reports.items()
                if from_zones or not source.is_zone
            ),
            Counts(),
        )


class _Service:
    """The state of one service, by priority from the highest."""

    def __init__(self, found: policy.Policy, now: float):
        self.policy = found
        self.levels = [_Level() for _ in found.priorities[:MAX_PRIORITIES]]
        self.advanced_at = now

    def index_of(self, priority: int) -> int:
        """Return the index of a priority's level, the last for lower ones."""
        higher = sum(known < priority for known in self.policy.priorities)
        return min(higher, len(self.levels) - 1)


class Pressure:
    """What one gateway knows of the requests that compete for memory."""

    def __init__(
        self,
        policy_of: Callable[[ids.ServiceId], policy.Policy],
        zone: ids.ZoneId,
        now: Callable[[], float] = timers.now,
    ):
        """Create a record without requests.

        :param policy_of: returns the policy of a service
        :param zone: of this gateway
        """
        self._policy_of = policy_of
        self._zone = zone
        self._now = now
        self._by_service: dict[ids.ServiceId, _Service] = {}
        # Other zones' numbers to be passed on to the neighbours.
        self._relayed: dict[
            tuple[str, str, int], tuple[PressureNews, float]
        ] = {}

    def admits_in_order(self, service: ids.ServiceId) -> bool:
        """Return whether requests of a service are admitted by priority."""
        return self._policy_of(service).has_priorities

    def _service(self, service: ids.ServiceId) -> _Service | None:
        """Return the state of a service that has several priorities."""
        found = self._policy_of(service)
        state = self._by_service.get(service)
        if not found.has_priorities:
            if state is not None:
                del self._by_service[service]
            return None
        if state is None or state.policy is not found:
            if state is None and len(self._by_service) >= MAX_SERVICES:
                return None
            if state is None or state.policy.priorities != found.priorities:
                state = _Service(found, self._now())
                self._by_service[service] = state
            state.policy = found
        return state

    def _level(self, service: ids.ServiceId, priority: int) -> _Level | None:
        state = self._service(service)
        return state and state.levels[state.index_of(priority)]

    @contextlib.contextmanager
    def waiting(self, service: ids.ServiceId, priority: int) -> Iterator[None]:
        """Count a request as waiting for room."""
        level = self._level(service, priority)
        if level is None:
            yield
            return
        level.waiting += 1
        try:
            yield
        finally:
            level.waiting -= 1

    def record_refusal(self, service: ids.ServiceId, priority: int) -> None:
        """Record that a request was refused or rejected for want of room."""
        level = self._level(service, priority)
        if level is not None:
            level.refused_at.append(self._now())

    def record_admission(self, service: ids.ServiceId, priority: int) -> None:
        """Record that a request got a path."""
        state = self._service(service)
        if state is None:
            return
        self._advance(service, state)
        level = state.levels[state.index_of(priority)]
        level.admitted_at.append(self._now())
        level.turns = max(0.0, level.turns - 1.0)

    def share(self, service: ids.ServiceId, priority: int) -> float:
        """Return the share of servers' memory that a request may fill."""
        if self.has_turn(service, priority):
            return 1.0
        level = self._level(service, priority)
        return level.share if level else 1.0

    def has_turn(self, service: ids.ServiceId, priority: int) -> bool:
        """Return whether a request may go before those of higher ones."""
        state = self._service(service)
        if state is None:
            return False
        self._advance(service, state)
        return state.levels[state.index_of(priority)].turns >= 1.0

    def shares(self) -> dict[str, float]:
        """Return the least share of each priority over all services.

        Only the highest priorities are included.
        """
        found: dict[int, float] = {}
        for service in list(self._by_service):
            state = self._service(service)
            if state is None:
                continue
            self._advance(service, state)
            for priority, level in zip(
                state.policy.priorities, state.levels, strict=False
            ):
                found[priority] = min(level.share, found.get(priority, 1.0))
        highest = sorted(found)[:MAX_PRIORITIES]
        return {str(priority): found[priority] for priority in highest}

    def _advance(self, service: ids.ServiceId, state: _Service) -> None:
        """Bring shares and turns up to the present."""
        now = self._now()
        seconds = now - state.advanced_at
        state.advanced_at = now
        target = 1.0
        higher = Counts()
        least_share = 1.0
        for index, level in enumerate(state.levels):
            own = level.own_counts(now)
            total = own + level.heard_counts(now, from_zones=True)
            self._move_share(service, state, index, target, seconds)
            if target >= 1.0:
                level.turns = 0.0
            elif own.lacking:
                admissions = min(
                    MIN_ADMITTED_SHARE * higher.admitted,
                    MAX_RELATIVE_SHARE * least_share * total.total,
                )
                own_part = own.lacking / total.lacking
                earned = admissions / RECENT_SECONDS * own_part * seconds
                level.turns = min(MAX_TURNS, level.turns + earned)
            higher += total
            least_share = min(least_share, total.admitted_share)
            if total.is_pressed:
                target *= HELD_SHARE

    def _move_share(
        self,
        service: ids.ServiceId,
        state: _Service,
        index: int,
        target: float,
        seconds: float,
    ) -> None:
        """Let a level's share approach a target."""
        level = state.levels[index]
        before = level.share
        step = (1 - HELD_SHARE) * seconds
        if before > target:
            level.share = max(target, before - step / FALL_SECONDS)
        else:
            level.share = min(target, before + step / RISE_SECONDS)
        if (before < 1.0) == (level.share < 1.0):
            return
        LOG.info(
            'priority is held back'
            if level.share < 1.0
            else 'priority is no longer held back',
            extra={
                'service': service,
                'priority': state.policy.priorities[index],
                'pressed': [
                    priority
                    for priority, other in zip(
                        state.policy.priorities,
                        state.levels[:index],
                        strict=False,
                    )
                    if self._total(other).is_pressed
                ],
            },
        )

    def _total(self, level: _Level) -> Counts:
        now = self._now()
        return level.own_counts(now) + level.heard_counts(now, True)

    def news(self, is_for_other_zones: bool) -> list[PressureNews]:
        """Return what to tell other gateways.

        To this zone that is what this gateway counts, and what it has heard
        of other zones since; to other zones the sum over this zone.
        """
        now = self._now()
        found = []
        for service in list(self._by_service):
            state = self._service(service)
            if state is None:
                continue
            self._advance(service, state)
            for priority, level in zip(
                state.policy.priorities, state.levels, strict=False
            ):
                counts = level.own_counts(now)
                if is_for_other_zones:
                    counts += level.heard_counts(now, from_zones=False)
                if counts == Counts():
                    continue
                found.append(
                    PressureNews(
                        self._zone if is_for_other_zones else '',
                        service,
                        priority,
                        counts.waiting,
                        counts.refused,
                        counts.admitted,
                        0.0,
                    )
                )
        if not is_for_other_zones:
            found += [
                msgspec.structs.replace(told, age=now - counted_at)
                for told, counted_at in self._relayed.values()
            ]
            self._relayed = {}
        return found

    def receive(
        self, news: Iterable[PressureNews], sender: str, is_neighbour: bool
    ) -> None:
        """Take over what another gateway reports.

        :param is_neighbour: the sender is of this zone
        """
        for told in news:
            if told.zone == self._zone or (not told.zone and not is_neighbour):
                continue
            numbers = (told.waiting, told.refused, told.admitted, told.age)
            if not all(math.isfinite(n) and n >= 0 for n in numbers):
                continue
            level = self._level(ids.ServiceId(told.service), told.priority)
            if level is None:
                continue
            source = _Source(told.zone or sender, bool(told.zone))
            counted_at = self._now() - told.age
            known = level.reports.get(source)
            if known is not None and known.counted_at > counted_at:
                continue
            level.reports[source] = _Report(
                Counts(told.waiting, told.refused, told.admitted), counted_at
            )
            if told.zone and not is_neighbour:
                key = (told.zone, told.service, told.priority)
                self._relayed[key] = told, counted_at
