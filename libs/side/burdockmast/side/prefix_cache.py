"""What the engine beside this process probably has cached of prompts.

All prompts pass through here, so most is known at once. The engine's events
come late and with gaps; they tell what was removed, and what was there before
this process was. Whatever a gap hides, the least recently used blocks leave
when more are known than the engine can hold, as they do there.
"""

import array
import collections
from collections.abc import Iterator
import hashlib

from burdockmast.base import failures
from burdockmast.side import engine

# Seconds between looks at the engine's events.
POLL_SECONDS = 1.0
DIGEST_BYTES = 8
# Digest that the first block of a prompt continues.
ROOT_DIGEST = b''


class PrefixCacheEstimate:
    """Blocks of prompts that one engine probably has cached."""

    def __init__(self, client: engine.Client):
        """Create a record that knows nothing; ``look`` learns."""
        self.lost_events = 0
        self._engine = client
        self._epoch = ''
        self._last_number = 0
        self._capacity = 0
        self._block_tokens = 0
        # In order of use, the least recent first.
        self._blocks: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._digest_by_block: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict()
        )

    def record_prompt(self, tokens: tuple[int, ...]) -> int:
        """Return how many tokens of a prompt were cached; now all are."""
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
        """Take in what the engine has published since the last look."""
        found = self._engine.cache_events(self._epoch, self._last_number)
        if isinstance(found, failures.Failure):
            return
        if found.epoch != self._epoch:
            self.clear()
            self._epoch = found.epoch
        self._capacity = found.blocks
        self._block_tokens = found.block_tokens
        for event in found.events:
            self._apply(event)
        self._evict()

    def clear(self) -> None:
        """Forget what a lost engine had."""
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
            # The event that told of the parent was lost.
            return
        digest = _block_digest(parent, event.tokens)
        self._digest_by_block[event.block] = digest
        if digest not in self._blocks:
            self._touch(digest)

    def _prompt_digests(self, tokens: tuple[int, ...]) -> Iterator[bytes]:
        """Yield the digest of each whole block, with all before it."""
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
        for known in (self._blocks, self._digest_by_block):
            while len(known) > self._capacity:
                known.popitem(last=False)


def _block_digest(parent: bytes, tokens: tuple[int, ...]) -> bytes:
    data = parent + array.array('q', tokens).tobytes()
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
