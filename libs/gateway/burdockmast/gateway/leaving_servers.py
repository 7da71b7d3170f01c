"""Keeps which servers have said in their answers that they leave.

A server's own word is newer than its entry in the store, which may say that
it is ready for as long as the store is away. It holds for the incarnation
that said so, until that is no longer listed.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

import msgspec

from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import timers
from burdockmast.gateway import backends

LOG = logs.get('leaving')

# Time for which it is remembered that an incarnation of a server leaves. It
# may be listed long after it has ended, while the store is away.
TTL_SECONDS = 600.0
# Age up to which other gateways are told that a server leaves.
NEWS_SECONDS = 10.0


class LeavingNews(msgspec.Struct, frozen=True, array_like=True):
    """A server's incarnation that has said that it leaves."""

    server: ids.ServerId
    started_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Leaving:
    """The incarnation that leaves, and the monotonic seconds of hearing it."""

    started_ms: int
    heard_at: float


class LeavingServers:
    """The servers that one gateway knows to leave."""

    def __init__(self, now: Callable[[], float] = timers.now):
        """Create a record without servers."""
        self._now = now
        self._leaving_by_server: dict[ids.ServerId, _Leaving] = {}

    def record(
        self, server: ids.ServerId, started_ms: int, source: str
    ) -> None:
        """Record that an incarnation of a server leaves.

        :param source: request whose answer said so, or gateway that told
        """
        known = self._leaving_by_server.get(server)
        if known is not None and known.started_ms >= started_ms:
            return
        self._leaving_by_server[server] = _Leaving(started_ms, self._now())
        LOG.info(
            'server says that it leaves',
            extra={
                'server': server,
                'started_ms': started_ms,
                'source': source,
            },
        )

    def includes(self, server: backends.BackendServer) -> bool:
        """Return whether a server has said that it leaves."""
        known = self._leaving_by_server.get(server.id)
        return known is not None and known.started_ms == server.started_ms

    def as_known(
        self, server: backends.BackendServer
    ) -> backends.BackendServer:
        """Return a listed server, not ready if it has said that it leaves."""
        if not server.is_ready or not self.includes(server):
            return server
        return dataclasses.replace(server, is_ready=False)

    def news(self) -> list[LeavingNews]:
        """Return which servers lately said that they leave."""
        now = self._now()
        for server, known in list(self._leaving_by_server.items()):
            if now - known.heard_at > TTL_SECONDS:
                del self._leaving_by_server[server]
        return [
            LeavingNews(server, known.started_ms)
            for server, known in self._leaving_by_server.items()
            if now - known.heard_at <= NEWS_SECONDS
        ]

    def receive(self, news: Iterable[LeavingNews], sender: str) -> None:
        """Take over which servers have told another gateway that they leave.

        One heard before isn't told again, so that news ends.
        """
        for told in news:
            self.record(told.server, told.started_ms, sender)
