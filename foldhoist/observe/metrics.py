"""Exports counters, gauges and latencies in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, SummaryMetricFamily
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import CollectorRegistry

from foldhoist.observe.latencies import PERCENTILES, Latencies

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class Metrics:
    """Collector that reads the daemon's counters and gauges each time metrics are requested."""

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
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def collect(self) -> Iterable[Any]:
        """Yield all metric families; called by the registry."""
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
    for percentile in PERCENTILES:
        labels = {"quantile": f"{percentile / 100:g}"}
        family.add_sample(f"foldhoist_{name}_seconds", labels, entry[f"p{percentile:g}"] / 1e6)
    return family
