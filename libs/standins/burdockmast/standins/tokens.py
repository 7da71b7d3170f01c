"""The stand-in model: tokens that prove which layers made them.

The state of a token starts from all tokens before it and passes through
every layer once. A skipped, repeated or swapped layer, or another
request's context, gives another token.
"""

import zlib

VOCABULARY = 50_000
STATE_BYTES = 4
# A prompt with this token makes an engine crash.
CRASH_TOKEN = 666_666


def context(tokens: tuple[int, ...] | list[int], start: int = 1) -> int:
    """Return the digest of a sequence of tokens, continuing ``start``."""
    digest = start
    for token in tokens:
        digest = zlib.crc32(token.to_bytes(4, 'big'), digest)
    return digest


def run_layers(state: int, first: int, end: int) -> int:
    """Pass a state through layers ``first`` up to ``end``."""
    for layer in range(first, end):
        # Mixing by multiplication keeps layers from commuting.
        state = zlib.crc32(
            (state * (2 * layer + 3) & 0xFFFFFFFF).to_bytes(4, 'big'), layer
        )
    return state


def sample(state: int) -> int:
    """Return the token of a final state."""
    return state % VOCABULARY


def expected(prompt: list[int], count: int, layers: int) -> list[int]:
    """Return the answer that a correct run gives."""
    digest = context(prompt)
    answer: list[int] = []
    for _ in range(count):
        token = sample(run_layers(digest, 0, layers))
        answer.append(token)
        digest = context([token], digest)
    return answer
