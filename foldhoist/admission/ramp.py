"""How many calls at once an upstream is given that has just started; no I/O, no clock.

Nobody says what it bears then. Given a call for each of its slots at once, it may end, be back some
seconds later, and end again.
"""

from __future__ import annotations


class Ramp:
    """Room that grows by a call with each answer, from one call at a time.

    With all answers good it doubles in the time of a call. Whoever bears its full share has that
    after as many answers as it has slots.
    """

    def __init__(self) -> None:
        self._room: int | None = None

    def begin(self) -> None:
        """Take in that the upstream has just started."""
        self._room = 1

    def record_answer(self) -> None:
        """Take in that it has answered a call."""
        if self._room is not None:
            self._room += 1

    def usable_slots(self, slots: int) -> int:
        """Return the calls that it may have at once, of its slots."""
        if self._room is not None and self._room >= slots:
            self._room = None
        return slots if self._room is None else self._room
