"""Engines that hold layers of a model and serve requests in passes.

A pass takes all work that waits. Decode steps of several requests are batched,
and prompts are read in chunks between them. An engine whose memory runs out
drops the KV cache of the newest request, which is then read again.
"""

from collections.abc import Callable
import dataclasses

from burdockmast.gateway import backends
from burdockmast.gateway import config
from burdockmast.gateway import memory
from burdockmast.model import events

# Tokens of prompts that are read in one step.
CHUNK_TOKENS = 512
# Delay of a transfer between two servers of a zone, and between zones.
HOP_SECONDS = 0.0002
ZONE_HOP_SECONDS = 0.00025


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A generation on its way through the stages of a path.

    :ivar tokens: prompt and answer so far
    :ivar unread_tokens: at each stage, tokens to read before the next step
    :ivar on_event: called when the last stage has made the next tokens
    """

    path: tuple[backends.Stage, ...]
    tokens: int
    unread_tokens: list[int]
    on_event: Callable[[], None]

    @property
    def stage_by_server(self) -> dict[str, int]:
        """The index of each server's stage."""
        return {s.server.id: i for i, s in enumerate(self.path)}


class ZoneLinks:
    """Pipes between zones, each with one transfer after another."""

    def __init__(self, timeline: events.Timeline, engine: config.Engine):
        """Create idle pipes."""
        self._timeline = timeline
        self._seconds_per_token = (
            engine.activation_bytes_per_token * 8 / engine.zone_link_mbps / 1e6
        )
        self._hop_seconds = engine.zone_delay_ms / 1000 or ZONE_HOP_SECONDS
        self._free_at: dict[tuple[str, str], float] = {}

    def delay(self, source: str, target: str, tokens: int) -> float:
        """Return the seconds until tokens arrive, and occupy the pipe."""
        if source == target:
            return HOP_SECONDS
        now = self._timeline.now
        free_at = max(now, self._free_at.get((source, target), 0.0))
        free_at += tokens * self._seconds_per_token
        self._free_at[source, target] = free_at
        return free_at - now + self._hop_seconds


class EngineModel:
    """One server with its layers, memory and passes.

    :ivar preempted: requests whose KV cache was dropped
    :ivar peak_share: largest share of the memory that was in use
    """

    def __init__(
        self,
        timeline: events.Timeline,
        engine: config.Engine,
        server: backends.BackendServer,
        stride: int,
        move_on: Callable[[Request, int], None],
    ):
        """Create an idle engine.

        :param stride: decode steps of a pass
        :param move_on: takes a request whose stage here is done
        """
        self.preempted = 0
        self.peak_share = 0.0
        self._timeline = timeline
        self._engine = engine
        self._stride = stride
        self._move_on = move_on
        self._server = server
        kind = engine.accelerator_by_name[server.accelerator]
        self._step_slowdown = kind.step_slowdown
        self._prefill_slowdown = kind.prefill_slowdown
        self._capacity = memory.cache_capacity(engine, server)
        # Requests with KV cache here, oldest first, and their stage.
        self._stage_by_request: dict[Request, int] = {}
        self._waiting: list[Request] = []
        self._is_busy = False

    def accept(self, request: Request, stage: int) -> None:
        """Take work of a request that has arrived at this server."""
        self._stage_by_request.setdefault(request, stage)
        self._waiting.append(request)
        self._start_pass()

    def end(self, request: Request) -> None:
        """Drop the KV cache of a request that has ended."""
        self._stage_by_request.pop(request, None)

    def _layers(self, request: Request, stage: int) -> int:
        return request.path[stage].end - request.path[stage].first

    def _used(self) -> float:
        return sum(
            (r.tokens - r.unread_tokens[stage]) * self._layers(r, stage)
            for r, stage in self._stage_by_request.items()
        )

    def _make_room(self) -> None:
        used = self._used()
        self.peak_share = max(self.peak_share, used / self._capacity)
        for request in reversed(list(self._stage_by_request)):
            if used <= self._capacity:
                return
            stage = self._stage_by_request[request]
            cached = request.tokens - request.unread_tokens[stage]
            if not cached:
                continue
            request.unread_tokens[stage] = request.tokens
            self.preempted += 1
            used -= cached * self._layers(request, stage)

    def _start_pass(self) -> None:
        if self._is_busy or not self._waiting:
            return
        self._make_room()
        self._is_busy = True
        writers, readers, milliseconds = self._plan_pass()
        self._timeline.after(
            milliseconds / 1000, lambda: self._end_pass(writers, readers)
        )

    def _plan_pass(self) -> tuple[list[Request], list[Request], float]:
        """Return who decodes, who has read its prompt, and the time."""
        writers, readers = [], []
        still_waiting = []
        milliseconds = 0.0
        budget = CHUNK_TOKENS * self._stride
        for request in self._waiting:
            stage = self._stage_by_request[request]
            unread = request.unread_tokens[stage]
            share = self._layers(request, stage) / self._engine.layers
            if not unread:
                writers.append(request)
                continue
            read = min(unread, budget)
            budget -= read
            request.unread_tokens[stage] -= read
            milliseconds += (
                read
                / self._engine.prefill_tokens_per_second
                * 1000
                * self._prefill_slowdown
                * share
            )
            if request.unread_tokens[stage]:
                still_waiting.append(request)
            else:
                readers.append(request)
        self._waiting = still_waiting
        if writers:
            milliseconds += self._stride * self._step_ms(writers)
        return writers, readers, milliseconds

    def _step_ms(self, writers: list[Request]) -> float:
        engine = self._engine
        context = sum(request.tokens for request in writers) / 1000
        step = (
            engine.step_ms
            + engine.sequence_ms * len(writers)
            + engine.context_ms * context
        )
        layers = max(
            self._layers(r, self._stage_by_request[r]) for r in writers
        )
        return step * self._step_slowdown * layers / engine.layers

    def _end_pass(
        self, writers: list[Request], readers: list[Request]
    ) -> None:
        self._is_busy = False
        for request in (*writers, *readers):
            stage = self._stage_by_request.get(request)
            if stage is not None:
                self._move_on(request, stage)
        self._start_pass()
