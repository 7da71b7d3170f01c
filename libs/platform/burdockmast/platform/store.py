"""Client of the platform's metadata store.

A call without an answer may have been executed, or may be later; such a
failure has the outcome ``UNKNOWN``.
"""

from collections.abc import Callable
import dataclasses
from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec
import urllib3

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.gateway import interfaces

LOG = logs.get('store')

OBJECTS_PATH = '/api/objects'
# Seconds for an answer of the store, which takes 4 ms when all is well; its
# disruptions slow it down some 80 times.
TIMEOUT_SECONDS = 1.0
# Seconds beyond its own wait after which a watch counts as lost.
WATCH_MARGIN_SECONDS = 0.7
HTTP_OK = 200
HTTP_CREATED = 201
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
HTTP_TOO_MANY_REQUESTS = 429
HTTP_UNAVAILABLE = 503

T = TypeVar('T')
# Builds an item from an object's name and its spec.
Decode = Callable[[str, object], T]


class _Metadata(msgspec.Struct, frozen=True, rename='kebab'):
    name: str
    revision: int = 0


class _Object(msgspec.Struct, frozen=True):
    metadata: _Metadata
    spec: Any = None


class _Page(msgspec.Struct, frozen=True, rename='kebab'):
    """``current_rev`` is the revision of the whole store."""

    items: list[_Object]
    current_rev: int
    has_more: bool = False


class _Event(msgspec.Struct, frozen=True):
    object: _Object
    deleted: bool = False


class _Watched(msgspec.Struct, frozen=True, rename='kebab'):
    current_rev: int
    events: list[_Event] = []


@dataclasses.dataclass(slots=True)
class Client:
    """Calls to the store over one pool of connections."""

    address: ids.Address
    on_call_end: list[
        Callable[[str, float, failures.Failure | None], None]
    ] = dataclasses.field(default_factory=list)
    _pool: urllib3.PoolManager = dataclasses.field(
        default_factory=lambda: urllib3.PoolManager(maxsize=4, retries=False)
    )

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
        """Make one call; any status that says something is an answer."""
        began = timers.now()
        found = self._call(method, kind, name, query, body, timeout)
        failure = found if isinstance(found, failures.Failure) else None
        for subscriber in self.on_call_end:
            subscriber(f'{method} {kind}', timers.now() - began, failure)
        return found

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
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return self._failure(method, kind, outcomes.Outcome.UNKNOWN, error)
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

    def decode_response(
        self,
        found: urllib3.BaseHTTPResponse | failures.Failure,
        shape: type[T],
        step: str,
    ) -> T | failures.Failure:
        """Return the body of an answer as ``shape``."""
        if isinstance(found, failures.Failure):
            return found
        if found.status == HTTP_GONE:
            return self._failure(
                'get',
                step,
                outcomes.Outcome.NOT_RUN,
                'history is gone',
                failures.Reason.STORE_CONFLICT,
            )
        if found.status not in (HTTP_OK, HTTP_CREATED):
            detail = f'status {found.status}: {found.data[:200]!r}'
            return self._failure('get', step, outcomes.Outcome.NOT_RUN, detail)
        try:
            return msgspec.json.decode(found.data, type=shape)
        except msgspec.MsgspecError as error:
            return self._failure('get', step, outcomes.Outcome.UNKNOWN, error)


class Feed(Generic[T]):
    """Objects of one kind, decoded."""

    def __init__(self, client: Client, kind: str, decode: Decode[T]):
        """Create a feed of a kind."""
        self._client = client
        self._kind = kind
        self._decode = decode

    def list(self) -> interfaces.Listing[T] | failures.Failure:
        """Return all objects, page by page.

        The revision is that of the first page: what changes meanwhile is
        told once more by the first wait.
        """
        item_by_name: dict[str, T] = {}
        revision = None
        query: dict[str, object] = {}
        while True:
            found = self._client.call('GET', self._kind, query=query)
            page = self._client.decode_response(found, _Page, self._kind)
            if isinstance(page, failures.Failure):
                return page
            if revision is None:
                revision = page.current_rev
            for item in page.items:
                decoded = self._item(item)
                if decoded is not None:
                    item_by_name[item.metadata.name] = decoded
            if not page.has_more or not page.items:
                return interfaces.Listing(revision, item_by_name)
            query = {'after': page.items[-1].metadata.name}

    def watch(
        self, revision: int, timeout_seconds: float
    ) -> interfaces.Changes[T] | failures.Failure:
        """Wait for changes after a revision, for a limited time."""
        found = self._client.call(
            'GET',
            self._kind,
            query={'watch': revision, 'wait-ms': int(timeout_seconds * 1000)},
            timeout=timeout_seconds + WATCH_MARGIN_SECONDS,
        )
        watched = self._client.decode_response(found, _Watched, self._kind)
        if isinstance(watched, failures.Failure):
            return watched
        changes = tuple(
            interfaces.Change(
                event.object.metadata.name,
                None if event.deleted else self._item(event.object),
            )
            for event in watched.events
        )
        return interfaces.Changes(watched.current_rev, changes)

    def _item(self, found: _Object) -> T | None:
        try:
            return self._decode(found.metadata.name, found.spec)
        except msgspec.ValidationError as error:
            LOG.warning(
                'object can not be read',
                extra={
                    'kind': self._kind,
                    'name': found.metadata.name,
                    'revision': found.metadata.revision,
                    'reason': str(error),
                },
            )
            return None


class GatewayRegistry:
    """The gateways, each an object of a kind of our own."""

    KIND = 'burdockmast-gateways'

    def __init__(self, client: Client, instance: str):
        """Create the roster as the gateway ``instance`` sees it."""
        self._client = client
        self._instance = instance

    def register(self) -> failures.Failure | None:
        """Make this gateway known; it may be so already."""
        found = self._client.call(
            'POST',
            self.KIND,
            body={'metadata': {'name': self._instance}, 'spec': {}},
        )
        return found if isinstance(found, failures.Failure) else None

    def count(self) -> int | failures.Failure:
        """Return how many gateways are known; some may be gone."""
        found = self._client.call('GET', self.KIND, query={'stale-ok': 1})
        page = self._client.decode_response(found, _Page, self.KIND)
        if isinstance(page, failures.Failure):
            return page
        return len(page.items)


class PlannerLock:
    """A mutex that is one object of a kind of our own.

    Its revision, which the store raises at each write, is the fencing
    number.
    """

    KIND = 'burdockmast-planner'
    NAME = 'seat'

    def __init__(self, client: Client, holder: str):
        """Create the seat as ``holder`` sees it."""
        self._client = client
        self._holder = holder

    def read(self) -> interfaces.LockState | failures.Failure:
        """Return who took the seat last."""
        found = self._client.call('GET', self.KIND, self.NAME)
        if not isinstance(found, failures.Failure):
            if found.status == HTTP_NOT_FOUND:
                return interfaces.LockState(0, '')
        seat = self._client.decode_response(found, _Object, self.KIND)
        if isinstance(seat, failures.Failure):
            return seat
        spec = seat.spec if isinstance(seat.spec, dict) else {}
        return interfaces.LockState(
            seat.metadata.revision, str(spec.get('holder', ''))
        )

    def acquire(self, revision: int) -> int | failures.Failure:
        """Take the seat, if nobody has since ``revision``.

        :returns: the fencing number
        """
        # The time makes each write a change, which raises the revision.
        spec = {'holder': self._holder, 'at': timers.now()}
        metadata: dict[str, object] = {'name': self.NAME}
        if revision:
            metadata['revision'] = revision
            found = self._client.call(
                'PUT',
                self.KIND,
                self.NAME,
                body={'metadata': metadata, 'spec': spec},
            )
        else:
            found = self._client.call(
                'POST', self.KIND, body={'metadata': metadata, 'spec': spec}
            )
        taken = self._client.decode_response(found, _Object, self.KIND)
        if isinstance(taken, failures.Failure):
            return taken
        return taken.metadata.revision
