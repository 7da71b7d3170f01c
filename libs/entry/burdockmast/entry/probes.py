"""Looks whether a silent peer still answers, by a fresh connection.

A heartbeat that is missed says so only after seconds, and an open
connection may be silent while the peer is well. A greeting over a new
connection tells within a few round trips.
"""

from collections.abc import Callable

import eventlet

from burdockmast.base import addresses
from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import metrics
from burdockmast.base import timeline
from burdockmast.base import timers
from burdockmast.wire import connections
from burdockmast.wire import peers

# Shortest time between two probes of a peer, in seconds.
MIN_INTERVAL_SECONDS = 1.0
# Seconds that a peer has to greet, and the same in round trips to it.
MIN_GREETING_SECONDS = 0.3
GREETING_ROUND_TRIPS = 6


class Prober:
    """Probes of one process, at most one of each peer at a time."""

    def __init__(
        self,
        connections: peers.Peers,
        measures: metrics.Metrics,
        events: timeline.Timeline,
        on_silent: Callable[[ids.Address], None],
    ):
        """Create a prober.

        :param silent: called with the address of a peer that did not greet
        """
        self._peers = connections
        self._metrics = measures
        self._events = events
        self._on_silent = on_silent
        self._probed_at_by_address: dict[ids.Address, float] = {}

    def probe(self, address: ids.Address) -> None:
        """Probe a peer in a task of its own, unless one was just made."""
        now = timers.now()
        probed_at = self._probed_at_by_address.get(address, float('-inf'))
        if now - probed_at < MIN_INTERVAL_SECONDS:
            return
        self._probed_at_by_address[address] = now
        eventlet.spawn(self._greet, address)

    def _greet(self, address: ids.Address) -> None:
        self._metrics.count('probes')
        failure = connections.greet(
            address,
            addresses.split(address),
            self._peers.hello,
            self._greeting_timeout(address),
        )
        if isinstance(failure, failures.Failure):
            self._metrics.count('probes.failed')
            self._events.add(
                'server.silent',
                peer=address,
                reason=failure.reason.value,
                step=failure.step,
                detail=failure.detail,
            )
            self._on_silent(address)

    def _greeting_timeout(self, address: ids.Address) -> float:
        link = self._peers.link_by_address.get(address)
        rtt = link.rtt if link else 0.0
        return max(MIN_GREETING_SECONDS, GREETING_ROUND_TRIPS * rtt)
