"""Decides when a reader rewrites the current state to the log, before the log expires it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.configlog.fold import SnapshotRecord

if TYPE_CHECKING:
    from random import Random

    from foldhoist.configlog.fold import LogRecord, State

REFRESH_JITTER = 0.25
"""Longest random delay of a rewrite, as a share of `max_age_s`; also the delay of a retry."""
MAX_STALE_WAIT_S = 1.0
"""Longest random delay of the rewrite that follows an outdated snapshot, seconds."""


class SnapshotRefresher:
    """Schedules rewrites of the state; `now` is in monotonic seconds.

    `max_age_s` is the age, seconds, from which on a state in the log is rewritten.
    """

    def __init__(self, max_age_s: float, rng: Random) -> None:
        self.max_age_s = max_age_s
        self._rng = rng
        self._due: float | None = None
        self._generation = 0

    def observe(self, now: float, record: LogRecord, state: State) -> None:
        """Schedule the next rewrite after a record of the log; `state` includes the record."""
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
        """Return whether to write the state now; only an exact one with a generation is written."""
        if not state.exact or not state.generation:
            return False
        if self._due is None or state.generation != self._generation:
            self._generation = state.generation
            self._due = now + self.max_age_s * (1.0 + REFRESH_JITTER * self._rng.random())
        return now >= self._due

    def write_attempted(self, now: float) -> None:
        """Schedule a retry in case the write does not appear in the log."""
        self._due = now + max(1.0, self.max_age_s * REFRESH_JITTER)
