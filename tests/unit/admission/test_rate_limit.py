"""An upstream gets no more calls than its rate limit allows, in any window.

Guards against bursts after a pause, and against calls that came before the limit was set.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foldhoist.admission.rate_limit import MIN_RATE_PER_S, RateLimit, StartCounts

WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
"""A window may hold this many calls beyond 1.5 times what the limit allows."""
STEP_S = 0.01
"""Time between two calls that want to start, seconds."""


def start_all(limit: RateLimit, since: float, until: float) -> list[float]:
    """Let a call want to start at each step; return when they do."""
    starts: list[float] = []
    for step in range(int(since / STEP_S), int(until / STEP_S)):
        now = step * STEP_S
        if limit.may_start(now):
            limit.record_start(now)
            starts.append(now)
    return starts


def most_in_a_window(starts: list[float], since: float = 0.0) -> int:
    ends = [at for at in starts if at >= since]
    return max((sum(1 for at in starts if end - WINDOW_S < at <= end) for end in ends), default=0)


@given(
    per_s=st.floats(0.0, 40.0),
    before_s=st.floats(0.0, 3.0),
    pauses=st.lists(st.floats(0.0, 3.0), max_size=3),
)
def test_a_window_holds_more_than_the_limit_allows(
    per_s: float, before_s: float, pauses: list[float]
) -> None:
    """Calls start freely before the limit is set, and are always waiting after each pause."""
    limit = RateLimit()
    now = before_s
    starts = start_all(limit, 0.0, before_s)
    limit.set(now, per_s, unlimited_at=now)
    for pause_s in (0.0, *pauses):
        now += pause_s
        starts += start_all(limit, now, now + 2.0)
        now += 2.0
    allowed = OVERAGE * WINDOW_S * per_s + SLACK
    assert most_in_a_window(starts, before_s + 3.0) <= allowed


@pytest.mark.parametrize("per_s", [2.0, 6.5, 30.0])
def test_half_of_the_limit_is_left_unused(per_s: float) -> None:
    limit = RateLimit()
    limit.set(0.0, per_s, unlimited_at=0.0)
    starts = start_all(limit, 0.0, 20.0)
    assert len(starts) >= 0.95 * per_s * 20.0 - 1


@pytest.mark.parametrize("lower_per_s", [1.0, 5.0, 15.0])
def test_calls_of_a_higher_limit_are_forgotten_when_it_falls(lower_per_s: float) -> None:
    limit = RateLimit()
    limit.set(0.0, 20.0, unlimited_at=0.0)
    starts = start_all(limit, 0.0, 6.0)
    limit.set(6.0, lower_per_s)
    starts += start_all(limit, 6.0, 14.0)
    assert most_in_a_window(starts, 9.0) <= OVERAGE * WINDOW_S * lower_per_s + SLACK


def test_a_limit_that_ends_and_returns_starts_anew() -> None:
    limit = RateLimit()
    limit.set(0.0, 5.0, unlimited_at=0.0)
    starts = start_all(limit, 0.0, 4.0)
    limit.end()
    starts += start_all(limit, 4.0, 4.5)
    limit.set(4.5, 5.0)
    after = start_all(limit, 4.5, 12.0)
    assert len([at for at in after if at < 6.0]) == 0
    assert after


def test_a_limit_of_zero_ends_all_calls_so_that_nobody_learns_of_its_end() -> None:
    limit = RateLimit()
    limit.set(0.0, 0.0, unlimited_at=0.0)
    starts = start_all(limit, 0.0, 20.0)
    assert 20.0 * MIN_RATE_PER_S - 1 <= len(starts) <= 20.0 * MIN_RATE_PER_S
    assert most_in_a_window(starts) <= SLACK


def test_a_restarted_owner_uses_the_limit_twice() -> None:
    """It assumes that its earlier incarnation used the whole rate up to the restart."""
    earlier = RateLimit()
    earlier.set(0.0, 10.0, unlimited_at=0.0)
    starts = start_all(earlier, 0.0, 10.0)
    later = RateLimit()
    later.set(10.2, 10.0)
    later.assume_starts(10.2, 0.0, 10.0)
    starts += start_all(later, 10.2, 20.0)
    assert most_in_a_window(starts) <= OVERAGE * WINDOW_S * 10.0 + SLACK
    assert len([at for at in starts if at >= 10.2]) >= 0.9 * 10.0 * 9.8


@pytest.mark.parametrize("limited_at", [7.0, 9.0, 9.9])
def test_calls_from_before_the_limit_are_forgotten_by_a_restarted_owner(limited_at: float) -> None:
    earlier = RateLimit()
    starts = start_all(earlier, 0.0, limited_at)
    earlier.set(limited_at, 2.0, unlimited_at=limited_at)
    starts += start_all(earlier, limited_at, 10.0)
    later = RateLimit()
    later.set(10.2, 2.0)
    later.assume_starts(10.2, limited_at, 10.0)
    after = start_all(later, 10.2, 20.0)
    assert most_in_a_window(starts + after, limited_at + 3.0) <= OVERAGE * WINDOW_S * 2.0 + SLACK
    assert after[0] < limited_at + WINDOW_S + 1.0


def test_refused_calls_get_the_same_retry_time() -> None:
    limit = RateLimit()
    limit.set(0.0, 2.0, unlimited_at=0.0)
    starts = [limit.reserve_start(0.0, 1, 10.0) for _ in range(4)]
    assert [round(at, 3) for at in starts] == [1.0, 1.5, 2.0, 2.5]
    assert limit.reserve_start(0.0, 1, 2.0) == limit.reserve_start(0.0, 1, 2.0) == 3.0


@pytest.mark.parametrize("per_s", [float("nan"), float("inf"), -1.0, 1e300])
def test_a_rate_that_is_no_rate_stops_the_owner(per_s: float) -> None:
    limit = RateLimit()
    limit.set(0.0, per_s, unlimited_at=0.0)
    assert start_all(limit, 0.0, 5.0)


def test_starts_leave_the_window_after_its_length() -> None:
    counts = StartCounts()
    counts.add(0.1)
    counts.add(0.2, 4)
    assert counts.total(4.2) == 5
    assert counts.room_at(1.0, 5) == pytest.approx(4.25)
    assert counts.room_at(1.0, 6) == 1.0
    assert counts.total(4.3) == 0
