"""What a stage knows of an answer that runs on it."""

import dataclasses

from burdockmast.wire import links
from burdockmast.wire import messages


@dataclasses.dataclass(slots=True)
class StageAttempt:
    """One attempt at an answer on this stage.

    :ivar upstream: the link that ``start`` came by
    :ivar deadline: monotonic seconds of the caller's deadline
    :ivar cached_tokens: what the engine of each stage up to here had cached
    """

    start: messages.Start
    upstream: links.Link
    deadline: float
    cached_tokens: tuple[int, ...]
    next_index: int = 0
    sent_count: int = 0

    @property
    def hop(self) -> messages.Hop:
        """This stage's part of the path."""
        return self.start.hops[self.start.position]

    @property
    def layer_count(self) -> int:
        """Layers that run here."""
        return self.hop.end - self.hop.first

    @property
    def uncached_tokens(self) -> int:
        """Tokens that the engine here has to prefill."""
        return len(self.start.tokens) - self.cached_tokens[-1]

    @property
    def next_hop(self) -> messages.Hop | None:
        """The stage after this one, None on the last."""
        position = self.start.position + 1
        hops = self.start.hops
        return hops[position] if position < len(hops) else None

    @property
    def sequence_id(self) -> str:
        """Name of this attempt at the engine."""
        return f'{self.start.answer}/{self.start.attempt}'
