"""Rendezvous hashing of prompt prefixes to owners.

All entries find the same owners without exchanging messages.

Source: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase
Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998 (highest random
weight).
"""

from collections.abc import Iterable
import hashlib

from burdockmast.base import ids

WEIGHT_BYTES = 8


def owner(key: bytes, servers: Iterable[ids.ServerId]) -> ids.ServerId:
    """Return the server with the highest weight for a key.

    :raises ValueError: if there are no servers
    """
    return max(servers, key=lambda server: (_weight(key, server), server))


def _weight(key: bytes, server: ids.ServerId) -> bytes:
    return hashlib.blake2b(
        server.encode(), key=key, digest_size=WEIGHT_BYTES
    ).digest()
