"""Observes from a thread of its own when a process ends, whatever the soak's event loop does."""

from __future__ import annotations

import threading
import time
from collections import Counter
from pathlib import Path

CHECK_INTERVAL_S = 0.02
"""Interval between two looks at the process, seconds."""
ENDED = frozenset({"Z", "X", ""})
"""States of a process that has ended, as in /proc; empty if it is gone."""


class ExitObserver(threading.Thread):
    """Looks at the state of one process until it has ended; times are monotonic seconds."""

    def __init__(self, pid: int) -> None:
        super().__init__(daemon=True)
        self.ended_at = float("inf")
        self.states: Counter[str] = Counter()
        self._path = Path(f"/proc/{pid}/stat")
        self._stopping = threading.Event()

    def run(self) -> None:
        """Look at the process until it has ended or the observer is closed."""
        while not self._stopping.wait(CHECK_INTERVAL_S):
            state = self._state()
            if state in ENDED:
                self.ended_at = time.monotonic()
                return
            self.states[state] += 1

    def close(self) -> None:
        """Stop looking."""
        self._stopping.set()

    def _state(self) -> str:
        try:
            return self._path.read_text().rpartition(")")[2].split()[0]
        except (OSError, IndexError):
            return ""
