"""Observes from a thread of its own when a process ends, whatever the soak's event loop does."""

from __future__ import annotations

import threading
import time
from pathlib import Path

CHECK_INTERVAL_S = 0.02
"""Interval between two looks at the process, seconds."""
ENDED = frozenset({"Z", "X", ""})
"""States of a process that has ended, as in /proc; empty if it is gone."""


class ExitObserver(threading.Thread):
    """Looks at the state of one process until it has ended; times are monotonic seconds.

    `last_state` is its state before that, as in /proc: R while it runs or waits for a processor.
    """

    def __init__(self, pid: int) -> None:
        super().__init__(daemon=True)
        self.ended_at = float("inf")
        self.last_state = ""
        self._path = Path(f"/proc/{pid}/stat")

    def run(self) -> None:
        """Look at the process until it has ended."""
        while (state := self._state()) not in ENDED:
            self.last_state = state
            time.sleep(CHECK_INTERVAL_S)
        self.ended_at = time.monotonic()

    def _state(self) -> str:
        try:
            return self._path.read_text().rpartition(")")[2].split()[0]
        except (OSError, IndexError):
            return ""
