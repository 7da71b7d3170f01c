"""Sends orders to backend servers and fetches their reports."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from burdockmast.base import addresses
from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import json_values
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import interfaces
from burdockmast.gateway import upstream
from burdockmast.platform import headers
from burdockmast.platform import json_lists
from burdockmast.platform import servers

ORDER_PATH = '/api/order'
REPORT_PATH = '/api/report'
# A server that gives up layers keeps them until the requests that pass through
# them have ended.
RELEASE_STRATEGY = 'wait'
# Timeout of a call, for the head and the body of its response each; servers
# answer within some milliseconds.
TIMEOUT_SECONDS = 0.5
REPORT_TIMEOUT_SECONDS = 0.3
PATH_TIMEOUT_SECONDS = 0.3
# Largest response that is read.
MAX_RESPONSE_BYTES = 1024 * 1024
# Largest slowdown of a server that may still answer.
MAX_PACE = 10000.0
HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_FENCED = 412


class _StalledRequest(msgspec.Struct, frozen=True):
    """A request that waits for the server at ``address``."""

    id: str
    address: str


class _Report(msgspec.Struct, frozen=True, rename='kebab'):
    """A backend server's report.

    :ivar sequence: number of orders that it accepted since its start
    :ivar busy: an order is being carried out; unrelated to running requests
    :ivar pace: how many times longer than usual the same work takes
    :ivar kv_used: in tokens times layers
    :ivar kv_total: in tokens times layers
    """

    sequence: int = 0
    busy: bool = False
    pace: float = 1.0
    kv_used: float = 0.0
    kv_total: float = 0.0
    stalled: list[_StalledRequest] = []

    @property
    def is_plausible(self) -> bool:
        """Whether a sound server may report these values."""
        return (
            0 <= self.sequence <= servers.MAX_INTEGER
            and 0 < self.pace <= MAX_PACE
            and self.kv_used >= 0
            and self.kv_total >= 0
            and all(addresses.parse(s.address) for s in self.stalled)
        )


class _Conflict(msgspec.Struct, frozen=True):
    """Why a server can't carry out an order: the server at ``address``."""

    address: str = ''


class _Response(NamedTuple):
    """A complete response of a server."""

    status: int
    data: bytes


class EngineClient:
    """Calls the backend servers that run engines."""

    def __init__(self):
        """Create a client that opens a new connection for each call."""
        self._header_codec = headers.HeaderCodec()

    def assign_layers(
        self,
        server: backends.BackendServer,
        layers: backends.LayerRange,
        fencing_number: int,
        accepted_orders: int,
    ) -> failures.Failure | None:
        """Order a server to hold other layers.

        :param accepted_orders: the server refuses the order unless it has
            accepted exactly this many
        """
        order = {
            'op': 'place',
            'from': layers.first,
            'to': layers.end,
            'strategy': RELEASE_STRATEGY,
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

    def change_path(
        self, request: ids.RequestId, path: tuple[backends.Stage, ...]
    ) -> failures.Failure | None:
        """Order the first server of a running request to change its path."""
        server = path[0].server
        order = {
            'op': 'repath',
            'id': request,
            'path': headers.format_path(path),
        }
        response = self._call(
            'POST',
            server,
            ORDER_PATH,
            msgspec.json.encode(order),
            PATH_TIMEOUT_SECONDS,
        )
        if isinstance(response, failures.Failure):
            return response
        if response.status in (HTTP_OK, HTTP_ACCEPTED):
            return None
        return failures.Failure(
            failures.Reason.ENGINE_REFUSED,
            'engine.path',
            _named_address(response.data) or server.address,
            f'status {response.status}: {response.data[:200]!r}',
        )

    def fetch_report(
        self,
        server: backends.BackendServer,
        should_keep_waiting: Callable[[], bool] | None = None,
    ) -> interfaces.ServerReport | failures.Failure:
        """Fetch a server's report.

        :param should_keep_waiting: called again and again while the answer
            is late; true waits on
        """
        report = self._report(server, should_keep_waiting)
        if isinstance(report, failures.Failure):
            return report
        total_kv = report.kv_total
        return interfaces.ServerReport(
            accepted_orders=report.sequence,
            has_pending_order=report.busy,
            slowdown=report.pace,
            occupancy=report.kv_used / total_kv if total_kv else 0.0,
            stalled=tuple(
                interfaces.StalledRequest(
                    stalled.id, ids.Address(stalled.address)
                )
                for stalled in report.stalled
            ),
        )

    def _report(
        self,
        server: backends.BackendServer,
        should_keep_waiting: Callable[[], bool] | None,
    ) -> _Report | failures.Failure:
        response = self._call(
            'GET',
            server,
            REPORT_PATH,
            None,
            REPORT_TIMEOUT_SECONDS,
            should_keep_waiting,
        )
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
            report = json_values.decode(response.data, _Report)
        except json_lists.DECODE_ERRORS as error:
            detail = str(error)
        else:
            if report.is_plausible:
                return report
            detail = f'values out of range: {response.data[:200]!r}'
        return failures.Failure(
            failures.Reason.PROTOCOL, 'engine.report', server.id, detail
        )

    def _call(
        self,
        method: str,
        server: backends.BackendServer,
        path: str,
        body: bytes | None,
        timeout: float = TIMEOUT_SECONDS,
        should_keep_waiting: Callable[[], bool] | None = None,
    ) -> _Response | failures.Failure:
        sent = [
            ('Host', server.address),
            (headers.EXPECTED_SERVER, server.id),
        ]
        if body is not None:
            sent.append(('Content-Type', 'application/json'))
        exchange = upstream.Exchange(server)
        try:
            failure = exchange.send_bytes(method, path, sent, body or b'')
            if failure:
                return failure
            head = exchange.read_head(
                '',
                timers.now() + timeout,
                self._header_codec,
                should_keep_waiting,
            )
            if isinstance(head, failures.Failure):
                return head
            data = exchange.read_body(
                timers.now() + timeout, MAX_RESPONSE_BYTES
            )
            return _Response(head.status, data)
        except (upstream.IncompleteReply, TimeoutError) as error:
            return failures.Failure(
                failures.Reason.ENGINE_LOST,
                f'engine{path.replace("/api/", ".")}',
                server.id,
                str(error),
                outcomes.Outcome.UNKNOWN,
            )
        finally:
            exchange.close()


def _named_address(data: bytes) -> str:
    """Return the address in the body of a refusal, empty if there is none."""
    try:
        return json_values.decode(data, _Conflict).address
    except json_lists.DECODE_ERRORS:
        return ''
