"""Tests of the trust in reports."""

from __future__ import annotations

import random

from foldhoist.routing.trust import Trust


def trust_after(report_is_true: bool) -> float:
    rng = random.Random(1)
    trust = Trust()
    for _ in range(1000):
        met = rng.randrange(12)
        told = met if report_is_true else rng.randrange(12)
        trust.update(2, float(told), 2 + met)
    return trust.weight


def test_reports_that_foretell_what_calls_meet_are_trusted() -> None:
    assert trust_after(report_is_true=True) > 0.9


def test_reports_that_do_not_are_not() -> None:
    assert trust_after(report_is_true=False) < 0.1


def test_without_other_calls_nothing_is_learned() -> None:
    trust = Trust()
    trust.update(3, 0.0, 3)
    assert trust.weight == 0.5
