"""What callers of each zone ask for, as far as gateways tell each other.

The load: in a burst, all gateways of a zone want the same inter-zone links,
and only their rates together tell how full these get. A gateway tells its
neighbours its own rates, and all gateways pass on the sums of whole zones,
each with its age, so that a lost message is made up for by any later one.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import heapq
import itertools
import math

import msgspec

from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.gateway import links

# Time over which arrivals are averaged. A burst lasts some seconds, and a
# shorter average would follow single requests.
RATE_SECONDS = 3.0
# The same for prompts on links, where a burst has to show within tenths of a
# second: gateways without knowledge of it fill a link meanwhile.
LINK_RATE_SECONDS = 0.5
# Time after which a source that sends nothing counts as silent, as its load.
VALID_SECONDS = 1.5
# Time for which the prompts of a silent source are still allowed for: it may
# be cut off from this gateway, but not from the links.
KEPT_SECONDS = 10.0
# Bounds on what is reported and kept, so that messages stay small whatever is
# configured.
MAX_LINKS = 12
MAX_SERVICES = 8
MAX_SOURCES = 1024
# Rates below this many a second are as good as none.
MIN_RATE = 0.001


class DemandNews(msgspec.Struct, frozen=True, array_like=True):
    """The requests for a service of one gateway, or of a whole zone.

    :ivar gateway: empty if these are the sums over the zone
    :ivar age: seconds since the source reported this
    :ivar arrivals: requests a second
    :ivar prompts: zones of each inter-zone link that prompts take or wait
        for, and the time for which they occupy it, in seconds a second
    :ivar shares: of the zone's requests that go to other zones, None unless
        the gateway decides them
    """

    zone: str
    gateway: str
    service: str
    age: float
    arrivals: float
    prompts: list[tuple[str, str, float]] = []
    shares: list[tuple[str, float]] | None = None


class Rate:
    """An exponentially weighted rate."""

    def __init__(
        self, now: Callable[[], float], seconds: float = RATE_SECONDS
    ):
        """Create a rate of 0.

        :param seconds: over which it is averaged
        """
        self._now = now
        self._seconds = seconds
        self._sum = 0.0
        self._updated_at = now()

    def add(self, amount: float) -> None:
        """Add an amount that has occurred just now."""
        self._sum = self._decayed_sum() + amount
        self._updated_at = self._now()

    @property
    def per_second(self) -> float:
        """The rate over the last seconds."""
        return self._decayed_sum() / self._seconds

    def _decayed_sum(self) -> float:
        age = self._now() - self._updated_at
        return self._sum * math.exp(-age / self._seconds)


@dataclasses.dataclass(slots=True)
class _OwnDemand:
    arrivals: Rate
    seconds_by_link: dict[links.Link, Rate]
    share_by_zone: dict[ids.ZoneId, float] | None = None
    decided_at: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    """What a source reported last.

    :ivar reported_at: monotonic seconds
    """

    reported_at: float
    arrivals: float
    seconds_by_link: dict[links.Link, float]
    share_by_zone: dict[ids.ZoneId, float] | None = None


Source = tuple[ids.ZoneId, str]


class Demand:
    """The demand of this gateway's callers, and what others reported."""

    def __init__(
        self,
        gateway: str,
        zone: ids.ZoneId,
        now: Callable[[], float] = timers.now,
    ):
        """Create a record without demand."""
        self._gateway = gateway
        self._zone = zone
        self._now = now
        self._own: dict[ids.ServiceId, _OwnDemand] = {}
        self._heard: dict[Source, dict[ids.ServiceId, _Heard]] = {}

    def record_arrival(self, service: ids.ServiceId) -> None:
        """Count a new request of a caller."""
        self._own_demand(service).arrivals.add(1.0)

    def record_prompt(
        self,
        service: ids.ServiceId,
        found: Iterable[links.Link],
        seconds: float,
    ) -> None:
        """Count a prompt that takes links, or waits for them.

        :param seconds: for which the prompt occupies each link
        """
        rates = self._own_demand(service).seconds_by_link
        for link in found:
            rate = rates.get(link)
            if rate is None:
                rate = rates[link] = Rate(self._now, LINK_RATE_SECONDS)
            rate.add(seconds)

    def _own_demand(self, service: ids.ServiceId) -> _OwnDemand:
        found = self._own.get(service)
        if found is None:
            found = self._own[service] = _OwnDemand(Rate(self._now), {})
        return found

    def _own_as_heard(self) -> dict[ids.ServiceId, _Heard]:
        return {
            service: _Heard(
                self._now(),
                own.arrivals.per_second,
                {
                    link: rate.per_second
                    for link, rate in own.seconds_by_link.items()
                    if rate.per_second >= MIN_RATE
                },
                own.share_by_zone
                if self._now() - own.decided_at < VALID_SECONDS
                else None,
            )
            for service, own in self._own.items()
        }

    @property
    def is_informed(self) -> bool:
        """Whether any other gateway was heard lately."""
        return any(True for _ in self._sources(VALID_SECONDS))

    def _sources(
        self, max_age: float
    ) -> Iterable[tuple[Source, dict[ids.ServiceId, _Heard]]]:
        """Yield the other sources that were heard lately."""
        since = self._now() - max_age
        for source, heard in self._heard.items():
            lately = {s: h for s, h in heard.items() if h.reported_at > since}
            if lately:
                yield source, lately

    def arrivals(
        self, zone: ids.ZoneId, service: ids.ServiceId
    ) -> float | None:
        """Return a zone's requests a second, None if it is silent."""
        found = [
            heard[service].arrivals
            for (source_zone, _), heard in self._sources(VALID_SECONDS)
            if source_zone == zone and service in heard
        ]
        if zone == self._zone and service in self._own:
            found.append(self._own[service].arrivals.per_second)
        return sum(found) if found else None

    def record_shares(
        self, service: ids.ServiceId, shares: dict[ids.ZoneId, float]
    ) -> None:
        """Record the shares that this gateway has decided for its zone."""
        own = self._own_demand(service)
        own.share_by_zone = shares
        own.decided_at = self._now()

    def decided_shares(
        self, service: ids.ServiceId
    ) -> dict[ids.ZoneId, float] | None:
        """Return what another gateway decides for this zone.

        It is the first one by name that decides, None if that is this one.
        """
        deciding = [
            (name, heard[service].share_by_zone)
            for (zone, name), heard in self._sources(VALID_SECONDS)
            if zone == self._zone
            and name < self._gateway
            and service in heard
            and heard[service].share_by_zone is not None
        ]
        return min(deciding, key=lambda d: d[0])[1] if deciding else None

    def zones(self) -> set[ids.ZoneId]:
        """Return the zones that were heard lately, and the own one."""
        return {
            self._zone,
            *(zone for (zone, _), _ in self._sources(VALID_SECONDS)),
        }

    def seconds_by_link(self) -> tuple[dict, dict]:
        """Return how busy prompts want links, in seconds a second.

        :returns: for this gateway alone, and for all gateways
        """
        own: dict[links.Link, float] = {}
        _add_links(own, self._own_as_heard())
        total = dict(own)
        for _, heard in self._sources(KEPT_SECONDS):
            _add_links(total, heard)
        return own, total

    def news(self) -> list[DemandNews]:
        """Return what to tell other gateways."""
        own = self._own_as_heard()
        zone_total = _sum([own, *self._neighbours_demand()])
        sources: list[tuple[Source, dict[ids.ServiceId, _Heard]]] = [
            ((self._zone, self._gateway), own),
            ((self._zone, ''), zone_total),
        ]
        sources += [
            (source, heard)
            for source, heard in self._sources(VALID_SECONDS)
            if source[0] != self._zone
        ]
        return [
            self._encode(source, service, heard_by_service[service])
            for source, heard_by_service in sources
            for service in heapq.nlargest(
                MAX_SERVICES,
                heard_by_service,
                key=lambda s, by=heard_by_service: by[s].arrivals,
            )
        ]

    def _neighbours_demand(self) -> list[dict[ids.ServiceId, _Heard]]:
        return [
            heard
            for (zone, _), heard in self._sources(VALID_SECONDS)
            if zone == self._zone
        ]

    def _encode(
        self, source: Source, service: ids.ServiceId, heard: _Heard
    ) -> DemandNews:
        busiest = heapq.nlargest(
            MAX_LINKS, heard.seconds_by_link.items(), key=lambda item: item[1]
        )
        return DemandNews(
            source[0],
            source[1],
            service,
            round(max(0.0, self._now() - heard.reported_at), 3),
            round(heard.arrivals, 3),
            [(*link, round(seconds, 4)) for link, seconds in busiest],
            None
            if heard.share_by_zone is None
            else [
                (zone, round(share, 3))
                for zone, share in heard.share_by_zone.items()
            ][:MAX_LINKS],
        )

    def receive(self, news: Iterable[DemandNews]) -> None:
        """Take over what another gateway reports.

        From the own zone only what gateways say of themselves counts, from
        other zones only the sums.
        """
        self._drop_old()
        for item in itertools.islice(news, MAX_SOURCES):
            is_own_zone = item.zone == self._zone
            if is_own_zone is not bool(item.gateway):
                continue
            if is_own_zone and item.gateway == self._gateway:
                continue
            if not _is_sound(item):
                continue
            source = (ids.ZoneId(item.zone), item.gateway)
            if source not in self._heard and len(self._heard) >= MAX_SOURCES:
                continue
            known = self._heard.setdefault(source, {})
            service = ids.ServiceId(item.service)
            reported_at = self._now() - item.age
            before = known.get(service)
            if before is None:
                if len(known) >= MAX_SERVICES:
                    continue
            elif before.reported_at >= reported_at:
                continue
            known[service] = _Heard(
                reported_at,
                item.arrivals,
                {
                    (ids.ZoneId(a), ids.ZoneId(b)): seconds
                    for a, b, seconds in item.prompts[:MAX_LINKS]
                },
                None
                if item.shares is None
                else {
                    ids.ZoneId(zone): share
                    for zone, share in item.shares[:MAX_LINKS]
                },
            )

    def _drop_old(self) -> None:
        since = self._now() - KEPT_SECONDS
        for source, heard in list(self._heard.items()):
            for service, item in list(heard.items()):
                if item.reported_at <= since:
                    del heard[service]
            if not heard:
                del self._heard[source]


def _is_sound(item: DemandNews) -> bool:
    """Return whether all numbers of a message can be true."""
    numbers = [item.age, item.arrivals, *(p[2] for p in item.prompts)]
    numbers += [share for _, share in item.shares or ()]
    return all(0 <= number < math.inf for number in numbers)


def _add_links(
    total: dict[links.Link, float], heard: dict[ids.ServiceId, _Heard]
) -> None:
    for item in heard.values():
        for link, seconds in item.seconds_by_link.items():
            total[link] = total.get(link, 0.0) + seconds


def _sum(
    sources: list[dict[ids.ServiceId, _Heard]],
) -> dict[ids.ServiceId, _Heard]:
    """Return the sums of sources, as old as the newest one."""
    found: dict[ids.ServiceId, _Heard] = {}
    for heard in sources:
        for service, item in heard.items():
            before = found.get(service)
            if before is None:
                found[service] = dataclasses.replace(item, share_by_zone=None)
                continue
            seconds_by_link = dict(before.seconds_by_link)
            for link, seconds in item.seconds_by_link.items():
                seconds_by_link[link] = seconds_by_link.get(link, 0) + seconds
            found[service] = _Heard(
                max(before.reported_at, item.reported_at),
                before.arrivals + item.arrivals,
                seconds_by_link,
            )
    return found
