"""An ingress keeps the signals of upstreams when their owners restart."""

from __future__ import annotations

from typing import Any

from foldhoist.delivery import signal_cache as cache_module
from foldhoist.delivery.signal_cache import SignalCache
from foldhoist.membership.incarnations import UpstreamIncarnation

SIGNALS: Any = {"instance": "i-1", "born_ms": 0, "limit_per_s": 5.0}
NO_SIGNALS: Any = {}


def updates(cache: SignalCache, now: float = 1.0) -> list[Any]:
    return [action.frame.body for action in cache.update_for(now, "a")]


def load(**fields: Any) -> Any:
    return {"signals": {**SIGNALS, **fields}}


def test_a_load_without_signals_erases_them() -> None:
    cache = SignalCache()
    cache.record(0.0, "a", load())
    cache.record(0.5, "a", NO_SIGNALS)
    assert updates(cache) == [{"signals": SIGNALS, "age_ms": 1000}]


def test_a_limit_that_has_ended_is_sent() -> None:
    cache = SignalCache()
    cache.record(0.0, "a", load())
    cache.record(0.5, "a", {"signals": {"instance": "i-1", "born_ms": 0}})  # type: ignore[typeddict-item]
    assert updates(cache) == []


def test_a_departure_is_forgotten_with_a_later_load() -> None:
    cache = SignalCache()
    cache.record(0.0, "a", load(leaving=True))
    cache.record(0.5, "a", load())
    assert updates(cache)[0]["signals"]["leaving"]
    assert cache.leaving == {"a": UpstreamIncarnation("i-1")}


def test_a_departure_is_sent_for_the_next_incarnation() -> None:
    cache = SignalCache()
    cache.record(0.0, "a", load(leaving=True))
    cache.record(0.5, "a", load(instance="i-2"))
    assert "leaving" not in updates(cache)[0]["signals"]


def test_an_upstream_without_a_name_leaves_for_good() -> None:
    cache = SignalCache()
    cache.record(0.0, "a", load(instance="", leaving=True))
    assert cache.leaving == {}


def test_hosts_that_are_gone_fill_the_memory(monkeypatch: Any) -> None:
    monkeypatch.setattr(cache_module, "MAX_OWNERS", 3)
    cache = SignalCache()
    for number in range(10):
        cache.record(0.0, f"h{number}", load(leaving=True))
    assert cache.update_for(1.0, "h6") == []
    assert list(cache.leaving) == ["h7", "h8", "h9"]
