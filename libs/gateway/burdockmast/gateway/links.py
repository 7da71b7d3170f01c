"""Estimates how busy the links between availability zones are.

If servers are lost in a busy hour, no zone may hold all layers, and more
prompts would cross between zones than the links carry. Each further prompt
delays all others, until none meets its deadline. Each gateway adds up what its
own requests send, and selects no path over a full link.
"""

from collections.abc import Callable
from collections.abc import Iterable
import itertools

from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.gateway import backends

# Share of a link's bandwidth for prompts. The rest is for the tokens of their
# answers, and for traffic of other gateways that this one does not know of.
PROMPT_SHARE = 0.7
# The same where prompts delay answers, whose tokens must not wait for long.
DELAYING_PROMPT_SHARE = 0.35
# Prompts that may be on a link at once. The tokens behind them wait for all.
PROMPTS_AT_ONCE = 3
# Backlog of prompts from which a link is full: about as long as the first
# event of an answer may take.
MAX_BACKLOG_SECONDS = 0.7

Link = tuple[ids.ZoneId, ids.ZoneId]


def inter_zone_links(path: Iterable[backends.Stage]) -> list[Link]:
    """Return the inter-zone links that a path uses."""
    zones = [stage.server.zone for stage in path]
    return [pair for pair in itertools.pairwise(zones) if pair[0] != pair[1]]


def delays_answers(transfer_seconds: float, pause_seconds: float) -> bool:
    """Return whether prompts on a link make the answers behind them late.

    :param transfer_seconds: for which a usual prompt occupies the link
    :param pause_seconds: objective for the time between two events
    """
    return PROMPTS_AT_ONCE * transfer_seconds > pause_seconds


class ZoneLinks:
    """Backlogs of prompts on the inter-zone links.

    All gateways see the same fleet and lack the same layers, so each one
    assumes that the others send as much as it does.

    :ivar gateway_count: gateways that share the links, as last counted
    """

    def __init__(self, now: Callable[[], float] = timers.now):
        """Create a record without backlogs."""
        self._now = now
        self.gateway_count = 1
        # Monotonic seconds at which the backlog will have been sent.
        self._free_at: dict[Link, float] = {}

    def record_prompt(
        self,
        path: Iterable[backends.Stage],
        seconds: float,
        share: float = PROMPT_SHARE,
    ) -> None:
        """Add a prompt to the backlog of each link on its path.

        :param seconds: for which the prompt occupies one link
        :param share: of the link's bandwidth that is for prompts
        """
        self.record_crossings(inter_zone_links(path), seconds, share)

    def record_crossings(
        self, crossed: Iterable[Link], seconds: float, share: float
    ) -> None:
        """Add a prompt to the backlog of each of some links."""
        for link in crossed:
            free_at = max(self._now(), self._free_at.get(link, 0.0))
            self._free_at[link] = (
                free_at + seconds * self.gateway_count / share
            )

    def backlog_seconds(self, link: Link) -> float:
        """Return how long a link takes to send its backlog."""
        return max(0.0, self._free_at.get(link, 0.0) - self._now())

    def is_full(self, link: Link) -> bool:
        """Return whether a link has no room for another prompt."""
        return self.backlog_seconds(link) >= MAX_BACKLOG_SECONDS

    def describe(self) -> dict[str, float]:
        """Return the backlogs of all busy links in seconds, for logs."""
        return {
            f'{link[0]} to {link[1]}': round(self.backlog_seconds(link), 3)
            for link in self._free_at
            if self.backlog_seconds(link)
        }
