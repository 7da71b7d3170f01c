"""Orders servers to hold layers, from one gateway at a time.

The holder of the planner lock sends the orders, and keeps the lock without
renewing it. Another gateway takes the lock over if orders are due and the
holder does not send them. The new holder's fencing number is greater, and
servers refuse orders with the old one.
"""

from collections.abc import Callable
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
from burdockmast.gateway import paths
from burdockmast.gateway import view

LOG = logs.get('planner')

POLL_SECONDS = 0.3
# Time until an order must show in the list of servers; after that, it may be
# sent again. A server with the most layers loads for 3 s, or longer if others
# load as well, and the list lags by up to 0.8 s.
ORDER_EFFECT_SECONDS = 8.0
# The same for an order that was refused or may not have arrived. A server
# accepts an order only with the right count of earlier orders, so that none is
# carried out twice.
FAILED_ORDER_RETRY_SECONDS = 1.0
# Time for which the number of listed servers must not change before servers of
# an empty fleet get their first layers: a plan for all servers is better than
# one for the first few. Servers list themselves within 4 s of their start.
STABLE_LIST_SECONDS = 0.8
MAX_STABLE_LIST_WAIT_SECONDS = 5.0
# Least time for which orders must be due until another gateway takes the lock
# over; the actual time is random, up to twice as long.
TAKEOVER_SECONDS = 2.0
# Time for which the last read of the lock counts as current, which must be
# less than TAKEOVER_SECONDS.
LOCK_CHECK_SECONDS = 1.0
# Refusals in a row of the same state of the lock from which it is stuck.
# Another gateway can have been first once, but then the state has changed.
STUCK_TAKEOVERS = 3
# Time for which a zone must lack layers before its servers get layer moves, so
# that a list which is written in parts is complete. A crashed server is back
# after some 4 s, and has its layers again some seconds later.
ZONE_GAP_SECONDS = 2.0
# The same if all servers of the zone would have to move.
ZONE_ARRANGE_SECONDS = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order that was sent to a server.

    :ivar started_ms: start of the server's incarnation that it was sent to
    :ivar expires_at: monotonic seconds until which it counts as pending
    """

    layers: backends.LayerRange
    started_ms: int
    expires_at: float


def _zone_gap_seconds(urgency: layer_placement.Urgency) -> float:
    """Return how long a zone must lack layers before an order is sent."""
    match urgency:
        case layer_placement.Urgency.LOW:
            return ZONE_ARRANGE_SECONDS
        case layer_placement.Urgency.MEDIUM:
            return ZONE_GAP_SECONDS
    return 0.0


class Planner:
    """Plans layer placements and orders them while this gateway has the lock.

    A few gateways without the lock plan as well, to notice a holder that
    fails. If all did, each order that is due would have all of them read the
    lock.

    :ivar refused_takeovers: refusals in a row of the same state of the lock,
        as if somebody else had acquired it meanwhile
    """

    def __init__(
        self,
        fleet: view.View,
        lock: interfaces.PlannerLock,
        engines: interfaces.EngineClient,
        instance: str,
        rng: random.Random,
        may_take_over: Callable[[], bool] = lambda: True,
    ):
        """Create a planner that does not hold the lock.

        :param instance: this gateway's name as holder of the lock
        :param may_take_over: returns whether this gateway is among the few
            that watch for a holder that fails
        """
        self._view = fleet
        self._lock = lock
        self._engines = engines
        self._instance = instance
        self._rng = rng
        self._may_take_over = may_take_over
        self.refused_takeovers = 0
        self._fencing_number: int | None = None
        self._waiting_since: float | None = None
        self._takeover_factor = 1.0
        self._lock_read_at = float('-inf')
        self._has_confirmed_lock = False
        self._waited_number = 0
        self._refused_state: interfaces.LockState | None = None
        self._zone_gap_since: float | None = None
        self._listed_count = 0
        self._count_changed_at = 0.0
        self._first_listed_at = 0.0
        self._order_by_server: dict[ids.ServerId, Order] = {}
        self._ordered_incarnations: set[tuple[ids.ServerId, int]] = set()

    def poll(self) -> None:
        """Send the orders that are due, if this gateway holds the lock."""
        if self._fencing_number is None and not self._may_take_over():
            self._waiting_since = None
            return
        self._drop_finished_orders()
        if not self._is_list_stable():
            return
        due = self._due_placements()
        if not due:
            self._waiting_since = None
            return
        if not self._ensure_lock():
            return
        pool = eventlet.GreenPool(len(due))
        for placement in due:
            pool.spawn_n(self._send_order, placement)
        pool.waitall()

    def _is_list_stable(self) -> bool:
        """Return whether enough servers are listed to plan.

        An empty fleet must be listed completely.
        """
        services = self._view.model_services()
        listed = [
            s for service in services for s in self._view.listed(service.id)
        ]
        if not listed or any(len(server.layers) for server in listed):
            return bool(listed)
        now = timers.now()
        if len(listed) != self._listed_count:
            self._listed_count = len(listed)
            self._count_changed_at = now
            self._first_listed_at = self._first_listed_at or now
        return (
            now - self._count_changed_at >= STABLE_LIST_SECONDS
            or now - self._first_listed_at >= MAX_STABLE_LIST_WAIT_SECONDS
        )

    def _due_placements(self) -> list[layer_placement.Placement]:
        """Return placements that are due.

        Those that only close the gaps of a zone are delayed.
        """
        pending = {
            server: order.layers
            for server, order in self._order_by_server.items()
        }
        placements = []
        for service in self._view.model_services():
            servers = self._view.listed(service.id)
            pause = self._view.pause_objective(service.id)
            placements += layer_placement.plan(
                service.engine,
                servers,
                pending,
                paths.delays_answers(service.engine, pause),
            )
        urgent = [
            placement
            for placement in placements
            if placement.urgency is layer_placement.Urgency.HIGH
        ]
        if urgent:
            return urgent
        if not placements:
            self._zone_gap_since = None
            return []
        now = timers.now()
        if self._zone_gap_since is None:
            self._zone_gap_since = now
        waited = now - self._zone_gap_since
        return [
            placement
            for placement in placements
            if waited >= _zone_gap_seconds(placement.urgency)
        ]

    def _drop_finished_orders(self) -> None:
        now = timers.now()
        for server_id, order in list(self._order_by_server.items()):
            server = self._view.server(server_id)
            is_gone = server is None or server.started_ms != order.started_ms
            if (
                is_gone
                or server.layers == order.layers
                or now > order.expires_at
            ):
                del self._order_by_server[server_id]

    def _ensure_lock(self) -> bool:
        """Return whether this gateway has the lock, acquiring it if due.

        A holder that can't read the store may have been replaced, so it must
        not send orders: servers without an order of the new holder would
        still accept them.
        """
        now = timers.now()
        if now >= self._lock_read_at + LOCK_CHECK_SECONDS:
            self._lock_read_at = now
            self._has_confirmed_lock = self._check_lock(now)
        return self._has_confirmed_lock and self._fencing_number is not None

    def _check_lock(self, now: float) -> bool:
        """Read the lock from the store, and acquire it if due."""
        state = self._lock.read()
        if isinstance(state, failures.Failure):
            self._log_failure(
                'planner lock not read; sending no orders', state
            )
            return False
        if state != self._refused_state:
            self.refused_takeovers = 0
        if self._fencing_number is not None:
            if state.fencing_number == self._fencing_number:
                return True
            self._drop_lock(f'acquired by {state.holder}')
        if state.fencing_number and not self._is_takeover_due(state, now):
            return False
        return self._acquire_lock(state)

    def _is_takeover_due(
        self, state: interfaces.LockState, now: float
    ) -> bool:
        """Return whether the holder has had enough time to send orders."""
        if state.holder == self._instance:
            return True
        if self._waiting_since is None:
            # The holder has known of a zone's gap for as long as this gateway.
            since = self._zone_gap_since or now
            self._start_waiting(state, max(since, now - ZONE_GAP_SECONDS))
        elif state.fencing_number != self._waited_number:
            self._start_waiting(state, now)
        wait_seconds = TAKEOVER_SECONDS * self._takeover_factor
        return now - self._waiting_since >= wait_seconds

    def _start_waiting(
        self, state: interfaces.LockState, since: float
    ) -> None:
        """Give a holder time to send orders, counted from ``since``."""
        self._waiting_since = since
        self._waited_number = state.fencing_number
        self._takeover_factor = self._rng.uniform(1, 2)

    def _acquire_lock(self, state: interfaces.LockState) -> bool:
        fencing_number = self._lock.acquire(state)
        if isinstance(fencing_number, failures.Failure):
            self._log_failure('planner lock not acquired', fencing_number)
            self._record_refusal(state, fencing_number)
            return False
        LOG.info(
            'planner lock acquired',
            extra={'fence': fencing_number, 'before': state.fencing_number},
        )
        self.refused_takeovers = 0
        self._fencing_number = fencing_number
        return True

    def _record_refusal(
        self, state: interfaces.LockState, failure: failures.Failure
    ) -> None:
        """Record that somebody else has acquired the lock, by the store.

        Then its state must have changed when it is read again.
        """
        if failure.reason is not failures.Reason.STORE_CONFLICT:
            return
        is_same = state == self._refused_state
        self.refused_takeovers = self.refused_takeovers + 1 if is_same else 1
        self._refused_state = state
        if self.refused_takeovers == STUCK_TAKEOVERS:
            LOG.error(
                'planner lock cannot be taken over; servers get no orders',
                extra={
                    'holder': state.holder,
                    'revision': state.revision,
                    'era': state.era,
                    'reason': failure.detail,
                },
            )

    def _drop_lock(self, reason: str) -> None:
        LOG.warning(
            'planner lock lost',
            extra={'fence': self._fencing_number, 'reason': reason},
        )
        self._fencing_number = None
        self._waiting_since = None

    def _send_order(self, placement: layer_placement.Placement) -> None:
        server, layers = placement.server, placement.layers
        fencing_number = self._fencing_number
        if fencing_number is None:
            return
        self._expect_layers(placement, ORDER_EFFECT_SECONDS)
        accepted_orders = self._accepted_orders(server)
        if isinstance(accepted_orders, failures.Failure):
            self._log_failure('order not sent; will retry', accepted_orders)
            self._expect_layers(placement, FAILED_ORDER_RETRY_SECONDS)
            return
        failure = self._engines.assign_layers(
            server, layers, fencing_number, accepted_orders
        )
        LOG.info(
            'order sent',
            extra={
                'server': server.id,
                'address': server.address,
                'first': layers.first,
                'end': layers.end,
                'fence': fencing_number,
                'orders': accepted_orders,
                'list_age': round(self._view.server_list_age, 3),
                'outcome': str(failure) if failure else 'accepted',
            },
        )
        if failure is None:
            return
        self._expect_layers(placement, FAILED_ORDER_RETRY_SECONDS)
        is_stale = failure.reason is failures.Reason.STALE_INCARNATION
        if is_stale and self._fencing_number == fencing_number:
            self._drop_lock(f'{server.id} has seen a higher fencing number')

    def _expect_layers(
        self, placement: layer_placement.Placement, seconds: float
    ) -> None:
        """Plan as if a server held its ordered layers, for some seconds."""
        server = placement.server
        self._order_by_server[server.id] = Order(
            placement.layers, server.started_ms, timers.now() + seconds
        )

    def _accepted_orders(
        self, server: backends.BackendServer
    ) -> int | failures.Failure:
        """Return how many orders a server has accepted.

        An empty server has mostly received no order yet, so the first order
        is sent to it without asking. A server that is still carrying out an
        order, of this holder of the lock or an earlier one, gets none: it
        would start over.
        """
        incarnation = (server.id, server.started_ms)
        is_first = incarnation not in self._ordered_incarnations and not len(
            server.layers
        )
        self._ordered_incarnations.add(incarnation)
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
                f'{server.id} is still carrying out order '
                f'{report.accepted_orders}',
            )
        return report.accepted_orders

    def _log_failure(self, message: str, failure: failures.Failure) -> None:
        LOG.warning(
            message, extra={'reason': failure.detail, 'step': failure.step}
        )
