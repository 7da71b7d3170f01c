"""How busy the links between availability zones are.

Answers servers that leave in a busy hour: no zone holds all layers then, and
more prompts would cross between zones than the links carry. Each one more
delays all others, until none is in time. Each gateway counts what its own
requests send, and takes no path over a link that is full.
"""

import collections
from collections.abc import Iterable
import itertools

from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.gateway import backends

# Seconds over which transfers are counted: about as long as the first event
# may take, so that what waits on a link is still counted.
WINDOW_SECONDS = 1.0
# Share of a link that prompts may take; the rest is for the tokens of the
# answers that follow, and for what other gateways send unknown to this one.
FULL = 0.7

Link = tuple[ids.ZoneId, ids.ZoneId]


def crossings(path: Iterable[backends.Stage]) -> list[Link]:
    """Return the links between zones that a path takes."""
    zones = [stage.server.zone for stage in path]
    return [pair for pair in itertools.pairwise(zones) if pair[0] != pair[1]]


class ZoneLinks:
    """What this gateway's prompts take of the links between zones."""

    def __init__(self):
        """Create a record without transfers."""
        self._sent_by_link: dict[
            Link, collections.deque[tuple[float, float]]
        ] = collections.defaultdict(collections.deque)

    def note(self, path: Iterable[backends.Stage], seconds: float) -> None:
        """Count a prompt on its path.

        :param seconds: that it takes one link
        """
        for link in crossings(path):
            self._sent_by_link[link].append((timers.now(), seconds))

    def busy(self, link: Link) -> float:
        """Return the share of the last moments that a link was taken."""
        sent = self._sent_by_link[link]
        since = timers.now() - WINDOW_SECONDS
        while sent and sent[0][0] < since:
            sent.popleft()
        return sum(seconds for _, seconds in sent) / WINDOW_SECONDS

    def describe(self) -> dict[str, float]:
        """Return what was taken of each link just now, for logs."""
        return {
            f'{link[0]} to {link[1]}': round(self.busy(link), 3)
            for link in list(self._sent_by_link)
            if self.busy(link)
        }
