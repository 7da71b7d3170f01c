"""Client of the platform's instance list.

Source: the platform's published interface. The list lags behind what
happens, and its revision goes up with each change that it shows.
"""

import msgspec
import urllib3

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import outcomes

TIMEOUT_SECONDS = 2.0
HTTP_OK = 200


class ListedInstance(msgspec.Struct, frozen=True):
    """One instance as the list shows it."""

    id: ids.PlatformInstance


class Listing(msgspec.Struct, frozen=True):
    """Instances of one state, as of a revision of the list."""

    revision: int
    items: tuple[ListedInstance, ...]


class InstanceList:
    """The instance list of one platform, over HTTP."""

    def __init__(self, url: str):
        """Create a client; it connects when it is used.

        :param url: base of the instance list
        """
        self.url = url
        self._pool = urllib3.PoolManager(maxsize=1, retries=False)

    def list_draining(self) -> Listing | failures.Failure:
        """Read which instances are leaving."""
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
        except msgspec.DecodeError as error:
            return self._failure(str(error))

    def _failure(self, detail: str) -> failures.Failure:
        return failures.Failure(
            failures.Reason.STORE_UNAVAILABLE,
            'instances.list',
            self.url,
            detail,
            outcomes.Outcome.NOT_RUN,
        )
