"""Records of a claims journal, and the key states that they yield."""

import hashlib
import itertools

import msgspec

from burdockmast.base import ids

# Journals among which claims are divided; must be equal in every process.
SHARD_COUNT = 8
KEY_DIGEST_BYTES = 16
# Largest response body that is stored to answer repeated requests.
MAX_OUTCOME_BYTES = 8192


class Claim(msgspec.Struct, tag='claim', frozen=True):
    """Grants one side process the right to run a request once.

    Only the side process ``incarnation`` may run the request, and only as
    ``attempt``; ``claimant`` is unique to each call that asks for the claim.
    """

    key: str
    attempt: int
    fingerprint: ids.Fingerprint
    server: ids.ServerId
    address: ids.Address
    incarnation: ids.InstanceId
    claimant: str


class Done(msgspec.Struct, tag='done', frozen=True):
    """The request ran; repeats of it get this stored response."""

    key: str
    attempt: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Released(msgspec.Struct, tag='released', frozen=True):
    """The attempt has not run and never will, so a next one may."""

    key: str
    attempt: int


class Forgotten(msgspec.Struct, tag='forgotten', frozen=True):
    """Keys whose claims are at index ``through`` or below are forgotten."""

    through: int


# Record: submitted by processes. JournalRecord: found in a journal.
Record = Claim | Done | Released
JournalRecord = Record | Forgotten


class KeyState(msgspec.Struct):
    """State of one key according to the journal.

    :ivar index: journal index of the claim; sent as ``place``
    """

    claim: Claim
    index: int = msgspec.field(name='place')
    done: Done | None = None
    is_released: bool = False


class KeyTable:
    """State of each key of one shard, ordered by the keys' claims.

    :ivar last_index: index of the last journal entry applied
    """

    def __init__(self, index: int = 0):
        """Create the table of a journal that begins after ``index``."""
        self.last_index = index
        self.state_by_key: dict[str, KeyState] = {}

    def would_change(self, record: Record) -> bool:
        """Tell whether a record would change its key's state.

        Only such records are written. So a reader that starts at the
        truncation point accepts the same claims as readers that have applied
        the earlier entries.
        """
        state = self.state_by_key.get(record.key)
        match record:
            case Claim():
                return state is None or _may_replace(state, record)
            case Done(attempt=attempt) | Released(attempt=attempt):
                return _is_open(state, attempt)

    def apply(self, index: int, journal_records: list[JournalRecord]) -> None:
        """Apply the records of the next journal entry."""
        self.last_index = index
        for record in journal_records:
            if isinstance(record, Forgotten):
                self._forget(record.through)
            elif self.would_change(record):
                self._apply_record(record)

    def _apply_record(self, record: Record) -> None:
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


def _may_replace(state: KeyState, claim: Claim) -> bool:
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
    """Return the hash that stands for a caller's idempotency key.

    The key itself is neither stored nor shown.
    """
    joined = '\0'.join((organisation, service, key)).encode()
    return hashlib.blake2b(joined, digest_size=KEY_DIGEST_BYTES).hexdigest()


def shard_of(key: str) -> int:
    """Return the shard of a hashed key."""
    return int(key[:8], 16) % SHARD_COUNT


def encode(record: Record) -> bytes:
    """Encode a record for the wire."""
    return msgspec.msgpack.encode(record)


def decode(encoded: bytes) -> Record:
    """Decode a record from the wire.

    :raises msgspec.DecodeError: if it is not a valid record
    """
    return msgspec.msgpack.decode(encoded, type=Record)


def encode_state(state: KeyState | None) -> bytes:
    """Encode a key's state for the wire."""
    return msgspec.msgpack.encode(state)


def decode_state(encoded: bytes) -> KeyState | None:
    """Decode a key's state from the wire."""
    return msgspec.msgpack.decode(encoded, type=KeyState | None)
