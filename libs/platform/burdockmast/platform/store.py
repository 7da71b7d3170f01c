"""Client of the platform's metadata store.

A call without a response may have been executed, or may be executed later;
its failure has the outcome ``UNKNOWN``.
"""

from collections.abc import Callable
import dataclasses
import hashlib
import re
import time
from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec
import urllib3

from burdockmast.base import addresses
from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.gateway import interfaces
from burdockmast.platform import json_lists

LOG = logs.get('store')

OBJECTS_PATH = '/api/objects'
# Number of the store's history, in all its answers. It rises when the store
# comes back from an older copy.
ERA = 'Store-Era'
_ERA = re.compile(r'\d{1,9}')
# Timeout of a call. The store responds in 4 ms when it is healthy and about 80
# times slower during its disruptions.
TIMEOUT_SECONDS = 1.0
# Time after the end of its wait at which a watch counts as lost.
WATCH_MARGIN_SECONDS = 0.7
# Revisions that a history of the store may have: fencing numbers of the next
# one are greater.
REVISIONS_PER_ERA = 1_000_000_000
HTTP_OK = 200
HTTP_CREATED = 201
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
HTTP_TOO_MANY_REQUESTS = 429
HTTP_UNAVAILABLE = 503
MS_PER_SECOND = 1000.0
# Bytes of an object that can't be decoded that a log line shows.
LOGGED_BYTES = 100

T = TypeVar('T')
# Decodes an object from its name and spec.
Decode = Callable[[str, object], T]


class _Metadata(msgspec.Struct, frozen=True, rename='kebab'):
    name: str
    revision: int = 0


class _Object(msgspec.Struct, frozen=True):
    metadata: _Metadata
    spec: Any = None


class _ListResponse(msgspec.Struct, frozen=True, rename='kebab'):
    """``current_rev`` is the revision of the whole store."""

    items: list[msgspec.Raw]
    current_rev: int
    has_more: bool = False


class _QuarantineSpec(msgspec.Struct, frozen=True, rename='kebab'):
    """``crashed_at_ms`` is the time of the last crash, since the epoch."""

    fingerprint: str
    crashes: list[str]
    crashed_at_ms: int


class _Event(msgspec.Struct, frozen=True):
    object: _Object
    deleted: bool = False


class _NamedEvent(msgspec.Struct, frozen=True):
    """As much of an event as tells whose it is."""

    class Object(msgspec.Struct, frozen=True):
        metadata: _Metadata

    object: Object


class _WatchResponse(msgspec.Struct, frozen=True, rename='kebab'):
    current_rev: int
    events: list[msgspec.Raw] = []


@dataclasses.dataclass(slots=True)
class Client:
    """Calls the store over a connection pool.

    :ivar on_call_end: functions that are called after each call with its
        method and kind, its duration in seconds and its failure, if any
    :ivar era: latest number of the store's history in an answer
    """

    address: ids.Address
    on_call_end: list[
        Callable[[str, float, failures.Failure | None], None]
    ] = dataclasses.field(default_factory=list)
    _pool: urllib3.PoolManager = dataclasses.field(
        default_factory=lambda: urllib3.PoolManager(maxsize=4, retries=False)
    )
    era: int = 0

    def call(
        self,
        method: str,
        kind: str,
        name: str = '',
        *,
        query: dict[str, object] | None = None,
        body: object = None,
        timeout: float = TIMEOUT_SECONDS,
    ) -> urllib3.BaseHTTPResponse | failures.Failure:
        """Make one call and return its response.

        Status 429 and those from 500 up are returned as failures; others,
        such as 404 or 409, are responses.
        """
        started_at = timers.now()
        response = self._call(method, kind, name, query, body, timeout)
        failure = response if isinstance(response, failures.Failure) else None
        for callback in self.on_call_end:
            callback(f'{method} {kind}', timers.now() - started_at, failure)
        return response

    def _call(
        self,
        method: str,
        kind: str,
        name: str,
        query: dict[str, object] | None,
        body: object,
        timeout: float,
    ) -> urllib3.BaseHTTPResponse | failures.Failure:
        url = f'http://{self.address}{OBJECTS_PATH}/{kind}'
        if name:
            url = f'{url}/{name}'
        if query:
            url += '?' + '&'.join(f'{k}={v}' for k, v in query.items())
        options: dict[str, Any] = {}
        if body is not None:
            options['body'] = msgspec.json.encode(body)
            options['headers'] = {'Content-Type': 'application/json'}
        try:
            response = self._pool.request(
                method,
                url,
                timeout=urllib3.Timeout(connect=TIMEOUT_SECONDS, read=timeout),
                **options,
            )
        except urllib3.exceptions.NewConnectionError as error:
            return self._failure(method, kind, outcomes.Outcome.NOT_RUN, error)
        except urllib3.exceptions.TimeoutError as error:
            return self._failure(
                method,
                kind,
                outcomes.Outcome.UNKNOWN,
                error,
                failures.Reason.PEER_SILENT,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return self._failure(method, kind, outcomes.Outcome.UNKNOWN, error)
        self._record_era(era_of(response))
        match response.status:
            case status if status in (
                HTTP_TOO_MANY_REQUESTS,
                HTTP_UNAVAILABLE,
            ):
                outcome = outcomes.Outcome.NOT_RUN
            case status if status >= 500:
                outcome = outcomes.Outcome.UNKNOWN
            case _:
                return response
        return self._failure(
            method, kind, outcome, f'status {response.status}'
        )

    def _record_era(self, era: int) -> None:
        if era <= self.era:
            return
        if self.era:
            LOG.warning(
                'store was restored from an older copy',
                extra={'era': era, 'before': self.era},
            )
        self.era = era

    def _failure(
        self,
        method: str,
        kind: str,
        outcome: outcomes.Outcome,
        detail: object,
        reason: failures.Reason = failures.Reason.STORE_UNAVAILABLE,
    ) -> failures.Failure:
        return failures.Failure(
            reason,
            f'store.{method.lower()}.{kind}',
            self.address,
            str(detail),
            outcome,
        )

    def conflict(self, kind: str, detail: str) -> failures.Failure:
        """Return the failure of a call that must begin anew."""
        return self._failure(
            'get',
            kind,
            outcomes.Outcome.NOT_RUN,
            detail,
            failures.Reason.STORE_CONFLICT,
        )

    def decode_response(
        self,
        response: urllib3.BaseHTTPResponse | failures.Failure,
        body_type: type[T],
        kind: str,
    ) -> T | failures.Failure:
        """Decode the body of a successful response as ``body_type``."""
        if isinstance(response, failures.Failure):
            return response
        if response.status == HTTP_GONE:
            return self.conflict(kind, 'history is gone')
        if response.status not in (HTTP_OK, HTTP_CREATED):
            detail = f'status {response.status}: {response.data[:200]!r}'
            return self._failure('get', kind, outcomes.Outcome.NOT_RUN, detail)
        try:
            return msgspec.json.decode(response.data, type=body_type)
        except json_lists.DECODE_ERRORS as error:
            return self._failure('get', kind, outcomes.Outcome.UNKNOWN, error)

    def decode_list(
        self,
        response: urllib3.BaseHTTPResponse | failures.Failure,
        body_type: type[T],
        kind: str,
        key: str,
    ) -> tuple[T, list[bytes]] | failures.Failure:
        """Decode a response without the elements of its list.

        :param key: of the list
        :returns: the response, and the undecoded elements
        """
        found = self.decode_response(response, body_type, kind)
        if not isinstance(found, failures.Failure):
            return found, [bytes(raw) for raw in getattr(found, key)]
        if (
            isinstance(response, failures.Failure)
            or response.status != HTTP_OK
        ):
            return found
        try:
            rest, elements = json_lists.split(response.data, key)
            return msgspec.json.decode(rest, type=body_type), elements
        except json_lists.DECODE_ERRORS as error:
            return self._failure('get', kind, outcomes.Outcome.UNKNOWN, error)


def era_of(response: urllib3.BaseHTTPResponse) -> int:
    """Return the number of the store's history, 0 if it names none."""
    text = response.headers.get(ERA, '').strip()
    return int(text) if _ERA.fullmatch(text) else 0


class Feed(Generic[T]):
    """Lists and watches the objects of one kind, and decodes them."""

    def __init__(self, client: Client, kind: str, decode: Decode[T]):
        """Create a feed of the objects of ``kind``."""
        self._client = client
        self._kind = kind
        self._decode = decode

    def list(self) -> interfaces.Listing[T] | failures.Failure:
        """Return all objects, page by page.

        The revision is that of the first page, so the first watch repeats
        changes that were made while later pages were read.
        """
        item_by_name: dict[str, T] = {}
        revision = era = None
        query: dict[str, object] = {}
        while True:
            response = self._client.call('GET', self._kind, query=query)
            decoded_page = self._client.decode_list(
                response, _ListResponse, self._kind, 'items'
            )
            if isinstance(decoded_page, failures.Failure):
                return decoded_page
            page, raw_items = decoded_page
            objects = _decode_objects(raw_items, self._kind)
            if revision is None:
                revision, era = page.current_rev, era_of(response)
            elif era != era_of(response):
                return self._client.conflict(
                    self._kind, 'store was restored during a listing'
                )
            for item in objects:
                decoded = self._decode_object(item)
                if decoded is not None:
                    item_by_name[item.metadata.name] = decoded
            if not page.has_more or not objects:
                return interfaces.Listing(revision, item_by_name, era)
            query = {'after': objects[-1].metadata.name}

    def watch(
        self, revision: int, timeout_seconds: float
    ) -> interfaces.Changes[T] | failures.Failure:
        """Wait for changes after a revision, up to a timeout."""
        response = self._client.call(
            'GET',
            self._kind,
            query={'watch': revision, 'wait-ms': int(timeout_seconds * 1000)},
            timeout=timeout_seconds + WATCH_MARGIN_SECONDS,
        )
        decoded = self._client.decode_list(
            response, _WatchResponse, self._kind, 'events'
        )
        if isinstance(decoded, failures.Failure):
            return decoded
        watched, raw_events = decoded
        changes = []
        for raw in raw_events:
            change = self._decode_event(raw)
            if change is None:
                return self._client.conflict(
                    self._kind, 'an event names no object'
                )
            changes.append(change)
        return interfaces.Changes(
            watched.current_rev, tuple(changes), era_of(response)
        )

    def _decode_event(self, raw: bytes) -> interfaces.Change[T] | None:
        """Decode an event, None if it can't be told whose it is."""
        try:
            event = msgspec.json.decode(raw, type=_Event)
        except json_lists.DECODE_ERRORS as error:
            try:
                named = msgspec.json.decode(raw, type=_NamedEvent)
            except json_lists.DECODE_ERRORS:
                _log_odd(self._kind, raw, error)
                return None
            name = named.object.metadata.name
            _log_odd(self._kind, raw, error, name)
            return interfaces.Change(name, None)
        item = None if event.deleted else self._decode_object(event.object)
        return interfaces.Change(event.object.metadata.name, item)

    def _decode_object(self, stored: _Object) -> T | None:
        try:
            return self._decode(stored.metadata.name, stored.spec)
        except msgspec.ValidationError as error:
            _log_odd(self._kind, b'', error, stored.metadata.name)
            return None


def _decode_objects(raw_items: list[bytes], kind: str) -> list[_Object]:
    """Decode the objects of a page, leaving out those that can't be."""
    found = []
    for raw in raw_items:
        try:
            found.append(msgspec.json.decode(raw, type=_Object))
        except json_lists.DECODE_ERRORS as error:
            _log_odd(kind, raw, error)
    return found


def _log_odd(
    kind: str, raw: bytes, error: Exception, name: str | None = None
) -> None:
    LOG.warning(
        'object cannot be decoded; treating it as absent',
        extra={
            'kind': kind,
            'name': name,
            'begins': raw[:LOGGED_BYTES].decode(errors='replace'),
            'reason': str(error),
        },
    )


def _list_objects(
    client: Client, kind: str
) -> list[_Object] | failures.Failure:
    """Return all objects of a kind, which may be some seconds old."""
    found: list[_Object] = []
    query: dict[str, object] = {'stale-ok': 1}
    while True:
        response = client.call('GET', kind, query=query)
        decoded = client.decode_list(response, _ListResponse, kind, 'items')
        if isinstance(decoded, failures.Failure):
            return decoded
        page, raw_items = decoded
        objects = _decode_objects(raw_items, kind)
        found += objects
        if not page.has_more or not objects:
            return found
        query = {'stale-ok': 1, 'after': objects[-1].metadata.name}


class GatewayRegistry:
    """The gateways, each an object of a kind that only gateways use."""

    KIND = 'burdockmast-gateways'

    def __init__(self, client: Client, own: interfaces.GatewayRecord):
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
    def _record(item: _Object) -> interfaces.GatewayRecord | None:
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

    def __init__(self, client: Client):
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
    def _record(item: _Object) -> interfaces.QuarantineRecord | None:
        try:
            spec = msgspec.convert(item.spec, _QuarantineSpec)
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

    The object's revision, which the store raises at each write, is the
    fencing number, together with the store's era: a restored store gives
    revisions out again.
    """

    KIND = 'burdockmast-planner'
    # All gateways must use the same object, whatever their version.
    NAME = 'seat'

    def __init__(self, client: Client, holder: str):
        """Create the lock for the gateway ``holder``."""
        self._client = client
        self._holder = holder

    def read(self) -> interfaces.LockState | failures.Failure:
        """Return who acquired the lock last."""
        response = self._client.call('GET', self.KIND, self.NAME)
        if not isinstance(response, failures.Failure):
            if response.status == HTTP_NOT_FOUND:
                return interfaces.LockState(0, '')
        lock = self._client.decode_response(response, _Object, self.KIND)
        if isinstance(lock, failures.Failure):
            return lock
        spec = lock.spec if isinstance(lock.spec, dict) else {}
        return interfaces.LockState(
            _fencing_number(response, lock), str(spec.get('holder', ''))
        )

    def acquire(self, revision: int) -> int | failures.Failure:
        """Acquire the lock, unless somebody else did after ``revision``.

        :returns: the fencing number
        """
        # The time makes each write a change of the object, and the store
        # raises the revision only then.
        spec = {'holder': self._holder, 'at': timers.now()}
        metadata: dict[str, object] = {'name': self.NAME}
        if revision:
            era, metadata['revision'] = divmod(revision, REVISIONS_PER_ERA)
            if era < self._client.era:
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
        acquired = self._client.decode_response(response, _Object, self.KIND)
        if isinstance(acquired, failures.Failure):
            return acquired
        return _fencing_number(response, acquired)


def _fencing_number(response: urllib3.BaseHTTPResponse, lock: _Object) -> int:
    """Return a number that rises with each write, in all histories."""
    return era_of(response) * REVISIONS_PER_ERA + lock.metadata.revision
