"""What an answer asks of the servers on its path."""

from collections.abc import Mapping
import dataclasses

from burdockmast.base import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """The size of an answer, and where its prompt is probably cached.

    :ivar prompt_tokens: tokens to prefill where nothing is cached
    :ivar answer_tokens: tokens still to be generated
    :ivar cached_tokens_by_server: prompt tokens that are probably cached
    :ivar prefix_key: the same for prompts that begin alike; empty if too short
    :ivar owner_cached_tokens: tokens that are probably cached at its owners
    """

    prompt_tokens: int = 0
    answer_tokens: int = 1
    cached_tokens_by_server: Mapping[ids.ServerId, float] = dataclasses.field(
        default_factory=dict
    )
    prefix_key: bytes = b''
    owner_cached_tokens: float = 0.0

    def uncached_tokens(self, server: ids.ServerId, is_owner: bool) -> float:
        """Return the prompt tokens that a server probably has to prefill."""
        cached = self.cached_tokens_by_server.get(server, 0.0)
        if is_owner:
            cached = max(cached, self.owner_cached_tokens)
        return max(0.0, self.prompt_tokens - cached)
