"""An ingress remembers what it was told of upstreams, whatever their owners forget."""

from __future__ import annotations

from typing import Any

from foldhoist.delivery import heard_signals as heard_module
from foldhoist.delivery.heard_signals import HeardSignals
from foldhoist.membership.incarnations import UpstreamIncarnation

SAID: Any = {"instance": "i-1", "born_ms": 0, "limit_per_s": 5.0}
NO_WORD: Any = {}


def told(heard: HeardSignals, now: float = 1.0) -> list[Any]:
    return [action.frame.body for action in heard.tell(now, "a")]


def load(**fields: Any) -> Any:
    return {"said": {**SAID, **fields}}


def test_an_owner_that_knows_nothing_erases_what_was_heard() -> None:
    heard = HeardSignals()
    heard.record(0.0, "a", load())
    heard.record(0.5, "a", NO_WORD)
    assert told(heard) == [{"said": SAID, "age_ms": 1000}]


def test_a_limit_that_has_ended_is_told() -> None:
    heard = HeardSignals()
    heard.record(0.0, "a", load())
    heard.record(0.5, "a", {"said": {"instance": "i-1", "born_ms": 0}})  # type: ignore[typeddict-item]
    assert told(heard) == []


def test_a_leaving_is_forgotten_with_a_later_load() -> None:
    heard = HeardSignals()
    heard.record(0.0, "a", load(leaving=True))
    heard.record(0.5, "a", load())
    assert told(heard)[0]["said"]["leaving"]
    assert heard.leaving == {"a": UpstreamIncarnation("i-1")}


def test_a_leaving_is_told_of_the_next_incarnation() -> None:
    heard = HeardSignals()
    heard.record(0.0, "a", load(leaving=True))
    heard.record(0.5, "a", load(instance="i-2"))
    assert "leaving" not in told(heard)[0]["said"]


def test_an_upstream_without_a_name_leaves_for_good() -> None:
    heard = HeardSignals()
    heard.record(0.0, "a", load(instance="", leaving=True))
    assert heard.leaving == {}


def test_hosts_that_are_gone_fill_the_memory(monkeypatch: Any) -> None:
    monkeypatch.setattr(heard_module, "MAX_OWNERS", 3)
    heard = HeardSignals()
    for number in range(10):
        heard.record(0.0, f"h{number}", load(leaving=True))
    assert heard.tell(1.0, "h6") == []
    assert list(heard.leaving) == ["h7", "h8", "h9"]
