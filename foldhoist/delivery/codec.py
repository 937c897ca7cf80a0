"""Wire format of messages: length, kind, and fields in MessagePack, validated when decoded.

On a connection between two daemons the fields are deflated in one stream, so that what repeats in
every message (field names, headers) takes little space; bodies of calls are sent uncompressed.
"""

from __future__ import annotations

import zlib
from struct import Struct
from typing import TYPE_CHECKING, Any

import msgspec

from foldhoist.decoding import msgpack_decoder
from foldhoist.delivery.long_message import DEFLATED_HEADER, LongMessage
from foldhoist.exceptions import DecodingError, ProtocolError
from foldhoist.schema import messages

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

SCHEMA_VERSION = 4
"""Version of the message schema; peers of another version are refused."""
HEADER = Struct(">IB")
"""Header of a frame: length of what follows the header, in bytes, then the kind."""
DEFLATED = 0x80
"""Flag in the kind: a length, the deflated fields and the raw body of the call follow."""
WINDOW_BITS = -10
"""zlib window of 1 KiB, enough for the last few messages; negative for a raw stream.

With 4 KiB the fields of a call, or of its answer, differ by one byte.
"""
MEMORY_LEVEL = 2
"""zlib memory level of a deflater: 2 KiB in addition to four times its window."""
FRAME_OVERHEAD_BYTES = 256 * 1024
"""Bytes that a frame may have in addition to the body of a call."""
LONG_MESSAGE_BYTES = 128 * 1024
"""A message above this is decoded as it comes, so that it may be skipped, bytes."""

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
    "SignalUpdate": (24, messages.SignalUpdate),
}
_NUMBERS = {name: number for name, (number, _) in _KINDS.items()}
_DECODERS: dict[int, tuple[str, Any]] = {
    number: (name, msgpack_decoder(kind)) for name, (number, kind) in _KINDS.items()
}
_ENCODER = msgspec.msgpack.Encoder()


def encode(kind: str, body: object) -> bytes:
    """Return the frame of a message, not deflated."""
    fields = _ENCODER.encode(body)
    return HEADER.pack(len(fields), _NUMBERS[kind]) + fields


def decode(number: int, fields: bytes | memoryview) -> tuple[str, Any]:
    """Return kind and fields; raises ProtocolError if they do not match the message schema."""
    entry = _DECODERS.get(number)
    if entry is None:
        raise ProtocolError(f"unknown message kind {number}")
    name, decoder = entry
    try:
        return name, decoder.decode(fields)
    except DecodingError as exc:
        raise ProtocolError(f"{name}: {exc}") from exc


def decode_frame(frame: bytes) -> tuple[str, Any]:
    """Return kind and fields of one complete frame; raises ProtocolError if it is invalid."""
    if len(frame) < HEADER.size:
        raise ProtocolError("message shorter than its header")
    length, number = HEADER.unpack_from(frame)
    if length != len(frame) - HEADER.size:
        raise ProtocolError("message length does not match its header")
    return decode(number, frame[HEADER.size :])


class StreamEncoder:
    """Encodes the messages of one connection; they must be sent in this order."""

    def __init__(self) -> None:
        self._deflate = zlib.compressobj(1, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL)

    def encode(self, kind: str, body: Mapping[str, Any]) -> bytes:
        """Return the frame of the next message."""
        raw: bytes = body.get("body", b"")
        return self.encode_head(kind, body) + raw

    def encode_head(self, kind: str, body: Mapping[str, Any]) -> bytes:
        """Return the frame of the next message without the raw body, which must follow it."""
        raw: bytes = body.get("body", b"")
        fields = _ENCODER.encode({**body, "body": b""} if raw else body)
        deflated = self._deflate.compress(fields) + self._deflate.flush(zlib.Z_SYNC_FLUSH)
        length = DEFLATED_HEADER.size + len(deflated) + len(raw)
        head = HEADER.pack(length, _NUMBERS[kind] | DEFLATED)
        return b"".join((head, DEFLATED_HEADER.pack(len(deflated)), deflated))


class StreamDecoder:
    """Decodes a stream of bytes into messages; `limit` is the largest size of one, bytes.

    `admit` is asked, with its kind and the size of its body, whether to hold a long message whose
    body is still to come. One that is not held is returned as `NOT_HELD` without its body.
    """

    def __init__(self, limit: int, admit: Callable[[str, int], bool] | None = None) -> None:
        self.limit = limit
        self._admit = admit if admit is not None else lambda kind, size: True
        self._parts: list[bytes] = []
        self._buffered = 0
        self._needed = HEADER.size
        self._long: LongMessage | None = None
        self._inflate = zlib.decompressobj(WINDOW_BITS)

    def feed(self, data: bytes) -> list[tuple[str, Any]]:
        """Return the messages completed by `data`; raises ProtocolError if one is invalid."""
        found: list[tuple[str, Any]] = []
        if self._long is not None:
            data = self._feed_long(self._long, data, found)
        while data and self._long is None:
            data = self._feed_short(data, found)
        return found

    def _feed_short(self, data: bytes, found: list[tuple[str, Any]]) -> bytes:
        """Decode what is complete; returns bytes that are to be fed again, as of a long message."""
        if self._parts:
            self._parts.append(data)
            self._buffered += len(data)
            if self._buffered < self._needed:
                return b""
            data = b"".join(self._parts)
            self._parts.clear()
        view = memoryview(data)
        offset = 0
        size = len(data)
        self._needed = HEADER.size
        while size - offset >= HEADER.size:
            length, number = HEADER.unpack_from(data, offset)
            if length > self.limit:
                raise ProtocolError(f"message of {length} bytes exceeds the limit of {self.limit}")
            end = offset + HEADER.size + length
            if end > size:
                if number & DEFLATED and length > LONG_MESSAGE_BYTES:
                    self._long = LongMessage(number & ~DEFLATED, length)
                    return self._feed_long(self._long, data[offset + HEADER.size :], found)
                self._needed = HEADER.size + length
                break
            found.append(self._decode(number, view[offset + HEADER.size : end]))
            offset = end
        self._parts = [data[offset:]] if offset < size else []
        self._buffered = size - offset
        return b""

    def _feed_long(self, message: LongMessage, data: bytes, found: list[tuple[str, Any]]) -> bytes:
        """Add to a long message; returns the bytes behind it."""
        rest = message.add(data)
        if message.fields is None and (deflated := message.take_deflated()) is not None:
            kind, fields = decode(message.number, self._inflated(deflated))
            message.begin_body(kind, fields, held=self._admit(kind, message.body_bytes))
        if not message.is_complete:
            return rest
        if message.fields is None:
            raise ProtocolError("deflated fields exceed their message")
        self._long = None
        found.append(message.result())
        return rest

    def _decode(self, number: int, fields: memoryview) -> tuple[str, Any]:
        if not number & DEFLATED:
            return decode(number, fields)
        if len(fields) < DEFLATED_HEADER.size:
            raise ProtocolError("message shorter than its header")
        (length,) = DEFLATED_HEADER.unpack_from(fields)
        split = DEFLATED_HEADER.size + length
        if split > len(fields):
            raise ProtocolError("deflated fields exceed their message")
        kind, body = decode(
            number & ~DEFLATED, self._inflated(fields[DEFLATED_HEADER.size : split])
        )
        if split < len(fields):
            body["body"] = bytes(fields[split:])
        return kind, body

    def _inflated(self, deflated: bytes | memoryview) -> bytes:
        try:
            return self._inflate.decompress(deflated, self.limit)
        except zlib.error as exc:
            raise ProtocolError(f"cannot inflate fields: {exc}") from exc
