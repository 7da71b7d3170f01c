"""Reconciles the layers that the engine holds with the configuration.

The configuration alone decides which layers these are, and its version is the
fencing number of every order. Not every engine checks that number. Beside one
that doesn't, a new process first waits until its configuration is no older
than the process itself. Its predecessor has exited, since it would still hold
the peer address, so every configuration that it acted on was accepted before
this process started.

The model's servers use move permits to agree on when each changes its layers,
so that every layer is always held by some; see
:mod:`burdockmast.fleet.layer_moves`.
"""

from collections.abc import Callable

import eventlet

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.fleet import changes
from burdockmast.fleet import layer_moves
from burdockmast.node import node
from burdockmast.side import engine
from burdockmast.wire import messages

LOG = logs.get('holding')

# Delay before a failed call to the engine or the store is repeated.
RETRY_DELAY_SECONDS = 0.5
# Interval between checks that the engine still holds its layers.
POLL_SECONDS = 1.0
# Interval between checks whether answers on the old layers have ended.
IDLE_POLL_SECONDS = 0.05


class LayerReconciler:
    """Makes an engine hold the layers that the preset in force assigns.

    Until this server has a move permit, it runs and accepts answers on the old
    layers. Once it has one, it accepts no more answers, and orders the new
    layers when the running answers have ended.
    """

    def __init__(
        self,
        process: node.Node,
        engine_client: engine.Client,
        checks_fence: bool,
        max_concurrent_loads: int,
    ):
        """Create a reconciler that has sent no order yet.

        :param checks_fence: whether the engine refuses old fencing numbers
        :param max_concurrent_loads: servers of a model that may load at once
        """
        self.held: engine.HeldLayers | None = None
        self.is_idle = lambda: True
        self.on_engine_unreachable: Callable[[failures.Failure], None] = (
            lambda _: None
        )
        self._server = process.peers.hello.server
        self._engine = engine_client
        self._follower = process.follower
        self._events = process.events
        self._metrics = process.metrics
        self._peers = process.peers
        self._checks_fence = checks_fence
        self._started_at = timers.now()
        self._permits = layer_moves.MovePermits(
            process.store, self._server, max_concurrent_loads
        )
        self._is_reconciling = False
        self._is_moving = False
        self._is_polling = False
        self._follower.subscribers.append(self.reconcile)

    def covers(self, model: ids.ModelId, first: int, end: int) -> bool:
        """Tell whether new answers may run these layers here."""
        held = self.held
        return (
            held is not None
            and not self._is_moving
            and held.model == model
            and held.first <= first
            and end <= held.end
        )

    def serving_ranges(self) -> tuple[messages.LayerRange, ...]:
        """Return the layer ranges that new answers may run on."""
        held = self.held
        if not held or self._is_moving:
            return ()
        return (messages.LayerRange(held.model, held.first, held.end),)

    def poll_engine(self) -> None:
        """Check whether the engine has died, or restarted without layers."""
        if self._is_reconciling or self._is_polling or not self.held:
            return
        self._is_polling = True
        try:
            status = self._engine.status()
        finally:
            self._is_polling = False
        if isinstance(status, failures.Failure):
            if status.outcome is outcomes.Outcome.NOT_RUN:
                # The connection was refused: the engine is down, not slow.
                self.on_engine_unreachable(status)
            return
        if self._is_reconciling:
            return
        if status.held != self.held:
            LOG.warning('Engine no longer holds {}, loading again.', self.held)
            self.reload()
            self._peers.send_heartbeats()

    def reload(self) -> None:
        """Load the layers again after the engine has lost them."""
        self.held = None
        self.reconcile()

    def reconcile(self, _: changes.Body | None = None) -> None:
        """Start a task that reconciles the layers, unless one is running."""
        if not self._is_reconciling and self._wanted_layers() != self.held:
            self._is_reconciling = True
            eventlet.spawn(self._reconcile_until_done)

    def _wanted_layers(self) -> engine.HeldLayers | None:
        placed = self._follower.configuration.placement(self._server)
        if not placed:
            return None
        return engine.HeldLayers(placed.model, placed.first, placed.end)

    def _reconcile_until_done(self) -> None:
        try:
            while self._wanted_layers() != self.held:
                self._reconcile_once()
        finally:
            self._is_reconciling = False

    def _reconcile_once(self) -> None:
        """Take one step towards the wanted layers."""
        status = self._engine.status()
        if isinstance(status, failures.Failure):
            return eventlet.sleep(RETRY_DELAY_SECONDS)
        wanted = self._wanted_layers()
        if status.held == wanted:
            return self._adopt(wanted)
        if status.held and not self._may_order():
            return eventlet.sleep(IDLE_POLL_SECONDS)
        dropped = self.held or status.held
        model = (dropped or wanted).model
        match self._permits.acquire(
            model, self._follower.configuration, bool(dropped)
        ):
            case layer_moves.RetryLater(seconds=seconds):
                self._metrics.count('moves.waited')
                eventlet.sleep(seconds)
            case failures.Failure() as failure if dropped:
                LOG.warning('Move permit not acquired, retrying: {}.', failure)
                eventlet.sleep(RETRY_DELAY_SECONDS)
            case layer_moves.Acquired() | failures.Failure():
                # No answers depend on an engine that holds no layers, so it
                # may load even while the store is unavailable.
                self._move(model)

    def _move(self, model: ids.ModelId) -> None:
        """Wait until running answers have ended, then change layers."""
        self._is_moving = True
        self._events.add('engine.moving', model=model)
        eventlet.spawn(self._renew_permit, model)
        self._peers.send_heartbeats()
        try:
            while not self.is_idle():
                eventlet.sleep(IDLE_POLL_SECONDS)
            self._order_layers()
        finally:
            self._is_moving = False
        self._record_held(model)
        self._peers.send_heartbeats()

    def _renew_permit(self, model: ids.ModelId) -> None:
        while True:
            eventlet.sleep(layer_moves.RENEW_SECONDS)
            if not self._is_moving:
                return
            self._permits.renew(model)

    def _record_held(self, *models: ids.ModelId) -> None:
        """Record the held layers in the store, and release move permits."""
        if self.held:
            models = (*models, self.held.model)
        for model in set(models):
            eventlet.spawn(self._record_held_of, model)

    def _record_held_of(self, model: ids.ModelId) -> None:
        while True:
            held = self.held
            is_held = held is not None and held.model == model
            span = layer_moves.Span(held.first, held.end) if is_held else None
            if self._permits.release(model, span):
                return
            eventlet.sleep(RETRY_DELAY_SECONDS)

    def _adopt(self, held: engine.HeldLayers) -> None:
        self._set_held(held, 'engine.adopted')
        self._record_held()
        self._peers.send_heartbeats()

    def _may_order(self) -> bool:
        return self._checks_fence or (
            self._follower.fresh_at >= self._started_at
        )

    def _set_held(self, held: engine.HeldLayers | None, event: str) -> None:
        self.held = held
        self._events.add(
            event,
            fence=self._follower.version,
            first=held.first if held else 0,
            end=held.end if held else 0,
        )

    def _order_layers(self) -> None:
        """Order the layers that the newest configuration assigns."""
        wanted = self._wanted_layers()
        if wanted is None:
            return self._set_held(None, 'engine.left')
        version = self._follower.version
        match self._engine.load_layers(version, wanted):
            case engine.LayersLoaded():
                self._set_held(wanted, 'engine.ordered')
            case failures.Failure() as failure:
                LOG.warning(
                    'Order of version {} failed, retrying: {}.',
                    version,
                    failure,
                )
                eventlet.sleep(RETRY_DELAY_SECONDS)
        return None
