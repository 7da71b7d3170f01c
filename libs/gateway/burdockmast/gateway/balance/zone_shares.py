"""Decides what share of a zone's new requests goes to which other zone.

The load: the callers of one zone ask for more than its servers hold, and
gateways that decide alone all send to the same zone, or all stay, depending on
whose load they heard of last. The shares follow from the demand of each zone's
callers, which does not depend on where requests run, so that sending requests
away does not by itself change the shares.
"""

from collections.abc import Mapping
import dataclasses
import enum

from burdockmast.base import ids
from burdockmast.gateway import memory
from burdockmast.gateway.balance import zone_load

# Share of its capacity up to which a zone keeps its own requests, and to which
# others fill it.
OWN_SHARE = memory.OVERFULL_SHARE
# Utilisation below the level of the others at which a zone begins to keep more
# of its requests. The demand of some hundred requests varies by about as much,
# and shares between the two levels stay as they are.
LEVEL_MARGIN = 0.1
# Smallest share that is followed.
MIN_SHARE = 0.05
# Largest decrease of a share in a second. A burst is followed at once, and its
# end over some seconds, as bursts come in rows.
MAX_DECREASE_PER_SECOND = 0.1

Shares = Mapping[ids.ZoneId, float]


class Cause(enum.Enum):
    """Why a share changes."""

    NO_CAPACITY = 'the zone can run no request'
    OVERLOAD = 'demand exceeds the capacity of the zone'
    ROOM = 'the zone has room again'
    LOST_TARGET = 'the other zone has no room'


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Shares of a zone's new requests by the zone that they go to."""

    share_by_zone: Shares
    cause: Cause


def target_shares(
    zone: ids.ZoneId, load_by_zone: Mapping[ids.ZoneId, zone_load.ZoneLoad]
) -> dict[ids.ZoneId, float]:
    """Return the shares with which utilisations become equal.

    Zones keep their requests up to ``OWN_SHARE`` of their capacity. Beyond
    that, all zones are filled alike, and each overloaded zone sends to the
    others in proportion to their room.
    """
    own = load_by_zone[zone]
    level = _level(load_by_zone)
    share = _total_share(own, level)
    if not share:
        return {}
    room_by_zone = {
        other: room
        for other, load in load_by_zone.items()
        if other != zone
        and (room := level * load.capacity_tokens - load.demand_tokens) > 0
    }
    room_total = sum(room_by_zone.values())
    if not room_total:
        return {}
    return {
        other: share * room / room_total
        for other, room in room_by_zone.items()
    }


def _total_share(own: zone_load.ZoneLoad, level: float) -> float:
    """Return the share that leaves a zone that is filled up to a level."""
    if not own.capacity_tokens:
        return 1.0
    excess = own.demand_tokens - level * own.capacity_tokens
    return excess / own.demand_tokens if excess > 0 else 0.0


def _level(load_by_zone: Mapping[ids.ZoneId, zone_load.ZoneLoad]) -> float:
    """Return the utilisation up to which zones are filled."""
    capacity = sum(load.capacity_tokens for load in load_by_zone.values())
    demand = sum(load.demand_tokens for load in load_by_zone.values())
    return max(OWN_SHARE, demand / capacity) if capacity else OWN_SHARE


class ZoneShares:
    """The shares of one zone and service, which change with hysteresis."""

    def __init__(self):
        """Create shares with which no request leaves its zone."""
        self.share_by_zone: dict[ids.ZoneId, float] = {}

    def follow(self, shares: Shares) -> None:
        """Take over the shares that another gateway of the zone decided."""
        self.share_by_zone = dict(shares)

    def decide(
        self,
        zone: ids.ZoneId,
        load_by_zone: Mapping[ids.ZoneId, zone_load.ZoneLoad],
        seconds: float,
    ) -> Decision:
        """Change the shares and return them.

        :param seconds: since the last decision
        """
        target = target_shares(zone, load_by_zone)
        own = load_by_zone[zone]
        most = _total_share(own, _level(load_by_zone) - LEVEL_MARGIN)
        before = sum(self.share_by_zone.values())
        lost = [
            other
            for other, share in self.share_by_zone.items()
            if share and not _has_room(load_by_zone, other)
        ]
        wanted = sum(target.values())
        total = max(wanted, before)
        if total > most:
            decrease = MAX_DECREASE_PER_SECOND * seconds
            total = max(wanted, most, before - decrease)
        if lost:
            cause = Cause.LOST_TARGET
        elif not own.capacity_tokens:
            cause = Cause.NO_CAPACITY
        elif wanted > before:
            cause = Cause.OVERLOAD
        else:
            cause = Cause.ROOM
        self.share_by_zone = self._spread(total, target, lost)
        return Decision(self.share_by_zone, cause)

    def _spread(
        self, total: float, target: Shares, lost: list[ids.ZoneId]
    ) -> dict[ids.ZoneId, float]:
        """Divide a share among zones as targeted, else as before."""
        weights = target or {
            other: share
            for other, share in self.share_by_zone.items()
            if other not in lost
        }
        weight = sum(weights.values())
        if not weight or total < MIN_SHARE:
            return {}
        return {o: total * w / weight for o, w in weights.items()}


def _has_room(
    load_by_zone: Mapping[ids.ZoneId, zone_load.ZoneLoad], zone: ids.ZoneId
) -> bool:
    load = load_by_zone.get(zone)
    return (
        load is not None
        and load.demand_tokens < _level(load_by_zone) * load.capacity_tokens
    )
