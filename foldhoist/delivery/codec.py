"""Bytes of messages: a length, a kind, and the fields in MessagePack, checked when read."""

from __future__ import annotations

from struct import Struct
from typing import Any

import msgspec

from foldhoist.exceptions import ProtocolError
from foldhoist.schema import messages

SCHEMA_VERSION = 1
"""Version of the message schema; peers of another version are refused."""
HEAD = Struct(">IB")
"""Length of the fields in bytes, then the kind."""
HEADROOM = 256 * 1024
"""Bytes that a frame may have beside a call's body."""

_KINDS: dict[str, tuple[int, type]] = {
    "Hello": (1, messages.Hello),
    "Dispatch": (2, messages.Dispatch),
    "Answer": (3, messages.Answer),
    "Refusal": (4, messages.Refusal),
    "Withdraw": (5, messages.Withdraw),
    "FateAsk": (6, messages.FateAsk),
    "Report": (7, messages.Report),
    "Snapshot": (8, messages.Snapshot),
    "Ask": (9, messages.Ask),
    "Handover": (10, messages.Handover),
    "Handed": (11, messages.Handed),
    "Held": (12, messages.Held),
    "Member": (13, messages.Member),
    "Remembered": (14, messages.Remembered),
    "Noted": (15, messages.Noted),
    "Versioned": (16, messages.Versioned),
    "Fresh": (17, messages.Fresh),
}
_NUMBERS = {name: number for name, (number, _) in _KINDS.items()}
_DECODERS: dict[int, tuple[str, Any]] = {
    number: (name, msgspec.msgpack.Decoder(kind)) for name, (number, kind) in _KINDS.items()
}
_ENCODER = msgspec.msgpack.Encoder()


def encode(kind: str, body: object) -> bytes:
    """Return the frame of a message."""
    fields = _ENCODER.encode(body)
    return HEAD.pack(len(fields), _NUMBERS[kind]) + fields


def decode(number: int, fields: bytes | memoryview) -> tuple[str, Any]:
    """Return kind and fields of a message; raises ProtocolError if they fit no schema."""
    entry = _DECODERS.get(number)
    if entry is None:
        raise ProtocolError(f"no message has kind {number}")
    name, decoder = entry
    try:
        return name, decoder.decode(fields)
    except (msgspec.DecodeError, ValueError, RecursionError) as exc:
        raise ProtocolError(f"{name}: {exc}") from exc


def decode_whole(frame: bytes) -> tuple[str, Any]:
    """Return kind and fields of a message that came as one piece."""
    if len(frame) < HEAD.size:
        raise ProtocolError("message shorter than its head")
    length, number = HEAD.unpack_from(frame)
    if length != len(frame) - HEAD.size:
        raise ProtocolError("message length does not match its head")
    return decode(number, frame[HEAD.size :])


class Splitter:
    """Cuts a stream of bytes into messages; `limit` is the longest allowed, bytes."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._parts: list[bytes] = []
        self._have = 0
        self._need = HEAD.size

    def feed(self, data: bytes) -> list[tuple[str, Any]]:
        """Return the messages that are whole now; a long one is joined only when it is whole."""
        if self._parts:
            self._parts.append(data)
            self._have += len(data)
            if self._have < self._need:
                return []
            data = b"".join(self._parts)
        found: list[tuple[str, Any]] = []
        at = 0
        size = len(data)
        self._need = HEAD.size
        while size - at >= HEAD.size:
            length, number = HEAD.unpack_from(data, at)
            if length > self.limit:
                raise ProtocolError(f"message of {length} bytes, longest allowed is {self.limit}")
            end = at + HEAD.size + length
            if end > size:
                self._need = HEAD.size + length
                break
            found.append(decode(number, data[at + HEAD.size : end]))
            at = end
        self._parts = [data[at:]] if at < size else []
        self._have = size - at
        return found
