"""Latency histograms; values are microseconds."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

LONGEST_US = 600_000_000
"""Longest latency that a histogram holds, microseconds."""
DIGITS = 2
"""Significant decimal digits of a histogram."""
KEPT_BITS = 8
"""Bits of a value that are kept, which is more than the digits above need."""
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
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
            for quantile in PERCENTILES:
                entry[f"p{quantile:g}"] = float(histogram.get_value_at_percentile(quantile))
            shown[name] = entry
        return shown

    def _settle(self) -> None:
        for name, fresh in self._fresh.items():
            for value, times in fresh.items():
                self._by_name[name].record_value(value, times)
            fresh.clear()
