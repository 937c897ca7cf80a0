"""Weight of load reports."""

from __future__ import annotations

import random

from foldhoist.routing.trust import Trust


def trust_after(report_is_true: bool) -> float:
    rng = random.Random(1)
    trust = Trust()
    for _ in range(1000):
        met = rng.randrange(12)
        reported = met if report_is_true else rng.randrange(12)
        trust.update(2, float(reported), 2 + met)
    return trust.weight


def test_reports_that_predict_the_calls_ahead_are_trusted() -> None:
    assert trust_after(report_is_true=True) > 0.9


def test_random_reports_are_not_trusted() -> None:
    assert trust_after(report_is_true=False) < 0.1


def test_without_other_calls_the_weight_is_unchanged() -> None:
    trust = Trust()
    trust.update(3, 0.0, 3)
    assert trust.weight == 0.5
