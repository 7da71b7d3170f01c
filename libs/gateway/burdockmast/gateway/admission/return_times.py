"""Decides when a caller whose request was not run is told to return.

The load: servers lack memory, no retry is left, or some gateways can't confirm
the configuration, so that many requests are refused though they have not run.
A caller returns once, at another gateway, and its time counts from its first
attempt. Told to return at once, it can still be answered in time, as most
other gateways have room, a retry or the configuration. One that is late anyway
returns after the burst, when it takes no room from those that are not.
"""

import dataclasses

from burdockmast.base import failures

# Retry-After values; callers get up to twice as much, at random.
SOON_SECONDS = 0.05
LATE_SECONDS = 0.5
# Usual time from the arrival at another gateway to the first event.
FIRST_EVENT_SECONDS = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A request that was not run.

    :ivar elapsed_seconds: since its arrival
    :ivar objective_seconds: within which it should be answered
    """

    elapsed_seconds: float
    objective_seconds: float

    @property
    def can_be_in_time(self) -> bool:
        """Whether another gateway may still answer it in time."""
        answered_at = (
            self.elapsed_seconds + 2 * SOON_SECONDS + FIRST_EVENT_SECONDS
        )
        return answered_at <= self.objective_seconds


def with_return_time(
    failure: failures.Failure, refused: Refused, others_confirm: bool
) -> failures.Failure:
    """Return a failure with the time after which its caller may return.

    :param others_confirm: other gateways may know the configuration in force
    """
    match failure.reason:
        case failures.Reason.STORE_UNAVAILABLE if others_confirm:
            seconds = SOON_SECONDS
        case failures.Reason.LEAVING:
            seconds = SOON_SECONDS
        case (
            failures.Reason.ENGINE_REFUSED
            | failures.Reason.NO_PATH
            | failures.Reason.OVERLOADED
        ) if failure.step not in NAMED_LIMIT_STEPS:
            seconds = SOON_SECONDS if refused.can_be_in_time else LATE_SECONDS
        case _:
            return failure
    return dataclasses.replace(failure, retry_after=seconds)


# Servers or the process have said for how long they take no more.
NAMED_LIMIT_STEPS = frozenset({'stream.limit', 'call.limit', 'request.body'})
