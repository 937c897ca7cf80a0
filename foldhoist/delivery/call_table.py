"""Which calls an ingress has, where their attempts are, and when something is to be done."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from foldhoist.delivery.call import Call, PendingAttempt, Timer


class CallTable:
    """Calls without a final answer, by number, by attempt and by owner; times are seconds."""

    def __init__(self) -> None:
        self.by_seq: dict[int, Call] = {}
        self._calls: dict[int, Call] = {}
        self._parked: dict[int, Call] = {}
        self._timers: list[tuple[float, int, Timer]] = []
        self._next_seq = 1

    def __len__(self) -> int:
        """Return the number of calls."""
        return len(self._calls)

    def __contains__(self, call_id: int) -> bool:
        """Return whether this call has no final answer yet."""
        return call_id in self._calls

    def add(self, call: Call) -> None:
        """Take in a call."""
        self._calls[call.call_id] = call

    def remove(self, call_id: int) -> Call | None:
        """Forget a call that gets its final answer; returns None if it has had that."""
        self._parked.pop(call_id, None)
        return self._calls.pop(call_id, None)

    def get(self, call_id: int) -> Call | None:
        """Return a call without a final answer, or None if it has had one."""
        return self._calls.get(call_id)

    def next_seq(self) -> int:
        """Return a number for an attempt that was never used before."""
        seq = self._next_seq
        self._next_seq += 1
        return seq

    def oldest_seq(self, otherwise: int) -> int:
        """Return the oldest attempt without a result."""
        return next(iter(self.by_seq), otherwise)

    def attempts_at(self, target: str) -> list[tuple[Call, PendingAttempt]]:
        """Return the attempts that are at this owner."""
        found: list[tuple[Call, PendingAttempt]] = []
        for call in self._calls.values():
            for attempt in call.pending.values():
                if attempt.target == target:
                    found.append((call, attempt))
        return found

    def awaiting_fate(self, target: str) -> list[tuple[Call, PendingAttempt]]:
        """Return the attempts whose fate this owner is to tell."""
        return [(call, attempt) for call, attempt in self.attempts_at(target) if attempt.fate_due]

    def park(self, call: Call) -> None:
        """Let a call wait for a first connection."""
        self._parked[call.call_id] = call

    def unpark(self, call_id: int) -> bool:
        """End the wait of one call; returns whether it waited."""
        return self._parked.pop(call_id, None) is not None

    def unpark_all(self) -> list[Call]:
        """End the wait of all calls and return them."""
        parked = list(self._parked.values())
        self._parked.clear()
        return parked

    def schedule(self, at: float, call: Call, kind: Timer) -> None:
        """Have something done with a call at a set time."""
        heappush(self._timers, (at, call.call_id, kind))

    def due(self, now: float) -> Iterator[tuple[Call, Timer]]:
        """Yield what is to be done now; calls that have ended are passed over."""
        while self._timers and self._timers[0][0] <= now:
            _, call_id, kind = heappop(self._timers)
            call = self._calls.get(call_id)
            if call is not None:
                yield call, kind

    def next_at(self) -> float | None:
        """Return when something is to be done, None for never."""
        while self._timers and self._timers[0][1] not in self._calls:
            heappop(self._timers)
        return self._timers[0][0] if self._timers else None
