"""A store within the test's process."""

from urllib import parse

import msgspec

from burdockmast.base import outcomes
from burdockmast.standins import objectapi
from burdockmast.store import objects


class Response:
    """A reply of the store's stand-in, as an HTTP library has it."""

    def __init__(self, status, value):
        self.status = status
        self.data = msgspec.json.encode(value)


class Store(objects.ObjectClient):
    """A store in this process; as many answers to writes as ``lost`` are."""

    def __init__(self):
        super().__init__('http://127.0.0.1:9')
        self.api = objectapi.ObjectApi(1e9, 1e9)
        self.lost = 0
        self.calls = 0

    def _call(
        self, method, kind, name='', body=b'', headers=None, fields=None, **_
    ):
        self.calls += 1
        environ = {
            'REQUEST_METHOD': method,
            'PATH_INFO': f'/v1/objects/{kind}/{name}',
            'QUERY_STRING': parse.urlencode(fields or {}),
        }
        for header, value in (headers or {}).items():
            environ['HTTP_' + header.upper().replace('-', '_')] = value
        status, value, _ = self.api.handle(environ, body)
        if self.lost and method == 'PUT':
            self.lost -= 1
            return self._failure('write', outcomes.Outcome.UNKNOWN, 'lost')
        return Response(status, value)
