"""Whose turn it is to change layers.

Loading takes long, and the weight store is rate-limited. If all servers of a
model changed layers at once, nobody would serve meanwhile. So an object of
the store tells for each model which server holds which layers and whose turn
it is. A side takes a turn by a conditional update, if few others have one and
the rest still holds every layer.

A turn is no lease: whoever believes to have one and has not does no harm but
to the pace. One that is not renewed for a while lapses.
"""

from collections.abc import Callable
import dataclasses
import random

import eventlet
import msgspec

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import ranks
from burdockmast.base import timers
from burdockmast.fleet import changes
from burdockmast.fleet import configuration
from burdockmast.fleet import ranges
from burdockmast.store import objects

KIND = 'moves'
# Seconds between renewals of a turn, and after which one that nobody renews
# has lapsed.
RENEW_SECONDS = 10.0
LAPSE_SECONDS = 30.0
# Seconds after which a server goes though its layers are held by no other.
UNCOVERED_WAIT_SECONDS = 5.0
# Seconds between looks for a turn, for a server whose turn could be next.
LOOK_SECONDS = 0.5
# Servers of a fleet beyond which looks are rarer, for the store's sake.
FLEET_SERVERS = 1000
# Share of a model's servers that may be away to change layers.
AWAY_SHARE = 0.25
# Longest random pause before a write that lost to another is tried again.
CONFLICT_SECONDS = 0.05
TRIES = 50
# Models read at once.
PAGE_MODEL_COUNT = 50


class Span(msgspec.Struct, frozen=True, array_like=True):
    """Layers ``first`` up to, not including, ``end``."""

    first: int
    end: int


class MoveRecord(msgspec.Struct):
    """What the servers of one model hold, and whose turn it is.

    :ivar permit_by_server: ids of turns; each renewal is a new one
    :ivar version: newest configuration by which a turn was taken
    """

    held_by_server: dict[ids.ServerId, Span] = {}
    permit_by_server: dict[ids.ServerId, str] = msgspec.field(
        default={}, name='turn_by_server'
    )
    version: ids.Version = ids.Version(0)

    def forget(self, server: ids.ServerId) -> None:
        """Drop a server."""
        self.permit_by_server.pop(server, None)
        self.held_by_server.pop(server, None)

    def covers(self, layers: int, without: set[ids.ServerId]) -> bool:
        """Tell whether servers that stay hold every layer."""
        staying = [
            (span.first, span.end)
            for server, span in self.held_by_server.items()
            if server not in without and server not in self.permit_by_server
        ]
        return ranges.first_uncovered(staying) >= layers


@dataclasses.dataclass(frozen=True, slots=True)
class Acquired:
    """It is this server's turn."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLater:
    """It is the turn of others; look again after ``seconds``."""

    seconds: float


AcquireResult = Acquired | RetryLater | failures.Failure


@dataclasses.dataclass(slots=True)
class _Seen:
    """A turn of another server, and since when it has not changed."""

    turn: str
    since: float


def poll_interval_seconds(before: int, at_once: int, fleet: int) -> float:
    """Return the pause between looks for a turn.

    :param before: servers that go before this one
    :param at_once: servers of the model that may load at the same time
    :param fleet: servers of all models
    """
    rarer = max(1.0, fleet / FLEET_SERVERS)
    return LOOK_SECONDS * rarer * (1 + before / at_once)


class MovePermits:
    """The turns of one server, in the objects of its models."""

    def __init__(
        self,
        store: objects.Objects,
        server: ids.ServerId,
        at_once: int,
        seed: int | None = None,
    ):
        """Create a server's view.

        :param at_once: servers of a model that may load at the same time
        """
        self._store = store
        self._server = server
        self._at_once = at_once
        self._random = random.Random(seed)
        self._seen_by_server: dict[ids.ServerId, _Seen] = {}
        self._waiting_since: float | None = None

    def acquire(
        self,
        model: ids.ModelId,
        current: configuration.Configuration,
        drops_layers: bool,
    ) -> AcquireResult:
        """Take a turn at a model, unless others go first.

        :param drops_layers: whether this server holds layers that it will drop
        """

        def change(moves: MoveRecord) -> RetryLater | None:
            self._forget_gone(moves, current)
            if not self._may_go(moves, model, current, drops_layers):
                return RetryLater(self._look_seconds(moves, model, current))
            moves.permit_by_server[self._server] = ids.new_id()
            return None

        stopped = self._update(model, change)
        if stopped:
            return stopped
        self._waiting_since = None
        return Acquired()

    def renew(self, model: ids.ModelId) -> None:
        """Keep a turn from lapsing."""

        def change(moves: MoveRecord) -> None:
            if self._server in moves.permit_by_server:
                moves.permit_by_server[self._server] = ids.new_id()

        self._update(model, change)

    def release(self, model: ids.ModelId, span: Span | None) -> bool:
        """End a turn and tell what is held now; false if that failed.

        :param span: None if no layers of this model are held
        """

        def change(moves: MoveRecord) -> None:
            moves.permit_by_server.pop(self._server, None)
            moves.held_by_server.pop(self._server, None)
            if span:
                moves.held_by_server[self._server] = span

        return self._update(model, change) is None

    def _update(
        self,
        model: ids.ModelId,
        change: Callable[[MoveRecord], RetryLater | None],
    ) -> RetryLater | failures.Failure | None:
        """Change a model's object, again if others wrote meanwhile.

        :param change: works on the object; what it returns ends the update
            without a write
        """
        for _ in range(TRIES):
            stored = self._read(model)
            if isinstance(stored, failures.Failure):
                return stored
            moves = msgspec.convert(stored.value, MoveRecord)
            stopped = change(moves)
            if stopped or msgspec.to_builtins(moves) == stored.value:
                return stopped
            written = self._store.update(KIND, model, moves, stored.revision)
            if isinstance(written, failures.Failure):
                return written
            if isinstance(written, objects.Stored):
                return None
            eventlet.sleep(self._random.uniform(0, CONFLICT_SECONDS))
        return RetryLater(LOOK_SECONDS)

    def _read(self, model: ids.ModelId) -> objects.Stored | failures.Failure:
        found = self._store.get(KIND, model)
        if not isinstance(found, objects.Absent):
            return found
        created = self._store.create(KIND, model, MoveRecord())
        if isinstance(created, objects.Conflict):
            found = self._store.get(KIND, model)
            if not isinstance(found, objects.Absent):
                return found
        if isinstance(created, objects.Stored | failures.Failure):
            return created
        return failures.Failure(
            failures.Reason.STORE_CONFLICT, 'moves.read', KIND
        )

    def _forget_gone(
        self, moves: MoveRecord, current: configuration.Configuration
    ) -> None:
        """Drop turns that have lapsed, and servers that are no more."""
        for server, turn in list(moves.permit_by_server.items()):
            if self._is_lapsed(server, turn):
                moves.forget(server)
        if current.version < moves.version:
            # Whom this process does not know may just have come.
            return
        moves.version = current.version
        for server in {*moves.permit_by_server, *moves.held_by_server}:
            if server not in current.server_by_id:
                moves.forget(server)

    def _is_lapsed(self, server: ids.ServerId, turn: str) -> bool:
        seen = self._seen_by_server.get(server)
        if seen is None or seen.turn != turn:
            self._seen_by_server[server] = _Seen(turn, timers.now())
            return False
        return timers.now() - seen.since > LAPSE_SECONDS

    def _may_go(
        self,
        moves: MoveRecord,
        model: ids.ModelId,
        current: configuration.Configuration,
        drops_layers: bool,
    ) -> bool:
        if self._server in moves.permit_by_server:
            return True
        if len(moves.permit_by_server) >= self._at_once:
            return False
        known = current.model(model)
        if not drops_layers or not known:
            return True
        if len(moves.permit_by_server) >= _most_leaving(moves):
            return False
        if moves.covers(known.layers, self._not_staying(moves, current)):
            return True
        if moves.permit_by_server:
            return False
        # Nobody else makes room, and it can't be helped.
        self._waiting_since = self._waiting_since or timers.now()
        return timers.now() - self._waiting_since > UNCOVERED_WAIT_SECONDS

    def _not_staying(
        self, moves: MoveRecord, current: configuration.Configuration
    ) -> set[ids.ServerId]:
        """Return the servers that do not stay: this one, and leaving ones."""
        leaving = {
            server.id
            for server in current.server_by_id.values()
            if server.state is not changes.ServerState.ACTIVE
        }
        return {self._server, *leaving}

    def _look_seconds(
        self,
        moves: MoveRecord,
        model: ids.ModelId,
        current: configuration.Configuration,
    ) -> float:
        """Return a pause that is longer the more servers go before."""
        waiting = [
            server
            for server in current.server_by_id
            if self._is_waiting(moves, model, current, server)
        ]
        ranked = sorted(waiting, key=lambda server: ranks.rank(model, server))
        before = ranked.index(self._server) if self._server in ranked else 0
        return poll_interval_seconds(
            before, self._at_once, len(current.server_by_id)
        )

    def _is_waiting(
        self,
        moves: MoveRecord,
        model: ids.ModelId,
        current: configuration.Configuration,
        server: ids.ServerId,
    ) -> bool:
        placed = current.placement(server)
        if not placed or placed.model != model:
            return False
        wanted = Span(placed.first, placed.end)
        return moves.held_by_server.get(server) != wanted


def read_all(
    store: objects.Objects,
) -> dict[ids.ModelId, MoveRecord] | failures.Failure:
    """Return the moves of every model, for operators."""
    found: dict[ids.ModelId, MoveRecord] = {}
    start = ''
    while True:
        page = store.list(KIND, start, PAGE_MODEL_COUNT)
        if isinstance(page, failures.Failure):
            return page
        for item in page:
            found[ids.ModelId(item.name)] = msgspec.convert(
                item.value, MoveRecord
            )
        if len(page) < PAGE_MODEL_COUNT:
            return found
        # The next name in order that there can be.
        start = page[-1].name + '\0'


def _most_leaving(moves: MoveRecord) -> int:
    """Return how many servers of a model may be away at once."""
    return max(1, int(AWAY_SHARE * len(moves.held_by_server)))
