"""Attempts that are started while another one of the same stream is silent.

Their first events are received in a task of their own, so that the silent
attempt can be waited for meanwhile. It is only given up for one that delivers.
"""

from collections.abc import Callable
import enum

import eventlet
import eventlet.event
import eventlet.hubs
import greenlet

from burdockmast.base import failures
from burdockmast.base import logs
from burdockmast.base import outcomes
from burdockmast.gateway import stream_attempts

LOG = logs.get('standbys')


class State(enum.Enum):
    """State of a standby attempt."""

    OPENING = 'opening'
    READY = 'ready'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class Standby:
    """An attempt that takes over once it delivers."""

    def __init__(
        self,
        open_attempt: Callable[
            [], stream_attempts.StreamAttempt | failures.Failure
        ],
        record_failure: Callable[
            [stream_attempts.StreamAttempt, failures.Failure], None
        ],
    ):
        """Start the attempt.

        :param open_attempt: finds a path, which may take a while
        :param record_failure: called for an attempt that fails at once
        """
        self.state = State.OPENING
        self.attempt: stream_attempts.StreamAttempt | None = None
        self._open_attempt = open_attempt
        self._record_failure = record_failure
        self._ended = eventlet.event.Event()
        self._task = eventlet.spawn(self._run)

    @property
    def has_ended(self) -> bool:
        """Whether nothing is under way."""
        return self.state in (State.FAILED, State.CANCELLED)

    def wait(self, seconds: float) -> None:
        """Wait until the attempt is ready or has failed."""
        if self.state is State.OPENING:
            self._ended.wait(max(0.0, seconds))

    def cancel(self) -> bool:
        """Give the attempt up; return whether it may run, or have run."""
        before, self.state = self.state, State.CANCELLED
        match before:
            case State.OPENING:
                eventlet.hubs.get_hub().schedule_call_global(
                    0, _end_task, self._task
                )
            case State.READY:
                self.attempt.close()
        return before is not State.FAILED and self.attempt is not None

    def _run(self) -> None:
        try:
            self._receive_first()
        except Exception as error:
            # Nobody waits for the result of this task.
            LOG.exception('standby attempt failed unexpectedly')
            self._fail(
                failures.Failure(
                    failures.Reason.ENGINE_LOST,
                    'backend.standby',
                    detail=str(error),
                    outcome=outcomes.Outcome.UNKNOWN,
                )
            )
        finally:
            self._ended.send(None)

    def _receive_first(self) -> None:
        found = self._open_attempt()
        if isinstance(found, failures.Failure):
            self._fail(found)
            return
        if self.state is State.CANCELLED:
            return
        self.attempt = found
        failure = found.receive_first()
        if self.state is State.CANCELLED:
            found.close()
        elif failure is None:
            self.state = State.READY
        else:
            self._fail(failure)

    def _fail(self, failure: failures.Failure) -> None:
        if self.state is State.CANCELLED:
            return
        self.state = State.FAILED
        if self.attempt is not None:
            self._record_failure(self.attempt, failure)


def _end_task(task: greenlet.greenlet) -> None:
    if not task.dead:
        task.throw(greenlet.GreenletExit)
