"""Counters, gauges and histograms: served, sent by statsd, and for status."""

import collections
from collections.abc import Callable
from collections.abc import Iterator

import prometheus_client
from prometheus_client import core
from prometheus_client import registry
import statsd

from burdockmast.base import addresses
from burdockmast.base import ids

NAMESPACE = 'burdockmast'
# Counters whose last part is a label, so that dashboards can add them up.
LABEL_BY_PREFIX = {
    'refusals': 'reason',
    'answers.attempt_failed': 'reason',
}
# Upper ends of histograms, in seconds. The target's 26 ms between tokens and
# 0.32 s for the first one are among them.
BUCKET_BOUNDS_SECONDS = (
    0.001, 0.002, 0.005, 0.01, 0.026, 0.05, 0.1, 0.2, 0.32, 0.5, 1.0, 2.0,
    5.0, 10.0, 30.0, 60.0,
)  # fmt: skip


class Metrics:
    """Metrics of one process.

    Values are kept in memory, for the metrics address and for operators'
    queries; with an address they are also sent to a statsd server over UDP.
    """

    def __init__(self, client: statsd.StatsClient | None = None):
        """Create metrics that are sent through ``client``, if given."""
        self._client = client
        self.count_by_name: collections.Counter[str] = collections.Counter()
        self.registry = prometheus_client.CollectorRegistry()
        self._gauge_by_name: dict[str, Callable[[], float]] = {}
        self._histogram_by_name: dict[str, prometheus_client.Histogram] = {}
        self.registry.register(_Collector(self))

    @classmethod
    def from_config(cls, address: str, role: str) -> 'Metrics':
        """Build metrics of a role.

        :param address: ``IP:port`` of the statsd server; empty for none
        """
        if not address:
            return cls()
        host, port = addresses.split(ids.Address(address))
        prefix = f'{NAMESPACE}.{role}'
        return cls(statsd.StatsClient(host, port, prefix=prefix))

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.count_by_name[name] += amount
        if self._client:
            self._client.incr(name, amount)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Serve what ``read`` returns whenever metrics are asked for."""
        self._gauge_by_name[name] = read

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = prometheus_client.Histogram(
                _exposed(f'{name}.seconds'),
                f'Durations of {name}',
                buckets=BUCKET_BOUNDS_SECONDS,
                registry=self.registry,
            )
            self._histogram_by_name[name] = histogram
        histogram.observe(seconds)
        if self._client:
            self._client.timing(name, seconds * 1000)

    def families(self) -> Iterator[core.Metric]:
        """Yield counters and gauges in the form that is served."""
        labelled: dict[str, core.CounterMetricFamily] = {}
        for name, count in sorted(self.count_by_name.items()):
            prefix, _, last = name.rpartition('.')
            label = LABEL_BY_PREFIX.get(prefix)
            if label is None:
                yield core.CounterMetricFamily(
                    _exposed(name), f'Count of {name}', value=count
                )
                continue
            if prefix not in labelled:
                labelled[prefix] = core.CounterMetricFamily(
                    _exposed(prefix), f'Count of {prefix}', labels=[label]
                )
            labelled[prefix].add_metric([last], count)
        yield from labelled.values()
        for name, read in self._gauge_by_name.items():
            yield core.GaugeMetricFamily(
                _exposed(name), f'Value of {name}', value=read()
            )


class _Collector(registry.Collector):
    """Reads counters when they are asked for, so that counting is cheap."""

    def __init__(self, measures: Metrics):
        self._measures = measures

    def collect(self) -> Iterator[core.Metric]:
        return self._measures.families()

    def describe(self) -> list[core.Metric]:
        return []


def _exposed(name: str) -> str:
    return f'{NAMESPACE}_{name.replace(".", "_")}'
