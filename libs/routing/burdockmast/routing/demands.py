"""What an answer asks of the servers on its path."""

from collections.abc import Mapping
import dataclasses

from burdockmast.base import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """The size of an answer, and where its prompt is probably cached.

    :ivar prompt: tokens to prefill where nothing is cached
    :ivar answer: tokens still to be generated
    :ivar cached_by_server: tokens of the prompt that are probably cached
    :ivar key: the same for prompts that begin alike; empty if too short
    :ivar owner_cached: tokens that are probably cached at its owners
    """

    prompt: int = 0
    answer: int = 1
    cached_by_server: Mapping[ids.ServerId, float] = dataclasses.field(
        default_factory=dict
    )
    key: bytes = b''
    owner_cached: float = 0.0

    def uncached(self, server: ids.ServerId, is_owner: bool) -> float:
        """Return the prompt tokens that a server probably has to prefill."""
        cached = self.cached_by_server.get(server, 0.0)
        if is_owner:
            cached = max(cached, self.owner_cached)
        return max(0.0, self.prompt - cached)
