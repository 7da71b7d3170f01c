"""Which layers the engine is to hold, and holds.

The configuration alone decides, and its version is the fencing number of
every order. Not every engine checks that number. Beside one that doesn't, a
new process first makes sure that its configuration is no older than itself:
the process before it is gone, since it would still hold the slot's address,
so whatever that one ordered was accepted earlier.

When to change layers is agreed with the model's other servers, so that some
always hold each layer; see :mod:`burdockmast.fleet.layer_moves`.
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

RETRY_SECONDS = 0.5
# Seconds between looks whether the engine still holds its layers.
LOOK_SECONDS = 1.0
# Seconds between looks whether answers on the old layers have ended.
IDLE_SECONDS = 0.05


class Holding:
    """Keeps an engine's layers as the preset in force places them.

    Until it is this server's turn, answers go on and begin on the old
    layers. Then the side accepts no new ones, and when those that run have
    ended, the order follows.
    """

    def __init__(
        self,
        process: node.Node,
        engine_client: engine.Engine,
        checks_fence: bool,
        loads_at_once: int,
    ):
        """Create a keeper that has given no order yet.

        :param checks_fence: whether the engine refuses old numbers itself
        :param loads_at_once: servers of a model that load at the same time
        """
        self.held: engine.Held | None = None
        self.is_idle = lambda: True
        self.found_dead: Callable[[failures.Failure], None] = lambda _: None
        self._server = process.peers.hello.server
        self._engine = engine_client
        self._follower = process.follower
        self._events = process.events
        self._metrics = process.metrics
        self._peers = process.peers
        self._checks_fence = checks_fence
        self._started_at = timers.now()
        self._turns = layer_moves.MovePermits(
            process.store, self._server, loads_at_once
        )
        self._is_working = False
        self._is_moving = False
        self._is_looking = False
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

    def ranges(self) -> tuple[messages.LayerRange, ...]:
        """Return the layers that new answers may run on."""
        held = self.held
        if not held or self._is_moving:
            return ()
        return (messages.LayerRange(held.model, held.first, held.end),)

    def look(self) -> None:
        """Find out whether the engine has restarted between two calls."""
        if self._is_working or self._is_looking or not self.held:
            return
        self._is_looking = True
        try:
            status = self._engine.status()
        finally:
            self._is_looking = False
        if isinstance(status, failures.Failure):
            if status.outcome is outcomes.Outcome.NOT_RUN:
                # Nothing listens there: it is dead, not slow.
                self.found_dead(status)
            return
        if self._is_working:
            return
        if status.held != self.held:
            LOG.warning('The engine no longer holds {}.', self.held)
            self.reload()
            self._peers.send_heartbeats()

    def reload(self) -> None:
        """Order again what a restarted engine lost."""
        self.held = None
        self.reconcile()

    def reconcile(self, _: changes.Body | None = None) -> None:
        """Work towards what the configuration wants, in a task."""
        if not self._is_working and self._wanted() != self.held:
            self._is_working = True
            eventlet.spawn(self._work)

    def _wanted(self) -> engine.Held | None:
        placed = self._follower.configuration.placement(self._server)
        if not placed:
            return None
        return engine.Held(placed.model, placed.first, placed.end)

    def _work(self) -> None:
        try:
            while self._wanted() != self.held:
                self._approach()
        finally:
            self._is_working = False

    def _approach(self) -> None:
        """Take one step towards what is wanted."""
        status = self._engine.status()
        if isinstance(status, failures.Failure):
            return eventlet.sleep(RETRY_SECONDS)
        wanted = self._wanted()
        if status.held == wanted:
            return self._adopt(wanted)
        if status.held and not self._may_order():
            return eventlet.sleep(IDLE_SECONDS)
        leaves = self.held or status.held
        model = (leaves or wanted).model
        match self._turns.acquire(
            model, self._follower.configuration, bool(leaves)
        ):
            case layer_moves.RetryLater(seconds=seconds):
                self._metrics.count('moves.waited')
                eventlet.sleep(seconds)
            case failures.Failure() as failure if leaves:
                LOG.warning('No turn to change layers: {}.', failure)
                eventlet.sleep(RETRY_SECONDS)
            case layer_moves.Acquired() | failures.Failure():
                # Nobody waits for an engine that holds nothing, so it may
                # load even while the store is out.
                self._move(model)

    def _move(self, model: ids.ModelId) -> None:
        """Change layers in this server's turn."""
        self._is_moving = True
        self._events.add('engine.moving', model=model)
        eventlet.spawn(self._renew, model)
        self._peers.send_heartbeats()
        try:
            while not self.is_idle():
                eventlet.sleep(IDLE_SECONDS)
            self._order()
        finally:
            self._is_moving = False
        self._tell(model)
        self._peers.send_heartbeats()

    def _renew(self, model: ids.ModelId) -> None:
        while True:
            eventlet.sleep(layer_moves.RENEW_SECONDS)
            if not self._is_moving:
                return
            self._turns.renew(model)

    def _tell(self, *models: ids.ModelId) -> None:
        """Tell models' other servers what is held here now."""
        if self.held:
            models = (*models, self.held.model)
        for model in set(models):
            eventlet.spawn(self._tell_one, model)

    def _tell_one(self, model: ids.ModelId) -> None:
        while True:
            held = self.held
            is_held = held is not None and held.model == model
            span = layer_moves.Span(held.first, held.end) if is_held else None
            if self._turns.release(model, span):
                return
            eventlet.sleep(RETRY_SECONDS)

    def _adopt(self, held: engine.Held) -> None:
        self._hold(held, 'engine.adopted')
        self._tell()
        self._peers.send_heartbeats()

    def _may_order(self) -> bool:
        return self._checks_fence or (
            self._follower.fresh_at >= self._started_at
        )

    def _hold(self, held: engine.Held | None, what: str) -> None:
        self.held = held
        self._events.add(
            what,
            fence=self._follower.version,
            first=held.first if held else 0,
            end=held.end if held else 0,
        )

    def _order(self) -> None:
        """Give the order that the newest configuration asks for."""
        wanted = self._wanted()
        if wanted is None:
            return self._hold(None, 'engine.left')
        version = self._follower.version
        match self._engine.order(version, wanted):
            case engine.Done():
                self._hold(wanted, 'engine.ordered')
            case failures.Failure() as failure:
                LOG.warning('Order {} failed: {}.', version, failure)
                eventlet.sleep(RETRY_SECONDS)
        return None
