"""Tests of the quarantine of calls under which upstreams crash."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foldhoist.quarantine.table import (
    CRASH_THRESHOLD,
    MAX_ANSWERED,
    MAX_SUSPECTS,
    QUARANTINE_S,
    Quarantine,
)

if TYPE_CHECKING:
    import random

    from foldhoist.schema.messages import Suspect


def row(call: str, *crashes: str, refuted: tuple[str, ...] = (), age_ms: int = 0) -> Suspect:
    return {"call": call, "crashes": list(crashes), "refuted": list(refuted), "age_ms": age_ms}


def test_a_call_is_quarantined_after_crashes_at_two_daemons() -> None:
    here, there = Quarantine("here"), Quarantine("there")
    changed = here.record_crash(1.0, ["x", "y"])
    assert there.merge(1.0, changed) == []
    assert not there.active
    there.record_crash(1.1, ["x"])
    assert there.remaining_s(1.1, "x") == QUARANTINE_S
    assert there.remaining_s(1.1, "y") == 0.0


def test_the_same_crash_counts_once_however_often_it_is_reported() -> None:
    quarantine = Quarantine("here")
    for _ in range(CRASH_THRESHOLD + 1):
        assert quarantine.merge(1.0, [row("x", "a/1")]) == []
    assert quarantine.merge(1.0, [row("x", "a/1", "b/1")]) == ["x"]
    assert quarantine.merge(1.0, [row("x", "a/1", "b/1")]) == []


def test_an_answer_refutes_the_crashes_before_it() -> None:
    quarantine = Quarantine("here")
    quarantine.merge(1.0, [row("x", "a/1", "b/1")])
    changed = quarantine.record_answer(2.0, "x")
    assert not quarantine.active
    other = Quarantine("there")
    other.merge(1.0, [row("x", "a/1", "b/1")])
    other.merge(2.0, changed)
    assert not other.active
    assert other.merge(2.1, [row("x", "a/1", "b/1")]) == []


def test_a_call_that_was_answered_here_is_exempt_from_one_crash() -> None:
    """Guards against a quarantine of common calls when a data centre loses power."""
    quarantine = Quarantine("here")
    quarantine.record_answer(0.0, "x")
    assert quarantine.record_crash(1.0, ["x"]) == []
    assert len(quarantine.record_crash(2.0, ["x"])) == 1


def test_a_quarantine_ends_and_is_longer_after_a_further_crash() -> None:
    quarantine = Quarantine("here")
    quarantine.merge(0.0, [row("x", "a/1", "b/1")])
    assert quarantine.remaining_s(QUARANTINE_S + 0.1, "x") == 0.0
    quarantine.merge(QUARANTINE_S + 1.0, [row("x", "c/1")])
    assert quarantine.remaining_s(QUARANTINE_S + 1.0, "x") == 2 * QUARANTINE_S


def test_a_quarantine_is_not_renewed_by_repeated_reports() -> None:
    quarantine = Quarantine("here")
    quarantine.merge(100.0, [row("x", "a/1", "b/1", age_ms=60_000)])
    assert quarantine.remaining_s(100.0, "x") == QUARANTINE_S - 60.0
    quarantine.merge(200.0, [row("x", "a/1", "b/1")])
    assert quarantine.remaining_s(200.0, "x") == QUARANTINE_S - 160.0


def test_a_new_daemon_quarantines_the_same_calls() -> None:
    quarantine = Quarantine("here")
    quarantine.merge(0.0, [row("x", "a/1", "b/1"), row("y", "a/1")])
    new_daemon = Quarantine("new")
    new_daemon.merge(50.0, quarantine.rows(50.0))
    assert new_daemon.remaining_s(50.0, "x") == quarantine.remaining_s(50.0, "x") > 0.0


def test_a_daemon_stores_and_restores_its_own_crashes() -> None:
    quarantine = Quarantine("here")
    quarantine.record_crash(0.0, ["x"])
    quarantine.merge(0.0, [row("x", "b/1"), row("y", "a/1", "b/1")])
    assert [each["call"] for each in quarantine.rows(0.0, own=True)] == ["x"]
    later = Quarantine("later")
    later.restore(5.0, quarantine.rows(5.0, own=True))
    assert later.is_own("x")
    assert later.active


def test_the_number_of_remembered_calls_is_bounded() -> None:
    quarantine = Quarantine("here")
    quarantine.merge(0.0, [row("x", "a/1", "b/1")])
    quarantine.record_crash(1.0, [f"n{number}" for number in range(MAX_SUSPECTS)])
    assert not quarantine.active
    for number in range(MAX_ANSWERED + 1):
        quarantine.record_answer(2.0, f"g{number}")
    assert quarantine.record_crash(3.0, ["g0"])
    assert not quarantine.record_crash(3.0, [f"g{MAX_ANSWERED}"])


ROWS = st.lists(
    st.builds(
        lambda call, crashes, refuted, age_ms: row(
            call, *crashes, refuted=tuple(crashes & refuted), age_ms=age_ms
        ),
        st.sampled_from("xyz"),
        st.sets(st.sampled_from(["a/1", "a/2", "b/1", "c/1"]), min_size=1),
        st.sets(st.sampled_from(["a/1", "a/2", "b/1", "c/1"])),
        st.just(0),
    ),
    max_size=12,
)


@given(ROWS, st.randoms(use_true_random=False), st.booleans())
def test_daemons_with_the_same_reports_quarantine_the_same_calls(
    rows: list[Suspect], order: random.Random, twice: bool
) -> None:
    """Reports come in any order, and again when a connection is re-established."""
    first, second = Quarantine("first"), Quarantine("second")
    shuffled = rows * (2 if twice else 1)
    order.shuffle(shuffled)
    first.merge(1.0, rows)
    for each in shuffled:
        second.merge(1.0, [each])
    for call in "xyz":
        assert first.remaining_s(1.0, call) == second.remaining_s(1.0, call)


@pytest.mark.parametrize("count", [CRASH_THRESHOLD, CRASH_THRESHOLD + 1])
def test_only_crashes_that_are_not_refuted_count(count: int) -> None:
    quarantine = Quarantine("here")
    crashes = [f"a/{number}" for number in range(count)]
    quarantine.merge(0.0, [row("x", *crashes, refuted=tuple(crashes[:-1]))])
    assert not quarantine.active
    assert quarantine.is_suspect("x")
