"""When a reader writes the current generation to the log again, so that it never expires."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.configlog.fold import SnapshotRecord

if TYPE_CHECKING:
    from random import Random

    from foldhoist.configlog.fold import LogRecord, State

REFRESH_JITTER = 0.25
"""The random wait before a record is written again, as a share of its age limit."""
MAX_STALE_WAIT_S = 1.0
"""Longest random wait before a stale record is answered, seconds."""


class SnapshotRefresher:
    """Decides when to write; `now` is monotonic seconds, `keep_s` the age limit."""

    def __init__(self, max_age_s: float, rng: Random) -> None:
        self.max_age_s = max_age_s
        self._rng = rng
        self._due: float | None = None
        self._generation = 0

    def observe(self, now: float, record: LogRecord, state: State) -> None:
        """Take in a record of the log; `state` is the one after it."""
        match record:
            case SnapshotRecord(_, body) if body["generation"] < state.generation:
                due = now + self._rng.random() * MAX_STALE_WAIT_S
                self._due = due if self._due is None else min(self._due, due)
                return
            case SnapshotRecord(_, body) if not body["exact"]:
                return
        self._generation = state.generation
        self._due = now + self.max_age_s * (1.0 + REFRESH_JITTER * self._rng.random())

    def is_due(self, now: float, state: State) -> bool:
        """Return whether this reader writes the state now; it must be exact."""
        if not state.exact or not state.generation:
            return False
        if self._due is None or state.generation != self._generation:
            self._generation = state.generation
            self._due = now + self.max_age_s * (1.0 + REFRESH_JITTER * self._rng.random())
        return now >= self._due

    def write_attempted(self, now: float) -> None:
        """Take in that a write was tried; the log will show it, or another try follows."""
        self._due = now + max(1.0, self.max_age_s * REFRESH_JITTER)
