"""Bytes of messages: a length, a kind, and the fields in MessagePack, checked when read.

On a connection between two daemons the fields are deflated in one stream, so that what is the same
in every message (names of fields, headers) costs a byte or two; bodies of calls go as they are.
"""

from __future__ import annotations

import zlib
from struct import Struct
from typing import TYPE_CHECKING, Any

import msgspec

from foldhoist.exceptions import ProtocolError
from foldhoist.schema import messages

if TYPE_CHECKING:
    from collections.abc import Mapping

SCHEMA_VERSION = 4
"""Version of the message schema; peers of another version are refused."""
HEAD = Struct(">IB")
"""Length of the fields in bytes, then the kind."""
PACKED = 0x80
"""Bit of a kind: the fields are deflated, and the body of the call follows them."""
PACKED_HEAD = Struct(">I")
"""Length of the deflated fields, bytes."""
WINDOW_BITS = -10
"""Size of the window of a deflater, 1 KiB, without a header: the last few messages.

A call's fields take 94 bytes with it and 95 with 4 KiB, the mean of 200 made like a caller's; its
answer's 59 and 58.
"""
MEMORY_LEVEL = 2
"""Memory of a deflater: 2 KiB beside four times its window."""
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
    "Goaway": (18, messages.Goaway),
    "Roster": (19, messages.Roster),
    "Crashes": (20, messages.Crashes),
    "CreditAsk": (21, messages.CreditAsk),
    "Credit": (22, messages.Credit),
    "Piece": (23, messages.Piece),
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


class Packer:
    """Writes the messages of one connection, in order."""

    def __init__(self) -> None:
        self._deflate = zlib.compressobj(1, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL)

    def pack(self, kind: str, body: Mapping[str, Any]) -> bytes:
        """Return the bytes of the next message."""
        raw: bytes = body.get("body", b"")
        fields = _ENCODER.encode({**body, "body": b""} if raw else body)
        packed = self._deflate.compress(fields) + self._deflate.flush(zlib.Z_SYNC_FLUSH)
        length = PACKED_HEAD.size + len(packed) + len(raw)
        head = HEAD.pack(length, _NUMBERS[kind] | PACKED)
        return b"".join((head, PACKED_HEAD.pack(len(packed)), packed, raw))


class Splitter:
    """Cuts a stream of bytes into messages; `limit` is the longest allowed, bytes."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._parts: list[bytes] = []
        self._have = 0
        self._need = HEAD.size
        self._inflate = zlib.decompressobj(WINDOW_BITS)

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
            found.append(self._decode(number, data[at + HEAD.size : end]))
            at = end
        self._parts = [data[at:]] if at < size else []
        self._have = size - at
        return found

    def _decode(self, number: int, fields: bytes) -> tuple[str, Any]:
        if not number & PACKED:
            return decode(number, fields)
        if len(fields) < PACKED_HEAD.size:
            raise ProtocolError("message shorter than its head")
        (length,) = PACKED_HEAD.unpack_from(fields)
        split = PACKED_HEAD.size + length
        if split > len(fields):
            raise ProtocolError("deflated fields are longer than their message")
        try:
            plain = self._inflate.decompress(fields[PACKED_HEAD.size : split], self.limit)
        except zlib.error as exc:
            raise ProtocolError(f"deflated fields: {exc}") from exc
        kind, body = decode(number & ~PACKED, plain)
        if split < len(fields):
            body["body"] = fields[split:]
        return kind, body
