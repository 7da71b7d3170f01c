"""Orders to backend servers, and what they report."""

import msgspec
import urllib3

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import outcomes
from burdockmast.gateway import backends
from burdockmast.gateway import interfaces
from burdockmast.platform import headers

ORDER_PATH = '/api/order'
REPORT_PATH = '/api/report'
# Layers that a server gives up wait for the requests that pass through them.
STRATEGY = 'wait'
# Seconds for an answer; servers take some milliseconds.
TIMEOUT_SECONDS = 0.5
HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_FENCED = 412


class _Stalled(msgspec.Struct, frozen=True):
    """``address`` is the server that the request waits for."""

    id: str
    address: str


class _Report(msgspec.Struct, frozen=True, rename='kebab'):
    """A report.

    ``sequence`` counts the orders that were accepted since the start, and
    ``busy`` says that one is being carried out, not that requests run;
    ``kv_used`` and ``kv_total`` are in tokens times layers.
    """

    sequence: int = 0
    busy: bool = False
    pace: float = 1.0
    kv_used: float = 0.0
    kv_total: float = 0.0
    stalled: list[_Stalled] = []


class EngineClient:
    """The platform's calls to backend servers that run engines."""

    def __init__(self):
        """Create a client; each call has a connection of its own."""
        self._pool = urllib3.PoolManager(maxsize=1, retries=False)

    def assign_layers(
        self,
        server: backends.BackendServer,
        layers: backends.LayerRange,
        fencing_number: int,
        accepted_orders: int,
    ) -> failures.Failure | None:
        """Have a server hold other layers.

        :param accepted_orders: that it must have accepted so far
        """
        order = {
            'op': 'place',
            'from': layers.first,
            'to': layers.end,
            'strategy': STRATEGY,
            'fence': fencing_number,
            'expect': accepted_orders,
        }
        response = self._call(
            'POST', server, ORDER_PATH, msgspec.json.encode(order)
        )
        if isinstance(response, failures.Failure):
            return response
        match response.status:
            case status if status in (HTTP_OK, HTTP_ACCEPTED):
                return None
            case status if status == HTTP_FENCED:
                reason = failures.Reason.STALE_INCARNATION
            case _:
                reason = failures.Reason.ENGINE_REFUSED
        return failures.Failure(
            reason,
            'engine.place',
            server.id,
            f'status {response.status}: {response.data[:200]!r}',
        )

    def fetch_report(
        self, server: backends.BackendServer
    ) -> interfaces.ServerReport | failures.Failure:
        """Ask a server what it says of itself."""
        found = self._report(server)
        if isinstance(found, failures.Failure):
            return found
        total = found.kv_total
        return interfaces.ServerReport(
            accepted_orders=found.sequence,
            has_pending_order=found.busy,
            slowdown=found.pace,
            occupancy=found.kv_used / total if total else 0.0,
            stalled=tuple(
                interfaces.StalledRequest(
                    stalled.id, ids.Address(stalled.address)
                )
                for stalled in found.stalled
            ),
        )

    def _report(
        self, server: backends.BackendServer
    ) -> _Report | failures.Failure:
        response = self._call('GET', server, REPORT_PATH, None)
        if isinstance(response, failures.Failure):
            return response
        if response.status != HTTP_OK:
            return failures.Failure(
                failures.Reason.ENGINE_REFUSED,
                'engine.report',
                server.id,
                f'status {response.status}',
            )
        try:
            return msgspec.json.decode(response.data, type=_Report)
        except msgspec.MsgspecError as error:
            return failures.Failure(
                failures.Reason.PROTOCOL,
                'engine.report',
                server.id,
                str(error),
            )

    def _call(
        self,
        method: str,
        server: backends.BackendServer,
        path: str,
        body: bytes | None,
    ) -> urllib3.BaseHTTPResponse | failures.Failure:
        sent = {headers.EXPECTED_SERVER: server.id, 'Connection': 'close'}
        if body is not None:
            sent['Content-Type'] = 'application/json'
        try:
            return self._pool.request(
                method,
                f'http://{server.address}{path}',
                body=body,
                headers=sent,
                timeout=TIMEOUT_SECONDS,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return failures.Failure(
                failures.Reason.ENGINE_LOST,
                f'engine{path.replace("/api/", ".")}',
                server.id,
                str(error),
                outcomes.Outcome.UNKNOWN,
            )
