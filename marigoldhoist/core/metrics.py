"""Counters, gauges and latency histograms of one daemon."""

import threading
from collections.abc import Iterator
from typing import Final

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge
from prometheus_client.core import SummaryMetricFamily
from prometheus_client.exposition import generate_latest

PREFIX: Final = 'marigoldhoist_'
US_PER_S: Final = 1_000_000
# Highest duration that the histograms can record, one hour.
MAX_DURATION_US: Final = 3600 * US_PER_S
SIGNIFICANT_DIGITS: Final = 2
PERCENTILES: Final = (50, 95, 99)
PERCENT: Final = 100


class LatencyHistogram:
    """An HDR histogram of durations, exported as a summary in seconds."""

    def __init__(self, name: str, description: str) -> None:
        self.name = name
        self.description = description
        self._lock = threading.Lock()
        self._histogram = HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)
        self._sum_s: float = 0

    def record(self, duration_s: float) -> None:
        """Record one duration, given in seconds."""
        with self._lock:
            self._histogram.record_value(max(1, int(duration_s * US_PER_S)))
            self._sum_s += duration_s

    def percentile_s(self, percentile: float) -> float:
        """Return a percentile in seconds; zero if nothing was recorded."""
        with self._lock:
            value_us = self._histogram.get_value_at_percentile(percentile)
        return float(value_us) / US_PER_S

    def collect(self) -> Iterator[SummaryMetricFamily]:
        """Yield the histogram as a Prometheus summary."""
        family = SummaryMetricFamily(PREFIX + self.name, self.description)
        with self._lock:
            count = self._histogram.get_total_count()
            family.add_metric([], count_value=count, sum_value=self._sum_s)
        for percentile in PERCENTILES:
            family.add_sample(
                PREFIX + self.name,
                {'quantile': str(percentile / PERCENT)},
                self.percentile_s(percentile),
            )
        yield family


class Metrics:
    """Creates, registers and exposes the metrics of one daemon."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry(auto_describe=False)

    def counter(
        self, name: str, description: str, labels: tuple[str, ...] = ()
    ) -> Counter:
        """Create a counter."""
        return Counter(
            PREFIX + name, description, labels, registry=self._registry
        )

    def gauge(
        self, name: str, description: str, labels: tuple[str, ...] = ()
    ) -> Gauge:
        """Create a gauge."""
        return Gauge(
            PREFIX + name, description, labels, registry=self._registry
        )

    def latency(self, name: str, description: str) -> LatencyHistogram:
        """Create a latency histogram; its name must end in `_seconds`."""
        histogram = LatencyHistogram(name, description)
        self._registry.register(histogram)
        return histogram

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
