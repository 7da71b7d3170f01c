"""Finds servers that fail all requests which begin at them.

The load: a server says that it is well, answers reports and passes on what
others send, but answers each request with an error. It has nothing to do, so
that it looks like the best choice for every request.
"""

import collections
from collections.abc import Container

from burdockmast.base import ids
from burdockmast.base import timers

# Failures in a row after which a server gets no more requests.
MAX_FAILURES = 2
# Time for which it gets none. The first one after that decides.
REST_SECONDS = 3.0


class FailingServers:
    """Servers whose last requests failed, as far as one gateway knows."""

    def __init__(self):
        """Create a record without failures."""
        self._failures_by_server: collections.Counter[ids.ServerId] = (
            collections.Counter()
        )
        self._rests_until: dict[ids.ServerId, float] = {}

    def record_failure(self, server: ids.ServerId) -> bool:
        """Record a failed request; return whether the server is to rest."""
        self._failures_by_server[server] += 1
        if self._failures_by_server[server] < MAX_FAILURES:
            return False
        self._rests_until[server] = timers.now() + REST_SECONDS
        return True

    def record_success(self, server: ids.ServerId) -> None:
        """Record that a server has served a request."""
        if server in self._failures_by_server:
            del self._failures_by_server[server]
            self._rests_until.pop(server, None)

    def is_resting(self, server: ids.ServerId) -> bool:
        """Return whether a server is to get no requests."""
        return self._rests_until.get(server, 0.0) > timers.now()

    def keep(self, servers: Container[ids.ServerId]) -> None:
        """Drop what is known of other servers."""
        for server in list(self._failures_by_server):
            if server not in servers:
                self.record_success(server)
