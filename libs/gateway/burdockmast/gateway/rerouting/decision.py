"""Decides which stages of a silent answer are replaced by other servers.

The load: servers die in the middle of answers, dozens of which pass each of
them. Attempts on new paths read the prompts and all tokens again at every
stage, all at once, and each uses up a retry; callers see a pause of a second.
Where only the dead stages are replaced, the others go on at once. That is in
time only if a dead server is found within a part of the objective for pauses.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

# Share of the objective for pauses after which a silent answer is looked at.
# Usual events come at shorter intervals.
CHECK_SHARE = 0.4
# Longest silence before an answer is looked at.
MAX_CHECK_SECONDS = 0.2
# Factor on the longest pause of an answer so far: one on a slow path is
# looked at later.
USUAL_PAUSE_FACTOR = 1.5
# Time within which a server that runs accepts a connection, also a slow one,
# beside the round trip between zones.
CONNECT_SECONDS = 0.03
# Servers of a path that may be unreachable. If it is more, this gateway or the
# network is in trouble, and another path would be no better.
MAX_UNREACHABLE = 2
# Most changes of the path of one attempt: a request that ends the servers
# that run it must not end many.
MAX_CHANGES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class StageState:
    """What is known of a server on the path of a silent answer.

    :ivar is_lost: it was found lost
    :ivar unanswered_seconds: for which it has not accepted the latest
        connection, nor relayed events since
    :ivar is_running: it has accepted one, or relayed events, since the
        silence began; it may have ended after that
    :ivar round_trip_seconds: longest usual one to the server, 0 if unknown
    """

    is_lost: bool
    unanswered_seconds: float
    is_running: bool
    round_trip_seconds: float = 0.0

    @property
    def is_unreachable(self) -> bool:
        """Whether the server does not accept connections."""
        return self.unanswered_seconds >= (
            CONNECT_SECONDS + self.round_trip_seconds
        )


def check_seconds(pause_objective: float, longest_pause: float) -> float:
    """Return the silence after which an answer is looked at.

    :param pause_objective: in seconds, 0 if there is none
    :param longest_pause: of the answer so far, in seconds
    """
    if not pause_objective:
        return MAX_CHECK_SECONDS
    return min(
        MAX_CHECK_SECONDS,
        max(CHECK_SHARE * pause_objective, USUAL_PAUSE_FACTOR * longest_pause),
    )


def affected_stages(
    stages: Sequence[StageState], changes: int
) -> tuple[int, ...]:
    """Return the indexes of the stages to replace, none if that is no help.

    The first server holds the answer: without it, nothing can go on.

    :param stages: of an answer that has been silent for ``check_seconds``
    :param changes: of the attempt's path so far
    """
    if changes >= MAX_CHANGES:
        return ()
    lost = _indexes(stages, lambda stage: stage.is_lost)
    affected = lost or _unreachable(stages)
    return () if 0 in affected else affected


def _unreachable(stages: Sequence[StageState]) -> tuple[int, ...]:
    """Return the stages that alone can't be reached, though others can."""
    found = _indexes(stages, lambda stage: stage.is_unreachable)
    others_run = all(
        stage.is_running
        for index, stage in enumerate(stages)
        if index not in found
    )
    if len(found) > MAX_UNREACHABLE or not others_run:
        return ()
    return found


def _indexes(
    stages: Sequence[StageState], is_found: Callable[[StageState], bool]
) -> tuple[int, ...]:
    return tuple(i for i, stage in enumerate(stages) if is_found(stage))
