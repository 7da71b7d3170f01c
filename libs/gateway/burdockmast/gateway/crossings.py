"""Decides whether a request's path may cross between availability zones.

The load: servers are lost or slow, so that a zone lacks layers, while other
zones are full. Where a prompt occupies an inter-zone link for a tenth of a
second, the tokens of all answers on the link wait behind it. Streams that
cross are late, and hold memory of zones that could serve others by themselves.
There a path crosses if no zone serves the request well, not for want of room.
"""

from collections.abc import Callable
import enum

from burdockmast.gateway import backends
from burdockmast.gateway import links

Path = tuple[backends.Stage, ...]


class Room(enum.Enum):
    """Which servers a path may use.

    ``IDLE`` is ``UNLIMITED``, with costs as if no requests ran.
    """

    FREE = 'free'
    OVERFULL = 'overfull'
    UNLIMITED = 'unlimited'
    IDLE = 'idle'


class Crossing(enum.Enum):
    """Which inter-zone links a path may use."""

    NONE = 'none'
    FREE = 'free'
    ANY = 'any'


Search = Callable[[Room, Crossing], Path]


def find_path(
    search: Search,
    delays_answers: bool,
    has_begun: bool,
    is_slow: Callable[[Path], bool] | None = None,
) -> Path:
    """Return a path, no stages if the request has to wait for room.

    :param search: returns the cheapest path, no stages if there is none
    :param delays_answers: prompts between zones make other answers late
    :param has_begun: the caller has received events, and leaves soon
    :param is_slow: whether a path has servers that are slower than usual; if
        given, all stages are in one zone while one has room and is not slow
    """
    if is_slow:
        path = _find_in_whole_zones(search, is_slow, delays_answers)
        if path or not has_begun:
            return path
    if not delays_answers:
        if has_begun:
            # A broken answer is worse for its caller than the delay that one
            # more prompt on a full link causes for the others.
            return search(Room.OVERFULL, Crossing.ANY)
        return search(Room.FREE, Crossing.FREE)
    path = search(Room.FREE, Crossing.FREE)
    if path and not links.inter_zone_links(path):
        return path
    if path and links.inter_zone_links(search(Room.UNLIMITED, Crossing.ANY)):
        return path
    if has_begun:
        return search(Room.OVERFULL, Crossing.NONE) or search(
            Room.OVERFULL, Crossing.ANY
        )
    return ()


def _find_in_whole_zones(
    search: Search, is_slow: Callable[[Path], bool], delays_answers: bool
) -> Path:
    """Return a path in one zone if any has room, else one that crosses.

    A slow zone is left if crossing is better even if no requests ran. Where
    prompts delay answers, none crosses for want of room.
    """
    whole = search(Room.FREE, Crossing.NONE)
    if whole and not is_slow(whole):
        return whole
    if whole and not links.inter_zone_links(search(Room.IDLE, Crossing.ANY)):
        return whole
    if (
        not whole
        and delays_answers
        and not links.inter_zone_links(search(Room.UNLIMITED, Crossing.ANY))
    ):
        return ()
    return search(Room.FREE, Crossing.FREE)
