"""Counters, gauges and timings, sent by statsd and kept for status."""

import collections

import statsd

from burdockmast.base import addresses
from burdockmast.base import ids

# Samples kept for each timing, for the status page.
TIMING_SAMPLES = 512


class Metrics:
    """Metrics of one process.

    Values are kept in memory for operators' queries; with an address they
    are also sent to a statsd server over UDP.
    """

    def __init__(self, client: statsd.StatsClient | None = None):
        """Create metrics that are sent through ``client``, if given."""
        self._client = client
        self.count_by_name: collections.Counter[str] = collections.Counter()
        self.gauge_by_name: dict[str, float] = {}
        self.timings_by_name: dict[str, collections.deque] = {}

    @classmethod
    def from_config(cls, address: str, role: str) -> 'Metrics':
        """Build metrics of a role.

        :param address: ``IP:port`` of the statsd server; empty for none
        """
        if not address:
            return cls()
        host, port = addresses.split(ids.Address(address))
        prefix = f'burdockmast.{role}'
        return cls(statsd.StatsClient(host, port, prefix=prefix))

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.count_by_name[name] += amount
        if self._client:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauge_by_name[name] = value
        if self._client:
            self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""
        samples = self.timings_by_name.get(name)
        if samples is None:
            samples = collections.deque(maxlen=TIMING_SAMPLES)
            self.timings_by_name[name] = samples
        samples.append(seconds)
        if self._client:
            self._client.timing(name, seconds * 1000)
