"""What a cold upstream is given: no second holds more than it bears, wherever that begins."""

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
"""What the upstreams of these tests bear."""
MOMENTS = st.lists(st.floats(0.0, 0.4), min_size=1, max_size=120)
"""Times between two calls, seconds."""


def cold(until: float = 100.0) -> ColdStart:
    """Return an upstream that is cold, of which all is known since long."""
    found = ColdStart()
    found.set_rate(-100.0, RATE)
    found.extend(0.0, until)
    return found


def let_in(gaps: list[float], may_start: Callable[[float], bool]) -> list[float]:
    """Return when calls start that come with these gaps."""
    now = 0.0
    starts: list[float] = []
    for gap in gaps:
        now += gap
        if may_start(now):
            starts.append(now)
    return starts


def most_in_a_second(starts: list[float]) -> int:
    return max((sum(1 for at in starts if end - 1.0 < at <= end) for end in starts), default=0)


@given(MOMENTS)
def test_no_second_holds_more_than_is_borne(gaps: list[float]) -> None:
    upstream = cold()

    def may_start(now: float) -> bool:
        may = upstream.may_start(now)
        if may:
            upstream.record_start(now)
        return may

    starts = let_in(gaps, may_start)
    assert most_in_a_second(starts) <= RATE.per_s
    assert starts


def test_a_bucket_of_as_many_tokens_lets_nearly_twice_as_many_in() -> None:
    """Why a window slides instead: 8 at once, then one each 125 ms, are 15 in a second."""
    bucket = TokenBucket(RATE.per_s, RATE.per_s, 0.0)
    starts = let_in([0.0] * 20 + [0.01] * 200, bucket.take)
    assert most_in_a_second(starts) == 15


def test_what_it_got_before_it_was_known_to_be_cold_counts() -> None:
    upstream = ColdStart()
    upstream.set_rate(-100.0, RATE)
    for number in range(12):
        assert upstream.may_start(number * 0.01)
        upstream.record_start(number * 0.01)
    upstream.set_remaining(0.2, 3.0)
    assert upstream.is_overloaded(0.2)
    assert not upstream.may_start(0.9)
    assert upstream.may_start(1.2)


def test_a_daemon_that_has_just_started_knows_nothing_of_the_second_before() -> None:
    upstream = ColdStart()
    upstream.set_rate(5.0, RATE)
    upstream.extend(5.1, 3.0)
    assert not upstream.may_start(5.9)
    assert upstream.may_start(6.0)


def test_a_late_word_does_not_end_it_and_an_answer_of_now_does() -> None:
    upstream = cold(until=3.0)
    upstream.extend(0.5, 0.0)
    upstream.extend(0.5, 1.0)
    assert upstream.is_cold(2.9)
    assert not upstream.is_cold(3.0)
    upstream.extend(3.5, 3.0)
    upstream.set_remaining(4.0, 0.0)
    assert not upstream.is_cold(4.0)


def test_the_word_of_the_life_before_ends_with_it() -> None:
    upstream = cold(until=60.0)
    upstream.reset_on_replacement()
    assert not upstream.is_cold(0.1)


def test_one_that_was_given_nothing_for_a_while_is_taken_for_cold() -> None:
    upstream = ColdStart()
    upstream.set_rate(-100.0, RATE)
    upstream.assume_cold(1.0)
    assert upstream.is_cold(3.9)
    assert not upstream.is_cold(4.0)


def test_nothing_is_held_back_where_it_is_not_known_what_is_borne() -> None:
    upstream = ColdStart()
    upstream.set_rate(0.0, ColdRate())
    upstream.extend(0.0, 60.0)
    for _ in range(100):
        assert upstream.may_start(0.0)
        upstream.record_start(0.0)


def test_a_rate_below_one_call_a_second_spans_more_than_a_second() -> None:
    upstream = ColdStart()
    upstream.set_rate(-100.0, ColdRate(0.5, 30.0))
    upstream.extend(0.0, 30.0)
    upstream.record_start(0.0)
    assert upstream.ready_at(1.0) == 2.0
    assert upstream.ready_at(1.0, ahead=1) == 4.0


def test_the_queue_starts_what_is_borne_and_says_when_the_next_may_start() -> None:
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


def test_what_an_earlier_life_of_the_daemon_sent_counts_from_when_this_one_began() -> None:
    upstream = ColdStart()
    upstream.set_rate(0.7, ColdRate(5.0, 3.0), began=0.1)
    upstream.extend(0.7, 3.0)
    assert not upstream.may_start(0.7)
    assert upstream.ready_at(0.7) == pytest.approx(1.1)
    late = ColdStart()
    late.set_rate(0.7, ColdRate(5.0, 3.0), began=9.0)
    late.extend(0.7, 3.0)
    assert late.ready_at(0.7) == pytest.approx(1.7)


def test_what_is_borne_beyond_the_rate_is_used_in_part_and_never_wholly() -> None:
    rate = ColdRate(5.5, 3.0)
    assert rate.with_tolerance(Tolerance()) == rate
    used = rate.with_tolerance(Tolerance(1.5, 8.0)).per_s
    assert rate.per_s < used < 5.5 * 1.5 + 8.0
    assert ColdRate().with_tolerance(Tolerance(1.5, 8.0)).per_s == 0.0
