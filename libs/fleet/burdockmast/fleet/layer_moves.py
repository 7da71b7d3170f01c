"""Move permits: which servers of a model may change their layers now.

Loading layers takes long, and the weight store is rate-limited. If all
servers of a model changed layers at once, none would serve meanwhile. So the
store has an object for each model, which records the layers that each server
holds and the servers that have a permit. A side process acquires a permit by
a conditional update, if few others have one and the servers that stay hold
every layer.

A permit is not a lease: a server that acts on one which it no longer has
costs speed, not correctness. A permit that is not renewed expires.
"""

from collections.abc import Callable
import dataclasses
import random

import eventlet
import msgspec

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import rendezvous
from burdockmast.base import timers
from burdockmast.fleet import changes
from burdockmast.fleet import configuration
from burdockmast.fleet import ranges
from burdockmast.store import objects

KIND = 'moves'
# Interval between renewals of a permit, and time after which a permit that is
# not renewed has expired.
RENEW_SECONDS = 10.0
EXPIRY_SECONDS = 30.0
# Wait after which a server moves although no other server holds its layers.
UNCOVERED_WAIT_SECONDS = 5.0
# Interval between attempts to acquire a permit by the server ranked first.
POLL_SECONDS = 0.5
# Larger fleets poll less often in proportion, to protect the store.
FULL_RATE_SERVER_COUNT = 1000
# Share of a model's servers that may drop layers at the same time.
MAX_MOVING_SHARE = 0.25
# Longest random delay before a write that met a conflict is repeated.
MAX_CONFLICT_DELAY_SECONDS = 0.05
MAX_WRITE_ATTEMPTS = 50
# Models read from the store in one call.
PAGE_MODEL_COUNT = 50


class Span(msgspec.Struct, frozen=True, array_like=True):
    """Layers ``first`` up to, not including, ``end``."""

    first: int
    end: int


class MoveRecord(msgspec.Struct):
    """The layers that servers of one model hold, and their permits.

    :ivar permit_by_server: ids of permits; each renewal sets a new id
    :ivar version: newest configuration with which a permit was requested
    """

    held_by_server: dict[ids.ServerId, Span] = {}
    permit_by_server: dict[ids.ServerId, str] = msgspec.field(
        default={}, name='turn_by_server'
    )
    version: ids.Version = ids.Version(0)

    def remove(self, server: ids.ServerId) -> None:
        """Remove a server's permit and layers."""
        self.permit_by_server.pop(server, None)
        self.held_by_server.pop(server, None)

    def covers(self, layers: int, without: set[ids.ServerId]) -> bool:
        """Tell whether every layer is held by servers that stay.

        :param without: servers to leave out, besides those with a permit
        """
        staying = [
            (span.first, span.end)
            for server, span in self.held_by_server.items()
            if server not in without and server not in self.permit_by_server
        ]
        return ranges.first_uncovered(staying) >= layers


@dataclasses.dataclass(frozen=True, slots=True)
class Acquired:
    """This server has a permit."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLater:
    """No permit is available; try again after ``seconds``."""

    seconds: float


AcquireResult = Acquired | RetryLater | failures.Failure


@dataclasses.dataclass(slots=True)
class _ObservedPermit:
    """A server's permit as read, and since when its id has not changed."""

    permit: str
    since: float


def poll_interval_seconds(
    ahead: int, max_concurrent: int, server_count: int
) -> float:
    """Return the interval between attempts to acquire a permit.

    :param ahead: servers that are ranked before this one
    :param max_concurrent: servers of the model that may load at the same time
    :param server_count: servers of all models
    """
    stretch = max(1.0, server_count / FULL_RATE_SERVER_COUNT)
    return POLL_SECONDS * stretch * (1 + ahead / max_concurrent)


class MovePermits:
    """Acquires, renews and releases the move permits of one server."""

    def __init__(
        self,
        store: objects.ObjectClient,
        server: ids.ServerId,
        max_concurrent: int,
        seed: int | None = None,
    ):
        """Create a client that has no permit yet.

        :param max_concurrent: servers of a model that may load at once
        """
        self._store = store
        self._server = server
        self._max_concurrent = max_concurrent
        self._random = random.Random(seed)
        self._observed_by_server: dict[ids.ServerId, _ObservedPermit] = {}
        self._uncovered_since: float | None = None

    def acquire(
        self,
        model: ids.ModelId,
        current: configuration.Configuration,
        drops_layers: bool,
    ) -> AcquireResult:
        """Acquire a permit to change layers of a model, if limits allow it.

        :param drops_layers: whether this server holds layers that it will drop
        """

        def modify(record: MoveRecord) -> RetryLater | None:
            self._remove_stale(record, current)
            if not self._may_acquire(record, model, current, drops_layers):
                return RetryLater(self._poll_seconds(record, model, current))
            record.permit_by_server[self._server] = ids.new_id()
            return None

        stopped = self._update(model, modify)
        if stopped:
            return stopped
        self._uncovered_since = None
        return Acquired()

    def renew(self, model: ids.ModelId) -> None:
        """Renew this server's permit, if the record still has it."""

        def modify(record: MoveRecord) -> None:
            if self._server in record.permit_by_server:
                record.permit_by_server[self._server] = ids.new_id()

        self._update(model, modify)

    def release(self, model: ids.ModelId, span: Span | None) -> bool:
        """Release a permit and record what is held; false if that failed.

        :param span: None if no layers of this model are held
        """

        def modify(record: MoveRecord) -> None:
            record.permit_by_server.pop(self._server, None)
            record.held_by_server.pop(self._server, None)
            if span:
                record.held_by_server[self._server] = span

        return self._update(model, modify) is None

    def _update(
        self,
        model: ids.ModelId,
        modify: Callable[[MoveRecord], RetryLater | None],
    ) -> RetryLater | failures.Failure | None:
        """Update a model's record, and repeat that after a conflict.

        :param modify: changes the record; if it returns a value, nothing is
            written and that value is the result
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            stored = self._read(model)
            if isinstance(stored, failures.Failure):
                return stored
            record = msgspec.convert(stored.value, MoveRecord)
            stopped = modify(record)
            if stopped or msgspec.to_builtins(record) == stored.value:
                return stopped
            written = self._store.update(KIND, model, record, stored.revision)
            if isinstance(written, failures.Failure):
                return written
            if isinstance(written, objects.Stored):
                return None
            eventlet.sleep(self._random.uniform(0, MAX_CONFLICT_DELAY_SECONDS))
        return RetryLater(POLL_SECONDS)

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

    def _remove_stale(
        self, record: MoveRecord, current: configuration.Configuration
    ) -> None:
        """Remove servers whose permit expired or that are not configured."""
        for server, permit in list(record.permit_by_server.items()):
            if self._has_expired(server, permit):
                record.remove(server)
        if current.version < record.version:
            # Servers that this older configuration lacks may be new.
            return
        record.version = current.version
        for server in {*record.permit_by_server, *record.held_by_server}:
            if server not in current.server_by_id:
                record.remove(server)

    def _has_expired(self, server: ids.ServerId, permit: str) -> bool:
        observed = self._observed_by_server.get(server)
        if observed is None or observed.permit != permit:
            self._observed_by_server[server] = _ObservedPermit(
                permit, timers.now()
            )
            return False
        return timers.now() - observed.since > EXPIRY_SECONDS

    def _may_acquire(
        self,
        record: MoveRecord,
        model: ids.ModelId,
        current: configuration.Configuration,
        drops_layers: bool,
    ) -> bool:
        if self._server in record.permit_by_server:
            return True
        if len(record.permit_by_server) >= self._max_concurrent:
            return False
        known = current.model(model)
        if not drops_layers or not known:
            return True
        if len(record.permit_by_server) >= _max_moving(record):
            return False
        if record.covers(known.layers, self._not_staying(record, current)):
            return True
        if record.permit_by_server:
            return False
        # No move is under way after which others would hold the layers.
        self._uncovered_since = self._uncovered_since or timers.now()
        return timers.now() - self._uncovered_since > UNCOVERED_WAIT_SECONDS

    def _not_staying(
        self, record: MoveRecord, current: configuration.Configuration
    ) -> set[ids.ServerId]:
        """Return this server and all that are draining."""
        draining = {
            server.id
            for server in current.server_by_id.values()
            if server.state is not changes.ServerState.ACTIVE
        }
        return {self._server, *draining}

    def _poll_seconds(
        self,
        record: MoveRecord,
        model: ids.ModelId,
        current: configuration.Configuration,
    ) -> float:
        """Return an interval that grows with the servers ranked ahead."""
        waiting = [
            server
            for server in current.server_by_id
            if self._is_waiting(record, model, current, server)
        ]
        ranked = sorted(
            waiting, key=lambda server: rendezvous.rank(model, server)
        )
        ahead = ranked.index(self._server) if self._server in ranked else 0
        return poll_interval_seconds(
            ahead, self._max_concurrent, len(current.server_by_id)
        )

    def _is_waiting(
        self,
        record: MoveRecord,
        model: ids.ModelId,
        current: configuration.Configuration,
        server: ids.ServerId,
    ) -> bool:
        placed = current.placement(server)
        if not placed or placed.model != model:
            return False
        wanted = Span(placed.first, placed.end)
        return record.held_by_server.get(server) != wanted


def read_all(
    store: objects.ObjectClient,
) -> dict[ids.ModelId, MoveRecord] | failures.Failure:
    """Return the move records of all models."""
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
        # The smallest name that sorts after the last one read.
        start = page[-1].name + '\0'


def _max_moving(record: MoveRecord) -> int:
    """Return how many servers of a model may drop layers at once."""
    return max(1, int(MAX_MOVING_SHARE * len(record.held_by_server)))
