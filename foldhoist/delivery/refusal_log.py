"""Refusals of an owner that its task has yet to log; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery import replies

if TYPE_CHECKING:
    from foldhoist.delivery.dispatch import Refused
    from foldhoist.schema.messages import Dispatch, Load

MAX_PENDING = 100
"""Refusals kept for the log; further ones are dropped until the owner's task takes them."""


class RefusalLog:
    """Bounded list of refusals to log."""

    def __init__(self) -> None:
        self._pending: list[Refused] = []

    def add(self, req: Dispatch, reason: str, retry_after_s: float, load: Load) -> None:
        """Add a refusal unless the list is full."""
        if len(self._pending) < MAX_PENDING:
            self._pending.append(replies.refused_record(req, reason, retry_after_s, load))

    def take(self) -> list[Refused]:
        """Return and clear the refusals added since the last call."""
        pending, self._pending = self._pending, []
        return pending
