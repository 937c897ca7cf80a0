"""Picking an upstream: exclusion, ejection, trials and slow start."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from foldhoist.routing.picker import Choice, Member, NoChoice, Picker
from foldhoist.routing.policies import Mixed, make_policy

if TYPE_CHECKING:
    from foldhoist.schema.messages import Load

IDLE: Load = {
    "busy": 0,
    "queued": 0,
    "slots": 4,
    "service_us": 2000,
    "errors": 0.0,
    "state": "warm",
}
POLICIES = ["random", "round-robin", "least-in-flight", "two-choices", "hot-cold", "mixed"]


class SequentialCalls:
    """A picker with upstreams that gets calls one after the other."""

    def __init__(self, policy: str = "mixed", names: str = "abc") -> None:
        self.picker = Picker(make_policy(policy, "here"), "here", 0.5, random.Random(1))
        self.picker.members([Member(name, "here", 4) for name in names], 0.0)
        for name in names:
            self.picker.linked(name, 0.0, up=True, fresh=True)
        self.now = 10.0
        self.seq = 0

    def call(self, seconds: dict[str, float], failing: str = "") -> str:
        choice = self.picker.pick(self.now, ())
        assert isinstance(choice, Choice)
        self.seq += 1
        self.picker.sent(choice.name, self.seq, self.now)
        self.now += seconds.get(choice.name, 0.002)
        failed = choice.name in failing
        self.picker.answered(choice.name, self.seq, self.now, failed, IDLE)
        return choice.name


@pytest.mark.parametrize("policy", POLICIES)
def test_a_failing_upstream_soon_gets_almost_no_calls(policy: str) -> None:
    calls = SequentialCalls(policy)
    for _ in range(30):
        calls.call({"b": 0.0001}, failing="b")
    names = [calls.call({"b": 0.0001}, failing="b") for _ in range(300)]
    assert names.count("b") < 0.05 * 300


@pytest.mark.parametrize("policy", POLICIES)
def test_a_slow_upstream_soon_gets_almost_no_calls(policy: str) -> None:
    calls = SequentialCalls(policy)
    for _ in range(40):
        calls.call({"b": 0.06})
    names = [calls.call({"b": 0.06}) for _ in range(300)]
    assert names.count("b") < 0.06 * 300


def test_a_recovered_upstream_returns_after_trial_calls() -> None:
    calls = SequentialCalls()
    for _ in range(40):
        calls.call({}, failing="b")
    calls.now += 60.0
    assert "b" in {calls.call({}) for _ in range(200)}


def test_the_share_of_ejected_upstreams_is_bounded() -> None:
    calls = SequentialCalls(names="abcd")
    for _ in range(200):
        calls.call({}, failing="abcd")
    out = [t for t in calls.picker.tracks.values() if t.ejected_until > calls.now]
    assert len(out) <= 2


def test_a_hanging_upstream_is_avoided_before_it_answers() -> None:
    calls = SequentialCalls(names="ab")
    for _ in range(20):
        calls.call({})
    calls.picker.sent("a", 1000, calls.now)
    calls.now += 0.5
    assert {calls.call({}) for _ in range(20)} == {"b"}


def test_an_upstream_is_skipped_for_a_while_after_a_refusal() -> None:
    calls = SequentialCalls(names="ab")
    calls.picker.sent("a", 1, calls.now)
    calls.picker.refused("a", 1, calls.now, 0.2, IDLE)
    assert {calls.call({}) for _ in range(10)} == {"b"}
    calls.now += 1.0
    assert "a" in {calls.call({}) for _ in range(50)}


def test_no_choice_while_every_upstream_is_leaving() -> None:
    calls = SequentialCalls(names="ab")
    for name in "ab":
        calls.picker.reported(name, calls.now, {**IDLE, "state": "leaving"})
    assert isinstance(calls.picker.pick(calls.now, ()), NoChoice)


def test_the_own_data_centre_is_preferred_until_it_is_loaded() -> None:
    picker = Picker(Mixed("here"), "here", 0.5, random.Random(1))
    picker.members([Member("near", "here", 4), Member("far", "there", 4)], 0.0)
    for name in ("near", "far"):
        picker.linked(name, 0.0, up=True, fresh=True)
    chosen = []
    for seq in range(12):
        choice = picker.pick(10.0, ())
        assert isinstance(choice, Choice)
        picker.sent(choice.name, seq, 10.0)
        chosen.append(choice.name)
    assert chosen[0] == "near"
    assert 2 <= chosen.count("far") <= 6


def test_a_new_upstream_goes_through_slow_start() -> None:
    calls = SequentialCalls(names="ab")
    calls.picker.members([Member(name, "here", 40) for name in "abc"], calls.now)
    calls.picker.linked("c", calls.now, up=True, fresh=True)
    sent = 0
    for seq in range(500, 560):
        choice = calls.picker.pick(calls.now, ("a", "b"))
        if isinstance(choice, Choice):
            calls.picker.sent("c", seq, calls.now)
            sent += 1
    assert sent == 1
