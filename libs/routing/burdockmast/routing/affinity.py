"""Estimates which servers have a prompt's prefix in their caches.

An entry records which prefixes it has sent to which servers. For each answer,
a side process reports how many prompt tokens its engine had cached. It knows
that from the prompts that it has run there and from the engine's cache
events, which are late and have gaps. If a server reports less than the entry
has recorded, the estimates for this server go down.

A prefix that is new to this entry may have come through another entry. All
entries therefore agree on one *owner* of the prefix among equal servers, by
hash. What owners have cached is also estimated from the reports.
"""

import collections
from collections.abc import Sequence
import hashlib

from burdockmast.base import ids
from burdockmast.routing import demands
from burdockmast.wire import messages

# Prefixes are recorded in whole blocks.
BLOCK_TOKENS = 64
MAX_PREFIX_BLOCKS = 64
MAX_PREFIX_COUNT = 8192
# The most recent servers of a prefix are kept.
MAX_SERVERS_PER_PREFIX = 8
DIGEST_BYTES = 8
# Weight of the newest report in the smoothed shares.
REPORT_WEIGHT = 0.1
# Share of a prompt assumed to be cached at its owner until there are reports.
INITIAL_OWNER_SHARE = 0.5


class Affinity:
    """Bounded record of which prefixes were sent to which servers."""

    def __init__(self, capacity: int = MAX_PREFIX_COUNT):
        """Create an empty record.

        :param capacity: prefixes kept; the least recently sent is evicted
        """
        self._capacity = capacity
        self._servers_by_prefix: collections.OrderedDict[
            bytes, dict[ids.ServerId, None]
        ] = collections.OrderedDict()
        self._hit_share_by_server: dict[ids.ServerId, float] = {}
        self._owner_share = INITIAL_OWNER_SHARE

    def demand(
        self, prompt: tuple[int, ...], answer_tokens: int
    ) -> demands.Demand:
        """Return an answer's token counts and where its prompt is cached.

        :param answer_tokens: tokens to be generated
        """
        prefixes = _prefix_digests(prompt)
        cached: dict[ids.ServerId, float] = {}
        for block_count in range(len(prefixes), 0, -1):
            for server in self._servers_by_prefix.get(
                prefixes[block_count - 1], ()
            ):
                if server not in cached:
                    hit_share = self._hit_share_by_server.get(server, 1.0)
                    cached[server] = block_count * BLOCK_TOKENS * hit_share
        return demands.Demand(
            len(prompt),
            answer_tokens,
            cached,
            prefixes[0] if prefixes else b'',
            self._owner_share * len(prefixes) * BLOCK_TOKENS,
        )

    def record(
        self, prompt: tuple[int, ...], hops: Sequence[messages.Hop]
    ) -> None:
        """Record that a prompt was sent to a path's servers."""
        for prefix in _prefix_digests(prompt):
            servers = self._servers_by_prefix.setdefault(prefix, {})
            self._servers_by_prefix.move_to_end(prefix)
            for hop in hops:
                servers.pop(hop.server, None)
                servers[hop.server] = None
            while len(servers) > MAX_SERVERS_PER_PREFIX:
                del servers[next(iter(servers))]
        while len(self._servers_by_prefix) > self._capacity:
            self._servers_by_prefix.popitem(last=False)

    def apply_reports(
        self,
        demand: demands.Demand,
        hops: Sequence[messages.Hop],
        reported: Sequence[int],
    ) -> None:
        """Update the estimates from what a path's side processes report.

        :param demand: the estimate with which the path was chosen
        :param reported: prompt tokens that each hop's engine had cached
        """
        for hop, tokens in zip(hops, reported, strict=False):
            estimated = demand.cached_tokens_by_server.get(hop.server, 0.0)
            hit_share = self._hit_share_by_server.get(hop.server, 1.0)
            if estimated:
                share = min(1.0, tokens * hit_share / estimated)
                hit_share += REPORT_WEIGHT * (share - hit_share)
                self._hit_share_by_server[hop.server] = hit_share
            elif demand.prefix_key:
                share = tokens / demand.prompt_tokens
                self._owner_share += REPORT_WEIGHT * (
                    share - self._owner_share
                )

    def forget(self, server: ids.ServerId) -> None:
        """Drop the hit share of a server whose link has closed."""
        self._hit_share_by_server.pop(server, None)


def _prefix_digests(prompt: tuple[int, ...]) -> list[bytes]:
    """Return a digest of each prefix in whole blocks, the shortest first."""
    digests: list[bytes] = []
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for end in range(
        BLOCK_TOKENS,
        min(len(prompt), BLOCK_TOKENS * MAX_PREFIX_BLOCKS) + 1,
        BLOCK_TOKENS,
    ):
        digest.update(
            ','.join(map(str, prompt[end - BLOCK_TOKENS : end])).encode()
        )
        digests.append(digest.digest())
    return digests
