"""Refusals that an owner has made and its task has not yet logged; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery import replies

if TYPE_CHECKING:
    from foldhoist.delivery.dispatch import Refused
    from foldhoist.schema.messages import Dispatch, Load

MOST = 100
"""Refusals noted at once; the task that runs the owner takes them at each of its steps."""


class RefusalNotes:
    """What to log of refusals, bounded."""

    def __init__(self) -> None:
        self._notes: list[Refused] = []

    def note(self, req: Dispatch, reason: str, retry_after_s: float, load: Load) -> None:
        """Note a refusal, unless there are too many already."""
        if len(self._notes) < MOST:
            self._notes.append(replies.refused_record(req, reason, retry_after_s, load))

    def take(self) -> list[Refused]:
        """Return what was noted since the last time."""
        notes, self._notes = self._notes, []
        return notes
