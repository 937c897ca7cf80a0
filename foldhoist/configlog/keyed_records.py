"""Keyed records in the answer to a read of a platform's log; no I/O."""

from __future__ import annotations

from struct import Struct
from typing import NamedTuple

LENGTH = Struct(">I")
"""Precedes each record: its length in bytes."""
HEADER = Struct(">QQ")
"""Precedes the records of a read: the end of the log and its first offset."""


class KeyedRecord(NamedTuple):
    """A record under a key; an empty value deletes the key."""

    key: str
    value: bytes


class LogRead(NamedTuple):
    """The valid records of a read, the number of invalid ones, and the offset to read from next."""

    records: list[KeyedRecord]
    invalid: int
    next_offset: int


def pack_record(key: str, value: bytes) -> bytes:
    """Return an encoded record with its length; the key has at most 255 bytes."""
    name = key.encode()
    record = bytes([len(name)]) + name + value
    return LENGTH.pack(len(record)) + record


def unpack_read(data: bytes, offset: int) -> LogRead | None:
    """Return the records of a read from an offset, without one that is cut off at its end.

    None if reading cannot go on after it: the log has records there, but the read has no whole one.
    """
    if len(data) < HEADER.size:
        return None
    end = HEADER.unpack_from(data)[0]
    frames = _frames(data)
    if end < offset or (not frames and (end > offset or len(data) > HEADER.size)):
        return None
    records = [record for record in map(_record, frames) if record is not None]
    return LogRead(records, len(frames) - len(records), min(offset + len(frames), end))


def _frames(data: bytes) -> list[bytes]:
    """Return the contents of the whole records of a read."""
    frames: list[bytes] = []
    at = HEADER.size
    while at + LENGTH.size <= len(data):
        (length,) = LENGTH.unpack_from(data, at)
        at += LENGTH.size
        if at + length > len(data):
            break
        frames.append(data[at : at + length])
        at += length
    return frames


def _record(frame: bytes) -> KeyedRecord | None:
    """Return the record in a frame, or None if its key is cut off or no UTF-8 text."""
    if not frame or 1 + frame[0] > len(frame):
        return None
    split = 1 + frame[0]
    try:
        return KeyedRecord(frame[1:split].decode(), frame[split:])
    except UnicodeDecodeError:
        return None
