"""A long message that arrives on a connection between two daemons: its fields, then its body."""

from __future__ import annotations

from struct import Struct
from typing import Any

from foldhoist.admission.body_buffer import hand_over

DEFLATED_HEADER = Struct(">I")
"""Length of the deflated fields, bytes."""
NOT_HELD = "NotHeld"
"""Kind of a message whose body was skipped."""


class LongMessage:
    """One message of `size` bytes; the body is collected in one buffer, or skipped."""

    def __init__(self, number: int, size: int) -> None:
        self.number = number
        self.left_bytes = size
        self.fields: dict[str, Any] | None = None
        self._kind = ""
        self._held = True
        self._buffer = bytearray()

    @property
    def is_complete(self) -> bool:
        """Return whether every byte has come."""
        return not self.left_bytes

    @property
    def body_bytes(self) -> int:
        """Return the size of the body, once the fields are taken."""
        return self.left_bytes + len(self._buffer)

    def add(self, data: bytes) -> bytes:
        """Add bytes; returns those behind the message."""
        taken, rest = data[: self.left_bytes], data[self.left_bytes :]
        self.left_bytes -= len(taken)
        if self._held:
            self._buffer += taken
        return rest

    def take_deflated(self) -> bytes | None:
        """Return the deflated fields and forget them; None if they have not come."""
        if len(self._buffer) < DEFLATED_HEADER.size:
            return None
        (length,) = DEFLATED_HEADER.unpack_from(self._buffer)
        end = DEFLATED_HEADER.size + length
        if len(self._buffer) < end:
            return None
        deflated = bytes(self._buffer[DEFLATED_HEADER.size : end])
        del self._buffer[:end]
        return deflated

    def begin_body(self, kind: str, fields: dict[str, Any], *, held: bool) -> None:
        """Set what the fields say; a body that is not `held` is skipped."""
        self._kind = kind
        self.fields = fields
        self._held = held
        if not held:
            self._buffer.clear()

    def result(self) -> tuple[str, dict[str, Any]]:
        """Return kind and fields, with the body if it is held."""
        assert self.fields is not None
        if not self._held:
            return NOT_HELD, self.fields
        if self._buffer:
            self.fields["body"] = hand_over(self._buffer)
        return self._kind, self.fields
