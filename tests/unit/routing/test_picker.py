"""Tests of choosing an upstream: who is left out, and how it comes back."""

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


class Line:
    """A picker with upstreams, and calls one after the other."""

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
def test_a_failing_upstream_soon_gets_almost_nothing(policy: str) -> None:
    line = Line(policy)
    for _ in range(30):
        line.call({"b": 0.0001}, failing="b")
    names = [line.call({"b": 0.0001}, failing="b") for _ in range(300)]
    assert names.count("b") < 0.05 * 300


@pytest.mark.parametrize("policy", POLICIES)
def test_a_slow_upstream_soon_gets_almost_nothing(policy: str) -> None:
    line = Line(policy)
    for _ in range(40):
        line.call({"b": 0.06})
    names = [line.call({"b": 0.06}) for _ in range(300)]
    assert names.count("b") < 0.06 * 300


def test_a_recovered_upstream_comes_back_by_trial() -> None:
    line = Line()
    for _ in range(40):
        line.call({}, failing="b")
    line.now += 60.0
    assert "b" in {line.call({}) for _ in range(200)}


def test_at_most_a_share_is_ejected() -> None:
    line = Line(names="abcd")
    for _ in range(200):
        line.call({}, failing="abcd")
    out = [t for t in line.picker.tracks.values() if t.ejected_until > line.now]
    assert len(out) <= 2


def test_one_that_hangs_is_seen_before_it_answers() -> None:
    line = Line(names="ab")
    for _ in range(20):
        line.call({})
    line.picker.sent("a", 1000, line.now)
    line.now += 0.5
    assert {line.call({}) for _ in range(20)} == {"b"}


def test_a_refusal_leaves_an_upstream_out_until_it_may_have_room() -> None:
    line = Line(names="ab")
    line.picker.sent("a", 1, line.now)
    line.picker.refused("a", 1, line.now, 0.2, IDLE)
    assert {line.call({}) for _ in range(10)} == {"b"}
    line.now += 1.0
    assert "a" in {line.call({}) for _ in range(50)}


def test_leaving_and_down_get_nothing_and_nobody_left_says_when() -> None:
    line = Line(names="ab")
    for name in "ab":
        line.picker.reported(name, line.now, {**IDLE, "state": "leaving"})
    assert isinstance(line.picker.pick(line.now, ()), NoChoice)


def test_own_data_centre_first_and_the_other_by_load() -> None:
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


def test_a_new_upstream_ramps_up() -> None:
    line = Line(names="ab")
    line.picker.members([Member(name, "here", 40) for name in "abc"], line.now)
    line.picker.linked("c", line.now, up=True, fresh=True)
    sent = 0
    for seq in range(500, 560):
        choice = line.picker.pick(line.now, ("a", "b"))
        if isinstance(choice, Choice):
            line.picker.sent("c", seq, line.now)
            sent += 1
    assert sent == 1
