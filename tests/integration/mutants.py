"""Runs the command line with one mechanism disabled, to show that its test detects the loss."""

from __future__ import annotations

import sys
from typing import Any

from foldhoist.__main__ import main
from foldhoist.admission.bucket import TokenBucket
from foldhoist.daemon import prober
from foldhoist.daemon.upstream_connection import UpstreamConnection
from foldhoist.delivery import ingress, keys, upstream_status


def no_fate_request() -> None:
    """A lost connection ends a call as not run, without asking the owner for its outcome."""

    def lost(self: ingress.Ingress, now: float, target: str) -> list[Any]:
        actions: list[Any] = []
        for call, attempt in self._calls.attempts_at(target):
            call.pending.pop(attempt.seq, None)
            self._calls.by_seq.pop(attempt.seq, None)
            actions += self._give_up(now, call, "connection-lost", 0.1)
        return actions

    ingress.Ingress.link_lost = lost  # type: ignore[method-assign]


def retry_all() -> None:
    """Every call is treated as repeatable."""
    original = ingress.Call.__init__

    def init(self: Any, *args: Any, **kwargs: Any) -> None:
        original(self, *args, **kwargs)
        self.repeatable = True

    ingress.Call.__init__ = init  # type: ignore[method-assign]


def no_key_table() -> None:
    """The home of a key runs every call with it."""
    keys.KeyTable.claim = lambda self, *args: keys.Run()  # type: ignore[method-assign]


def no_key_history() -> None:
    """A home assumes that it knows every key, also right after its start."""
    original = keys.KeyTable.adopt

    def adopt(self: keys.KeyTable, *args: Any, **kwargs: Any) -> frozenset[str]:
        original(self, *args, **kwargs)
        self._own_since_ms = 0
        self._moved_since_ms = 0
        self._pending = set()
        return frozenset()

    keys.KeyTable.adopt = adopt  # type: ignore[method-assign]


def no_leaving() -> None:
    """An owner ignores every source that reports its upstream as leaving."""
    upstream_status.UpstreamStatus.set_leaving = lambda self, source: False  # type: ignore[method-assign]


def no_probe_budget() -> None:
    """The prober's bucket always has a token."""

    class Unlimited(TokenBucket):
        def take(self, now: float, amount: float = 1.0) -> bool:
            return True

        def wait(self, now: float, amount: float = 1.0) -> float:
            return 0.01

    prober.TokenBucket = Unlimited  # type: ignore[misc]


def cut_is_complete() -> None:
    """An answer that was cut off counts as complete."""

    def lost(self: UpstreamConnection, exc: Exception | None) -> None:
        self._transport = None
        self._complete = True
        result = self._interpret()
        assert result is not None
        self._finish(result)

    UpstreamConnection.connection_lost = lost  # type: ignore[method-assign]


MUTANTS = {
    "no-fate-request": no_fate_request,
    "retry-all": retry_all,
    "no-key-table": no_key_table,
    "no-key-history": no_key_history,
    "no-leaving": no_leaving,
    "no-probe-budget": no_probe_budget,
    "cut-is-complete": cut_is_complete,
}

if __name__ == "__main__":
    MUTANTS[sys.argv.pop(1)]()
    main()
