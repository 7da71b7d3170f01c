"""Estimate of what the engine's prefix cache holds.

All prompts for the engine pass through this process, so their blocks are
recorded without waiting for the engine's cache events. These arrive late and
some are lost. They report which blocks were removed, and which had been
cached before this process started. When more blocks are recorded than fit
into the engine's cache, the least recently used are evicted, as in the engine.
So errors from lost events don't accumulate.
"""

import array
import collections
from collections.abc import Iterator
import hashlib

from burdockmast.base import failures
from burdockmast.side import engine

# Interval between polls of the engine's cache events.
POLL_SECONDS = 1.0
DIGEST_BYTES = 8
# Parent digest of the first block of a prompt.
ROOT_DIGEST = b''


class PrefixCacheEstimate:
    """Blocks of prompt tokens that one engine probably has cached."""

    def __init__(self, client: engine.Client):
        """Create an empty estimate; nothing is recorded before ``poll``."""
        self.lost_events = 0
        self._engine = client
        self._epoch = ''
        self._last_number = 0
        self._capacity = 0
        self._block_tokens = 0
        # Least recently used first.
        self._blocks: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._digest_by_block: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict()
        )

    def record_prompt(self, tokens: tuple[int, ...]) -> int:
        """Record a prompt as cached; return how many tokens already were."""
        cached = 0
        is_prefix = True
        for digest in self._prompt_digests(tokens):
            is_prefix = is_prefix and digest in self._blocks
            if is_prefix:
                cached += self._block_tokens
            self._touch(digest)
        self._evict()
        return cached

    def poll(self) -> None:
        """Apply the cache events published since the last poll."""
        published = self._engine.cache_events(self._epoch, self._last_number)
        if isinstance(published, failures.Failure):
            return
        if published.epoch != self._epoch:
            self.clear()
            self._epoch = published.epoch
        self._capacity = published.blocks
        self._block_tokens = published.block_tokens
        for event in published.events:
            self._apply(event)
        self._evict()

    def clear(self) -> None:
        """Clear the estimate, because the engine was lost or restarted."""
        self._epoch = ''
        self._last_number = 0
        self._blocks.clear()
        self._digest_by_block.clear()

    def _apply(self, event: engine.CacheEvent) -> None:
        self.lost_events += event.number - self._last_number - 1
        self._last_number = event.number
        if not event.is_stored:
            digest = self._digest_by_block.pop(event.block, None)
            self._blocks.pop(digest, None)
            return
        parent = ROOT_DIGEST
        if event.parent is not None:
            parent = self._digest_by_block.get(event.parent)
        if parent is None:
            # The event that stored the parent was lost, so its digest is
            # unknown.
            return
        digest = _block_digest(parent, event.tokens)
        self._digest_by_block[event.block] = digest
        if digest not in self._blocks:
            self._touch(digest)

    def _prompt_digests(self, tokens: tuple[int, ...]) -> Iterator[bytes]:
        """Yield each complete block's digest, chained to the block before."""
        size = self._block_tokens
        if not size:
            return
        digest = ROOT_DIGEST
        for end in range(size, len(tokens) + 1, size):
            digest = _block_digest(digest, tokens[end - size : end])
            yield digest

    def _touch(self, digest: bytes) -> None:
        self._blocks[digest] = None
        self._blocks.move_to_end(digest)

    def _evict(self) -> None:
        for blocks in (self._blocks, self._digest_by_block):
            while len(blocks) > self._capacity:
                blocks.popitem(last=False)


def _block_digest(parent: bytes, tokens: tuple[int, ...]) -> bytes:
    data = parent + array.array('q', tokens).tobytes()
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
