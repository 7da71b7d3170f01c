"""Monotonic clocks, and periodic calls in a process."""

from collections.abc import Callable
import dataclasses
import random
import time

import eventlet

from burdockmast.base import logs

LOG = logs.get('timer')

# Each period varies by up to this share, so that processes that start together
# don't call at the same times.
JITTER_SHARE = 0.1


def now() -> float:
    """Return monotonic seconds, which are only comparable in this process."""
    return time.monotonic()


def boottime_now() -> float:
    """Return monotonic seconds that include time in suspension.

    Use it for the age of information: after a suspension of the machine,
    what was known before is as old as this clock says.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(slots=True)
class Subscription:
    """A periodic call; ``cancel`` ends it.

    :ivar period: seconds between calls
    """

    name: str
    period: float
    call: Callable[[], None]
    active: bool = True

    def cancel(self) -> None:
        """Stop further calls; a call that is running completes."""
        self.active = False


class TimerService:
    """Calls its subscribers periodically, each in its own task.

    If a subscriber raises, the exception is logged and the calls go on.
    """

    def __init__(self, seed: int | None = None):
        """Create a service.

        :param seed: makes the jitter reproducible
        """
        self._random = random.Random(seed)

    def subscribe(
        self, name: str, period: float, call: Callable[[], None]
    ) -> Subscription:
        """Call ``call`` periodically, first after one period.

        :param period: seconds between calls, varied by ``JITTER_SHARE``
        """
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
                LOG.exception(
                    'Timer {} failed; it is called again after its period.',
                    subscription.name,
                )

    def _jittered(self, period: float) -> float:
        return period * self._random.uniform(
            1 - JITTER_SHARE, 1 + JITTER_SHARE
        )
