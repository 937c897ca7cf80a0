"""Measures what it costs that upstreams change the limits that they send."""

from __future__ import annotations

import tracemalloc
from functools import partial
from itertools import count
from typing import TYPE_CHECKING, Any

from bench.capacity_slopes import best_us
from bench.fitting import points
from foldhoist.admission.due import DueQueue
from foldhoist.admission.slots import QueueLimits
from foldhoist.delivery.codec import StreamEncoder
from foldhoist.delivery.dispatch import Complete, SendTo, StartCall
from foldhoist.delivery.owner import Owner
from foldhoist.delivery.signal_cache import SignalCache
from foldhoist.delivery.signal_state import AnswerSignals

if TYPE_CHECKING:
    from foldhoist.delivery.dispatch import Action
    from foldhoist.schema.messages import Announced, Dispatch, Hello

INGRESSES = [2, 6, 12, 18, 24]
"""Ingresses with recent calls at the owner whose upstream changes its limit."""
UPSTREAMS = [350, 700, 1050, 1400]
"""Upstreams whose limit one ingress caches."""
LIMITS = QueueLimits(1000, 1000, 0, 8)
UPSTREAM: Announced = {
    "instance": "i-c1fa7275a5",
    "service": "depo",
    "slots": 1000,
    "state": "ready",
    "sequence": 1,
    "born_ms": 0,
    "cold_ms": 0,
}
HIGH_LIMIT_PER_S = 1e6
"""A limit that is never reached, calls a second."""
NOW = 10.0
"""Time of every event, seconds."""


class BusyOwner:
    """An owner with ingresses that have just called, each with a warm connection."""

    def __init__(self, ingresses: int) -> None:
        self.owner = Owner("depo-1", "depo", LIMITS, 600.0, DueQueue(LIMITS))
        self.owner.announce(NOW, UPSTREAM)
        self.encoders = {link: StreamEncoder() for link in range(1, ingresses + 1)}
        self.ticket = 0
        self._limits = count(1)
        for link in self.encoders:
            hello: Hello = {
                "name": f"in-{link}",
                "incarnation": f"l-{link}",
                "epoch": 1,
                "schema": 1,
            }
            self.owner.hello(NOW, link, hello)
            for action in self.owner.dispatch(NOW, 0, link, _call()):
                if isinstance(action, StartCall):
                    self.ticket = action.ticket
        for _ in range(5):
            self.send(self.change())

    def change(self) -> list[Action]:
        """Let an answer name another limit."""
        per_s = 100.0 + 0.1 * next(self._limits)
        return self.owner.answer_began(NOW, self.ticket, AnswerSignals(per_s))

    def send(self, actions: list[Action]) -> int:
        """Encode the reports; returns their bytes."""
        size = 0
        for action in actions:
            if isinstance(action, SendTo):
                size += len(self.encoders[action.link].encode("Report", dict(action.frame.body)))
        return size


def signals() -> dict[str, Any]:
    """Measure a changed limit over ingresses, and the memory of an ingress over upstreams."""
    sizes = [float(size) for size in INGRESSES]
    owners = [BusyOwner(size) for size in INGRESSES]
    sent = [float(owner.send(owner.change())) for owner in owners]
    spent = [best_us(owner.change, 300) for owner in owners]
    memory = [_cache_mb(size) for size in UPSTREAMS]
    return {
        "change_bytes": points(sizes, sent),
        "change_us": points(sizes, spent),
        "cache_mb": points([float(size) for size in UPSTREAMS], memory),
        "limited_start_us": _start_us(AnswerSignals(HIGH_LIMIT_PER_S)),
        "free_start_us": _start_us(AnswerSignals()),
    }


def _start_us(signals: AnswerSignals) -> float:
    """Return the time to admit and end a call at an owner whose upstream sends these signals."""
    busy = BusyOwner(1)
    busy.owner.answer_began(NOW, busy.ticket, signals)
    return best_us(partial(_start, busy, NOW + 10.0), 300)


def _start(busy: BusyOwner, now: float) -> None:
    (action,) = busy.owner.dispatch(now, 0, 1, _call())
    assert isinstance(action, StartCall)
    busy.owner.finished(now, action.ticket, Complete(200, [], b""))


def _cache_mb(upstreams: int) -> float:
    tracemalloc.start()
    cache = SignalCache()
    for number in range(upstreams):
        signals: Any = {"instance": f"i-{number:010x}", "born_ms": 0, "limit_per_s": number + 0.5}
        signals.update(limit_age_ms=number, wait_ms=number)
        load: Any = {"signals": signals}
        cache.record(NOW + number, f"sidecar-kadikoy-hall-{number}", load)
    used = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    return used


def _call() -> Dispatch:
    return {
        "seq": 1,
        "acked": 1,
        "service": "depo",
        "method": "GET",
        "path": "/depo/x",
        "headers": [],
        "body": b"",
        "budget_ms": 1000,
        "urgent": False,
        "repeatable": True,
        "key": "",
        "key_issued_ms": 0,
        "generation": 1,
        "hops": 0,
        "retried": False,
        "trace": "",
    }
