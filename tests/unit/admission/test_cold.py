"""Tests of the rate limit of a cold upstream, which holds for every window."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foldhoist.admission.bucket import TokenBucket
from foldhoist.admission.cold import ColdRate, ColdStart, Tolerance
from foldhoist.admission.due import DueQueue, QueuedCall
from foldhoist.admission.slots import QueueLimits, Refuse, Start, Wait

if TYPE_CHECKING:
    from collections.abc import Callable

RATE = ColdRate(8.0, 3.0)
"""Rate of the cold upstreams in these tests."""
GAPS = st.lists(st.floats(0.0, 0.4), min_size=1, max_size=120)
"""Times between two calls, seconds."""


def cold(until: float = 100.0) -> ColdStart:
    """Return an upstream that is cold until `until` and whose rate was set long before."""
    found = ColdStart()
    found.set_rate(-100.0, RATE)
    found.extend(0.0, until)
    return found


def admitted_starts(gaps: list[float], may_start: Callable[[float], bool]) -> list[float]:
    """Return the times at which calls with these gaps start."""
    now = 0.0
    starts: list[float] = []
    for gap in gaps:
        now += gap
        if may_start(now):
            starts.append(now)
    return starts


def most_in_a_second(starts: list[float]) -> int:
    return max((sum(1 for at in starts if end - 1.0 < at <= end) for end in starts), default=0)


@given(GAPS)
def test_no_second_has_more_starts_than_the_rate(gaps: list[float]) -> None:
    upstream = cold()

    def may_start(now: float) -> bool:
        may = upstream.may_start(now)
        if may:
            upstream.record_start(now)
        return may

    starts = admitted_starts(gaps, may_start)
    assert most_in_a_second(starts) <= RATE.per_s
    assert starts


def test_a_token_bucket_would_admit_nearly_twice_the_rate() -> None:
    """Shows why a sliding window is used: 8 tokens and one each 125 ms are 15 calls in a second."""
    bucket = TokenBucket(RATE.per_s, RATE.per_s, 0.0)
    starts = admitted_starts([0.0] * 20 + [0.01] * 200, bucket.take)
    assert most_in_a_second(starts) == 15


def test_starts_before_the_upstream_was_known_to_be_cold_count() -> None:
    upstream = ColdStart()
    upstream.set_rate(-100.0, RATE)
    for number in range(12):
        assert upstream.may_start(number * 0.01)
        upstream.record_start(number * 0.01)
    upstream.set_remaining(0.2, 3.0)
    assert upstream.is_overloaded(0.2)
    assert not upstream.may_start(0.9)
    assert upstream.may_start(1.2)


def test_a_full_window_is_assumed_when_the_rate_is_first_set() -> None:
    upstream = ColdStart()
    upstream.set_rate(5.0, RATE)
    upstream.extend(5.1, 3.0)
    assert not upstream.may_start(5.9)
    assert upstream.may_start(6.0)


def test_only_a_current_answer_shortens_the_cold_period() -> None:
    upstream = cold(until=3.0)
    upstream.extend(0.5, 0.0)
    upstream.extend(0.5, 1.0)
    assert upstream.is_cold(2.9)
    assert not upstream.is_cold(3.0)
    upstream.extend(3.5, 3.0)
    upstream.set_remaining(4.0, 0.0)
    assert not upstream.is_cold(4.0)


def test_the_cold_period_ends_when_the_upstream_is_replaced() -> None:
    upstream = cold(until=60.0)
    upstream.reset_on_replacement()
    assert not upstream.is_cold(0.1)


def test_an_upstream_assumed_to_be_cold_is_cold_for_a_period() -> None:
    upstream = ColdStart()
    upstream.set_rate(-100.0, RATE)
    upstream.assume_cold(1.0)
    assert upstream.is_cold(3.9)
    assert not upstream.is_cold(4.0)


def test_all_calls_may_start_if_the_rate_is_unknown() -> None:
    upstream = ColdStart()
    upstream.set_rate(0.0, ColdRate())
    upstream.extend(0.0, 60.0)
    for _ in range(100):
        assert upstream.may_start(0.0)
        upstream.record_start(0.0)


def test_a_rate_below_one_call_a_second_has_a_longer_window() -> None:
    upstream = ColdStart()
    upstream.set_rate(-100.0, ColdRate(0.5, 30.0))
    upstream.extend(0.0, 30.0)
    upstream.record_start(0.0)
    assert upstream.ready_at(1.0) == 2.0
    assert upstream.ready_at(1.0, ahead=1) == 4.0


def test_the_queue_keeps_to_the_rate_and_returns_when_the_next_call_may_start() -> None:
    queue = DueQueue(QueueLimits(20, 60, 0, 8))
    queue.cold.set_rate(-100.0, ColdRate(2.0, 3.0))
    queue.cold.extend(0.0, 60.0)
    urgent, usual = QueuedCall(2.0, 1.8, 0.1, 3.0), QueuedCall(2.5, 2.0, 0.1, 3.0, rank=1)
    assert type(queue.submit(0.0, 1, usual)) is Start
    assert type(queue.submit(0.0, 2, usual)) is Start
    assert type(queue.submit(0.1, 3, usual)) is Wait
    assert type(queue.submit(0.2, 4, urgent)) is Wait
    assert queue.next_at(0.2) == 1.0
    assert queue.advance(0.9) == []
    started = queue.advance(1.0)
    assert [type(each) for each in started] == [Start, Start]
    assert [each.ticket for each in started] == [4, 3]
    late = queue.submit(1.1, 5, QueuedCall(1.5, 1.4, 0.1, 2.0))
    assert isinstance(late, Refuse)
    assert late.retry_after_s > 0.8


def test_the_assumed_window_begins_when_the_process_began() -> None:
    upstream = ColdStart()
    upstream.set_rate(0.7, ColdRate(5.0, 3.0), began=0.1)
    upstream.extend(0.7, 3.0)
    assert not upstream.may_start(0.7)
    assert upstream.ready_at(0.7) == pytest.approx(1.1)
    late = ColdStart()
    late.set_rate(0.7, ColdRate(5.0, 3.0), began=9.0)
    late.extend(0.7, 3.0)
    assert late.ready_at(0.7) == pytest.approx(1.7)


def test_the_tolerance_raises_the_rate_by_a_part_of_the_slack() -> None:
    rate = ColdRate(5.5, 3.0)
    assert rate.with_tolerance(Tolerance()) == rate
    used = rate.with_tolerance(Tolerance(1.5, 8.0)).per_s
    assert rate.per_s < used < 5.5 * 1.5 + 8.0
    assert ColdRate().with_tolerance(Tolerance(1.5, 8.0)).per_s == 0.0
