"""The calls of an ingress with their pending attempts and timers."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from foldhoist.delivery.call import Call, PendingAttempt, Timer


class CallTable:
    """Calls without a final answer, by id, by attempt and by owner; times are monotonic seconds."""

    def __init__(self) -> None:
        self.by_seq: dict[int, Call] = {}
        self._calls: dict[int, Call] = {}
        self._parked: dict[int, Call] = {}
        self._timers: list[tuple[float, int, Timer]] = []
        self._next_seq = 1

    def __len__(self) -> int:
        """Return the number of calls without a final answer."""
        return len(self._calls)

    def __contains__(self, call_id: int) -> bool:
        """Return whether this call has no final answer yet."""
        return call_id in self._calls

    def __iter__(self) -> Iterator[Call]:
        """Iterate over a copy of the calls without a final answer."""
        return iter(list(self._calls.values()))

    def add(self, call: Call) -> None:
        """Add a call."""
        self._calls[call.call_id] = call

    def remove(self, call_id: int) -> Call | None:
        """Remove a call and return it, or None if it was removed before."""
        self._parked.pop(call_id, None)
        return self._calls.pop(call_id, None)

    def get(self, call_id: int) -> Call | None:
        """Return a call, or None if it has had its final answer."""
        return self._calls.get(call_id)

    def next_seq(self) -> int:
        """Return the sequence number of a new attempt."""
        seq = self._next_seq
        self._next_seq += 1
        return seq

    def oldest_seq(self, otherwise: int) -> int:
        """Return the sequence number of the oldest attempt without a result, or `otherwise`."""
        return next(iter(self.by_seq), otherwise)

    def attempts_at(self, target: str) -> list[tuple[Call, PendingAttempt]]:
        """Return the attempts without a result at this owner, with their calls."""
        found: list[tuple[Call, PendingAttempt]] = []
        for call in self._calls.values():
            for attempt in call.pending.values():
                if attempt.target == target:
                    found.append((call, attempt))
        return found

    def awaiting_fate(self, target: str) -> list[tuple[Call, PendingAttempt]]:
        """Return the attempts at this owner that wait for their outcome after a lost connection."""
        return [(call, attempt) for call, attempt in self.attempts_at(target) if attempt.fate_due]

    def park(self, call: Call) -> None:
        """Park a call that has no connected owner until connections or upstreams change."""
        self._parked[call.call_id] = call

    def unpark(self, call_id: int) -> bool:
        """Unpark a call; returns whether it was parked."""
        return self._parked.pop(call_id, None) is not None

    def unpark_all(self) -> list[Call]:
        """Unpark all calls and return them."""
        parked = list(self._parked.values())
        self._parked.clear()
        return parked

    def schedule(self, at: float, call: Call, kind: Timer) -> None:
        """Set a timer of a call."""
        heappush(self._timers, (at, call.call_id, kind))

    def due(self, now: float) -> Iterator[tuple[Call, Timer]]:
        """Yield the timers that are due, with their calls; skips calls that have ended."""
        while self._timers and self._timers[0][0] <= now:
            _, call_id, kind = heappop(self._timers)
            call = self._calls.get(call_id)
            if call is not None:
                yield call, kind

    def next_at(self) -> float | None:
        """Return when the next timer of a call is due, or None."""
        while self._timers and self._timers[0][1] not in self._calls:
            heappop(self._timers)
        return self._timers[0][0] if self._timers else None
