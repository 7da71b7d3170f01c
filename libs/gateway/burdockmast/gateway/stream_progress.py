"""State of a stream across its attempts."""

import dataclasses

from burdockmast.base import ids
from burdockmast.gateway import retries
from burdockmast.gateway import stream_attempts
from burdockmast.gateway import stream_standbys


@dataclasses.dataclass(slots=True)
class Progress:
    """State of a stream across its attempts.

    :ivar fingerprints: see ``crash_suspects``
    :ivar last_event_id: of the last event that the caller has received
    :ivar attempts: to send the request to any server
    :ivar possible_runs: ended attempts that may have run
    :ivar ended_runs: those of them that ended a begun stream because their
        server crashed, so that nothing runs there any more
    :ivar refusals: by servers that did not run the request, since the last
        event
    :ivar event_count: events forwarded to the caller
    :ivar has_begun: the reply head has been sent to the caller
    :ivar failed_servers: servers that failed this request
    :ivar current: the attempt whose events the caller gets
    :ivar standbys: attempts beside it, while it sends nothing
    :ivar next_standby_at: monotonic seconds before which none is started
    """

    last_event_id: int | None
    fingerprints: tuple[ids.Fingerprint, ...]
    attempts: int = 0
    possible_runs: int = 0
    ended_runs: int = 0
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
    next_standby_at: float = 0.0

    @property
    def counted_runs(self) -> int:
        """Runs that count as attempts of the route, those under way too."""
        under_way = sum(not s.has_ended for s in self.standbys)
        under_way += self.current is not None
        return self.possible_runs - self.ended_runs + under_way

    @property
    def is_often_refused(self) -> bool:
        """Whether a new request would not be sent again after its refusals."""
        return self.refusals >= retries.MAX_NOT_RUN_ATTEMPTS

    def drop_failed_standbys(self) -> None:
        """Drop the standby attempts that have failed."""
        self.standbys = [s for s in self.standbys if not s.has_ended]
