"""Detects stalled attempts and ends them, so that they resume elsewhere."""

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import metrics
from burdockmast.base import timeline
from burdockmast.base import timers
from burdockmast.entry import attempts
from burdockmast.entry import fleet
from burdockmast.entry import probes

# Time without a token after which the servers of a path are probed.
PROBE_AFTER_SECONDS = 0.3
# Time without a token after which an attempt has stalled: the longer of a
# fixed time and a number of its recent token intervals, since the tokens of a
# slow answer are further apart.
MIN_STALL_SECONDS = 1.5
STALL_TOKEN_INTERVALS = 8
# Weight of the newest interval in the smoothed time between tokens.
NEWEST_INTERVAL_WEIGHT = 0.2
POLL_SECONDS = 0.1
PROBE_STEP = 'answer.probe'
PROGRESS_STEP = 'answer.progress'


def record_progress(attempt: attempts.Attempt, deadline: float) -> None:
    """Record that tokens have just arrived and extend the silence deadline.

    :param deadline: the caller's deadline in monotonic seconds
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
    """Detects stalls of all attempts of one entry."""

    def __init__(
        self,
        attempt_by_answer: dict[ids.RequestId, attempts.Attempt],
        view: fleet.FleetView,
        measures: metrics.Metrics,
        events: timeline.Timeline,
    ):
        """Create a detector; ``poll`` has to be called periodically.

        :param attempt_by_answer: the running attempts; the owner keeps it up
            to date
        """
        self._attempt_by_answer = attempt_by_answer
        self._view = view
        self._prober = probes.Prober(
            view.peers, measures, events, self._end_attempts_through
        )

    def poll(self) -> None:
        """Probe the servers of silent attempts; end stalled attempts."""
        now = timers.now()
        for attempt in self._attempt_by_answer.values():
            if now > attempt.silence_deadline:
                attempt.silence_deadline = float('inf')
                _end_attempt(attempt, PROGRESS_STEP, attempt.hops[0].server)
            elif _is_silent(attempt, now):
                for hop in attempt.hops:
                    self._prober.probe(hop.address)

    def _end_attempts_through(self, address: ids.Address) -> None:
        """End the silent attempts through a server that failed its probe."""
        now = timers.now()
        for attempt in self._attempt_by_answer.values():
            hop = attempt.hop_at(address)
            if hop and _is_silent(attempt, now):
                # The server gets no new answers until it reports its load.
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
