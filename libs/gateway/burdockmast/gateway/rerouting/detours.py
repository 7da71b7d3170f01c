"""Replaces stages of a running answer by other servers.

The load: a server that dozens of answers pass dies. All of them need other
servers for its layers at once, while the rest of their paths keeps the tokens
that it has read.
"""

from collections.abc import Callable
from collections.abc import Collection
import itertools

from burdockmast.gateway import backends
from burdockmast.gateway import crossings

# Most stages that an engine takes in a path.
MAX_STAGES = 32

Path = tuple[backends.Stage, ...]
Search = Callable[
    [
        backends.LayerRange,
        backends.Stage,
        crossings.Room,
        crossings.Crossing,
    ],
    Path,
]

# An answer that has begun may overfill servers: without them it would be read
# again at all stages. To cross to another zone delays the tokens of all
# answers on the link, so that it comes last, where links have room.
PREFERENCES = (
    (crossings.Room.FREE, crossings.Crossing.NONE),
    (crossings.Room.OVERFULL, crossings.Crossing.NONE),
    (crossings.Room.FREE, crossings.Crossing.FREE),
)


def find(path: Path, affected: Collection[int], search: Search) -> Path:
    """Return a path with other servers for its affected stages.

    :param affected: indexes of stages, without the first
    :param search: returns the cheapest stages for a range of layers behind a
        stage, none if there are none
    :returns: no stages if there is no such path
    """
    if not affected or 0 in affected:
        return ()
    found: list[backends.Stage] = []
    used = {stage.server.id for stage in path}
    for is_affected, group in itertools.groupby(
        enumerate(path), lambda indexed: indexed[0] in affected
    ):
        stages = [stage for _, stage in group]
        if not is_affected:
            found += stages
            continue
        layers = backends.LayerRange(stages[0].first, stages[-1].end)
        detour = _find_detour(layers, found[-1], search)
        new = {stage.server.id for stage in detour}
        if not detour or new & used:
            return ()
        used |= new
        found += detour
    return tuple(found) if len(found) <= MAX_STAGES else ()


def _find_detour(
    layers: backends.LayerRange, before: backends.Stage, search: Search
) -> Path:
    for room, crossing in PREFERENCES:
        detour = search(layers, before, room, crossing)
        if detour:
            return detour
    return ()
