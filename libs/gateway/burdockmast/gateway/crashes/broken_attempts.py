"""Finds crashes of servers whose port goes on accepting connections.

The load: requests that crash servers, while a proxy, a host or a listener that
outlives its process accepts connections in place of a crashed server. Such a
server can't be told at once from a sound one that broke off an answer. The
list of servers tells later: a later start is listed, or the server is gone
without having left. The answers that it broke off last were part of that.
"""

from collections.abc import Callable

from burdockmast.base import logs
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import crash_suspects
from burdockmast.gateway import server_states

LOG = logs.get('suspects')

# Longest time from a broken answer until the list shows that its server had
# crashed. The entry of one that doesn't come back expires after 3.6 s.
MAX_OUTAGE_SECONDS = 10.0
# Most attempts that are kept of one server, those that it broke off last.
MAX_ATTEMPTS = 256


class BrokenAttempts:
    """Attempts that were broken off by servers that may have crashed."""

    def __init__(
        self,
        suspects: crash_suspects.CrashSuspects,
        fate_of: Callable[[backends.BackendServer], server_states.Fate],
        now: Callable[[], float] = timers.now,
    ):
        """Create a record without attempts.

        :param fate_of: returns what has become of a start of a server
        """
        self._suspects = suspects
        self._fate_of = fate_of
        self._now = now
        # Times at which attempts were broken off, in their order.
        self._broken_by_incarnation: dict[
            backends.Incarnation, dict[crash_suspects.Attempt, float]
        ] = {}

    def add(self, attempt: crash_suspects.Attempt) -> None:
        """Record that an attempt was just broken off.

        One at a server that leaves, or that had ended before, is no sign.
        """
        server = attempt.server
        if self._fate_of(server) is not server_states.Fate.RUNS:
            return
        broken = self._broken_by_incarnation.setdefault(server.incarnation, {})
        broken[attempt] = self._now()
        if len(broken) > MAX_ATTEMPTS:
            del broken[next(iter(broken))]

    def record_answer(self, answered: crash_suspects.Attempt) -> None:
        """Drop what a server broke off before an answer, which it survived."""
        incarnation = answered.server.incarnation
        broken = self._broken_by_incarnation.get(incarnation)
        if broken:
            self._broken_by_incarnation[incarnation] = {
                attempt: broken_at
                for attempt, broken_at in broken.items()
                if broken_at >= answered.sent_at
            }

    def check(self) -> None:
        """Accuse the requests of attempts whose servers have ended since."""
        oldest = self._now() - MAX_OUTAGE_SECONDS
        for incarnation, broken in list(self._broken_by_incarnation.items()):
            del self._broken_by_incarnation[incarnation]
            recent = {a: at for a, at in broken.items() if at > oldest}
            if not recent:
                continue
            match self._fate_of(next(iter(recent)).server):
                case server_states.Fate.RUNS:
                    self._broken_by_incarnation[incarnation] = recent
                case server_states.Fate.ENDED:
                    self._record_crash(incarnation, recent)

    def _record_crash(
        self,
        incarnation: backends.Incarnation,
        broken: dict[crash_suspects.Attempt, float],
    ) -> None:
        for attempt, broken_at in broken.items():
            self._suspects.record_crash(attempt, broken_at)
        LOG.info(
            'server had crashed, as the list shows now',
            extra={
                'server': incarnation.server,
                'started_ms': incarnation.started_ms,
                'broken': len(broken),
                'age': round(self._now() - max(broken.values()), 3),
            },
        )
