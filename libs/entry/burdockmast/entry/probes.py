"""Probes whether a silent peer is alive, over a new connection.

Missed heartbeats reveal a dead peer only after seconds, and an open
connection may be silent while the peer is alive. An exchange of Hellos on a
new connection takes a few round trips.
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

# Minimum time between two probes of a peer.
MIN_INTERVAL_SECONDS = 1.0
# Time limit for the peer's Hello: the longer of a fixed time and a number of
# round trips.
MIN_GREETING_TIMEOUT_SECONDS = 0.3
GREETING_ROUND_TRIPS = 6


class Prober:
    """Probes peers of one process, each at a limited rate."""

    def __init__(
        self,
        known_peers: peers.Peers,
        measures: metrics.Metrics,
        events: timeline.Timeline,
        on_silent: Callable[[ids.Address], None],
    ):
        """Create a prober.

        :param on_silent: called with the address of a peer that sent no Hello
        """
        self._peers = known_peers
        self._metrics = measures
        self._events = events
        self._on_silent = on_silent
        self._probed_at_by_address: dict[ids.Address, float] = {}

    def probe(self, address: ids.Address) -> None:
        """Probe a peer in a new task, unless it was probed recently."""
        now = timers.now()
        probed_at = self._probed_at_by_address.get(address, float('-inf'))
        if now - probed_at < MIN_INTERVAL_SECONDS:
            return
        self._probed_at_by_address[address] = now
        eventlet.spawn(self._greet, address)

    def _greet(self, address: ids.Address) -> None:
        self._metrics.count('probes')
        failure = connections.probe(
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
        return max(MIN_GREETING_TIMEOUT_SECONDS, GREETING_ROUND_TRIPS * rtt)
