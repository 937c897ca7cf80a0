"""Limits the concurrent calls at an upstream that has just started; no I/O, no clock.

Its capacity is unknown then. With a call for each of its slots at once it may crash, restart some
seconds later, and crash again.
"""

from __future__ import annotations


class Ramp:
    """Number of usable slots, which starts at one and grows by one with each answer.

    While all calls are answered, it doubles in the time of a call. All slots are usable after one
    answer fewer than there are slots.
    """

    def __init__(self) -> None:
        self._usable: int | None = None

    def begin(self) -> None:
        """Start the ramp: the upstream has just started."""
        self._usable = 1

    def record_answer(self) -> None:
        """Record that the upstream has answered a call."""
        if self._usable is not None:
            self._usable += 1

    def usable_slots(self, slots: int) -> int:
        """Return how many of the upstream's slots may be used now."""
        if self._usable is not None and self._usable >= slots:
            self._usable = None
        return slots if self._usable is None else self._usable
