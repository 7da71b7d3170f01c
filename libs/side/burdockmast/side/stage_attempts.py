"""State of an attempt at an answer, on one stage of its path."""

import dataclasses

from burdockmast.wire import links
from burdockmast.wire import messages


@dataclasses.dataclass(slots=True)
class StageAttempt:
    """One attempt at an answer on this stage.

    :ivar upstream: link that ``start`` arrived on
    :ivar deadline: the caller's deadline, in monotonic seconds
    :ivar cached_tokens: prompt tokens that the engine of each stage had
        cached, up to and including this stage
    :ivar next_index: index of the next step
    :ivar sent_count: tokens sent to the entry, counted on the first stage
    """

    start: messages.Start
    upstream: links.Link
    deadline: float
    cached_tokens: tuple[int, ...]
    next_index: int = 0
    sent_count: int = 0

    @property
    def hop(self) -> messages.Hop:
        """The hop of the path that this stage runs."""
        return self.start.hops[self.start.position]

    @property
    def layer_count(self) -> int:
        """Number of layers that run here."""
        return self.hop.end - self.hop.first

    @property
    def uncached_tokens(self) -> int:
        """Number of tokens that the engine here has to prefill."""
        return len(self.start.tokens) - self.cached_tokens[-1]

    @property
    def next_hop(self) -> messages.Hop | None:
        """The hop after this one, None on the last stage."""
        position = self.start.position + 1
        hops = self.start.hops
        return hops[position] if position < len(hops) else None

    @property
    def sequence_id(self) -> str:
        """Id of this attempt's sequence in the engine."""
        return f'{self.start.answer}/{self.start.attempt}'
