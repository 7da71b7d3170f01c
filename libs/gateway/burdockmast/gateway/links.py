"""How busy the links between availability zones are.

Answers servers that leave in a busy hour: no zone holds all layers then, and
more prompts would cross between zones than the links carry. Each one more
delays all others, until none is in time. Each gateway counts what its own
requests send, and takes no path over a link that is full.
"""

from collections.abc import Iterable
import itertools

from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.gateway import backends

# Share of a link that prompts may take; the rest is for the tokens of the
# answers that follow, and for what other gateways send unknown to this one.
PROMPT_SHARE = 0.7
# Seconds of prompts that may wait for a link: about as long as the first event
# may take.
MAX_BACKLOG_SECONDS = 0.7

Link = tuple[ids.ZoneId, ids.ZoneId]


def inter_zone_links(path: Iterable[backends.Stage]) -> list[Link]:
    """Return the links between zones that a path takes."""
    zones = [stage.server.zone for stage in path]
    return [pair for pair in itertools.pairwise(zones) if pair[0] != pair[1]]


class ZoneLinks:
    """What prompts are likely to take of the links between zones.

    All gateways see the same fleet, and lack the same layers, so each takes
    the others to send what it sends.

    :ivar gateways: that share the links, as far as this one knows
    """

    def __init__(self):
        """Create a record without transfers."""
        self.gateway_count = 1
        # Monotonic seconds at which what was sent has passed.
        self._free_at: dict[Link, float] = {}

    def record_prompt(
        self, path: Iterable[backends.Stage], seconds: float
    ) -> None:
        """Count a prompt on its path.

        :param seconds: that it takes one link
        """
        for link in inter_zone_links(path):
            free_at = max(timers.now(), self._free_at.get(link, 0.0))
            self._free_at[link] = (
                free_at + seconds * self.gateway_count / PROMPT_SHARE
            )

    def backlog_seconds(self, link: Link) -> float:
        """Return the seconds for which a link is taken by now."""
        return max(0.0, self._free_at.get(link, 0.0) - timers.now())

    def is_full(self, link: Link) -> bool:
        """Tell whether a link takes no more for now."""
        return self.backlog_seconds(link) >= MAX_BACKLOG_SECONDS

    def describe(self) -> dict[str, float]:
        """Return for how long links are taken, for logs."""
        return {
            f'{link[0]} to {link[1]}': round(self.backlog_seconds(link), 3)
            for link in self._free_at
            if self.backlog_seconds(link)
        }
