"""Encoding of changes and whole configurations for peers and snapshots.

It is compressed JSON, since presets repeat the same few keys many times.
"""

import hashlib
from typing import TypeVar
import zlib

import msgspec

from burdockmast.fleet import changes
from burdockmast.fleet import configuration

Decoded = TypeVar('Decoded', changes.Change, configuration.Configuration)

# Larger values are refused, so that a small message can't fill the memory.
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
DIGEST_BYTES = 16


def encode(value: changes.Change | configuration.Configuration) -> bytes:
    """Return a value as compressed JSON."""
    return zlib.compress(msgspec.json.encode(value))


def decode(encoded: bytes, kind: type[Decoded]) -> Decoded:
    """Return the value that ``encode`` was given.

    :raises ValueError: if it is damaged or too large
    """
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(encoded, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise ValueError(f'damaged: {error}') from error
    if not unpacker.eof:
        raise ValueError(
            f'truncated, or larger than {MAX_DECOMPRESSED_BYTES} bytes'
        )
    return msgspec.json.decode(data, type=kind)


def digest(encoded: bytes) -> bytes:
    """Return the checksum by which damage to an encoded value is found."""
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()
