"""Rendezvous hashing: ranks names for a key, the same in all processes.

Each key gives another order. Adding or removing a name doesn't change the
order of the others.
"""

import hashlib

RANK_BYTES = 8


def rank(key: str, name: str) -> bytes:
    """Return the sort key of a name in the order for ``key``."""
    return hashlib.blake2b(
        f'{key}/{name}'.encode(), digest_size=RANK_BYTES
    ).digest()
