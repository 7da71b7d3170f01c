"""Compares the retries that servers get with what operators allow."""

import bisect
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import math
import statistics

from burdockmast.platform import standin

# The requests of a window, the one before it or the one half a window before
# it count, whichever has most.
EARLIER_WINDOWS = (0.0, 0.5, 1.0)
# Time between the ends of the windows whose median is the usual share.
USUAL_STEP_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRule:
    """Retries that one service may get from all gateways together.

    :ivar ratio: retries for each request
    :ivar slack: further retries in a window
    :ivar window_seconds: length of any window
    """

    ratio: float
    slack: float
    window_seconds: float

    def allowance(self, sent_at: Sequence[float], end: float) -> float:
        """Return the retries allowed in the window that ends at ``end``.

        :param sent_at: sorted monotonic seconds of all requests
        """
        most = 0
        for earlier in EARLIER_WINDOWS:
            until = end - earlier * self.window_seconds
            most = max(most, _count(sent_at, until, self.window_seconds))
        return self.ratio * most + self.slack


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """How much of the allowance was used.

    :ivar share: of the allowance, in the worst window
    :ivar usual_share: median over windows that are wholly in the play and end
        at equal intervals; retries come in bursts, and windows that end with
        a retry would show how the bursts fall rather than what was used
    :ivar windows_over: windows with more retries than allowed
    """

    share: float
    usual_share: float
    retries: int
    allowance: float
    windows_over: int


def measure(
    sent_at: Iterable[float],
    received: Iterable[standin.ReceivedRequest],
    rule: RetryRule,
) -> Usage:
    """Return the use of the allowance of one service.

    :param sent_at: monotonic seconds at which callers sent requests for it
    :param received: what arrived at its servers
    """
    sent_at = sorted(sent_at)
    retries = _retry_times(received)
    worst = Usage(0.0, 0.0, 0, rule.slack, 0)
    over = 0
    for end in retries:
        count = _count(retries, end, rule.window_seconds)
        allowance = rule.allowance(sent_at, end)
        share = count / allowance
        over += count > allowance
        if share > worst.share:
            worst = Usage(share, 0.0, count, allowance, 0)
    return dataclasses.replace(
        worst,
        usual_share=_usual_share(sent_at, retries, rule),
        windows_over=over,
    )


def find_excess(
    service: str,
    sent_at: Iterable[float],
    received: Iterable[standin.ReceivedRequest],
    rule: RetryRule,
) -> list[str]:
    """Return a violation if a service got more retries than allowed."""
    usage = measure(sent_at, received, rule)
    if not usage.windows_over:
        return []
    return [
        f'{service} got {usage.retries} retries in a window, '
        f'{usage.allowance:.0f} are allowed'
    ]


def _usual_share(
    sent_at: Sequence[float], retries: Sequence[float], rule: RetryRule
) -> float:
    """Return the median share of the allowance that windows use.

    :param sent_at: sorted monotonic seconds of all requests
    :param retries: sorted monotonic seconds of all retries
    """
    if not sent_at:
        return 0.0
    first_end = sent_at[0] + rule.window_seconds
    count = math.floor((sent_at[-1] - first_end) / USUAL_STEP_SECONDS) + 1
    ends = [first_end + n * USUAL_STEP_SECONDS for n in range(count)]
    shares = [
        _count(retries, end, rule.window_seconds)
        / rule.allowance(sent_at, end)
        for end in ends
    ]
    return statistics.median(shares) if shares else 0.0


def _retry_times(received: Iterable[standin.ReceivedRequest]) -> list[float]:
    """Return the times of all arrivals but the first of each request."""
    seen: set[str] = set()
    found = []
    for request in sorted(received, key=lambda r: r.at):
        if request.id in seen:
            found.append(request.at)
        seen.add(request.id)
    return found


def _count(times: Sequence[float], end: float, seconds: float) -> int:
    """Return how many times lie in a window that includes its end."""
    first = bisect.bisect_right(times, end - seconds)
    return bisect.bisect_right(times, end) - first
