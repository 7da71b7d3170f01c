"""Learns from rejections how much of a server's memory may be used.

The load: callers compete for too little memory of servers, and dozens of
gateways estimate what requests will hold. Where answers get longer than
expected, the estimate is too low: a server without memory rejects the requests
of each gateway, and each rejection uses up a retry of all gateways.

A rejection at a known load shows how much the server really takes. All
gateways are told, and send it no more than that. The limit rises again while
the server rejects nothing.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random

import msgspec

from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import timers
from burdockmast.gateway import backends

LOG = logs.get('admission')

# Share of the load at a rejection that a server is given afterwards.
USED_SHARE = 0.97
# Lowest limit: with less load, another cause than memory is likely.
MIN_LIMIT = 0.5
# Rise of a limit, as a share of the server's memory.
RISE_PER_SECOND = 0.05
# First backoff after a rejection, and the longest. It doubles with each
# rejection that is seen before the server has accepted a request.
FIRST_BACKOFF_SECONDS = 0.15
MAX_BACKOFF_SECONDS = 2.0
# Rejections within this time of another one count as the same.
SAME_REJECTION_SECONDS = 0.1
# Largest random share added to a backoff, so that gateways return one by one.
JITTER_SHARE = 0.5
# Age up to which rejections are told to other gateways, and how many servers.
NEWS_SECONDS = 1.5
MAX_NEWS = 32


class FullNews(msgspec.Struct, frozen=True, array_like=True):
    """A rejection that a gateway has seen or was told of.

    :ivar started_ms: names the server's incarnation
    :ivar share: of the server's memory that all known requests needed then
    :ivar age: seconds since the rejection
    """

    server: ids.ServerId
    started_ms: int
    share: float
    age: float


@dataclasses.dataclass(slots=True)
class _Rejecting:
    """The latest that is known of a server that has rejected a request.

    :ivar limit: share of its memory that may be used, as of ``rejected_at``
    :ivar share: that was used then
    :ivar count: rejections since the server last accepted a request
    """

    started_ms: int
    limit: float
    share: float
    rejected_at: float
    backs_off_until: float
    count: int


class FullServers:
    """The servers that have lately rejected requests."""

    def __init__(
        self, rng: random.Random, now: Callable[[], float] = timers.now
    ):
        """Create a record without rejections."""
        self._rng = rng
        self._now = now
        self._rejecting_by_server: dict[ids.ServerId, _Rejecting] = {}

    def record_rejection(
        self, server: backends.BackendServer, share: float
    ) -> None:
        """Record that a server rejected a request of this gateway.

        :param share: of its memory that all other known requests need
        """
        self._record(server.id, server.started_ms, share, self._now())
        known = self._rejecting_by_server[server.id]
        LOG.info(
            'server rejected a request; limiting its load',
            extra={
                'server': server.id,
                'share': round(share, 3),
                'limit': round(known.limit, 3),
                'rejections': known.count,
                'seconds': round(known.backs_off_until - self._now(), 3),
            },
        )

    def record_accepted(self, server: ids.ServerId) -> None:
        """Record that a server accepted a request."""
        known = self._rejecting_by_server.get(server)
        if known is not None:
            known.count = 0

    def _record(
        self,
        server: ids.ServerId,
        started_ms: int,
        share: float,
        rejected_at: float,
    ) -> None:
        known = self._rejecting_by_server.get(server)
        if known is None or known.started_ms < started_ms:
            limit, count = float('inf'), 0
        else:
            limit, count = self._limit_at(known, rejected_at), known.count
        backoff = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2**count)
        backoff *= 1 + JITTER_SHARE * self._rng.random()
        self._rejecting_by_server[server] = _Rejecting(
            started_ms,
            max(MIN_LIMIT, min(limit, share * USED_SHARE)),
            share,
            rejected_at,
            rejected_at + backoff,
            count + 1,
        )

    def _limit_at(self, known: _Rejecting, now: float) -> float:
        return known.limit + RISE_PER_SECOND * (now - known.rejected_at)

    def limit(self, server: ids.ServerId, usual: float) -> float:
        """Return the share of a server's memory that may be used.

        :param usual: of servers that reject nothing
        """
        known = self._rejecting_by_server.get(server)
        if known is None:
            return usual
        return min(usual, self._limit_at(known, self._now()))

    def limited_count(self, usual: float) -> int:
        """Return how many servers get less than is usual."""
        return sum(
            self.limit(server, usual) < usual
            for server in self._rejecting_by_server
        )

    def backs_off(self, server: ids.ServerId) -> bool:
        """Return whether a server gets no requests for a moment."""
        known = self._rejecting_by_server.get(server)
        return known is not None and known.backs_off_until > self._now()

    def news(self) -> list[FullNews]:
        """Return the latest rejections, to tell other gateways."""
        now = self._now()
        latest = sorted(
            (
                (now - known.rejected_at, server, known)
                for server, known in self._rejecting_by_server.items()
                if now - known.rejected_at < NEWS_SECONDS
            ),
            key=lambda found: found[:2],
        )
        return [
            FullNews(server, known.started_ms, known.share, age)
            for age, server, known in latest[:MAX_NEWS]
        ]

    def receive(self, news: Iterable[FullNews]) -> None:
        """Take over the rejections that another gateway knows."""
        now = self._now()
        for told in news:
            if not (0 <= told.age < NEWS_SECONDS and told.share >= 0):
                continue
            known = self._rejecting_by_server.get(told.server)
            rejected_at = now - told.age
            if known is not None and (
                known.started_ms > told.started_ms
                or rejected_at < known.rejected_at + SAME_REJECTION_SECONDS
            ):
                continue
            self._record(told.server, told.started_ms, told.share, rejected_at)

    def keep(self, servers: Iterable[backends.BackendServer]) -> None:
        """Drop what is known of other incarnations."""
        listed = {server.id: server.started_ms for server in servers}
        for server, known in list(self._rejecting_by_server.items()):
            if listed.get(server) != known.started_ms:
                del self._rejecting_by_server[server]
