"""Latency histograms; values are microseconds."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 600_000_000
"""Largest latency that a histogram records, microseconds."""
SIGNIFICANT_DIGITS = 2
"""Significant decimal digits that a histogram preserves."""
SIGNIFICANT_BITS = 8
"""Leading bits kept of a value: more precise than `SIGNIFICANT_DIGITS` requires."""
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
"""Percentiles in summaries and metrics."""


class Latencies:
    """Histograms by name; values are microseconds."""

    NAMES = ("call", "added", "queue", "upstream")

    def __init__(self) -> None:
        self._by_name = {
            name: HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS) for name in self.NAMES
        }
        self._pending: dict[str, dict[int, int]] = {name: {} for name in self.NAMES}

    def record(self, name: str, value_us: float) -> None:
        """Add one value; values are batched, and moved to the histogram when it is read."""
        value = int(value_us)
        if value < 1:
            value = 1
        excess_bits = value.bit_length() - SIGNIFICANT_BITS
        if excess_bits > 0:
            value = value >> excess_bits << excess_bits
        pending = self._pending[name]
        pending[value] = pending.get(value, 0) + 1

    def summary(self) -> dict[str, dict[str, float]]:
        """Return count and percentiles of each histogram, microseconds."""
        self._flush()
        summaries: dict[str, dict[str, float]] = {}
        for name, histogram in self._by_name.items():
            entry = {"count": float(histogram.get_total_count())}
            for percentile in PERCENTILES:
                entry[f"p{percentile:g}"] = float(histogram.get_value_at_percentile(percentile))
            summaries[name] = entry
        return summaries

    def _flush(self) -> None:
        for name, pending in self._pending.items():
            for value, count in pending.items():
                self._by_name[name].record_value(value, count)
            pending.clear()
