"""Client of the platform's instance list.

Follows the platform's published interface. The list lags behind the actual
state, and its revision increases with each change that it shows.
"""

import msgspec
import urllib3

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import outcomes
from burdockmast.replies import connections

TIMEOUT_SECONDS = 2.0
HTTP_OK = 200


class ListedInstance(msgspec.Struct, frozen=True):
    """One instance in the list."""

    id: ids.PlatformInstance


class Listing(msgspec.Struct, frozen=True):
    """Instances in one state, at a revision of the list."""

    revision: int
    items: tuple[ListedInstance, ...]


class InstanceList:
    """The instance list of one platform, over HTTP."""

    def __init__(self, url: str):
        """Create a client; it connects at the first request.

        :param url: base URL of the instance list
        """
        self.url = url
        self._pool = connections.pool_manager(maxsize=1, retries=False)

    def list_draining(self) -> Listing | failures.Failure:
        """Read which instances the platform is about to remove."""
        try:
            response = self._pool.request(
                'GET',
                f'{self.url}/v1/instances',
                fields={'state': 'leaving'},
                timeout=TIMEOUT_SECONDS,
                retries=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return self._failure(str(error))
        if response.status != HTTP_OK:
            return self._failure(f'status {response.status}')
        try:
            return msgspec.json.decode(response.data, type=Listing)
        except (msgspec.DecodeError, RecursionError) as error:
            return self._failure(str(error))

    def _failure(self, detail: str) -> failures.Failure:
        return failures.Failure(
            failures.Reason.STORE_UNAVAILABLE,
            'instances.list',
            self.url,
            detail,
            outcomes.Outcome.NOT_RUN,
        )
