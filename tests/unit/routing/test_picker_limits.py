"""The picker considers rate limits, and does not take them for slowness."""

from __future__ import annotations

import random
from typing import Any

import pytest

from foldhoist.admission.rate_limit import LIMITED
from foldhoist.membership.incarnations import UpstreamIncarnation
from foldhoist.routing.picker import Choice, Member, NoChoice, Picker
from foldhoist.routing.policies import Mixed

LOAD: Any = {"busy": 0, "queued": 0, "slots": 8, "service_us": 0, "errors": 0.0, "state": "warm"}


def limited(wait_s: float, per_s: float = 5.0) -> Any:
    signals = {"instance": "i", "born_ms": 0, "limit_per_s": per_s, "wait_ms": int(wait_s * 1000)}
    return {**LOAD, "signals": signals}


def make(*names: str, leaving: dict[str, UpstreamIncarnation] | None = None) -> Picker:
    picker = Picker(Mixed("here"), "here", 0.5, random.Random(1), leaving)
    picker.members([Member(name, "here", 8, UpstreamIncarnation("i")) for name in names], 0.0)
    for name in names:
        picker.linked(name, 0.0, up=True, fresh=True)
        picker.reported(name, 10.0, LOAD)
    return picker


def test_calls_go_to_a_limited_upstream_while_another_has_room() -> None:
    picker = make("a", "b")
    picker.reported("a", 10.0, limited(0.4))
    names = {choice.name for _ in range(20) if isinstance(choice := picker.pick(10.0, ()), Choice)}
    assert names == {"b"}


def test_a_call_that_no_upstream_can_start_in_time_is_sent() -> None:
    picker = make("a", "b")
    picker.reported("a", 10.0, limited(2.0))
    picker.reported("b", 10.0, limited(1.5))
    refused = picker.pick(10.0, (), start_by=11.0)
    assert isinstance(refused, NoChoice)
    assert (refused.reason, refused.retry_after_s) == (LIMITED, pytest.approx(1.5))
    assert isinstance(picker.pick(10.6, (), start_by=11.6), Choice)


def test_a_late_call_is_refused_by_an_upstream_that_could_start_it_now() -> None:
    picker = make("a")
    picker.reported("a", 10.0, limited(0.0))
    assert isinstance(picker.pick(10.1, (), start_by=9.9), Choice)


def test_own_calls_are_not_counted_until_the_next_report() -> None:
    picker = make("a")
    picker.reported("a", 10.0, limited(0.0))
    for seq in range(4):
        assert isinstance(picker.pick(10.0, (), start_by=10.7), Choice)
        picker.sent("a", seq, 10.0)
    assert isinstance(picker.pick(10.0, (), start_by=10.7), NoChoice)


def test_a_limited_upstream_is_ejected_as_slow_for_the_wait_at_its_owner() -> None:
    picker = make("a", "b", "c", "d")
    for seq in range(40):
        for name, wait_s in (("a", 0.9), ("b", 0.0), ("c", 0.0), ("d", 0.0)):
            now = 10.0 + seq
            picker.sent(name, seq, now)
            load = limited(0.9) if name == "a" else LOAD
            done = now + wait_s + 0.02
            picker.answered(name, seq, done, False, load, served_s=0.02, waited_s=wait_s)
    assert not picker.tracks["a"].ejected_until


def test_a_refusal_for_the_limit_ejects_or_pauses_an_upstream() -> None:
    picker = make("a")
    for seq in range(30):
        picker.sent("a", seq, 10.0)
        picker.refused("a", seq, 10.0, 1.0, limited(1.0))
    assert not picker.tracks["a"].ejected_until
    assert not picker.tracks["a"].backoff_until
    assert isinstance(picker.pick(10.0, ()), Choice)


def test_an_incarnation_known_to_be_leaving_gets_a_call() -> None:
    leaving = {"a": UpstreamIncarnation("i")}
    picker = make("a", "b", leaving=leaving)
    names = {choice.name for _ in range(20) if isinstance(choice := picker.pick(10.0, ()), Choice)}
    assert names == {"b"}
    picker.members([Member("a", "here", 8, UpstreamIncarnation("i2"))], 11.0)
    picker.linked("a", 11.0, up=True, fresh=True)
    assert isinstance(picker.pick(12.0, ()), Choice)
