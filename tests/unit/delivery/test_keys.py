"""Tests of idempotency keys, and a state machine over the real tables of several homes."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from foldhoist.delivery.keys import (
    CLOCK_SKEW_MS,
    Deny,
    Join,
    KeyTable,
    Replay,
    Run,
    uuid7_issued_ms,
)
from foldhoist.delivery.verdict import Response
from foldhoist.routing.rendezvous import home

NAMES = ("a", "b", "c")
ANSWER = Response(200, [], b"paid")
LATER_MS = CLOCK_SKEW_MS + 1


def table(name: str = "a") -> KeyTable:
    made = KeyTable(name, 600.0)
    made.adopt(0, 1, [name], [name])
    return made


def test_a_key_runs_once_and_is_answered_again() -> None:
    keys = table()
    assert keys.claim(0.0, 9000, "k", LATER_MS, "m") == Run()
    assert keys.claim(0.0, 9000, "k", LATER_MS, "m") == Join()
    keys.ended("k", ANSWER, ran=True)
    assert keys.claim(1.0, 9000, "k", LATER_MS, "m") == Replay(ANSWER)


def test_a_key_that_did_not_run_may_be_tried_again() -> None:
    keys = table()
    keys.claim(0.0, 9000, "k", LATER_MS, "m")
    keys.ended("k", None, ran=False)
    assert keys.claim(0.0, 9000, "k", LATER_MS, "m") == Run()


def test_a_key_that_may_have_run_is_never_run_again() -> None:
    keys = table()
    keys.claim(0.0, 9000, "k", LATER_MS, "m")
    keys.ended("k", None, ran=True)
    assert keys.claim(0.0, 9000, "k", LATER_MS, "m") == Deny("maybe", "key-may-have-run", 0.0)


def test_another_request_with_the_same_key_is_refused() -> None:
    keys = table()
    keys.claim(0.0, 9000, "k", LATER_MS, "m")
    denied = keys.claim(0.0, 9000, "k", LATER_MS, "other")
    assert denied == Deny("no", "key-reused-for-another-request", 0.0)


def test_a_key_older_than_its_home_may_have_run() -> None:
    keys = table()
    denied = keys.claim(0.0, 9000, "k", CLOCK_SKEW_MS - 1, "m")
    assert isinstance(denied, Deny)
    assert denied.ran == "maybe"


def test_a_key_of_unknown_age_waits_until_the_window_has_passed() -> None:
    keys = table()
    assert isinstance(keys.claim(0.0, 9000, "k", 0, "m"), Deny)
    assert keys.claim(0.0, 600_000 + LATER_MS, "k", 0, "m") == Run()


def test_keys_are_forgotten_after_their_window() -> None:
    keys = table()
    keys.claim(0.0, 9000, "k", LATER_MS, "m")
    keys.ended("k", ANSWER, ran=True)
    keys.expire(601.0)
    denied = keys.claim(601.0, 9000 + 601_000, "k", LATER_MS, "m")
    assert denied == Deny("maybe", "key-past-its-window", 600.0)


def test_the_issue_time_is_read_from_a_uuid7() -> None:
    assert uuid7_issued_ms("01890a5d-ac96-774b-bcce-b302099a8057") == 0x01890A5DAC96
    assert uuid7_issued_ms("9b2e4c1a-0000-4000-8000-000000000000") == 0
    assert uuid7_issued_ms("order 17") == 0


class HomesMachine(RuleBasedStateMachine):
    """Three homes with changing configurations, restarts, and lost and late handovers.

    Configurations differ in which targets may be homes. No key may run twice.
    """

    @initialize()
    def start(self) -> None:
        self.wall_ms = 10_000
        self.generation = 1
        self.serving: dict[int, tuple[str, ...]] = {1: NAMES}
        self.tables = {name: KeyTable(name, 600.0) for name in NAMES}
        self.asked: list[tuple[str, str, int]] = []
        self.handed: list[tuple[str, dict]] = []
        self.runs: dict[str, int] = {}
        self.running: list[tuple[str, str]] = []
        self.issued: dict[str, int] = {}
        for name in NAMES:
            self.adopt_now(name, 1)
        self.all_handovers()
        self.wall_ms += CLOCK_SKEW_MS + 1

    def adopt_now(self, name: str, generation: int) -> None:
        pending = self.tables[name].adopt(self.wall_ms, generation, self.serving[generation], NAMES)
        for other in pending:
            self.asked.append((name, other, generation))

    @rule(left_out=st.sampled_from([(), ("a",), ("b",), ("c",)]))
    def change(self, left_out: tuple[str, ...]) -> None:
        self.generation += 1
        self.serving[self.generation] = tuple(n for n in NAMES if n not in left_out)

    @rule(name=st.sampled_from(NAMES), skip=st.booleans())
    def adopt(self, name: str, skip: bool) -> None:
        held = self.tables[name].generation
        if held < self.generation:
            self.adopt_now(name, self.generation if skip else held + 1)

    @rule(data=st.data(), late=st.booleans())
    def handover(self, data: st.DataObject, late: bool) -> None:
        ready = [each for each in self.asked if self.tables[each[1]].generation >= each[2]]
        if ready:
            self.hand_over(*data.draw(st.sampled_from(ready))[:2], late)

    @rule()
    def all_handovers(self) -> None:
        for asker, former, generation in self.asked:
            if self.tables[former].generation >= generation:
                self.hand_over(asker, former, late=False)

    def hand_over(self, asker: str, former: str, late: bool) -> None:
        keys = self.tables[former]
        message = {
            "service": "s",
            "generation": keys.generation,
            "former": former,
            "since_ms": keys.since_ms,
            "keys": keys.export(0.0, asker),
        }
        if late:
            self.handed.append((asker, message))
            return
        self.tables[asker].handed(0.0, message)  # type: ignore[arg-type]

    @rule(data=st.data())
    def late_handover(self, data: st.DataObject) -> None:
        if self.handed:
            asker, message = data.draw(st.sampled_from(self.handed))
            self.tables[asker].handed(0.0, message)  # type: ignore[arg-type]

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        self.running = [each for each in self.running if each[0] != name]
        self.tables[name] = KeyTable(name, 600.0)
        self.handed = [each for each in self.handed if each[0] != name]
        self.asked = [each for each in self.asked if each[0] != name]
        self.adopt_now(name, self.generation)

    @rule(milliseconds=st.sampled_from([1, 500, CLOCK_SKEW_MS + 1]))
    def time_passes(self, milliseconds: int) -> None:
        self.wall_ms += milliseconds

    @rule(number=st.integers(0, 3), back=st.integers(0, 2))
    def send(self, number: int, back: int) -> None:
        """Send a call with a key to its home by one of the latest configurations."""
        key = f"k{number}"
        issued = self.issued.setdefault(key, self.wall_ms)
        name = home(self.serving[max(1, self.generation - back)], key)
        assert name is not None
        claim = self.tables[name].claim(0.0, self.wall_ms, key, issued, "m")
        if isinstance(claim, Run):
            self.runs[key] = self.runs.get(key, 0) + 1
            self.running.append((name, key))

    @rule(how=st.sampled_from(["answer", "broken"]))
    def run_ends(self, how: str) -> None:
        if not self.running:
            return
        name, key = self.running.pop(0)
        self.tables[name].ended(key, ANSWER if how == "answer" else None, ran=True)

    @invariant()
    def nothing_runs_twice(self) -> None:
        assert all(times <= 1 for times in self.runs.values()), self.runs


TestHomesMachine = HomesMachine.TestCase
TestHomesMachine.settings = settings(max_examples=400, stateful_step_count=30, derandomize=True)


def ignore_pending(self: KeyTable, wall_ms: int, *args: Any) -> frozenset[str]:
    """Mutant of `adopt`: runs moved keys without waiting for their former homes."""
    ADOPT(self, wall_ms, *args)
    self._pending = set()
    return frozenset()


def ignore_gaps(self: KeyTable, wall_ms: int, *args: Any) -> frozenset[str]:
    """Mutant of `adopt`: assumes that no run of its keys is unknown to it."""
    pending = ADOPT(self, wall_ms, *args)
    self._own_since_ms = self._moved_since_ms = 0
    return pending


def export_nothing(self: KeyTable, now: float, target: str) -> list[Any]:
    """Mutant of `export`: hands nothing over."""
    return []


def export_only_answered(self: KeyTable, now: float, target: str) -> list[Any]:
    """Mutant of `export`: hands over only keys with an answer, not those that may have run."""
    return [state for state in EXPORT(self, now, target) if state["ran"] == "answered"]


ADOPT, EXPORT = KeyTable.adopt, KeyTable.export


def runs_of_a_moved_key(how: str, hand_over: bool) -> int:
    """Run a key at its home, move it by a configuration, send it again; returns its runs."""
    tables = {name: KeyTable(name, 600.0) for name in NAMES}
    for name in NAMES:
        tables[name].adopt(0, 1, NAMES, NAMES)
    exchange(tables, list(NAMES))
    key = next(f"k{i}" for i in range(99) if home(NAMES, f"k{i}") == "a")
    runs = int(tables["a"].claim(0.0, 9000, key, LATER_MS, "m") == Run())
    if how != "running":
        tables["a"].ended(key, ANSWER if how == "answered" else None, ran=True)
    new_home = home(("b", "c"), key)
    assert new_home is not None
    tables[new_home].adopt(9000, 2, ("b", "c"), NAMES)
    if hand_over:
        for name in NAMES:
            tables[name].adopt(9000, 2, ("b", "c"), NAMES)
        exchange(tables, [new_home])
    return runs + int(tables[new_home].claim(0.0, 9100, key, LATER_MS, "m") == Run())


def exchange(tables: dict[str, KeyTable], askers: list[str]) -> None:
    """Hand over the keys of all former homes."""
    for asker in askers:
        for former in list(tables[asker].pending):
            keys = tables[former]
            message: Any = {
                "service": "s",
                "generation": keys.generation,
                "former": former,
                "since_ms": keys.since_ms,
                "keys": keys.export(0.0, asker),
            }
            tables[asker].handed(0.0, message)


@pytest.mark.parametrize("hand_over", [True, False])
@pytest.mark.parametrize("how", ["answered", "broken", "running"])
def test_a_moved_key_runs_once(how: str, hand_over: bool) -> None:
    assert runs_of_a_moved_key(how, hand_over) == 1


@pytest.mark.parametrize(
    ("name", "mutant", "how", "hand_over"),
    [
        ("adopt", ignore_pending, "answered", False),
        ("export", export_nothing, "answered", True),
        ("export", export_only_answered, "broken", True),
    ],
)
def test_without_the_rule_a_moved_key_runs_twice(
    monkeypatch: pytest.MonkeyPatch, name: str, mutant: Any, how: str, hand_over: bool
) -> None:
    monkeypatch.setattr(KeyTable, name, mutant)
    assert runs_of_a_moved_key(how, hand_over) == 2


def test_without_the_gap_rule_the_machine_finds_a_key_that_runs_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(KeyTable, "adopt", ignore_gaps)
    quick = settings(max_examples=400, stateful_step_count=30, derandomize=True, database=None)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(HomesMachine, settings=quick)
