"""Orders servers to hold layers, from one process at a time.

Whoever holds the seat gives orders, and keeps it without renewing it.
Another process takes it over when it sees that what is needed does not
happen. Its fencing number is higher, and servers refuse the older one.
"""

import dataclasses
import random

import eventlet

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import interfaces
from burdockmast.gateway import layer_placement
from burdockmast.gateway import view

LOG = logs.get('planner')

# Seconds between looks at what servers hold.
POLL_SECONDS = 0.3
# Seconds until the effect of an order shows in the list; then the order may
# be given again. A server with the most layers loads 3 s, longer if others
# load as well; lists lag by up to 0.8 s.
ORDER_SECONDS = 8.0
# The same for an order that was refused, or may not have arrived. A server
# carries out only the order whose count it expects, so none is done twice.
FAILED_ORDER_SECONDS = 1.0
# Seconds for which the list must stand still before a fleet that holds
# nothing is given its first layers: a plan for all servers is better than
# one for the first few. Servers list themselves within 4 s of their start.
SETTLE_SECONDS = 0.8
SETTLE_LIMIT_SECONDS = 5.0
# Seconds for which a need must last until another process takes the seat.
TAKEOVER_SECONDS = 2.0
# Seconds for which the seat is taken to be as it was seen last; less than
# another process waits until it takes it.
LOCK_CHECK_SECONDS = 1.0
# Seconds for which a zone must lack layers until servers are moved for it, so
# that a list which is written in parts is whole. A server that crashed is back
# after some 4 s, but until then each prompt of the zone crosses to others.
ZONE_GAP_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order that was given.

    :ivar until: monotonic seconds for which its effect is awaited
    """

    layers: backends.LayerRange
    started_ms: int
    until: float


class Planner:
    """The planning part of one gateway."""

    def __init__(
        self,
        fleet: view.View,
        seat: interfaces.PlannerLock,
        engines: interfaces.EngineClient,
        instance: str,
        source: random.Random,
    ):
        """Create a planner that holds no seat.

        :param instance: this gateway's name as holder of the seat
        """
        self._view = fleet
        self._seat = seat
        self._engines = engines
        self._instance = instance
        self._random = source
        self._fence: int | None = None
        self._needed_since: float | None = None
        self._spread = 1.0
        self._seen_at = float('-inf')
        self._is_confirmed = False
        self._seen_revision = 0
        self._lacking_since: float | None = None
        self._listed = 0
        self._listed_at = 0.0
        self._first_listed_at = 0.0
        self._order_by_server: dict[ids.ServerId, Order] = {}
        self._ordered: set[tuple[ids.ServerId, int]] = set()

    def poll(self) -> None:
        """Give the orders that are due, if this process is to give them."""
        self._forget_done()
        if not self._has_settled():
            return
        wanted = self._wanted()
        if not wanted:
            self._needed_since = None
            return
        if not self._may_order():
            return
        pool = eventlet.GreenPool(len(wanted))
        for placement in wanted:
            pool.spawn_n(self._order, placement)
        pool.waitall()

    def _has_settled(self) -> bool:
        """Tell whether a fleet that holds nothing is listed completely."""
        services = self._view.model_services()
        listed = [s for found in services for s in self._view.listed(found.id)]
        if not listed or any(len(server.layers) for server in listed):
            return bool(listed)
        now = timers.now()
        if len(listed) != self._listed:
            self._listed = len(listed)
            self._listed_at = now
            self._first_listed_at = self._first_listed_at or now
        return (
            now - self._listed_at >= SETTLE_SECONDS
            or now - self._first_listed_at >= SETTLE_LIMIT_SECONDS
        )

    def _wanted(self) -> list[layer_placement.Placement]:
        """Return placements that are due; moves for a zone have time."""
        pending = {
            server: order.layers
            for server, order in self._order_by_server.items()
        }
        found = []
        for service in self._view.model_services():
            servers = self._view.listed(service.id)
            found += layer_placement.plan(service.engine, servers, pending)
        urgent = [placement for placement in found if placement.is_urgent]
        if urgent or not found:
            self._lacking_since = None
            return urgent
        now = timers.now()
        if self._lacking_since is None:
            self._lacking_since = now
        return found if now - self._lacking_since >= ZONE_GAP_SECONDS else []

    def _forget_done(self) -> None:
        now = timers.now()
        for server_id, order in list(self._order_by_server.items()):
            server = self._view.server(server_id)
            gone = server is None or server.started_ms != order.started_ms
            if gone or server.layers == order.layers or now > order.until:
                del self._order_by_server[server_id]

    def _may_order(self) -> bool:
        """Tell whether this process has the seat, taking it if it is due.

        A holder that can't read the store may have been replaced: servers
        that the new holder has not ordered yet would still obey it.
        """
        now = timers.now()
        if now >= self._seen_at + LOCK_CHECK_SECONDS:
            self._seen_at = now
            self._is_confirmed = self._has_seat(now)
        return self._is_confirmed and self._fence is not None

    def _has_seat(self, now: float) -> bool:
        """Ask the store who has the seat, and take it if it is due."""
        seen = self._seat.read()
        if isinstance(seen, failures.Failure):
            self._log_failure('seat not read', seen)
            return False
        if self._fence is not None:
            if seen.revision == self._fence:
                return True
            self._lose_seat(f'{seen.holder} has taken it')
        if seen.revision and not self._is_due(seen, now):
            return False
        return self._take_seat(seen)

    def _is_due(self, seen: interfaces.LockState, now: float) -> bool:
        """Tell whether the holder has had its time for what is needed."""
        if seen.holder == self._instance:
            return True
        if self._needed_since is None:
            # The holder has known of a zone's lack for as long as this one.
            self._wait_for(seen, self._lacking_since or now)
        elif seen.revision != self._seen_revision:
            self._wait_for(seen, now)
        patience = TAKEOVER_SECONDS * self._spread
        return now - self._needed_since >= patience

    def _wait_for(self, seen: interfaces.LockState, since: float) -> None:
        """Give a holder time, counted from ``since``."""
        self._needed_since = since
        self._seen_revision = seen.revision
        self._spread = self._random.uniform(1, 2)

    def _take_seat(self, seen: interfaces.LockState) -> bool:
        taken = self._seat.acquire(seen.revision)
        if isinstance(taken, failures.Failure):
            self._log_failure('seat not taken', taken)
            return False
        LOG.info('seat taken', extra={'fence': taken, 'before': seen.revision})
        self._fence = taken
        return True

    def _lose_seat(self, why: str) -> None:
        LOG.warning('seat lost', extra={'fence': self._fence, 'reason': why})
        self._fence = None
        self._needed_since = None

    def _order(self, placement: layer_placement.Placement) -> None:
        server, layers = placement.server, placement.layers
        fence = self._fence
        if fence is None:
            return
        self._await_effect(placement, ORDER_SECONDS)
        orders = self._orders(server)
        if isinstance(orders, failures.Failure):
            self._log_failure('order not given', orders)
            self._await_effect(placement, FAILED_ORDER_SECONDS)
            return
        failure = self._engines.assign_layers(server, layers, fence, orders)
        LOG.info(
            'order given',
            extra={
                'server': server.id,
                'address': server.address,
                'first': layers.first,
                'end': layers.end,
                'fence': fence,
                'orders': orders,
                'list_age': round(self._view.server_list_age, 3),
                'outcome': str(failure) if failure else 'accepted',
            },
        )
        if failure is None:
            return
        self._await_effect(placement, FAILED_ORDER_SECONDS)
        is_stale = failure.reason is failures.Reason.STALE_INCARNATION
        if is_stale and self._fence == fence:
            self._lose_seat(f'{server.id} has seen a higher number')

    def _await_effect(
        self, placement: layer_placement.Placement, seconds: float
    ) -> None:
        """Take a server to hold what it was ordered to, for a while."""
        server = placement.server
        self._order_by_server[server.id] = Order(
            placement.layers, server.started_ms, timers.now() + seconds
        )

    def _orders(
        self, server: backends.BackendServer
    ) -> int | failures.Failure:
        """Return how many orders a server has accepted, asking if need be.

        A server that holds nothing has mostly got no order yet. One that is
        still carrying out an order, of an earlier holder of the seat or of
        this one, would begin anew.
        """
        start = (server.id, server.started_ms)
        is_first = start not in self._ordered and not len(server.layers)
        self._ordered.add(start)
        if is_first:
            return 0
        report = self._engines.fetch_report(server)
        if isinstance(report, failures.Failure):
            return report
        if report.has_pending_order:
            return failures.Failure(
                failures.Reason.ENGINE_REFUSED,
                'engine.report',
                server.id,
                f'{server.id} still carries out order '
                f'{report.accepted_orders}',
            )
        return report.accepted_orders

    def _log_failure(self, what: str, failure: failures.Failure) -> None:
        LOG.warning(
            what, extra={'reason': failure.detail, 'step': failure.step}
        )
