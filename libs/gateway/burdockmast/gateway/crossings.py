"""Decides whether a request's path may cross between availability zones.

The load: servers are lost or slow, so that a zone lacks layers, while other
zones are full. A prompt occupies an inter-zone link for a tenth of a second,
and the tokens of all answers on the link wait behind it. Streams that cross
are late, and hold memory of zones that could serve others by themselves. So a
path crosses where no zone serves the request well, not for want of room.
"""

from collections.abc import Callable
import enum

from burdockmast.gateway import backends
from burdockmast.gateway import links

Path = tuple[backends.Stage, ...]


class Room(enum.Enum):
    """Which servers a path may use."""

    FREE = 'free'
    OVERFULL = 'overfull'
    UNLIMITED = 'unlimited'


class Crossing(enum.Enum):
    """Which inter-zone links a path may use."""

    NONE = 'none'
    FREE = 'free'
    ANY = 'any'


Search = Callable[[Room, Crossing], Path]


def find_path(search: Search, has_begun: bool) -> Path:
    """Return a path, no stages if the request has to wait for room.

    :param search: returns the cheapest path, no stages if there is none
    :param has_begun: the caller has received events, and leaves soon
    """
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
