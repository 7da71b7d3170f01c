"""Finds servers that fail all requests which begin at them.

The load: a server says that it is well, answers reports and passes on what
others send, but answers each request with an error. It has nothing to do, so
that it looks like the best choice for every request.
"""

import collections
from collections.abc import Iterable

from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.gateway import backends

# Failures in a row after which a server gets no more requests.
MAX_FAILURES = 2
# Time for which it gets none. The next outcome decides after that.
REST_SECONDS = 3.0


class FailingServers:
    """Servers whose last requests failed, as far as one gateway knows."""

    def __init__(self):
        """Create a record without failures."""
        self._failures_by_server: collections.Counter[backends.Incarnation] = (
            collections.Counter()
        )
        self._rests_until: dict[backends.Incarnation, float] = {}

    def record_failure(self, server: backends.Incarnation) -> bool:
        """Record a failed request; return whether the server is to rest."""
        self._failures_by_server[server] += 1
        if self._failures_by_server[server] < MAX_FAILURES:
            return False
        self._rests_until[server] = timers.now() + REST_SECONDS
        return True

    def record_success(self, server: backends.Incarnation) -> None:
        """Record that a server has served a request."""
        if server in self._failures_by_server:
            del self._failures_by_server[server]
            self._rests_until.pop(server, None)

    def resting(self) -> set[ids.ServerId]:
        """Return the servers that are to get no requests."""
        now = timers.now()
        return {
            incarnation.server
            for incarnation, until in self._rests_until.items()
            if until > now
        }

    def keep(self, listed: Iterable[backends.Incarnation]) -> None:
        """Drop what is known of other incarnations."""
        for gone in self._failures_by_server.keys() - set(listed):
            self.record_success(gone)
