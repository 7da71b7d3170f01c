"""What a stage knows of an answer that runs on it."""

import dataclasses

from burdockmast.wire import links
from burdockmast.wire import messages


@dataclasses.dataclass(slots=True)
class Run:
    """One attempt at an answer on this stage.

    :ivar upstream: the link that ``start`` came by
    :ivar expires: monotonic seconds of the caller's deadline
    :ivar cached: tokens that the engines here and before had cached, each
    """

    start: messages.Start
    upstream: links.Link
    expires: float
    cached: tuple[int, ...]
    index: int = 0
    sent: int = 0

    @property
    def hop(self) -> messages.Hop:
        """This stage's part of the path."""
        return self.start.hops[self.start.position]

    @property
    def layers(self) -> int:
        """Layers that run here."""
        return self.hop.end - self.hop.first

    @property
    def uncached(self) -> int:
        """Tokens that the engine here has to prefill."""
        return len(self.start.tokens) - self.cached[-1]

    @property
    def next_hop(self) -> messages.Hop | None:
        """The stage after this one, None on the last."""
        position = self.start.position + 1
        hops = self.start.hops
        return hops[position] if position < len(hops) else None

    @property
    def sequence(self) -> str:
        """Name of this attempt at the engine."""
        return f'{self.start.answer}/{self.start.attempt}'
