"""Finds the cheapest path over layer ranges by Dijkstra's algorithm."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import heapq
import itertools

from burdockmast.base import ids
from burdockmast.fleet import changes
from burdockmast.wire import messages

# Cost of each stage beside its layers and links.
STAGE_OVERHEAD_SECONDS = 0.0005


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server that may run part of a path."""

    server: changes.Server
    first: int
    end: int

    def hop(self, first: int, end: int) -> messages.Hop:
        """Return the hop that runs these layers on this server."""
        return messages.Hop(self.server.id, self.server.address, first, end)


@dataclasses.dataclass(frozen=True, slots=True)
class Costs:
    """Costs of stages and links, in seconds for each token.

    :ivar layer_seconds_by_server: for one layer
    :ivar link_seconds: returns the cost from one server to another
    """

    layer_seconds_by_server: Mapping[ids.ServerId, float]
    link_seconds: Callable[[Candidate, Candidate], float]


@dataclasses.dataclass(frozen=True, slots=True)
class _PartialPath:
    """A path that continues with layer ``first`` on ``candidate``.

    ``candidate`` is None for a path through all layers.
    """

    candidate: Candidate | None
    first: int
    hops: tuple[messages.Hop, ...]

    @property
    def state(self) -> tuple[ids.ServerId, int]:
        return self.candidate.server.id, self.first


def cheapest_path(
    layers: int, candidates: list[Candidate], costs: Costs
) -> tuple[messages.Hop, ...]:
    """Return the cheapest path through all layers, empty if there is none.

    A path may switch servers wherever some server's range begins or ends.
    """
    boundaries = sorted(
        {c.first for c in candidates} | {c.end for c in candidates}
    )
    tie_breakers = itertools.count()
    heap: list[tuple[float, int, _PartialPath]] = [
        (0.0, next(tie_breakers), _PartialPath(candidate, 0, ()))
        for candidate in candidates
        if candidate.first == 0
    ]
    done: set[tuple[ids.ServerId, int]] = set()
    while heap:
        cost, _, path = heapq.heappop(heap)
        if path.candidate is None:
            return path.hops
        if path.state in done:
            continue
        done.add(path.state)
        for extra, extended in _extensions(
            path, layers, boundaries, candidates, costs
        ):
            heapq.heappush(heap, (cost + extra, next(tie_breakers), extended))
    return ()


def _extensions(
    path: _PartialPath,
    layers: int,
    boundaries: list[int],
    candidates: list[Candidate],
    costs: Costs,
) -> Iterator[tuple[float, _PartialPath]]:
    """Yield the paths with one more stage, and what that adds to the cost."""
    here = path.candidate
    layer_seconds = costs.layer_seconds_by_server[here.server.id]
    for end in boundaries:
        if not path.first < end <= here.end:
            continue
        cost = STAGE_OVERHEAD_SECONDS + layer_seconds * (end - path.first)
        hops = (*path.hops, here.hop(path.first, end))
        if end == layers:
            yield cost, _PartialPath(None, end, hops)
            continue
        for following in candidates:
            if not following.first <= end < following.end:
                continue
            if any(hop.server == following.server.id for hop in hops):
                continue
            link = costs.link_seconds(here, following)
            yield cost + link, _PartialPath(following, end, hops)
