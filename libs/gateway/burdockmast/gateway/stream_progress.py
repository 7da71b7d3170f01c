"""State of a stream across its attempts."""

import dataclasses

from burdockmast.base import ids
from burdockmast.gateway import backends
from burdockmast.gateway import retries
from burdockmast.gateway import stream_attempts
from burdockmast.gateway import stream_standbys


@dataclasses.dataclass(frozen=True, slots=True)
class FirstServers:
    """The servers at which another attempt may begin.

    :ivar excluded: where one is under way
    :ivar allowed: None if any other server is
    """

    excluded: frozenset[ids.ServerId]
    allowed: frozenset[ids.ServerId] | None

    def __contains__(self, server: object) -> bool:
        """Return whether an attempt may begin at a server."""
        if self.allowed is None:
            return server not in self.excluded
        return server in self.allowed

    @property
    def is_empty(self) -> bool:
        """Whether no other attempt is left."""
        return self.allowed == frozenset()


@dataclasses.dataclass(slots=True)
class Progress:
    """State of a stream across its attempts.

    :ivar fingerprints: see ``crash_suspects``
    :ivar last_event_id: of the last event that the caller has received
    :ivar can_resume: another run can go on behind what the caller has received
    :ivar attempts: to send the request to any server
    :ivar possible_runs: ended attempts that may have run
    :ivar ran_at: where ended attempts may have run, but for servers that
        have ended since
    :ivar refusals: by servers that did not run the request, or gave a begun
        stream no event, since the last event
    :ivar event_count: events forwarded to the caller
    :ivar has_begun: the reply head has been sent to the caller
    :ivar failed_servers: servers that failed this request
    :ivar current: the attempt whose events the caller gets
    :ivar standbys: attempts beside it, while it sends nothing
    :ivar path_changes: of all attempts' paths, so that a request that ends
        the servers that run it ends few
    :ivar next_standby_at: monotonic seconds before which none is started
    """

    last_event_id: ids.EventId | None
    fingerprints: tuple[ids.Fingerprint, ...]
    can_resume: bool = True
    attempts: int = 0
    possible_runs: int = 0
    ran_at: set[backends.Incarnation] = dataclasses.field(default_factory=set)
    refusals: int = 0
    event_count: int = 0
    has_begun: bool = False
    failed_servers: list[ids.ServerId] = dataclasses.field(
        default_factory=list
    )
    current: stream_attempts.StreamAttempt | None = None
    standbys: list[stream_standbys.Standby] = dataclasses.field(
        default_factory=list
    )
    path_changes: int = 0
    next_standby_at: float = 0.0

    def first_servers(self, max_attempts: int) -> FirstServers:
        """Return the servers at which another attempt may begin.

        A begun stream may run again where it has run, but at no more servers
        than its route has attempts.
        """
        under_way = self._under_way()
        excluded = frozenset(i.server for i in under_way)
        if self.has_begun:
            may_be_new = len(self.ran_at | under_way) < max_attempts
            known = frozenset(i.server for i in self.ran_at) - excluded
        else:
            may_be_new = not self.is_repeat(max_attempts)
            known = frozenset()
        return FirstServers(excluded, None if may_be_new else known)

    def is_repeat(self, max_attempts: int) -> bool:
        """Return whether the request has run as often as its route allows."""
        return self.possible_runs + len(self._under_way()) >= max_attempts

    def _under_way(self) -> set[backends.Incarnation]:
        attempts = [s.attempt for s in self.standbys if not s.has_ended]
        return {
            attempt.path[0].server.incarnation
            for attempt in (self.current, *attempts)
            if attempt is not None
        }

    def record_run(self, attempt: stream_attempts.StreamAttempt) -> None:
        """Record an attempt that has ended and may have run."""
        self.possible_runs += 1
        self.ran_at.add(attempt.path[0].server.incarnation)

    @property
    def is_often_refused(self) -> bool:
        """Whether a new request would not be sent again after its refusals."""
        return self.refusals >= retries.MAX_NOT_RUN_ATTEMPTS

    def drop_failed_standbys(self) -> None:
        """Drop the standby attempts that have failed."""
        self.standbys = [s for s in self.standbys if not s.has_ended]
