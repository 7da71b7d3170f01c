"""The work that an answer requires of the servers on its path."""

from collections.abc import Mapping
import dataclasses

from burdockmast.base import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Token counts of an answer, and where its prompt is probably cached.

    :ivar prompt_tokens: to prefill where nothing is cached
    :ivar answer_tokens: still to be generated
    :ivar cached_tokens_by_server: estimate for servers that had the prefix
    :ivar prefix_key: digest of the prompt's first block, by which its owners
        are found; empty if the prompt is shorter than a block
    :ivar owner_cached_tokens: estimate for the owners of the prefix
    """

    prompt_tokens: int = 0
    answer_tokens: int = 1
    cached_tokens_by_server: Mapping[ids.ServerId, float] = dataclasses.field(
        default_factory=dict
    )
    prefix_key: bytes = b''
    owner_cached_tokens: float = 0.0

    def uncached_tokens(self, server: ids.ServerId, is_owner: bool) -> float:
        """Estimate the prompt tokens that a server has to prefill."""
        cached = self.cached_tokens_by_server.get(server, 0.0)
        if is_owner:
            cached = max(cached, self.owner_cached_tokens)
        return max(0.0, self.prompt_tokens - cached)
