"""Tests of the checks before a request's first attempt."""

from __future__ import annotations

from foldhoist.admission.completion import MAX_SLOWDOWN, MIN_RUN_S
from foldhoist.delivery.admission_checks import AdmissionChecks

STOP_AT = 10.0
LONG_CALLS_UNTIL = 4.0


def stopping() -> AdmissionChecks:
    checks = AdmissionChecks(100)
    checks.begin_shutdown(STOP_AT, LONG_CALLS_UNTIL)
    return checks


def test_calls_start_at_any_time_without_a_shutdown() -> None:
    assert AdmissionChecks(100).last_start(0.0, 1000.0) == float("inf")


def test_a_call_that_ends_before_the_process_may_start_at_any_time() -> None:
    assert stopping().last_start(5.0, STOP_AT) == float("inf")


def test_a_call_must_start_early_enough_to_end_before_the_process() -> None:
    assert stopping().last_start(0.01, 1000.0) == STOP_AT - MIN_RUN_S
    assert stopping().last_start(0.5, 1000.0) == STOP_AT - 0.5 * MAX_SLOWDOWN


def test_a_call_that_may_take_too_long_starts_only_at_the_beginning() -> None:
    """A call of a route without a known time was let in always, and cut off."""
    assert stopping().last_start(0.0, 1000.0) == LONG_CALLS_UNTIL
    assert stopping().last_start(5.0, 1000.0) == LONG_CALLS_UNTIL
