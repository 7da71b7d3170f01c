"""Keeps to the limits that servers in need name in their answers."""

from burdockmast.base import ids
from burdockmast.base import logs

LOG = logs.get('limits')


class ServerLimits:
    """The limits that one gateway has heard."""

    def __init__(self):
        """Create a record without limits."""
        self._limit_by_server: dict[ids.ServerId, float] = {}
        self._sent_by_server: dict[ids.ServerId, int] = {}

    def record_sent(self, server: ids.ServerId) -> None:
        """Count a request to a server."""
        if server in self._limit_by_server:
            self._sent_by_server[server] += 1

    def record_answer(
        self, server: ids.ServerId, limit: float | None, request: str
    ) -> None:
        """Record the limit that an answer names, None if it names none."""
        before = self._limit_by_server.get(server)
        if limit == before:
            return
        LOG.info(
            'server changed its limit',
            extra={
                'server': server,
                'request': request,
                'limit': limit,
                'before': before,
                'sent': self._sent_by_server.pop(server, 0),
            },
        )
        if limit is None:
            del self._limit_by_server[server]
        else:
            self._limit_by_server[server] = limit
            self._sent_by_server[server] = 0
