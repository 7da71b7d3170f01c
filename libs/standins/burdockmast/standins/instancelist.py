"""Stand-in for the platform's instance list, which lags."""

import time
import urllib.parse

import msgspec

from burdockmast.standins import web

LIVE = 'live'


class InstanceList:
    """Instances by id and state, shown as they were some time ago."""

    def __init__(self, lag: float):
        """Create an empty list.

        :param lag: seconds until a change is shown
        """
        self._lag = lag
        # (seconds at which it is shown, state by id) for each revision.
        self._history: list[tuple[float, dict[str, str]]] = [(0.0, {})]

    def handle(self, environ: dict, body: bytes) -> web.Reply:
        """Serve one call."""
        parts = environ['PATH_INFO'].strip('/').split('/')
        if parts[:2] != ['v1', 'instances']:
            return 404, {}, {}
        if environ['REQUEST_METHOD'] == 'PUT' and len(parts) == 3:
            return self._put(parts[2], msgspec.json.decode(body, type=str))
        return self._list(environ)

    def _put(self, name: str, state: str) -> web.Reply:
        states = {**self._history[-1][1], name: state}
        self._history.append((time.monotonic() + self._lag, states))
        return 200, {'revision': len(self._history) - 1}, {}

    def _list(self, environ: dict) -> web.Reply:
        query = dict(urllib.parse.parse_qsl(environ['QUERY_STRING']))
        wanted = query.get('state', LIVE)
        now = time.monotonic()
        revision = max(
            number
            for number, (shown_at, _) in enumerate(self._history)
            if shown_at <= now
        )
        states = self._history[revision][1]
        items = [{'id': n} for n, state in states.items() if state == wanted]
        return 200, {'revision': revision, 'items': items}, {}
