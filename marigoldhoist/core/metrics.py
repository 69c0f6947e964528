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
LONGEST_US: Final = 3600 * US_PER_S
SIGNIFICANT_DIGITS: Final = 2
PERCENTILES: Final = (50, 95, 99)
PER_CENT: Final = 100


class Latency:
    """Durations of one kind, in seconds, kept in an HDR histogram."""

    def __init__(self, name: str, description: str) -> None:
        self.name = name
        self.description = description
        self._lock = threading.Lock()
        self._histogram = HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
        self._sum_s: float = 0

    def record(self, duration_s: float) -> None:
        """Count one duration."""
        with self._lock:
            self._histogram.record_value(max(1, int(duration_s * US_PER_S)))
            self._sum_s += duration_s

    def quantile_s(self, per_cent: float) -> float:
        """Return a percentile in seconds, zero where nothing was counted."""
        with self._lock:
            found = self._histogram.get_value_at_percentile(per_cent)
        return float(found) / US_PER_S

    def collect(self) -> Iterator[SummaryMetricFamily]:
        """Yield the histogram as a Prometheus summary."""
        family = SummaryMetricFamily(PREFIX + self.name, self.description)
        with self._lock:
            count = self._histogram.get_total_count()
            family.add_metric([], count_value=count, sum_value=self._sum_s)
        for per_cent in PERCENTILES:
            family.add_sample(
                PREFIX + self.name,
                {'quantile': str(per_cent / PER_CENT)},
                self.quantile_s(per_cent),
            )
        yield family


class Metrics:
    """All metrics of one daemon, by name."""

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

    def latency(self, name: str, description: str) -> Latency:
        """Create a latency histogram; the name ends in `_seconds`."""
        created = Latency(name, description)
        self._registry.register(created)
        return created

    def exposition(self) -> bytes:
        """Return everything in the Prometheus text form."""
        return generate_latest(self._registry)
