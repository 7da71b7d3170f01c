"""Records of a claims journal and the state that they add up to."""

import hashlib
import itertools

import msgspec

from burdockmast.base import ids

# Journals over which claims are spread; equal in every process.
SHARD_COUNT = 8
KEY_DIGEST_BYTES = 16
# Largest body of an outcome that is kept for repeats, in bytes.
MAX_OUTCOME_BYTES = 8192


class Claim(msgspec.Struct, tag='claim', frozen=True):
    """The right to run a request once, by one process beside a server.

    Only the side process ``incarnation`` may run it, and only as
    ``attempt``; ``claimant`` is unique for each asking.
    """

    key: str
    attempt: int
    fingerprint: ids.Fingerprint
    server: ids.ServerId
    address: ids.Address
    incarnation: ids.InstanceId
    claimant: str


class Done(msgspec.Struct, tag='done', frozen=True):
    """The request ran; this is what repeats are told."""

    key: str
    attempt: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Released(msgspec.Struct, tag='released', frozen=True):
    """The attempt was proven not to run, now or later."""

    key: str
    attempt: int


class Forgotten(msgspec.Struct, tag='forgotten', frozen=True):
    """Keys claimed at ``through`` or before are no longer remembered."""

    through: int


# What processes ask to be written, and what a journal holds.
Record = Claim | Done | Released
JournalRecord = Record | Forgotten


class KeyState(msgspec.Struct):
    """What a journal says of one key.

    :ivar index: where the claim stands in the journal
    """

    claim: Claim
    index: int = msgspec.field(name='place')
    done: Done | None = None
    is_released: bool = False


class KeyTable:
    """State of each key of one shard, in the order of their claims."""

    def __init__(self, index: int = 0):
        """Create the book of a journal that begins after ``index``."""
        self.last_index = index
        self.state_by_key: dict[str, KeyState] = {}

    def would_change(self, record: Record) -> bool:
        """Tell whether a record would change its key's state.

        Only such records are written. So whoever begins to read in the
        middle of a journal takes every claim there as those did who know
        what came before.
        """
        state = self.state_by_key.get(record.key)
        match record:
            case Claim():
                return state is None or _may_follow(state, record)
            case Done(attempt=attempt) | Released(attempt=attempt):
                return _is_open(state, attempt)

    def apply(self, index: int, lines: list[JournalRecord]) -> None:
        """Apply what stands at the next place."""
        self.last_index = index
        for line in lines:
            if isinstance(line, Forgotten):
                self._forget(line.through)
            elif self.would_change(line):
                self._apply(line)

    def _apply(self, record: Record) -> None:
        match record:
            case Claim():
                self.state_by_key.pop(record.key, None)
                self.state_by_key[record.key] = KeyState(
                    record, self.last_index
                )
            case Done():
                self.state_by_key[record.key].done = record
            case Released():
                self.state_by_key[record.key].is_released = True

    def _forget(self, through: int) -> None:
        forgotten = list(
            itertools.takewhile(
                lambda key: self.state_by_key[key].index <= through,
                self.state_by_key,
            )
        )
        for key in forgotten:
            del self.state_by_key[key]


def _may_follow(state: KeyState, claim: Claim) -> bool:
    return (
        state.is_released
        and claim.attempt == state.claim.attempt + 1
        and claim.fingerprint == state.claim.fingerprint
    )


def _is_open(state: KeyState | None, attempt: int) -> bool:
    return (
        state is not None
        and state.claim.attempt == attempt
        and not state.done
        and not state.is_released
    )


def hash_key(
    organisation: ids.OrganisationId, service: ids.ServiceId, key: str
) -> str:
    """Return a caller's idempotency key as it is kept, and never shown."""
    joined = '\0'.join((organisation, service, key)).encode()
    return hashlib.blake2b(joined, digest_size=KEY_DIGEST_BYTES).hexdigest()


def shard_of(key: str) -> int:
    """Return the journal that a kept key belongs to."""
    return int(key[:8], 16) % SHARD_COUNT


def encode(record: Record) -> bytes:
    """Return a record for sending."""
    return msgspec.msgpack.encode(record)


def decode(encoded: bytes) -> Record:
    """Return a record that was sent.

    :raises msgspec.DecodeError: if it is none
    """
    return msgspec.msgpack.decode(encoded, type=Record)


def encode_state(state: KeyState | None) -> bytes:
    """Return a key's state for sending."""
    return msgspec.msgpack.encode(state)


def decode_state(encoded: bytes) -> KeyState | None:
    """Return a key's state that was sent."""
    return msgspec.msgpack.decode(encoded, type=KeyState | None)
