"""The cheapest path over layer ranges, by Dijkstra's algorithm."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import heapq
import itertools

from burdockmast.base import ids
from burdockmast.fleet import changes
from burdockmast.wire import messages

# Cost of one more stage, in seconds.
STAGE_OVERHEAD_SECONDS = 0.0005


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server that may run part of a path."""

    server: changes.Server
    first: int
    end: int

    def hop(self, first: int, end: int) -> messages.Hop:
        """Return the part of a path that runs layers here."""
        return messages.Hop(self.server.id, self.server.address, first, end)


@dataclasses.dataclass(frozen=True, slots=True)
class Costs:
    """What stages and links cost, in seconds for each token.

    :ivar layer_seconds_by_server: of one layer at a server
    :ivar link_seconds: of the link from one server to another
    """

    layer_seconds_by_server: Mapping[ids.ServerId, float]
    link_seconds: Callable[[Candidate, Candidate], float]


@dataclasses.dataclass(frozen=True, slots=True)
class _Branch:
    """A path that has come to a server, to run ``first`` there.

    ``candidate`` is None for a path through all layers.
    """

    candidate: Candidate | None
    first: int
    hops: tuple[messages.Hop, ...]

    @property
    def place(self) -> tuple[ids.ServerId, int]:
        return self.candidate.server.id, self.first


def cheapest_path(
    layers: int, candidates: list[Candidate], costs: Costs
) -> tuple[messages.Hop, ...]:
    """Return the cheapest path through all layers, empty if there is none.

    A path may leave a server wherever some server's range begins or ends.
    """
    cuts = sorted({c.first for c in candidates} | {c.end for c in candidates})
    numbers = itertools.count()
    heap: list[tuple[float, int, _Branch]] = [
        (0.0, next(numbers), _Branch(candidate, 0, ()))
        for candidate in candidates
        if candidate.first == 0
    ]
    done: set[tuple[ids.ServerId, int]] = set()
    while heap:
        cost, _, branch = heapq.heappop(heap)
        if branch.candidate is None:
            return branch.hops
        if branch.place in done:
            continue
        done.add(branch.place)
        for more, longer in _longer(branch, layers, cuts, candidates, costs):
            heapq.heappush(heap, (cost + more, next(numbers), longer))
    return ()


def _longer(
    branch: _Branch,
    layers: int,
    cuts: list[int],
    candidates: list[Candidate],
    costs: Costs,
) -> Iterator[tuple[float, _Branch]]:
    """Yield the paths that are one stage longer, and what that costs."""
    here = branch.candidate
    per_layer = costs.layer_seconds_by_server[here.server.id]
    for end in cuts:
        if not branch.first < end <= here.end:
            continue
        cost = STAGE_OVERHEAD_SECONDS + per_layer * (end - branch.first)
        hops = (*branch.hops, here.hop(branch.first, end))
        if end == layers:
            yield cost, _Branch(None, end, hops)
            continue
        for following in candidates:
            if not following.first <= end < following.end:
                continue
            if any(hop.server == following.server.id for hop in hops):
                continue
            link = costs.link_seconds(here, following)
            yield cost + link, _Branch(following, end, hops)
