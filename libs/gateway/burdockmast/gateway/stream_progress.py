"""State of a stream while it is forwarded."""

import dataclasses

from burdockmast.base import ids
from burdockmast.gateway import backends
from burdockmast.gateway import crash_suspects
from burdockmast.gateway import jobs


@dataclasses.dataclass(slots=True)
class Progress:
    """State of a stream across its attempts.

    :ivar fingerprints: see ``crash_suspects``
    :ivar tracked: the attempt that is under way
    :ivar last_event_id: of the last event that the caller has received
    :ivar attempts: to send the request to any server
    :ivar possible_runs: attempts that may have run
    :ivar ended_runs: those of them that ended a begun stream because their
        server crashed, so that nothing runs there any more
    :ivar event_count: events forwarded to the caller
    :ivar longest_pause: seconds without data from the server
    :ivar has_begun: the reply head has been sent to the caller
    :ivar failed_servers: servers that failed this request
    """

    last_event_id: int | None
    fingerprints: tuple[ids.Fingerprint, ...]
    tracked: crash_suspects.Attempt | None = None
    attempts: int = 0
    possible_runs: int = 0
    ended_runs: int = 0
    event_count: int = 0
    longest_pause: float = 0.0
    has_begun: bool = False
    failed_servers: list[ids.ServerId] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A wait for the next data of a stream.

    :ivar since: monotonic seconds
    :ivar limit_seconds: see ``silence.Silence``
    """

    job: jobs.Job
    path: tuple[backends.Stage, ...]
    progress: Progress
    since: float
    limit_seconds: float
