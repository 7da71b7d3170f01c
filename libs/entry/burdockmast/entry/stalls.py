"""Finds attempts that stand still, and ends them so that they can move."""

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import metrics
from burdockmast.base import timeline
from burdockmast.base import timers
from burdockmast.entry import attempts
from burdockmast.entry import fleet
from burdockmast.entry import probes

# Seconds without a token after which the servers of a path are probed.
PROBE_AFTER_SECONDS = 0.3
# Seconds without a token after which an attempt is given up, and the same in
# times between its tokens of late: a slow answer may pause for longer.
MIN_STALL_SECONDS = 1.5
STALL_TOKEN_INTERVALS = 8
# Weight of the newest pause in the smoothed time between tokens.
NEWEST_INTERVAL_WEIGHT = 0.2
# Seconds between looks for such attempts.
POLL_SECONDS = 0.1
PROBE_STEP = 'answer.probe'
PROGRESS_STEP = 'answer.progress'


def record_progress(attempt: attempts.Attempt, deadline: float) -> None:
    """Note that tokens have just come.

    :param deadline: monotonic seconds, of the caller
    """
    now = timers.now()
    interval = now - attempt.last_token_at
    attempt.last_token_at = now
    attempt.token_interval_seconds += NEWEST_INTERVAL_WEIGHT * (
        interval - attempt.token_interval_seconds
    )
    timeout = max(
        MIN_STALL_SECONDS,
        STALL_TOKEN_INTERVALS * attempt.token_interval_seconds,
    )
    attempt.silence_deadline = min(now + timeout, deadline)


class StallDetector:
    """The watch over all attempts of one entry."""

    def __init__(
        self,
        attempt_by_answer: dict[ids.RequestId, attempts.Attempt],
        view: fleet.FleetView,
        measures: metrics.Metrics,
        events: timeline.Timeline,
    ):
        """Create a watch; ``look`` has to be called periodically.

        :param attempt_by_answer: the attempts that run now, kept by others
        """
        self._attempt_by_answer = attempt_by_answer
        self._view = view
        self._prober = probes.Prober(
            view.peers, measures, events, self._end_attempts_through
        )

    def poll(self) -> None:
        """Probe the servers of silent attempts; end those silent too long."""
        now = timers.now()
        for attempt in self._attempt_by_answer.values():
            if now > attempt.silence_deadline:
                attempt.silence_deadline = float('inf')
                _end_attempt(attempt, PROGRESS_STEP, attempt.hops[0].server)
            elif _is_silent(attempt, now):
                for hop in attempt.hops:
                    self._prober.probe(hop.address)

    def _end_attempts_through(self, address: ids.Address) -> None:
        """End the silent attempts through a server that did not greet."""
        now = timers.now()
        for attempt in self._attempt_by_answer.values():
            hop = attempt.hop_at(address)
            if hop and _is_silent(attempt, now):
                # Nothing new goes there until it is heard of again.
                self._view.loads.forget(hop.server)
                _end_attempt(attempt, PROBE_STEP, hop.server)


def _is_silent(attempt: attempts.Attempt, now: float) -> bool:
    return now > attempt.last_token_at + PROBE_AFTER_SECONDS


def _end_attempt(
    attempt: attempts.Attempt, step: str, server: ids.ServerId
) -> None:
    attempt.mailbox.put(
        failures.Failure(failures.Reason.PEER_SILENT, step, server)
    )
