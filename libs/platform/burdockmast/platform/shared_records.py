"""Objects that only gateways use: registrations, quarantines, a lock."""

import hashlib
import time

import msgspec

from burdockmast.base import addresses
from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import json_values
from burdockmast.base import logs
from burdockmast.base import timers
from burdockmast.gateway import interfaces
from burdockmast.platform import store

LOG = logs.get('store')

# Fencing numbers by which a restore of the store raises the next one. It takes
# back the revisions of some seconds, which are far fewer.
FENCES_PER_ERA = 1_000_000_000
# Earlier versions of gateways take larger eras for the first one.
FIRST_LARGE_ERA = 1_000_000_000
# Number of large eras after which their part of a fencing number repeats, so
# that it stays exact in servers that hold it as a double.
LARGE_ERA_CYCLE = 2**23
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
MS_PER_SECOND = 1000.0


class _QuarantineSpec(msgspec.Struct, frozen=True, rename='kebab'):
    """``crashed_at_ms`` is the time of the last crash, since the epoch."""

    fingerprint: str
    crashes: list[str]
    crashed_at_ms: int


def _list_objects(
    client: store.Client, kind: str
) -> list[store.Object] | failures.Failure:
    """Return all objects of a kind, which may be some seconds old."""
    found: list[store.Object] = []
    query: dict[str, object] = {'stale-ok': 1}
    while True:
        response = client.call('GET', kind, query=query)
        decoded = client.decode_list(
            response, store.ListResponse, kind, 'items'
        )
        if isinstance(decoded, failures.Failure):
            return decoded
        page, raw_items = decoded
        found += store.decode_objects(raw_items, kind)
        if not page.has_more:
            return found
        after = client.last_name(raw_items, kind)
        if isinstance(after, failures.Failure):
            return after
        query = {'stale-ok': 1, 'after': after}


class GatewayRegistry:
    """The gateways, each an object of a kind that only gateways use."""

    KIND = 'burdockmast-gateways'

    def __init__(self, client: store.Client, own: interfaces.GatewayRecord):
        """Create the registry for the gateway ``own``."""
        self._client = client
        self._own = own

    def register(self) -> failures.Failure | None:
        """Register this gateway, replacing its earlier registration."""
        body = {
            'metadata': {'name': self._own.name},
            'spec': {'zone': self._own.zone, 'address': self._own.address},
        }
        response = self._client.call('POST', self.KIND, body=body)
        if (
            not isinstance(response, failures.Failure)
            and response.status == HTTP_CONFLICT
        ):
            response = self._client.call(
                'PUT', self.KIND, self._own.name, body=body
            )
        return response if isinstance(response, failures.Failure) else None

    def list(self) -> list[interfaces.GatewayRecord] | failures.Failure:
        """Return the registered gateways; some may have stopped."""
        found = _list_objects(self._client, self.KIND)
        if isinstance(found, failures.Failure):
            return found
        records = (self._record(item) for item in found)
        return [record for record in records if record is not None]

    def remove(self, name: str) -> failures.Failure | None:
        """Remove a gateway that is gone; it may be removed already."""
        response = self._client.call('DELETE', self.KIND, name)
        return response if isinstance(response, failures.Failure) else None

    @staticmethod
    def _record(item: store.Object) -> interfaces.GatewayRecord | None:
        spec = item.spec if isinstance(item.spec, dict) else {}
        address = addresses.parse(str(spec.get('address', '')))
        if address is None:
            LOG.warning(
                'registered gateway has no valid address; ignoring it',
                extra={'name': item.metadata.name},
            )
            return None
        return interfaces.GatewayRecord(
            item.metadata.name, ids.ZoneId(str(spec.get('zone', ''))), address
        )


class QuarantineRegistry:
    """Fingerprints of requests that crash servers, an object each."""

    KIND = 'burdockmast-quarantines'

    def __init__(self, client: store.Client):
        """Create the registry."""
        self._client = client

    def list(self) -> list[interfaces.QuarantineRecord] | failures.Failure:
        """Return all records that can be decoded."""
        found = _list_objects(self._client, self.KIND)
        if isinstance(found, failures.Failure):
            return found
        return [
            record
            for item in found
            if (record := self._record(item)) is not None
        ]

    def add(
        self, record: interfaces.QuarantineRecord
    ) -> failures.Failure | None:
        """Add a record; another gateway may have added it."""
        body = {
            'metadata': {'name': _name_of(record.fingerprint)},
            'spec': {
                'fingerprint': record.fingerprint,
                'crashes': list(record.crashes),
                'crashed-at-ms': int(
                    (time.time() - record.age_seconds) * MS_PER_SECOND
                ),
            },
        }
        response = self._client.call('POST', self.KIND, body=body)
        return response if isinstance(response, failures.Failure) else None

    def remove(self, fingerprint: ids.Fingerprint) -> failures.Failure | None:
        """Remove a record; it may be removed already."""
        response = self._client.call(
            'DELETE', self.KIND, _name_of(fingerprint)
        )
        return response if isinstance(response, failures.Failure) else None

    @staticmethod
    def _record(item: store.Object) -> interfaces.QuarantineRecord | None:
        try:
            spec = json_values.convert(item.spec, _QuarantineSpec)
        except msgspec.ValidationError as error:
            LOG.warning(
                'quarantine record cannot be decoded; ignoring it',
                extra={'name': item.metadata.name, 'reason': str(error)},
            )
            return None
        age = time.time() - spec.crashed_at_ms / MS_PER_SECOND
        return interfaces.QuarantineRecord(
            ids.Fingerprint(spec.fingerprint),
            tuple(spec.crashes),
            max(0.0, age),
        )


def _name_of(fingerprint: ids.Fingerprint) -> str:
    """Return an object's name, which may hold fewer characters."""
    digest = hashlib.blake2b(fingerprint.encode(), digest_size=16)
    return digest.hexdigest()


class PlannerLock:
    """A mutex, stored as one object of a kind that only gateways use.

    The fencing number is made of the object's revision, which the store
    raises at each write, and of the store's era, as a restored store gives
    revisions out again. It is never taken apart: the revision is kept beside
    it for the next write.
    """

    KIND = 'burdockmast-planner'
    # All gateways must use the same object, whatever their version.
    NAME = 'seat'

    def __init__(self, client: store.Client, holder: str):
        """Create the lock for the gateway ``holder``."""
        self._client = client
        self._holder = holder

    def read(self) -> interfaces.LockState | failures.Failure:
        """Return who acquired the lock last."""
        response = self._client.call('GET', self.KIND, self.NAME)
        if not isinstance(response, failures.Failure):
            if response.status == HTTP_NOT_FOUND:
                return interfaces.LockState(0, '')
        lock = self._client.decode_response(response, store.Object, self.KIND)
        if isinstance(lock, failures.Failure):
            return lock
        spec = lock.spec if isinstance(lock.spec, dict) else {}
        era, revision = store.era_of(response), lock.metadata.revision
        return interfaces.LockState(
            fencing_number(era, revision),
            str(spec.get('holder', '')),
            revision,
            era,
        )

    def acquire(self, before: interfaces.LockState) -> int | failures.Failure:
        """Acquire the lock, unless somebody else did since it was read.

        :returns: the fencing number
        """
        # The time makes each write a change of the object, and the store
        # raises the revision only then.
        spec = {'holder': self._holder, 'at': timers.now()}
        metadata: dict[str, object] = {'name': self.NAME}
        if before.fencing_number:
            metadata['revision'] = before.revision
            if before.era < self._client.era:
                return self._client.conflict(
                    self.KIND, 'store was restored since the lock was read'
                )
            response = self._client.call(
                'PUT',
                self.KIND,
                self.NAME,
                body={'metadata': metadata, 'spec': spec},
            )
        else:
            response = self._client.call(
                'POST', self.KIND, body={'metadata': metadata, 'spec': spec}
            )
        if (
            not isinstance(response, failures.Failure)
            and response.status == HTTP_CONFLICT
        ):
            return self._client.conflict(
                self.KIND,
                f'the lock is not at revision {before.revision}: '
                f'{response.data[:200]!r}',
            )
        acquired = self._client.decode_response(
            response, store.Object, self.KIND
        )
        if isinstance(acquired, failures.Failure):
            return acquired
        return fencing_number(
            store.era_of(response), acquired.metadata.revision
        )


def fencing_number(era: int, revision: int) -> int:
    """Return a number that rises with each write, in all histories.

    Servers refuse one that is lower than any that they have seen, of gateways
    of earlier versions too, so that it is never below what those make of the
    same write.
    """
    if era >= FIRST_LARGE_ERA:
        era %= LARGE_ERA_CYCLE
    return era * FENCES_PER_ERA + revision
