"""Adds up the load that other gateways put on backend servers.

A gateway counts its own requests exactly, and neighbours tell it theirs. With
many gateways its own requests are a small share: without the others' it would
send them to the same fast servers as everybody else.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

from burdockmast.base import ids
from burdockmast.base import timers

# Requests that run at a server, and their KV cache in tokens times layers.
Load = tuple[int, float]
LoadByServer = Mapping[ids.ServerId, Load]
NO_LOAD: Load = (0, 0.0)

# Time after which a source that sends nothing counts as gone.
VALID_SECONDS = 1.5


def add(*load_by_servers: LoadByServer) -> dict[ids.ServerId, Load]:
    """Return the sum of loads."""
    total: dict[ids.ServerId, Load] = {}
    for load_by_server in load_by_servers:
        for server, (running, cache) in load_by_server.items():
            so_far = total.get(server, NO_LOAD)
            total[server] = (so_far[0] + running, so_far[1] + cache)
    return total


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    """What a source said last.

    :ivar valid_until: monotonic seconds
    """

    load_by_server: LoadByServer
    valid_until: float


class LoadTable:
    """The latest load that each source reports: a gateway or a whole zone."""

    def __init__(self, now: Callable[[], float] = timers.now):
        """Create a table without sources."""
        self._now = now
        self._heard_by_source: dict[str, _Heard] = {}
        self._total: dict[ids.ServerId, Load] | None = None

    def update(self, source: str, load_by_server: LoadByServer) -> None:
        """Replace what a source reported before."""
        self._heard_by_source[source] = _Heard(
            load_by_server, self._now() + VALID_SECONDS
        )
        self._total = None

    def sources(self) -> list[str]:
        """Return the sources that were heard lately."""
        self._drop_expired()
        return list(self._heard_by_source)

    def load_of(self, source: str) -> LoadByServer:
        """Return what a source reported lately, empty if nothing."""
        self._drop_expired()
        heard = self._heard_by_source.get(source)
        return heard.load_by_server if heard else {}

    def total(self) -> dict[ids.ServerId, Load]:
        """Return the load of all sources that were heard lately."""
        self._drop_expired()
        if self._total is None:
            self._total = add(
                *(h.load_by_server for h in self._heard_by_source.values())
            )
        return self._total

    def _drop_expired(self) -> None:
        now = self._now()
        expired = [
            source
            for source, heard in self._heard_by_source.items()
            if heard.valid_until <= now
        ]
        for source in expired:
            del self._heard_by_source[source]
            self._total = None
