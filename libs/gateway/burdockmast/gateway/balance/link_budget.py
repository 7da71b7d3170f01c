"""Divides the room for prompts on inter-zone links among gateways.

The load: in a burst, prompts cross between zones inside paths, and the tokens
of all other answers on a link wait behind them. Gateways that decide alone
fill a link faster than its backlog shows. Here the rate of all prompts on a
link is bounded so that tokens rarely wait for longer than a part of the
objective for pauses, and each gateway has the part of that rate that matches
its part of the demand.
"""

from collections.abc import Callable
import dataclasses
import math
import random

from burdockmast.base import timers
from burdockmast.gateway import config
from burdockmast.gateway import links
from burdockmast.gateway import paths
from burdockmast.gateway.balance import demand

# Part of the objective for pauses that the backlog of a link may take. A path
# has up to two crossings, and the tokens wait at each of them.
BACKLOG_SHARE = 0.5
# Part of the time in which a backlog may exceed that bound.
EXCESS_SHARE = 0.01
# Part of a link that is divided evenly, so that a gateway whose demand is not
# known yet has some room.
EVEN_SHARE = 0.2
# Time for which the division of the links is kept: messages of the own zone
# arrive as often.
DIVISION_SECONDS = 0.1
# Prompts that a gateway may send ahead of its rate over a link that carries
# all that gateways want.
FREE_PROMPTS = 1
# Time without prompts of a gateway after which the next one is a first one.
IDLE_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """How many prompts of a service a link carries.

    :ivar prompt_seconds: for which a usual prompt occupies a link
    :ivar backlog_seconds: longest backlog that tokens may find
    """

    prompt_seconds: float
    backlog_seconds: float

    @classmethod
    def from_config(
        cls, engine: config.Engine, pause_seconds: float
    ) -> 'Bound':
        """Derive the bound from what callers need.

        :param pause_seconds: objective for the time between two events, 0 if
            there is none
        """
        size = paths.RequestSize(
            engine.mean_prompt_tokens, engine.mean_answer_tokens
        )
        return cls(
            paths.transfer_ms(engine, size) / 1000,
            BACKLOG_SHARE * (pause_seconds or links.MAX_BACKLOG_SECONDS),
        )

    @property
    def link_share(self) -> float:
        """Share of a link's time for prompts with which the bound holds.

        Prompts of many gateways arrive independently. Of the time in which a
        queue with service times of S is used by a share u, it exceeds the
        backlog b in about the part exp(-2 (1 - u) / u * b / S).
        """
        if not self.prompt_seconds:
            return links.PROMPT_SHARE
        prompts = self.backlog_seconds / self.prompt_seconds
        spread = -math.log(EXCESS_SHARE) / 2
        return min(links.PROMPT_SHARE, prompts / (prompts + spread))


@dataclasses.dataclass(slots=True)
class _Level:
    """Link time that this gateway's prompts have taken beyond its rate.

    :ivar updated_at: monotonic seconds
    :ivar wanted_at: monotonic seconds of the last question for room
    """

    seconds: float
    updated_at: float
    wanted_at: float = -math.inf


class LinkBudget:
    """This gateway's part of the prompts on each inter-zone link.

    :ivar gateway_count: gateways that share the links, as last counted
    """

    def __init__(
        self,
        known: demand.Demand,
        rng: random.Random,
        now: Callable[[], float] = timers.now,
    ):
        """Create a budget of which nothing is used."""
        self.gateway_count = 1
        self._demand = known
        self._rng = rng
        self._now = now
        self._level_by_link: dict[links.Link, _Level] = {}
        self._part_by_link: dict[links.Link, float] = {}
        self._total_by_link: dict[links.Link, float] = {}
        self._divided_at = -math.inf

    def part(self, link: links.Link) -> float:
        """Return this gateway's part of a link.

        A gateway that hears no others assumes that all want as much as it.
        """
        if self._now() >= self._divided_at + DIVISION_SECONDS:
            self._divide()
        even = 1 / max(1, self.gateway_count)
        by_demand = self._part_by_link.get(link)
        if by_demand is None:
            return even
        return EVEN_SHARE * even + (1 - EVEN_SHARE) * by_demand

    def _divide(self) -> None:
        self._divided_at = self._now()
        self._part_by_link = {}
        self._total_by_link = {}
        if not self._demand.is_informed:
            return
        own, self._total_by_link = self._demand.seconds_by_link()
        self._part_by_link = {
            link: own.get(link, 0.0) / seconds
            for link, seconds in self._total_by_link.items()
            if seconds > 0
        }

    def record_prompt(
        self, link: links.Link, seconds: float, bound: Bound
    ) -> None:
        """Use up the budget of a link for a prompt.

        :param seconds: for which the prompt occupies the link
        """
        level = self._update(link, bound)
        level.seconds += seconds

    def may_send(self, link: links.Link, bound: Bound) -> bool:
        """Return whether this gateway may send a usual prompt over a link.

        While gateways want less than the link carries, each sends as requests
        come: independent prompts keep to the bound. Beyond that, it may send
        several at once if its part of the longest backlog has room for them,
        else one whenever its rate allows for the next. Its first prompt waits
        for a random part of that interval, since the first prompts of all
        gateways at once would be a long backlog.
        """
        room = self.part(link) * bound.backlog_seconds - bound.prompt_seconds
        level = self._update(link, bound)
        wanted_total = self._total_by_link.get(link)
        is_first = self._now() - level.wanted_at > IDLE_SECONDS
        level.wanted_at = self._now()
        if wanted_total is not None:
            if wanted_total <= bound.link_share:
                room = max(room, FREE_PROMPTS * bound.prompt_seconds)
            elif is_first:
                level.seconds = max(
                    level.seconds, self._rng.random() * bound.prompt_seconds
                )
        return level.seconds <= max(0.0, room)

    def _update(self, link: links.Link, bound: Bound) -> _Level:
        now = self._now()
        level = self._level_by_link.setdefault(link, _Level(0.0, now))
        used = (now - level.updated_at) * self.part(link) * bound.link_share
        level.seconds = max(0.0, level.seconds - used)
        level.updated_at = now
        return level

    def describe(self) -> dict[str, float]:
        """Return the link time that is used up in advance, for logs."""
        return {
            f'{link[0]} to {link[1]}': round(level.seconds, 3)
            for link, level in self._level_by_link.items()
            if level.seconds
        }
