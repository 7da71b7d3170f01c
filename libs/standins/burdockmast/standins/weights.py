"""Stand-in for the rate-limited store of model weights."""

import eventlet
import urllib3

from burdockmast.standins import rates
from burdockmast.standins import web

HTTP_OK = 200
# Seconds until a layer that was refused is asked for again.
RETRY_SECONDS = 0.05


class WeightStore:
    """Gives layers at a limited rate, and counts them."""

    def __init__(self, layers_per_second: float):
        """Create a store."""
        self._rate = rates.Rate(layers_per_second)
        self._given = 0

    def handle(self, environ: dict, body: bytes) -> web.Reply:
        """Serve one call."""
        path = environ['PATH_INFO']
        if path == '/counts':
            return 200, {'given': self._given}, {}
        if not path.startswith('/v1/weights/'):
            return 404, {}, {}
        if not self._rate.take():
            return 429, {}, {'Retry-After': '1'}
        self._given += 1
        return 200, {}, {}


class Loader:
    """Loads layers for an engine, one after another."""

    def __init__(self, seconds_per_layer: float, store_url: str):
        """Create a loader.

        :param store_url: empty to load without a store
        """
        self._seconds_per_layer = seconds_per_layer
        self._store_url = store_url
        self._pool = urllib3.PoolManager(retries=False)

    def load(self, model: str, layer: int) -> None:
        """Return when a layer has been loaded."""
        if self._store_url:
            url = f'{self._store_url}/v1/weights/{model}/{layer}'
            while self._pool.request('GET', url).status != HTTP_OK:
                eventlet.sleep(RETRY_SECONDS)
        if self._seconds_per_layer:
            eventlet.sleep(self._seconds_per_layer)
