"""Client of the platform's Object API.

Follows the platform's published interface. An object has a kind, a name, a
JSON value of at most a megabyte, and a revision; writes are conditional. The
client retries nothing, because only its caller knows whether that is safe.
"""

import collections
from collections.abc import Callable
from typing import Any

import msgspec
import urllib3

from burdockmast.base import failures
from burdockmast.base import logs
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.replies import connections

LOG = logs.get('store')

TIMEOUT_SECONDS = 2.0
POOL_CONNECTION_COUNT = 8
HTTP_OK = 200
HTTP_CREATED = 201
HTTP_NOT_FOUND = 404
HTTP_PRECONDITION_FAILED = 412
HTTP_TOO_MANY_REQUESTS = 429


class Stored(msgspec.Struct):
    """An object in the store."""

    name: str
    revision: int
    value: Any


class Listing(msgspec.Struct):
    """Objects of one kind, ordered by name."""

    items: list[Stored]


class Conflict(msgspec.Struct):
    """The condition of a write did not hold; nothing was written."""

    name: str


class Absent(msgspec.Struct):
    """The object does not exist."""

    name: str


class ObjectClient:
    """Reads and writes the objects of one platform over HTTP.

    :ivar call_observers: called after each call with its method and kind, its
        duration in seconds, and its failure, if any
    """

    def __init__(self, url: str):
        """Create a client; it connects at the first request.

        :param url: base URL of the Object API
        """
        self.url = url
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.call_observers: list[
            Callable[[str, float, failures.Failure | None], None]
        ] = []
        self._pool = connections.pool_manager(
            maxsize=POOL_CONNECTION_COUNT, retries=False, block=False
        )

    def get(self, kind: str, name: str) -> Stored | Absent | failures.Failure:
        """Read one object."""
        response = self._call('GET', kind, name)
        if isinstance(response, failures.Failure):
            return response
        if response.status == HTTP_NOT_FOUND:
            return Absent(name)
        return self._parse(response, Stored, 'get')

    def create(
        self, kind: str, name: str, value: Any
    ) -> Stored | Conflict | failures.Failure:
        """Write an object, unless one of this name exists."""
        return self._write(kind, name, value, {'If-None-Match': '*'})

    def update(
        self, kind: str, name: str, value: Any, revision: int
    ) -> Stored | Conflict | failures.Failure:
        """Write an object, if it is still at ``revision``."""
        return self._write(kind, name, value, {'If-Match': f'"{revision}"'})

    def delete(self, kind: str, name: str) -> failures.Failure | None:
        """Remove an object; a missing object is no error."""
        response = self._call('DELETE', kind, name)
        if isinstance(response, failures.Failure):
            return response
        if response.status in (HTTP_OK, HTTP_NOT_FOUND):
            return None
        detail = f'status {response.status}'
        return self._failure('delete', outcomes.Outcome.NOT_RUN, detail)

    def list(
        self, kind: str, start: str, limit: int, wait: float = 0.0
    ) -> list[Stored] | failures.Failure:
        """Read up to ``limit`` objects whose names are ``start`` or above.

        :param wait: seconds to wait for the first such object to appear
        """
        fields = {'start': start, 'limit': str(limit), 'wait': f'{wait:.3f}'}
        response = self._call(
            'GET', kind, fields=fields, timeout=TIMEOUT_SECONDS + wait
        )
        if isinstance(response, failures.Failure):
            return response
        listing = self._parse(response, Listing, 'list')
        if isinstance(listing, failures.Failure):
            return listing
        return listing.items

    def _write(
        self, kind: str, name: str, value: Any, condition: dict[str, str]
    ) -> Stored | Conflict | failures.Failure:
        body = msgspec.json.encode(value)
        response = self._call('PUT', kind, name, body=body, headers=condition)
        if isinstance(response, failures.Failure):
            return response
        if response.status == HTTP_PRECONDITION_FAILED:
            return Conflict(name)
        return self._parse(response, Stored, 'write')

    def _call(
        self, method: str, kind: str, name: str = '', **options: Any
    ) -> urllib3.BaseHTTPResponse | failures.Failure:
        began = timers.now()
        found = self._request(method, kind, name, **options)
        failure = found if isinstance(found, failures.Failure) else None
        for observer in self.call_observers:
            observer(f'{method} {kind}', timers.now() - began, failure)
        return found

    def _request(
        self,
        method: str,
        kind: str,
        name: str = '',
        timeout: float = TIMEOUT_SECONDS,
        **options: Any,
    ) -> urllib3.BaseHTTPResponse | failures.Failure:
        self.calls_by_kind[f'{method} {kind}'] += 1
        path = f'{self.url}/v1/objects/{kind}'
        if name:
            path = f'{path}/{name}'
        try:
            response = self._pool.request(
                method, path, timeout=timeout, retries=False, **options
            )
        except urllib3.exceptions.NewConnectionError as error:
            return self._failure(method, outcomes.Outcome.NOT_RUN, str(error))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return self._failure(method, outcomes.Outcome.UNKNOWN, str(error))
        if response.status == HTTP_TOO_MANY_REQUESTS:
            return self._failure(
                method, outcomes.Outcome.NOT_RUN, 'request rate limit exceeded'
            )
        if response.status >= 500:
            return self._failure(
                method, outcomes.Outcome.UNKNOWN, f'status {response.status}'
            )
        return response

    def _parse(
        self, response: urllib3.BaseHTTPResponse, kind: type, step: str
    ) -> Any:
        if response.status not in (HTTP_OK, HTTP_CREATED):
            detail = f'status {response.status}: {response.data[:200]!r}'
            return self._failure(step, outcomes.Outcome.NOT_RUN, detail)
        try:
            return msgspec.json.decode(response.data, type=kind)
        except (msgspec.DecodeError, RecursionError) as error:
            return self._failure(step, outcomes.Outcome.UNKNOWN, str(error))

    def _failure(
        self, step: str, outcome: outcomes.Outcome, detail: str
    ) -> failures.Failure:
        return failures.Failure(
            failures.Reason.STORE_UNAVAILABLE,
            f'store.{step.lower()}',
            self.url,
            detail,
            outcome,
        )
