"""Decides which datagrams on the neighbours' port are decoded.

The load: anybody sends datagrams there, well-formed or not, with any sender
address. A forged message can name servers as leaving and make up gateways.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum
import hashlib
import hmac

from burdockmast.base import timers

# Shortest key that is accepted, in characters.
MIN_KEY_CHARACTERS = 16
# Largest content of a UDP datagram over IPv4.
MAX_UDP_BYTES = 65507
DIGEST_BYTES = hashlib.sha256().digest_size
WINDOW_SECONDS = 1.0
# Addresses that are counted separately within a window. Without a key, sender
# addresses can be forged, and each takes memory.
MAX_ADDRESSES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class DatagramLimits:
    """Limits on what comes on the neighbours' port.

    :ivar key: that all gateways share, empty for none; never logged
    :ivar max_per_second: datagrams that are decoded from one address
    :ivar max_bytes: of a datagram that is sent or decoded
    """

    key: bytes = dataclasses.field(default=b'', repr=False)
    max_per_second: int = 400
    max_bytes: int = MAX_UDP_BYTES


class Refusal(enum.Enum):
    """Why a datagram is dropped undecoded."""

    TOO_LARGE = 'datagrams_too_large'
    UNAUTHENTICATED = 'datagrams_unauthenticated'
    RATE_EXCEEDED = 'datagrams_rate_exceeded'


class SenderRates:
    """Counts the datagrams of each sender address, in windows of a second."""

    def __init__(
        self, max_per_second: int, now: Callable[[], float] = timers.now
    ):
        """Create a count without datagrams."""
        self._max_count = max_per_second * WINDOW_SECONDS
        self._now = now
        self._ends_at = 0.0
        self._count_by_address: collections.Counter[str] = (
            collections.Counter()
        )

    def add(self, address: str) -> bool:
        """Count a datagram; return False if it is one too many."""
        now = self._now()
        if now >= self._ends_at:
            self._ends_at = now + WINDOW_SECONDS
            self._count_by_address.clear()
        counts = self._count_by_address
        if address not in counts and len(counts) >= MAX_ADDRESSES:
            # Further addresses share one count.
            address = ''
        counts[address] += 1
        return counts[address] <= self._max_count


class DatagramFilter:
    """Signs datagrams and checks received ones before they are decoded."""

    def __init__(
        self,
        limits: DatagramLimits,
        now: Callable[[], float] = timers.now,
    ):
        """Create a filter that has seen no datagrams."""
        self._limits = limits
        self._rates = SenderRates(limits.max_per_second, now)

    @property
    def max_bytes(self) -> int:
        """Largest datagram that is sent or decoded."""
        return self._limits.max_bytes

    def seal(self, content: bytes) -> bytes:
        """Return the datagram that carries a content.

        :raises ValueError: if other gateways would drop it for its size
        """
        key = self._limits.key
        data = _digest(key, content) + content if key else content
        if len(data) > self.max_bytes:
            raise ValueError(
                f'{len(data)} bytes, at most {self.max_bytes} are allowed'
            )
        return data

    def open(self, data: bytes, address: str) -> bytes | Refusal:
        """Return the content of a datagram that is to be decoded.

        The digest is checked before the rate, so that forged datagrams don't
        use up what a gateway at the same address may send.

        :param address: of the sender, without port
        """
        if len(data) > self.max_bytes:
            return Refusal.TOO_LARGE
        key = self._limits.key
        content = data
        if key:
            content = data[DIGEST_BYTES:]
            expected = _digest(key, content)
            if not hmac.compare_digest(data[:DIGEST_BYTES], expected):
                return Refusal.UNAUTHENTICATED
        if not self._rates.add(address):
            return Refusal.RATE_EXCEEDED
        return content


def _digest(key: bytes, content: bytes) -> bytes:
    return hmac.digest(key, content, 'sha256')
