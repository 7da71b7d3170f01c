"""Client of the platform's metadata store.

A call without a response may have been executed, or may be executed later;
its failure has the outcome ``UNKNOWN``.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
from typing import Annotated
from typing import Any
from typing import Generic
from typing import TypeVar
import urllib.parse

import eventlet
import msgspec
import urllib3

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import json_values
from burdockmast.base import logs
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.gateway import interfaces
from burdockmast.platform import json_lists
from burdockmast.platform import numbers
from burdockmast.replies import connections

LOG = logs.get('store')

OBJECTS_PATH = '/api/objects'
# Number of the store's history, in all its answers. It rises when the store
# comes back from an older copy.
ERA = 'Store-Era'
# Timeout of a call. The store responds in 4 ms when it is healthy and about 80
# times slower during its disruptions.
TIMEOUT_SECONDS = 1.0
# Time after the end of its wait at which a watch counts as lost.
WATCH_MARGIN_SECONDS = 0.7
HTTP_OK = 200
HTTP_CREATED = 201
HTTP_GONE = 410
HTTP_TOO_MANY_REQUESTS = 429
HTTP_UNAVAILABLE = 503
# Bytes of an object that can't be decoded that a log line shows.
LOGGED_BYTES = 100
# Objects of a page after which other tasks run.
OBJECTS_PER_TURN = 1000

T = TypeVar('T')
# Decodes an object from its name and spec.
Decode = Callable[[str, object], T]


# Gateways tell each other revisions as integers of 64 bits.
Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class Metadata(msgspec.Struct, frozen=True, rename='kebab'):
    """Name of an object, and the store's revision at its last change."""

    name: str
    revision: Revision = 0


class Object(msgspec.Struct, frozen=True):
    """An object as the store holds it."""

    metadata: Metadata
    spec: Any = None


class ListResponse(msgspec.Struct, frozen=True, rename='kebab'):
    """``current_rev`` is the revision of the whole store."""

    items: list[msgspec.Raw]
    current_rev: Revision
    has_more: bool = False


class _Event(msgspec.Struct, frozen=True):
    object: Object
    deleted: bool = False


class _NamedEvent(msgspec.Struct, frozen=True):
    """As much of an event as tells whose it is."""

    class Object(msgspec.Struct, frozen=True):
        metadata: Metadata

    object: Object


class _WatchResponse(msgspec.Struct, frozen=True, rename='kebab'):
    current_rev: Revision
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
        default_factory=lambda: connections.pool_manager(
            maxsize=4, retries=False
        )
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
            url += '?' + urllib.parse.urlencode(
                query, quote_via=urllib.parse.quote
            )
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
        era_text = response.headers.get(ERA)
        if era_text is not None and numbers.parse_whole(era_text) is None:
            return self._failure(
                method,
                kind,
                outcomes.Outcome.UNKNOWN,
                f'{ERA} is no whole number: {era_text[:LOGGED_BYTES]!r}',
                failures.Reason.PROTOCOL,
            )
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
            return json_values.decode(response.data, body_type)
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
            return json_values.decode(rest, body_type), elements
        except json_lists.DECODE_ERRORS as error:
            return self._failure('get', kind, outcomes.Outcome.UNKNOWN, error)

    def last_name(
        self, raw_items: list[bytes], kind: str
    ) -> str | failures.Failure:
        """Return the last name on a page, behind which the next one begins.

        Objects that can't be decoded may fill a page.
        """
        for raw in reversed(raw_items):
            name = json_lists.find_string(raw, 'metadata', 'name')
            if name:
                return name
        return self._failure(
            'get',
            kind,
            outcomes.Outcome.UNKNOWN,
            f'a page of {len(raw_items)} objects names none, but more follow',
        )


def era_of(response: urllib3.BaseHTTPResponse) -> int:
    """Return the number of the store's history, 0 if it names none.

    A response whose number can't be read is a failure of its call.
    """
    return numbers.parse_whole(response.headers.get(ERA, '')) or 0


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
                response, ListResponse, self._kind, 'items'
            )
            if isinstance(decoded_page, failures.Failure):
                return decoded_page
            page, raw_items = decoded_page
            objects = decode_objects(raw_items, self._kind)
            if revision is None:
                revision, era = page.current_rev, era_of(response)
            elif era != era_of(response):
                return self._client.conflict(
                    self._kind, 'store was restored during a listing'
                )
            with _logging_odd(self._kind) as odd:
                for item in objects:
                    decoded = self._decode_object(item, odd)
                    if decoded is not None:
                        item_by_name[item.metadata.name] = decoded
            if not page.has_more:
                return interfaces.Listing(revision, item_by_name, era)
            after = self._client.last_name(raw_items, self._kind)
            if isinstance(after, failures.Failure):
                return after
            query = {'after': after}

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
        with _logging_odd(self._kind) as odd:
            for raw in raw_events:
                change = self._decode_event(raw, odd)
                if change is None:
                    return self._client.conflict(
                        self._kind, 'an event names no object'
                    )
                changes.append(change)
        return interfaces.Changes(
            watched.current_rev, tuple(changes), era_of(response)
        )

    def _decode_event(
        self, raw: bytes, odd: '_OddObjects'
    ) -> interfaces.Change[T] | None:
        """Decode an event, None if it can't be told whose it is."""
        try:
            event = json_values.decode(raw, _Event)
        except json_lists.DECODE_ERRORS as error:
            try:
                named = json_values.decode(raw, _NamedEvent)
            except json_lists.DECODE_ERRORS:
                odd.add(raw, error)
                return None
            name = named.object.metadata.name
            odd.add(raw, error, name)
            return interfaces.Change(name, None)
        item = None
        if not event.deleted:
            item = self._decode_object(event.object, odd)
        return interfaces.Change(event.object.metadata.name, item)

    def _decode_object(self, stored: Object, odd: '_OddObjects') -> T | None:
        try:
            return self._decode(stored.metadata.name, stored.spec)
        except msgspec.ValidationError as error:
            odd.add(b'', error, stored.metadata.name)
            return None


def decode_objects(raw_items: list[bytes], kind: str) -> list[Object]:
    """Decode the objects of a page, leaving out those that can't be."""
    found = []
    with _logging_odd(kind) as odd:
        for count, raw in enumerate(raw_items, 1):
            if count % OBJECTS_PER_TURN == 0:
                eventlet.sleep(0)
            try:
                found.append(json_values.decode(raw, Object))
            except json_lists.DECODE_ERRORS as error:
                odd.add(raw, error)
    return found


@dataclasses.dataclass(slots=True)
class _OddObjects:
    """The objects of an answer that can't be decoded.

    They share a log line: a page may hold a hundred thousand of them.
    """

    count: int = 0
    first: dict[str, str | None] = dataclasses.field(default_factory=dict)

    def add(
        self, raw: bytes, error: Exception, name: str | None = None
    ) -> None:
        """Count an object, and keep what tells of the first one."""
        self.count += 1
        if self.count == 1:
            self.first = {
                'name': name,
                'begins': raw[:LOGGED_BYTES].decode(errors='replace'),
                'reason': str(error),
            }


@contextlib.contextmanager
def _logging_odd(kind: str) -> Iterator[_OddObjects]:
    """Log in one line what can't be decoded within the block."""
    odd = _OddObjects()
    try:
        yield odd
    finally:
        if odd.count:
            LOG.warning(
                'objects cannot be decoded; treating them as absent',
                extra={'kind': kind, 'count': odd.count, **odd.first},
            )
