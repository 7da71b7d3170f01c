"""Snapshots of the configuration, by which its journal can be truncated.

Without them a new process and every operator's command would read all
changes ever made. A watcher writes the snapshot, a single object, from time
to time by a conditional update, and truncates the journal some way behind.
"""

import base64

import msgspec

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.fleet import configuration
from burdockmast.fleet import encoding
from burdockmast.store import objects
from burdockmast.store import truncation

LOG = logs.get('fleet')

KIND = 'config-snapshot'
NAME = 'newest'
# Changes after which a new snapshot is written.
INTERVAL_CHANGES = 512
# Interval between checks that the stored snapshot is current and undamaged.
CHECK_INTERVAL_SECONDS = 600.0
# Changes before a snapshot that stay, for processes slightly behind it.
KEPT_CHANGES = 256


class Snapshot(msgspec.Struct):
    """The stored configuration of one version.

    :ivar data: the encoded configuration, in base 64
    """

    version: ids.Version
    digest: str
    data: str


class Snapshots:
    """The newest snapshot of one platform's configuration."""

    def __init__(
        self,
        store: objects.ObjectClient,
        journal: truncation.TruncatableJournal,
    ):
        """Create a client.

        :param journal: the journal to truncate behind snapshots
        """
        self._store = store
        self._journal = journal

    def read(self) -> configuration.Configuration | failures.Failure:
        """Return the newest snapshot, or version 0 if there is none yet."""
        found = self._store.get(KIND, NAME)
        match found:
            case objects.Absent():
                return configuration.Configuration()
            case objects.Stored(value=value):
                return _decode(msgspec.convert(value, Snapshot))
        return found

    def write(
        self, current: configuration.Configuration
    ) -> failures.Failure | None:
        """Write a snapshot if it is due, and truncate the journal behind it.

        A damaged snapshot is always replaced. Any number of processes may
        call this at once.
        """
        version = current.version
        # Encoded before the first store call, during which it may change.
        snapshot = encode(current)
        found = self._store.get(KIND, NAME)
        match found:
            case objects.Absent():
                written = self._store.create(KIND, NAME, snapshot)
            case objects.Stored(value=value, revision=revision):
                stored = msgspec.convert(value, Snapshot)
                is_damaged = isinstance(_decode(stored), failures.Failure)
                if not is_damaged and not is_due(version, stored.version):
                    return None
                written = self._store.update(KIND, NAME, snapshot, revision)
            case failure:
                return failure
        match written:
            case objects.Conflict():
                return None
            case failures.Failure():
                return written
        LOG.info('Wrote a snapshot of configuration version {}.', version)
        return self._journal.truncate(max(0, version - KEPT_CHANGES))


def is_due(version: ids.Version, since: ids.Version) -> bool:
    """Tell whether enough changes follow the snapshot of ``since``."""
    return version - since >= INTERVAL_CHANGES


def encode(current: configuration.Configuration) -> Snapshot:
    """Return the snapshot of a configuration."""
    encoded = encoding.encode(current)
    data = base64.b64encode(encoded).decode()
    return Snapshot(current.version, encoding.digest(encoded).hex(), data)


def _decode(
    snapshot: Snapshot,
) -> configuration.Configuration | failures.Failure:
    try:
        encoded = base64.b64decode(snapshot.data, validate=True)
        if encoding.digest(encoded).hex() != snapshot.digest:
            raise ValueError('its digest does not match')
        return encoding.decode(encoded, configuration.Configuration)
    except ValueError as error:
        return failures.Failure(
            failures.Reason.STORE_UNAVAILABLE,
            'snapshot.read',
            KIND,
            f'the snapshot is damaged: {error}',
        )
