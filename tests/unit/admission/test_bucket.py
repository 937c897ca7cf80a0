"""Tests of token buckets."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from foldhoist.admission.bucket import TokenBucket


@given(
    rate=st.floats(0.1, 1000),
    burst=st.floats(1, 100),
    gaps=st.lists(st.floats(0, 2), min_size=1, max_size=200),
)
def test_never_more_than_burst_and_rate(rate: float, burst: float, gaps: list[float]) -> None:
    bucket = TokenBucket(rate, burst, 0.0)
    now, spent = 0.0, 0
    for gap in gaps:
        now += gap
        while spent < 10_000 and bucket.take(now):
            spent += 1
        assert spent <= burst + rate * now + 1e-6


def test_wait_returns_the_time_until_a_token_is_available() -> None:
    bucket = TokenBucket(2.0, 1.0, 0.0)
    assert bucket.take(0.0)
    assert not bucket.take(0.1)
    assert bucket.take(0.1 + bucket.wait(0.1) + 1e-9)
