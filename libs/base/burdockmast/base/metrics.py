"""Counters, gauges and histograms, for Prometheus, statsd and status."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

import prometheus_client
from prometheus_client import core
from prometheus_client import registry
import statsd

from burdockmast.base import addresses
from burdockmast.base import ids

NAMESPACE = 'burdockmast'
# Counters whose last part is exported as a label, so that dashboards can
# sum them.
LABEL_BY_PREFIX = {
    'refusals': 'reason',
    'answers.attempt_failed': 'reason',
}
# Includes the targets: 26 ms between tokens and 0.32 s to the first token.
BUCKET_BOUNDS_SECONDS = (
    0.001, 0.002, 0.005, 0.01, 0.026, 0.05, 0.1, 0.2, 0.32, 0.5, 1.0, 2.0,
    5.0, 10.0, 30.0, 60.0,
)  # fmt: skip


class Metrics:
    """Metrics of one process.

    Values are kept in memory for the metrics endpoint and for operators'
    queries. With a statsd client, counters and timings are also sent over
    UDP.
    """

    def __init__(self, client: statsd.StatsClient | None = None):
        """Create metrics that are also sent through ``client``, if given."""
        self._client = client
        self.count_by_name: collections.Counter[str] = collections.Counter()
        self.registry = prometheus_client.CollectorRegistry()
        self._gauge_by_name: dict[str, Callable[[], float]] = {}
        self._labelled_gauge_by_name: dict[
            str, tuple[str, Callable[[], Mapping[str, float]]]
        ] = {}
        self._histogram_by_name: dict[str, prometheus_client.Histogram] = {}
        self.registry.register(_Collector(self))

    @classmethod
    def from_config(cls, address: str, role: str) -> 'Metrics':
        """Build the metrics of a process.

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
        """Export a gauge whose value ``read`` returns at each scrape."""
        self._gauge_by_name[name] = read

    def gauges(
        self, name: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Export a gauge for each value of a label, of which there are few.

        :param read: returns the gauges by their labels' values
        """
        self._labelled_gauge_by_name[name] = label, read

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = prometheus_client.Histogram(
                _prometheus_name(f'{name}.seconds'),
                f'Durations of {name}',
                buckets=BUCKET_BOUNDS_SECONDS,
                registry=self.registry,
            )
            self._histogram_by_name[name] = histogram
        histogram.observe(seconds)
        if self._client:
            self._client.timing(name, seconds * 1000)

    def families(self) -> Iterator[core.Metric]:
        """Yield counters and gauges as Prometheus metric families."""
        labelled: dict[str, core.CounterMetricFamily] = {}
        for name, count in sorted(self.count_by_name.items()):
            prefix, _, last = name.rpartition('.')
            label = LABEL_BY_PREFIX.get(prefix)
            if label is None:
                yield core.CounterMetricFamily(
                    _prometheus_name(name), f'Count of {name}', value=count
                )
                continue
            if prefix not in labelled:
                labelled[prefix] = core.CounterMetricFamily(
                    _prometheus_name(prefix),
                    f'Count of {prefix}',
                    labels=[label],
                )
            labelled[prefix].add_metric([last], count)
        yield from labelled.values()
        for name, read in self._gauge_by_name.items():
            yield core.GaugeMetricFamily(
                _prometheus_name(name), f'Value of {name}', value=read()
            )
        for name, (label, read) in self._labelled_gauge_by_name.items():
            family = core.GaugeMetricFamily(
                _prometheus_name(name), f'Value of {name}', labels=[label]
            )
            for value, number in read().items():
                family.add_metric([value], number)
            yield family


class _Collector(registry.Collector):
    """Exports counters at each scrape, so that counting is cheap."""

    def __init__(self, measures: Metrics):
        self._measures = measures

    def collect(self) -> Iterator[core.Metric]:
        return self._measures.families()

    def describe(self) -> list[core.Metric]:
        return []


def _prometheus_name(name: str) -> str:
    return f'{NAMESPACE}_{name.replace(".", "_")}'
