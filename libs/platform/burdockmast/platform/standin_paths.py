"""Runs of requests on paths of several servers, in the stand-in's engine.

Each event of an answer is produced by all servers of the request's path. A
run stalls while one of them is down or has lost the run's state in a restart,
goes on once its path is changed, and is aborted after some time.
"""

from collections.abc import Mapping
import dataclasses
import enum
import itertools
import math
import re
from typing import Protocol

from burdockmast.base import timers
from burdockmast.platform import headers

# Time after which a run is aborted whose path has a server that is lost.
STALL_SECONDS = 3.0
MAX_STAGES = 32
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
_STAGE = re.compile(r'([^=]+)=(\d{1,6})-(\d{1,6})')


class Server(Protocol):
    """What an engine needs to know of a server.

    :ivar incarnation: number of its restarts; each loses the state of runs
    :ivar is_down: the server refuses connections
    :ivar is_quiet: the server does nothing for some time
    :ivar kv_total: memory of runs, in tokens times layers
    """

    id: str
    address: str
    zone: str
    incarnation: int
    is_down: bool
    is_quiet: bool
    kv_total: float

    def holds(self, first: int, end: int) -> bool:
        """Return whether the server has these layers."""


class Cause(enum.Enum):
    """Why a server can't take part in a run."""

    DOWN = 'down'
    NO_LAYERS = 'does not hold the layers'
    NO_MEMORY = 'no memory'


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """A part of a path.

    :ivar end: exclusive
    :ivar incarnation: of the server that joined the run
    """

    address: str
    first: int
    end: int
    incarnation: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ProducedEvent:
    """An event and the stages that produced it, in order."""

    number: int
    stages: tuple[Stage, ...]
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """A request, or change of path, that a server did not accept.

    :ivar address: of the server that rejected it
    """

    request: str
    address: str
    cause: Cause
    at: float
    is_change: bool


@dataclasses.dataclass(slots=True)
class Run:
    """One attempt of a request at its first server.

    :ivar tokens: reserved at each stage for each of its layers
    :ivar changed_at: times of path changes
    :ivar ready_at: time until which new stages process the tokens so far
    """

    id: str
    path: tuple[Stage, ...]
    tokens: int
    priority: int | None = None
    began_at: float = dataclasses.field(default_factory=timers.now)
    events: list[ProducedEvent] = dataclasses.field(default_factory=list)
    changed_at: list[float] = dataclasses.field(default_factory=list)
    ready_at: float = 0.0
    ended_at: float = math.inf
    is_aborted: bool = False

    @property
    def is_active(self) -> bool:
        """Whether the run has not ended."""
        return math.isinf(self.ended_at)

    def end(self) -> None:
        """End the run, which frees its memory."""
        self.ended_at = min(self.ended_at, timers.now())


class PathEngine:
    """The runs of all requests to the servers of one service.

    :ivar layers: number of layers of the model
    :ivar stall_seconds: time after which a run is aborted whose path has a
        server that is down or has lost the run's state
    :ivar prefill_seconds: in which new stages of a changed path process the
        tokens so far
    :ivar hop_seconds_by_zones: delay of a hop, by the zones of its ends
    :ivar runs: in the order in which they began
    :ivar invalid_paths: paths in requests or orders that don't hold each
        layer once, in order
    """

    def __init__(self, layers: int, stall_seconds: float = STALL_SECONDS):
        """Create an engine without servers."""
        self.layers = layers
        self.stall_seconds = stall_seconds
        self.prefill_seconds = 0.0
        self.hop_seconds_by_zones: Mapping[tuple[str, str], float] = {}
        self.runs: list[Run] = []
        self.rejections: list[Rejection] = []
        self.invalid_paths: list[str] = []
        self._server_by_address: dict[str, Server] = {}

    def add(self, server: Server) -> None:
        """Let a server take part in runs."""
        self._server_by_address[server.address] = server

    def begin(
        self, server: Server, header_by_name: Mapping[str, str]
    ) -> Run | Rejection:
        """Begin the run of a request that its first server has received.

        :raises ValueError: if its path is invalid
        """
        request = header_by_name.get(headers.REQUEST_ID.lower(), '')
        path = self._parse(header_by_name.get(headers.PATH.lower(), ''))
        if path[0].address != server.address:
            self._raise_invalid(f'{path} at {server.address}')
        counts = header_by_name.get(headers.TOKEN_COUNTS.lower(), '0,0')
        tokens = sum(int(count) for count in counts.split(','))
        rejection = self._find_rejection(request, path, tokens, None)
        if rejection:
            return rejection
        priority = header_by_name.get(headers.PRIORITY.lower())
        run = Run(
            request, path, tokens, None if priority is None else int(priority)
        )
        self.runs.append(run)
        return run

    def change_path(
        self, server: Server, order: Mapping[str, str]
    ) -> tuple[int, dict[str, str] | None]:
        """Carry out an order that changes the path of a run.

        Stages that stay keep their state; each new one processes the tokens
        so far through its layers.

        :return: the status and the body of the response
        """
        request = order.get('id', '')
        run = self._active_run(server, request)
        if run is None:
            return HTTP_NOT_FOUND, None
        try:
            path = self._parse(order.get('path', ''))
        except ValueError as error:
            return HTTP_BAD_REQUEST, {'reason': str(error)}
        if path[0] != run.path[0]:
            # The first server holds the answer, so it can't be replaced.
            return HTTP_CONFLICT, {'address': path[0].address}
        rejection = self._find_rejection(request, path, run.tokens, run)
        if rejection:
            return HTTP_CONFLICT, {'address': rejection.address}
        run.path = path
        run.changed_at.append(timers.now())
        run.ready_at = timers.now() + self.prefill_seconds
        return 200, None

    def can_step(self, run: Run) -> bool:
        """Return whether all stages can produce the next event now."""
        return (
            timers.now() >= run.ready_at
            and not self.has_lost_stage(run)
            and not any(
                self._server_by_address[stage.address].is_quiet
                for stage in run.path
            )
        )

    def has_lost_stage(self, run: Run) -> bool:
        """Return whether a server of the path has lost the run's state."""
        return any(self._has_lost(stage) for stage in run.path)

    def record_event(self, run: Run, number: int) -> None:
        """Record that all stages have produced an event."""
        run.events.append(ProducedEvent(number, run.path, timers.now()))

    def hop_seconds(self, run: Run) -> float:
        """Return how long an event takes on the hops between zones."""
        zones = [
            self._server_by_address[stage.address].zone for stage in run.path
        ]
        # The last stage sends the token to the first one.
        hops = itertools.pairwise([*zones, zones[0]])
        return sum(self.hop_seconds_by_zones.get(hop, 0.0) for hop in hops)

    def report(self, server: Server) -> dict[str, object]:
        """Return the server's memory and stalled requests, as it reports."""
        found: dict[str, object] = {
            'stalled': [
                {'id': run.id, 'address': stage.address}
                for run in self._active_runs(server)
                for stage in run.path
                if self._has_lost(stage)
            ]
        }
        if math.isfinite(server.kv_total):
            found['kv-used'] = self._kv_used(server.address, None)
            found['kv-total'] = server.kv_total
        return found

    def _active_runs(self, first: Server) -> list[Run]:
        return [
            run
            for run in self.runs
            if run.is_active and run.path[0].address == first.address
        ]

    def _active_run(self, first: Server, request: str) -> Run | None:
        """Return the newest attempt of a request at its first server."""
        found = [run for run in self._active_runs(first) if run.id == request]
        return found[-1] if found else None

    def _has_lost(self, stage: Stage) -> bool:
        """Return whether a server has lost the state of its runs."""
        server = self._server_by_address[stage.address]
        return server.is_down or server.incarnation != stage.incarnation

    def _kv_used(self, address: str, other_than: Run | None) -> float:
        return sum(
            run.tokens * (stage.end - stage.first)
            for run in self.runs
            if run.is_active and run is not other_than
            for stage in run.path
            if stage.address == address
        )

    def _find_rejection(
        self,
        request: str,
        path: tuple[Stage, ...],
        tokens: int,
        changed: Run | None,
    ) -> Rejection | None:
        """Record and return the first rejection of a path by its servers.

        :param changed: the run whose path is to change; its servers have
            accepted the stages that stay
        """
        for stage in path:
            if changed and stage in changed.path:
                continue
            server = self._server_by_address[stage.address]
            used = self._kv_used(stage.address, changed)
            needed = tokens * (stage.end - stage.first)
            if server.is_down:
                cause = Cause.DOWN
            elif not server.holds(stage.first, stage.end):
                cause = Cause.NO_LAYERS
            elif used + needed > server.kv_total:
                cause = Cause.NO_MEMORY
            else:
                continue
            rejection = Rejection(
                request,
                stage.address,
                cause,
                timers.now(),
                changed is not None,
            )
            self.rejections.append(rejection)
            return rejection
        return None

    def _parse(self, text: str) -> tuple[Stage, ...]:
        """Return the stages of a path, each with its server as it runs now.

        :raises ValueError: if the path doesn't hold each layer once, in order
        """
        found = [_STAGE.fullmatch(part) for part in text.split(',')]
        if not all(found) or len(found) > MAX_STAGES:
            self._raise_invalid(text)
        path = []
        end = 0
        for part in found:
            address, first = part[1], int(part[2])
            server = self._server_by_address.get(address)
            if server is None or first != end or int(part[3]) <= first:
                self._raise_invalid(text)
            end = int(part[3])
            path.append(Stage(address, first, end, server.incarnation))
        if end != self.layers or len({s.address for s in path}) < len(path):
            self._raise_invalid(text)
        return tuple(path)

    def _raise_invalid(self, text: str) -> None:
        self.invalid_paths.append(text)
        raise ValueError(f'invalid path {text!r}')
