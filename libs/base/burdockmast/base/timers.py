"""One clock and one timer service for all parts of a process."""

from collections.abc import Callable
import dataclasses
import random
import time

import eventlet

from burdockmast.base import logs

LOG = logs.get('timer')

# Fraction by which each period varies, so that fleets do not act in step.
JITTER_SHARE = 0.1


def now() -> float:
    """Return monotonic seconds; comparable within this process only."""
    return time.monotonic()


def boottime_now() -> float:
    """Return seconds that go on while the machine is suspended.

    What was believed before a suspension is as old as this clock says.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(slots=True)
class Subscription:
    """A periodic call.

    :ivar period: seconds between calls
    """

    name: str
    period: float
    call: Callable[[], None]
    active: bool = True

    def cancel(self) -> None:
        """Stop further calls; one that is running ends normally."""
        self.active = False


class TimerService:
    """Calls its subscribers periodically, each in a task of its own.

    A subscriber that raises is logged and called again next time.
    """

    def __init__(self, seed: int | None = None):
        """Create a service.

        :param seed: makes the jitter repeatable
        """
        self._random = random.Random(seed)

    def subscribe(
        self, name: str, period: float, call: Callable[[], None]
    ) -> Subscription:
        """Call ``call`` about every ``period`` seconds from now on."""
        subscription = Subscription(name, period, call)
        eventlet.spawn(self._run, subscription)
        return subscription

    def _run(self, subscription: Subscription) -> None:
        while subscription.active:
            eventlet.sleep(self._jittered(subscription.period))
            if not subscription.active:
                return
            try:
                subscription.call()
            except Exception:
                LOG.exception('Timer {} failed.', subscription.name)

    def _jittered(self, period: float) -> float:
        return period * self._random.uniform(
            1 - JITTER_SHARE, 1 + JITTER_SHARE
        )
