"""Tests of latency histograms."""

from __future__ import annotations

import pytest

from foldhoist.observe.latencies import Latencies


def test_percentiles_are_within_the_precision() -> None:
    latencies = Latencies()
    for value in range(1, 10_001):
        latencies.record("call", value)
    found = latencies.summary()["call"]
    assert found["count"] == 10_000
    assert found["p50"] == pytest.approx(5000, rel=0.02)
    assert found["p99"] == pytest.approx(9900, rel=0.02)
    assert latencies.summary()["call"]["count"] == 10_000
