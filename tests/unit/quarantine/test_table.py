"""Tests of what all daemons together know of calls under which upstreams end."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foldhoist.quarantine.table import (
    CRASHES,
    HOLD_S,
    MOST_ANSWERED,
    MOST_SUSPECTS,
    Quarantine,
)

if TYPE_CHECKING:
    import random

    from foldhoist.schema.messages import Suspect


def row(call: str, *crashes: str, refuted: tuple[str, ...] = (), age_ms: int = 0) -> Suspect:
    return {"call": call, "crashes": list(crashes), "refuted": list(refuted), "age_ms": age_ms}


def test_a_call_is_held_after_crashes_at_two_daemons() -> None:
    here, there = Quarantine("here"), Quarantine("there")
    news = here.crashed(1.0, ["x", "y"])
    assert there.learned(1.0, news) == []
    assert not there.holding
    there.crashed(1.1, ["x"])
    assert there.held_s(1.1, "x") == HOLD_S
    assert there.held_s(1.1, "y") == 0.0


def test_the_same_crash_counts_once_however_often_it_is_told() -> None:
    quarantine = Quarantine("here")
    for _ in range(CRASHES + 1):
        assert quarantine.learned(1.0, [row("x", "a/1")]) == []
    assert quarantine.learned(1.0, [row("x", "a/1", "b/1")]) == ["x"]
    assert quarantine.learned(1.0, [row("x", "a/1", "b/1")]) == []


def test_an_answer_refutes_the_crashes_before_it() -> None:
    quarantine = Quarantine("here")
    quarantine.learned(1.0, [row("x", "a/1", "b/1")])
    told = quarantine.answered(2.0, "x")
    assert not quarantine.holding
    other = Quarantine("there")
    other.learned(1.0, [row("x", "a/1", "b/1")])
    other.learned(2.0, told)
    assert not other.holding
    assert other.learned(2.1, [row("x", "a/1", "b/1")]) == []


def test_a_call_that_was_answered_here_is_forgiven_one_crash() -> None:
    """Else what most callers ask for were refused everywhere when a data centre has lost power."""
    quarantine = Quarantine("here")
    quarantine.answered(0.0, "x")
    assert quarantine.crashed(1.0, ["x"]) == []
    assert len(quarantine.crashed(2.0, ["x"])) == 1


def test_a_hold_ends_and_is_longer_with_each_crash_after_it() -> None:
    quarantine = Quarantine("here")
    quarantine.learned(0.0, [row("x", "a/1", "b/1")])
    assert quarantine.held_s(HOLD_S + 0.1, "x") == 0.0
    quarantine.learned(HOLD_S + 1.0, [row("x", "c/1")])
    assert quarantine.held_s(HOLD_S + 1.0, "x") == 2 * HOLD_S


def test_a_hold_is_not_renewed_by_who_tells_of_it() -> None:
    quarantine = Quarantine("here")
    quarantine.learned(100.0, [row("x", "a/1", "b/1", age_ms=60_000)])
    assert quarantine.held_s(100.0, "x") == HOLD_S - 60.0
    quarantine.learned(200.0, [row("x", "a/1", "b/1")])
    assert quarantine.held_s(200.0, "x") == HOLD_S - 160.0


def test_what_a_newcomer_is_told_makes_it_hold_the_same() -> None:
    quarantine = Quarantine("here")
    quarantine.learned(0.0, [row("x", "a/1", "b/1"), row("y", "a/1")])
    newcomer = Quarantine("new")
    newcomer.learned(50.0, quarantine.rows(50.0))
    assert newcomer.held_s(50.0, "x") == quarantine.held_s(50.0, "x") > 0.0


def test_the_store_keeps_what_this_daemon_has_seen() -> None:
    quarantine = Quarantine("here")
    quarantine.crashed(0.0, ["x"])
    quarantine.learned(0.0, [row("x", "b/1"), row("y", "a/1", "b/1")])
    assert [each["call"] for each in quarantine.rows(0.0, own=True)] == ["x"]
    later = Quarantine("later")
    later.keep(5.0, quarantine.rows(5.0, own=True))
    assert later.is_own("x")
    assert later.holding


def test_what_is_noted_is_bounded() -> None:
    quarantine = Quarantine("here")
    quarantine.learned(0.0, [row("x", "a/1", "b/1")])
    quarantine.crashed(1.0, [f"n{number}" for number in range(MOST_SUSPECTS)])
    assert not quarantine.holding
    for number in range(MOST_ANSWERED + 1):
        quarantine.answered(2.0, f"g{number}")
    assert quarantine.crashed(3.0, ["g0"])
    assert not quarantine.crashed(3.0, [f"g{MOST_ANSWERED}"])


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
def test_daemons_that_heard_the_same_hold_the_same(
    rows: list[Suspect], order: random.Random, twice: bool
) -> None:
    """News come in any order, and again when a connection is made anew."""
    first, second = Quarantine("first"), Quarantine("second")
    shuffled = rows * (2 if twice else 1)
    order.shuffle(shuffled)
    first.learned(1.0, rows)
    for each in shuffled:
        second.learned(1.0, [each])
    for call in "xyz":
        assert first.held_s(1.0, call) == second.held_s(1.0, call)


@pytest.mark.parametrize("count", [CRASHES, CRASHES + 1])
def test_only_crashes_that_are_not_refuted_count(count: int) -> None:
    quarantine = Quarantine("here")
    crashes = [f"a/{number}" for number in range(count)]
    quarantine.learned(0.0, [row("x", *crashes, refuted=tuple(crashes[:-1]))])
    assert not quarantine.holding
    assert quarantine.is_suspect("x")
