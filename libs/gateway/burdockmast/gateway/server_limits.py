"""Keeps to what servers say in their answers of how much they can take.

One that asks for rest gets no requests from the gateway that it asked. A
server in need names a limit.

The load: a server names how many requests a second it accepts from all
gateways together, while each gateway has requests for it, as many at once as
there are gateways. What a gateway counts of its own, or hears of others late,
can't keep their sum below the limit.

So a limit is divided: by rendezvous hashing, a few gateways may send requests
to the server, and each of them gets an equal part of the limit. No gateway
has to hear from another before it sends. They tell each other only which
limits they have heard.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random

import msgspec

from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import rendezvous
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import interfaces

LOG = logs.get('limits')

UNAVAILABLE_STATUS = 503
# Share of a limit that is used, as requests may arrive less evenly than they
# are sent.
USED_SHARE = 0.95
# A server may get this many requests at once, and so many more for each
# request a second of its limit; the gateways' parts add up to less.
BURST_REQUESTS = 4.0
BURST_SECONDS = 2.2
# Gateways that may send requests to a server: so many, and so many more for
# each request a second of its limit.
MIN_SENDERS = 4
SENDERS_PER_LIMIT = 2
# Least requests a second of one gateway, so that it hears when a limit ends.
MIN_RATE = 0.05
# Age at which a limit that nobody has heard again no longer counts.
LIMIT_TTL_SECONDS = 30.0
# Age up to which other gateways are told that a limit has ended.
ENDED_NEWS_SECONDS = 3.0
# Largest random share added to a rest, so that gateways return one by one, and
# its limit.
REST_JITTER_SHARE = 0.2
MAX_REST_JITTER_SECONDS = 12.0
# Most servers whose rests are kept; those that are gone never end theirs.
MAX_RESTS = 1000
# Most starts of servers of which it is known that their limits were logged as
# unreadable.
MAX_UNREADABLE_STARTS = 1000


class LimitNews(msgspec.Struct, frozen=True, array_like=True):
    """What an answer of a server said of its limit.

    :ivar started_ms: names the server's incarnation
    :ivar limit: requests a second, None if it has ended
    :ivar age: seconds since the answer
    """

    server: ids.ServerId
    started_ms: int
    limit: float | None
    age: float


@dataclasses.dataclass(slots=True)
class _Heard:
    """The latest that is known of a server's limit.

    :ivar heard_at: monotonic seconds
    :ivar tokens: requests that this gateway may send now, as of ``filled_at``
    :ivar sent: requests that this gateway has sent since the limit is known
    """

    started_ms: int
    limit: float | None
    heard_at: float
    tokens: float
    filled_at: float
    sent: int = 0


class ServerLimits:
    """The limits that one gateway knows, and its part of each.

    :ivar unreadable_count: replies with a limit or a rest that is no number
    """

    def __init__(
        self,
        own_name: str,
        gateways: Callable[[], Iterable[str]],
        rng: random.Random,
        now: Callable[[], float] = timers.now,
    ):
        """Create a record without limits.

        :param gateways: returns the names of the other gateways
        """
        self._own_name = own_name
        self._gateways = gateways
        self._rng = rng
        self._now = now
        self.unreadable_count = 0
        self._heard_by_server: dict[ids.ServerId, _Heard] = {}
        # Starts of servers' incarnations.
        self._unreadable_by_server: dict[ids.ServerId, int] = {}
        # Start of the server's incarnation, and monotonic seconds until which
        # it rests.
        self._rest_until: dict[ids.ServerId, tuple[int, float]] = {}

    def record_reply(
        self,
        server: backends.BackendServer,
        reply: interfaces.ReplyMetadata,
        status: int,
        request: str,
    ) -> None:
        """Record what the head of a reply says of the server.

        A limit that can't be read leaves the one in force as it is.
        """
        if reply.is_limit_unreadable or (
            status == UNAVAILABLE_STATUS and reply.is_rest_unreadable
        ):
            self._record_unreadable(server, request)
        if not reply.is_limit_unreadable:
            self.record_answer(server, reply.limit, request)
        if status == UNAVAILABLE_STATUS and reply.rest_seconds:
            self._record_rest(server, reply.rest_seconds, request)

    def _record_unreadable(
        self, server: backends.BackendServer, request: str
    ) -> None:
        """Count a head, and log the first one of a server's start."""
        self.unreadable_count += 1
        if self._unreadable_by_server.get(server.id) == server.started_ms:
            return
        if len(self._unreadable_by_server) >= MAX_UNREADABLE_STARTS:
            self._unreadable_by_server.clear()
        self._unreadable_by_server[server.id] = server.started_ms
        LOG.warning(
            'server names a limit or a rest that is no number',
            extra={'server': server.id, 'request': request},
        )

    def _record_rest(
        self, server: backends.BackendServer, seconds: float, request: str
    ) -> None:
        jitter = self._rng.random() * min(
            REST_JITTER_SHARE * seconds, MAX_REST_JITTER_SECONDS
        )
        until = self._now() + seconds + jitter
        self._rest_until.pop(server.id, None)
        if len(self._rest_until) >= MAX_RESTS:
            del self._rest_until[next(iter(self._rest_until))]
        self._rest_until[server.id] = server.started_ms, until
        LOG.info(
            'server wants rest',
            extra={
                'server': server.id,
                'request': request,
                'asked': seconds,
                'seconds': round(seconds + jitter, 3),
            },
        )

    def record_answer(
        self,
        server: backends.BackendServer,
        limit: float | None,
        request: str,
    ) -> None:
        """Record the limit that an answer names, None if it names none."""
        if limit is None and self._current(server) is None:
            return
        self._record(server.id, server.started_ms, limit, self._now(), request)

    def _record(
        self,
        server: ids.ServerId,
        started_ms: int,
        limit: float | None,
        heard_at: float,
        source: str,
    ) -> None:
        now = self._now()
        known = self._heard_by_server.get(server)
        if known is None or known.started_ms != started_ms:
            known = _Heard(started_ms, None, heard_at, 0.0, now)
            self._heard_by_server[server] = known
        known.heard_at = heard_at
        if limit == known.limit:
            return
        LOG.info(
            'server changed its limit',
            extra={
                'server': server,
                'source': source,
                'age': round(now - heard_at, 3),
                'limit': limit,
                'before': known.limit,
                'sent': known.sent,
                'may_send': limit is not None
                and self._is_sender(server, limit),
            },
        )
        was_limited = known.limit is not None
        known.limit = limit
        known.sent = 0
        known.filled_at = now
        if limit is not None:
            most = self._most_tokens(limit)
            known.tokens = (
                min(known.tokens, most)
                if was_limited
                else self._rng.random() * most
            )

    def _current(self, server: backends.BackendServer) -> _Heard | None:
        """Return the limit in force, None if there is none."""
        known = self._heard_by_server.get(server.id)
        if (
            known is None
            or known.limit is None
            or known.started_ms != server.started_ms
            or self._now() - known.heard_at > LIMIT_TTL_SECONDS
        ):
            return None
        return known

    def _sender_count(self, limit: float) -> int:
        return min(_most_senders(limit), 1 + len(self._others()))

    def _others(self) -> set[str]:
        return set(self._gateways()) - {self._own_name}

    def _most_tokens(self, limit: float) -> float:
        burst = BURST_REQUESTS + BURST_SECONDS * limit
        return max(1.0, burst / self._sender_count(limit))

    def _rate(self, limit: float) -> float:
        return max(MIN_RATE, USED_SHARE * limit / self._sender_count(limit))

    def _is_sender(self, server: ids.ServerId, limit: float) -> bool:
        """Return whether this gateway is one of those that may send."""
        own_rank = rendezvous.rank(server, self._own_name)
        earlier = sum(
            rendezvous.rank(server, name) < own_rank for name in self._others()
        )
        return earlier < _most_senders(limit)

    def seconds_until_room(self, server: backends.BackendServer) -> float:
        """Return after what time a request may be sent.

        It is infinite if only other gateways may send.
        """
        started_ms, until = self._rest_until.get(server.id, (-1, 0.0))
        rest = until - self._now() if started_ms == server.started_ms else 0.0
        return max(0.0, rest, self._seconds_until_token(server))

    def _seconds_until_token(self, server: backends.BackendServer) -> float:
        known = self._current(server)
        if known is None:
            return 0.0
        if not self._is_sender(server.id, known.limit):
            return float('inf')
        self._fill(known)
        return max(0.0, 1.0 - known.tokens) / self._rate(known.limit)

    @property
    def resting_count(self) -> int:
        """The number of servers whose rest goes on, gone ones included."""
        now = self._now()
        return sum(until > now for _, until in self._rest_until.values())

    def has_room(self, server: backends.BackendServer) -> bool:
        """Return whether a request may be sent now."""
        return self.seconds_until_room(server) <= 0.0

    def record_sent(self, server: backends.BackendServer) -> None:
        """Count a request to a server."""
        known = self._current(server)
        if known is not None:
            self._fill(known)
            known.tokens -= 1.0
            known.sent += 1

    def _fill(self, known: _Heard) -> None:
        now = self._now()
        known.tokens = min(
            self._most_tokens(known.limit),
            known.tokens + (now - known.filled_at) * self._rate(known.limit),
        )
        known.filled_at = now

    def news(self) -> list[LimitNews]:
        """Return what to tell other gateways."""
        now = self._now()
        for server, (_, until) in list(self._rest_until.items()):
            if until < now:
                del self._rest_until[server]
        for server, known in list(self._heard_by_server.items()):
            age = now - known.heard_at
            if age > (
                ENDED_NEWS_SECONDS
                if known.limit is None
                else LIMIT_TTL_SECONDS
            ):
                del self._heard_by_server[server]
        return [
            LimitNews(server, k.started_ms, k.limit, now - k.heard_at)
            for server, k in self._heard_by_server.items()
        ]

    def receive(self, news: Iterable[LimitNews], sender: str) -> None:
        """Take over what another gateway has heard later."""
        now = self._now()
        for told in news:
            if not (told.age >= 0 and (told.limit is None or told.limit >= 0)):
                continue
            heard_at = now - told.age
            known = self._heard_by_server.get(told.server)
            if known is not None and (
                told.started_ms < known.started_ms
                or (
                    told.started_ms == known.started_ms
                    and heard_at <= known.heard_at
                )
            ):
                continue
            if known is None and told.limit is None:
                continue
            self._record(
                told.server, told.started_ms, told.limit, heard_at, sender
            )


def _most_senders(limit: float) -> int:
    """Return how many gateways may send requests to a server."""
    return int(MIN_SENDERS + SENDERS_PER_LIMIT * limit)
