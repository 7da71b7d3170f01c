"""The slots of the shared retry slack, each an object in the store."""

import pathlib

import msgspec
import urllib3

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import json_values
from burdockmast.base import logs
from burdockmast.base import timers
from burdockmast.gateway import interfaces
from burdockmast.platform import json_lists
from burdockmast.platform import numbers
from burdockmast.platform import store

LOG = logs.get('store')

KIND = 'burdockmast-retry-slots'
HTTP_CONFLICT = 409
BOOT_ID_PATH = pathlib.Path('/proc/sys/kernel/random/boot_id')
# Era of an object that can't be read: that of no answer of the store.
UNREADABLE_ERA = -1


class _Spec(msgspec.Struct, frozen=True):
    """``at`` makes each write a change of the object."""

    holder: str
    era: int
    at: float = 0.0
    unused_since: float | None = None
    boot: str = ''


class RetrySlotRegistry:
    """Reads and writes slots, each named by its number."""

    def __init__(self, client: store.Client):
        """Create the registry."""
        self._client = client
        self.boot = _boot_id()

    def list(
        self, is_fresh: bool = False
    ) -> interfaces.SlotListing | failures.Failure:
        """Return all slots; see ``interfaces.RetrySlotRegistry``."""
        record_by_number: dict[int, interfaces.SlotRecord] = {}
        page_query: dict[str, object] = {} if is_fresh else {'stale-ok': 1}
        query = page_query
        era = None
        while True:
            response = self._client.call('GET', KIND, query=query)
            decoded = self._client.decode_list(
                response, store.ListResponse, KIND, 'items'
            )
            if isinstance(decoded, failures.Failure):
                return decoded
            page, raw_items = decoded
            if era is None:
                era = store.era_of(response)
            elif era != store.era_of(response):
                return self._client.conflict(
                    KIND, 'store was restored during a listing'
                )
            for item in store.decode_objects(raw_items, KIND):
                number = numbers.parse_whole(item.metadata.name)
                if item.metadata.name == str(number):
                    record_by_number[number] = _record(item)
            if not page.has_more:
                return interfaces.SlotListing(era, record_by_number)
            after = self._client.last_name(raw_items, KIND)
            if isinstance(after, failures.Failure):
                return after
            query = {**page_query, 'after': after}

    def write(
        self,
        number: int,
        holder: str,
        era: int,
        before: interfaces.SlotRecord | None,
        unused_since: float | None = None,
    ) -> interfaces.SlotAnswer | failures.Failure:
        """Write a slot, unless somebody else did after ``before``."""
        name = str(number)
        spec = _Spec(holder, era, timers.now(), unused_since, self.boot)
        metadata: dict[str, object] = {'name': name}
        if before is None:
            response = self._client.call(
                'POST', KIND, body={'metadata': metadata, 'spec': spec}
            )
        else:
            metadata['revision'] = before.revision
            response = self._client.call(
                'PUT', KIND, name, body={'metadata': metadata, 'spec': spec}
            )
        if isinstance(response, failures.Failure):
            return response
        era = store.era_of(response)
        if response.status == HTTP_CONFLICT:
            return interfaces.SlotAnswer(_conflicting(response), era, False)
        found = self._client.decode_response(response, store.Object, KIND)
        if isinstance(found, failures.Failure):
            return found
        return interfaces.SlotAnswer(_record(found), era, True)


def _conflicting(
    response: urllib3.BaseHTTPResponse,
) -> interfaces.SlotRecord | None:
    """Return the present state of a slot, if the store tells it."""
    try:
        return _record(json_values.decode(response.data, store.Object))
    except json_lists.DECODE_ERRORS:
        return None


def _record(item: store.Object) -> interfaces.SlotRecord:
    try:
        spec = json_values.convert(item.spec, _Spec)
    except msgspec.ValidationError as error:
        LOG.warning(
            'retry slot cannot be decoded; treating it as held',
            extra={'name': item.metadata.name, 'reason': str(error)},
        )
        spec = _Spec('', UNREADABLE_ERA)
    return interfaces.SlotRecord(
        ids.Address(spec.holder),
        spec.era,
        item.metadata.revision,
        spec.unused_since,
        spec.boot,
    )


def _boot_id() -> str:
    """Return what names the boot of this machine, if the kernel tells it."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError:
        return ''
