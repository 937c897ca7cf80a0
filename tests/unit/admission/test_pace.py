"""Tests of waiting for the end of a slow period of the upstream."""

from __future__ import annotations

from foldhoist.admission.due import DueQueue, QueuedCall
from foldhoist.admission.pace import DEFAULT_SLOW_PERIOD_S, MAX_AGE_S, PaceMonitor
from foldhoist.admission.slots import QueueLimits, Refuse, Start, Wait

LONG_S = 0.3
SHORT_S = 0.01


def slow_at(now: float, pace: int = 500) -> PaceMonitor:
    monitor = PaceMonitor()
    monitor.record(now, pace)
    return monitor


def test_only_long_calls_wait_for_the_end_of_a_slow_period() -> None:
    assert slow_at(1.0).is_worth_waiting(1.0, LONG_S)
    assert not slow_at(1.0).is_worth_waiting(1.0, SHORT_S)
    assert not slow_at(1.0, 110).is_worth_waiting(1.0, LONG_S)
    assert not PaceMonitor().is_worth_waiting(1.0, LONG_S)


def test_an_old_pace_is_ignored() -> None:
    assert not slow_at(1.0).is_worth_waiting(1.0 + MAX_AGE_S + 0.01, LONG_S)


def test_calls_do_not_wait_for_an_upstream_that_stays_slow() -> None:
    monitor = PaceMonitor()
    waited = 0.0
    for step in range(200):
        monitor.record(step * 0.02, 500)
        if monitor.is_worth_waiting(step * 0.02, LONG_S):
            waited = step * 0.02
    assert DEFAULT_SLOW_PERIOD_S < waited < LONG_S * 4.5


def test_only_longer_calls_wait_if_slow_periods_are_long() -> None:
    monitor = PaceMonitor()
    for period in range(60):
        for step in range(40):
            monitor.record(period + step * 0.02, 500)
        monitor.record(period + 0.8, 100)
    monitor.record(100.0, 500)
    assert not monitor.is_worth_waiting(100.0, 0.15)
    assert monitor.is_worth_waiting(100.0, 0.25)


def test_a_long_call_starts_after_the_slow_period_and_a_short_one_within_it() -> None:
    slots = DueQueue(QueueLimits(4, 10, 0, 8))
    slots.pace.record(0.0, 500)
    assert slots.submit(0.0, 1, QueuedCall(1.0, 0.6, LONG_S, 3.0)) == Wait(1)
    assert slots.submit(0.0, 2, QueuedCall(0.9, 0.6, SHORT_S, 3.0)) == Start(2)
    assert slots.advance(0.02) == []
    slots.pace.record(0.1, 100)
    assert slots.advance(0.1) == [Start(1)]


def test_a_call_that_waits_in_a_slow_period_is_refused_at_start_by() -> None:
    slots = DueQueue(QueueLimits(4, 10, 0, 8))
    for step in range(10):
        slots.pace.record(step * 0.05, 500)
    assert slots.submit(0.45, 1, QueuedCall(1.0, 0.58, LONG_S, 3.0)) == Wait(1)
    assert slots.expire(0.57) == []
    assert [type(each) for each in slots.expire(0.58)] == [Refuse]
