"""Orders of names that all processes agree on without a message.

For each key the order is another, and a name that comes or goes moves no
other.
"""

import hashlib

RANK_BYTES = 8


def rank(key: str, name: str) -> bytes:
    """Return what to sort a name by, for a key."""
    return hashlib.blake2b(
        f'{key}/{name}'.encode(), digest_size=RANK_BYTES
    ).digest()
