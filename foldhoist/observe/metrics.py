"""Latency histograms, and all counters in the text format of the usual metrics systems."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, SummaryMetricFamily
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import CollectorRegistry

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from _typeshed import DataclassInstance

LONGEST_US = 600_000_000
"""Longest latency that a histogram holds, microseconds."""
DIGITS = 2
"""Significant decimal digits of a histogram."""
KEPT_BITS = 8
"""Bits of a value that are kept, which is more than the digits above need."""
QUANTILES = (50.0, 90.0, 99.0, 99.9)
"""Percentiles that are shown."""


class Latencies:
    """Histograms by name; values are microseconds."""

    NAMES = ("call", "added", "queue", "upstream")

    def __init__(self) -> None:
        self._by_name = {name: HdrHistogram(1, LONGEST_US, DIGITS) for name in self.NAMES}
        self._fresh: dict[str, dict[int, int]] = {name: {} for name in self.NAMES}

    def record(self, name: str, value_us: float) -> None:
        """Add one value; it goes to its histogram when that is read, which costs less."""
        value = int(value_us)
        if value < 1:
            value = 1
        drop = value.bit_length() - KEPT_BITS
        if drop > 0:
            value = value >> drop << drop
        fresh = self._fresh[name]
        fresh[value] = fresh.get(value, 0) + 1

    def summary(self) -> dict[str, dict[str, float]]:
        """Return count and percentiles of each histogram, microseconds."""
        self._settle()
        shown: dict[str, dict[str, float]] = {}
        for name, histogram in self._by_name.items():
            entry = {"count": float(histogram.get_total_count())}
            for quantile in QUANTILES:
                entry[f"p{quantile:g}"] = float(histogram.get_value_at_percentile(quantile))
            shown[name] = entry
        return shown

    def _settle(self) -> None:
        for name, fresh in self._fresh.items():
            for value, times in fresh.items():
                self._by_name[name].record_value(value, times)
            fresh.clear()


def counters_of(counters: DataclassInstance) -> dict[str, int]:
    """Return the counters of one of the Counters classes."""
    return asdict(counters)


class Metrics:
    """Reads counters and gauges at the moment they are asked for; counting costs nothing more."""

    def __init__(
        self,
        latencies: Latencies,
        counters: Callable[[], dict[str, dict[str, int]]],
        gauges: Callable[[], dict[str, float]],
    ) -> None:
        self._latencies = latencies
        self._counters = counters
        self._gauges = gauges
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(self)

    def text(self) -> bytes:
        """Return everything in the Prometheus text format."""
        return generate_latest(self._registry)

    def collect(self) -> Iterable[Any]:
        """Give every family; called by the registry."""
        for part, counters in self._counters().items():
            for name, value in counters.items():
                family = CounterMetricFamily(f"foldhoist_{part}_{name}", f"{part}: {name}")
                family.add_metric([], value)
                yield family
        for name, gauge in self._gauges().items():
            yield GaugeMetricFamily(f"foldhoist_{name}", name, value=gauge)
        for name, entry in self._latencies.summary().items():
            yield _summary(name, entry)


def _summary(name: str, entry: dict[str, float]) -> SummaryMetricFamily:
    family = SummaryMetricFamily(f"foldhoist_{name}_seconds", f"latency of {name}")
    family.add_metric([], count_value=int(entry["count"]), sum_value=0)
    for quantile in QUANTILES:
        labels = {"quantile": f"{quantile / 100:g}"}
        family.add_sample(f"foldhoist_{name}_seconds", labels, entry[f"p{quantile:g}"] / 1e6)
    return family
