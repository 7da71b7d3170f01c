"""Stand-in for a plain service that counts how often each call ran."""

import collections

import eventlet
import msgspec

from burdockmast.standins import web


class PlainService:
    """Echoes calls and counts runs by idempotency key and body."""

    def __init__(self, work_seconds: float):
        """Create a service.

        :param work_seconds: time that each call takes
        """
        self._work_seconds = work_seconds
        self._runs_by_key: collections.Counter[str] = collections.Counter()

    def handle(self, environ: dict, body: bytes) -> web.Reply:
        """Serve one call."""
        if environ['PATH_INFO'] == '/runs':
            return 200, dict(self._runs_by_key), {}
        key = environ.get('HTTP_IDEMPOTENCY_KEY') or body.decode()
        # Counted before the work: a cut caller can't undo a run.
        self._runs_by_key[key] += 1
        eventlet.sleep(self._work_seconds)
        result = {
            'path': environ['PATH_INFO'],
            'method': environ['REQUEST_METHOD'],
            'body': body.decode(),
            'run': self._runs_by_key[key],
        }
        return 200, msgspec.to_builtins(result), {}
