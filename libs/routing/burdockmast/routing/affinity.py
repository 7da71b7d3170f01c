"""Which servers probably have a prompt's prefix in their caches.

An entry remembers where it has sent which prefix, and a side reports for
each answer how much of its prompt the engine had cached, from what the side
has run there and from the engine's late and gappy events. What a server's
reports fall short of the belief lowers the belief in it.

A prefix that this entry has not sent anywhere yet may be known elsewhere:
all entries take the same *owner* for it among equal servers, by hash. How much
is found there is learned from the reports, too.
"""

import collections
from collections.abc import Sequence
import hashlib

from burdockmast.base import ids
from burdockmast.routing import demands
from burdockmast.wire import messages

# Prompt tokens of a block; prefixes are whole blocks.
BLOCK = 64
# Blocks of the longest prefix that is remembered.
BLOCKS = 64
# Prefixes remembered by one entry.
CAPACITY = 8192
# Servers remembered for one prefix, the newest.
SERVERS = 8
DIGEST_BYTES = 8
# Weight of the newest sample in what is learned from reports.
WEIGHT = 0.1
# Share of a prompt taken to be cached at its owner until that is learned.
OWNER_SHARE = 0.5


class Affinity:
    """Prefixes by the servers that they were sent to, bounded."""

    def __init__(self, capacity: int = CAPACITY):
        """Create an empty memory."""
        self._capacity = capacity
        self._servers_by_prefix: collections.OrderedDict[
            bytes, dict[ids.ServerId, None]
        ] = collections.OrderedDict()
        self._trust_by_server: dict[ids.ServerId, float] = {}
        self._owner_share = OWNER_SHARE

    def demand(self, prompt: tuple[int, ...], answer: int) -> demands.Demand:
        """Return what an answer will ask of servers.

        :param answer: tokens to be generated
        """
        prefixes = _prefixes(prompt)
        cached: dict[ids.ServerId, float] = {}
        for number in range(len(prefixes), 0, -1):
            for server in self._servers_by_prefix.get(
                prefixes[number - 1], ()
            ):
                if server not in cached:
                    trust = self._trust_by_server.get(server, 1.0)
                    cached[server] = number * BLOCK * trust
        return demands.Demand(
            len(prompt),
            answer,
            cached,
            prefixes[0] if prefixes else b'',
            self._owner_share * len(prefixes) * BLOCK,
        )

    def record(
        self, prompt: tuple[int, ...], hops: Sequence[messages.Hop]
    ) -> None:
        """Remember that a prompt runs on a path's servers."""
        for prefix in _prefixes(prompt):
            servers = self._servers_by_prefix.setdefault(prefix, {})
            self._servers_by_prefix.move_to_end(prefix)
            for hop in hops:
                servers.pop(hop.server, None)
                servers[hop.server] = None
            while len(servers) > SERVERS:
                del servers[next(iter(servers))]
        while len(self._servers_by_prefix) > self._capacity:
            self._servers_by_prefix.popitem(last=False)

    def apply_reports(
        self,
        demand: demands.Demand,
        hops: Sequence[messages.Hop],
        found: Sequence[int],
    ) -> None:
        """Learn from what the sides of a path have reported.

        :param demand: what was believed when the path was chosen
        :param found: tokens of the prompt that each had cached
        """
        for hop, tokens in zip(hops, found, strict=False):
            believed = demand.cached_tokens_by_server.get(hop.server, 0.0)
            trust = self._trust_by_server.get(hop.server, 1.0)
            if believed:
                share = min(1.0, tokens * trust / believed)
                trust += WEIGHT * (share - trust)
                self._trust_by_server[hop.server] = trust
            elif demand.prefix_key:
                share = tokens / demand.prompt_tokens
                self._owner_share += WEIGHT * (share - self._owner_share)

    def forget(self, server: ids.ServerId) -> None:
        """Drop what was learned of a server that is gone."""
        self._trust_by_server.pop(server, None)


def _prefixes(prompt: tuple[int, ...]) -> list[bytes]:
    """Return a digest of each prefix of whole blocks, the shortest first."""
    digests: list[bytes] = []
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for end in range(BLOCK, min(len(prompt), BLOCK * BLOCKS) + 1, BLOCK):
        digest.update(','.join(map(str, prompt[end - BLOCK : end])).encode())
        digests.append(digest.digest())
    return digests
