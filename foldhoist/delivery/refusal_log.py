"""Refusals that an owner has made and its task has not yet logged; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery import replies

if TYPE_CHECKING:
    from foldhoist.delivery.dispatch import Refused
    from foldhoist.schema.messages import Dispatch, Load

MAX_PENDING = 100
"""Refusals noted at once; the task that runs the owner takes them at each of its steps."""


class RefusalLog:
    """What to log of refusals, bounded."""

    def __init__(self) -> None:
        self._pending: list[Refused] = []

    def add(self, req: Dispatch, reason: str, retry_after_s: float, load: Load) -> None:
        """Note a refusal, unless there are too many already."""
        if len(self._pending) < MAX_PENDING:
            self._pending.append(replies.refused_record(req, reason, retry_after_s, load))

    def take(self) -> list[Refused]:
        """Return what was noted since the last time."""
        pending, self._pending = self._pending, []
        return pending
