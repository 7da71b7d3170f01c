"""Adds up the requests and retries that other gateways count.

Begun streams of all gateways share a part of the retry budget. What was told
of a gateway's retries counts for a whole window, also if it has stopped,
started again, or another gateway speaks for its zone now.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

import msgspec

from burdockmast.base import ids
from burdockmast.base import timers

# Time after which a source that sends nothing counts as silent.
VALID_SECONDS = 1.5
# A sum is kept for this long, so that its cost does not grow with requests.
SUM_SECONDS = 0.05


class ServiceCounts(msgspec.Struct, frozen=True, array_like=True):
    """Requests and retries of a service in a window.

    :ivar shared_retries: taken from the part that gateways share
    :ivar takers: gateways that have asked for such a retry
    """

    requests: int = 0
    shared_retries: int = 0
    takers: int = 0


class SourceCounts(msgspec.Struct, frozen=True, array_like=True):
    """The counts of one source: a gateway, or all gateways of a zone."""

    gateways: int = 0
    by_service: dict[str, ServiceCounts] = {}


NO_COUNTS = SourceCounts()
NO_SERVICE_COUNTS = ServiceCounts()


def add(counts: Iterable[SourceCounts]) -> SourceCounts:
    """Return the sum of counts."""
    gateways = 0
    by_service: dict[str, ServiceCounts] = {}
    for source in counts:
        gateways += source.gateways
        for service, more in source.by_service.items():
            so_far = by_service.get(service, NO_SERVICE_COUNTS)
            by_service[service] = ServiceCounts(
                so_far.requests + more.requests,
                so_far.shared_retries + more.shared_retries,
                so_far.takers + more.takers,
            )
    return SourceCounts(gateways, by_service)


class _RetainedRetries:
    """The retries that a source told, each retained for a window."""

    def __init__(self):
        self.count = 0
        self._told: collections.deque[tuple[float, int]] = collections.deque()

    def raise_to(self, count: int, now: float) -> None:
        """Count the retries that exceed those told before."""
        if count > self.count:
            self._told.append((now, count - self.count))
            self.count = count

    def drop_before(self, since: float) -> None:
        while self._told and self._told[0][0] < since:
            self.count -= self._told.popleft()[1]


class _Source:
    """What one source said.

    :ivar heard_at: monotonic seconds
    """

    def __init__(self):
        self.counts = NO_COUNTS
        self.heard_at = float('-inf')
        self._retained: dict[str, _RetainedRetries] = {}

    def update(self, counts: SourceCounts, now: float, window: float) -> None:
        self.counts = counts
        self.heard_at = now
        self.drop_before(now - window)
        for service, told in counts.by_service.items():
            if told.shared_retries:
                retained = self._retained.setdefault(
                    service, _RetainedRetries()
                )
                retained.raise_to(told.shared_retries, now)

    def drop_before(self, since: float) -> None:
        for service, retained in list(self._retained.items()):
            retained.drop_before(since)
            if not retained.count:
                del self._retained[service]

    def is_heard(self, now: float) -> bool:
        return now - self.heard_at < VALID_SECONDS

    def known(self, now: float) -> SourceCounts:
        """Return what counts now: requests only of a source that is heard."""
        is_heard = self.is_heard(now)
        services = set(self._retained)
        if is_heard:
            services.update(self.counts.by_service)
        return SourceCounts(
            self.counts.gateways if is_heard else 0,
            {s: self.known_of(s, is_heard) for s in services},
        )

    def known_of(self, service: str, is_heard: bool) -> ServiceCounts:
        told = self.counts.by_service.get(service, NO_SERVICE_COUNTS)
        retained = self._retained.get(service)
        retries = retained.count if retained else 0
        if is_heard:
            return ServiceCounts(
                told.requests, max(retries, told.shared_retries), told.takers
            )
        return ServiceCounts(0, retries, told.takers if retries else 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Sum:
    """The counts of a service over all other gateways.

    :ivar gateways: that were heard lately
    :ivar silent_retries: those of the shared retries whose source is silent
    """

    gateways: int
    counts: ServiceCounts
    silent_retries: int


class CountTable:
    """The latest counts of each source."""

    def __init__(self, window: float, now: Callable[[], float] = timers.now):
        """Create a table without sources.

        :param window: seconds for which a retry counts
        """
        self._window = window
        self._now = now
        self._sources: dict[str, _Source] = {}
        # Sums by service, with the monotonic seconds of their making.
        self._sums: dict[ids.ServiceId, tuple[float, Sum]] = {}

    def update(self, source: str, counts: SourceCounts) -> None:
        """Take over what a source reports."""
        self._sources.setdefault(source, _Source()).update(
            counts, self._now(), self._window
        )

    def sum_of_sources(
        self, is_included: Callable[[str], bool]
    ) -> SourceCounts:
        """Return the sum over the sources whose names are included."""
        self._drop_expired()
        now = self._now()
        return add(
            source.known(now)
            for name, source in self._sources.items()
            if is_included(name)
        )

    def sum(self, service: ids.ServiceId) -> Sum:
        """Return the sum over all sources."""
        made_at, found = self._sums.get(service, (float('-inf'), None))
        if found is None or self._now() - made_at >= SUM_SECONDS:
            found = self._add_up(service)
            self._sums[service] = self._now(), found
        return found

    def _add_up(self, service: ids.ServiceId) -> Sum:
        self._drop_expired()
        now = self._now()
        gateways = requests = retries = silent_retries = takers = 0
        for source in self._sources.values():
            is_heard = source.is_heard(now)
            counts = source.known_of(service, is_heard)
            requests += counts.requests
            retries += counts.shared_retries
            takers += counts.takers
            if is_heard:
                gateways += source.counts.gateways
            else:
                silent_retries += counts.shared_retries
        return Sum(
            gateways, ServiceCounts(requests, retries, takers), silent_retries
        )

    def _drop_expired(self) -> None:
        since = self._now() - self._window
        for name, source in list(self._sources.items()):
            source.drop_before(since)
            if source.heard_at < since:
                del self._sources[name]
