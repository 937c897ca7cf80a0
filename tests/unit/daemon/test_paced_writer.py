"""Tests that a long message waits uncopied, is counted whole, and arrives whole and in order."""

from __future__ import annotations

import pytest

from bench.stages import FakeTransport
from foldhoist.admission.body_memory import ProcessMemory
from foldhoist.daemon.paced_writer import PIECE_BYTES, PacedWriter


class Transport(FakeTransport):
    """Takes `room` bytes; what is above it stays in its buffer, and its writer is paused."""

    def __init__(self, room: int) -> None:
        super().__init__()
        self.room = room
        self.sent = b""
        self.writer: PacedWriter | None = None

    def write(self, data: bytes | bytearray | memoryview) -> None:
        super().write(data)
        self.drain(0)

    def drain(self, more: int) -> None:
        """Take so many bytes more."""
        self.room += more
        data = b"".join(self.written)
        self.sent += data[: self.room]
        self.written = [data[self.room :]] if len(data) > self.room else []
        self.room = max(0, self.room - len(data))
        assert self.writer is not None
        if self.written:
            self.writer.pause()
        elif more:
            self.writer.resume()


def make(room: int) -> tuple[PacedWriter, Transport, ProcessMemory]:
    memory, transport = ProcessMemory(), Transport(room)
    transport.writer = PacedWriter(transport, memory)
    return transport.writer, transport, memory


@pytest.mark.parametrize("room", [0, 1, 1000, 10 * PIECE_BYTES])
@pytest.mark.parametrize("size", [0, 10, PIECE_BYTES, PIECE_BYTES + 1, 5 * PIECE_BYTES + 7])
def test_messages_arrive_whole_and_in_order(size: int, room: int) -> None:
    writer, transport, memory = make(room)
    body = bytes(range(256)) * (size // 256 + 1)
    messages = [(b"head %d:" % number, body[:size]) for number in range(3)]
    for head, rest in messages:
        writer.write(head, rest)
    while writer.blocked:
        transport.drain(PIECE_BYTES // 3)
    assert transport.sent == b"".join(head + rest for head, rest in messages)
    assert memory.used == 0


def test_a_message_is_counted_whole_until_its_end_is_written() -> None:
    size = 20 * PIECE_BYTES
    writer, transport, memory = make(18 * PIECE_BYTES)
    writer.write(b"", bytes(size))
    assert writer.unsent_bytes <= 2 * PIECE_BYTES
    assert memory.used >= size
    transport.drain(size)
    assert memory.used == 0


def test_the_transport_gets_no_more_than_it_takes() -> None:
    writer, transport, _ = make(0)
    writer.write(b"head", bytes(100 * PIECE_BYTES))
    assert transport.get_write_buffer_size() <= PIECE_BYTES + len(b"head")


def test_what_is_dropped_is_released() -> None:
    writer, _, memory = make(0)
    writer.write(b"head", bytes(100 * PIECE_BYTES))
    writer.drop()
    assert memory.used == 0
