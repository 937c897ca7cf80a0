"""Large bodies between two daemons, over sockets: they cost no other message on the connection.

Guards against a connection that is closed by one large body, with every call on it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from foldhoist.daemon.frames import MAX_UNSENT_BYTES, FrameConnection, send_or_refuse
from foldhoist.delivery.codec import FRAME_OVERHEAD_BYTES
from foldhoist.delivery.replies import answer_frame
from foldhoist.delivery.verdict import Response
from tests.unit.daemon.calls import dispatch_of

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MIB = 1024 * 1024
BODY_BYTES = 64 * MIB
"""Largest body that a daemon can be set to take, bytes."""
WAIT_S = 60.0
"""Longest wait in these tests, seconds; it only ends a test that hangs."""
LOAD: Any = {
    "busy": 0,
    "queued": 0,
    "slots": 4,
    "service_us": 0,
    "errors": 0.0,
    "state": "warm",
}


class Pair:
    """Two daemons' ends of a connection; `got` holds what arrived: kind, number, body size."""

    def __init__(self) -> None:
        limit = BODY_BYTES + FRAME_OVERHEAD_BYTES
        self.got: list[tuple[str, int, int]] = []
        self.lost = 0
        self.here = FrameConnection(limit, lambda *args: None, self._on_lost)
        self.there = FrameConnection(limit, self._on_message, lambda conn: None)

    async def connect(self) -> None:
        """Connect both ends."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: self.there, "127.0.0.1", 0)
        address = self.server.sockets[0].getsockname()[:2]
        await loop.create_connection(lambda: self.here, *address)
        await self.until(lambda: self.there._transport is not None)

    async def until(self, is_true: Callable[[], bool]) -> None:
        """Wait until the condition holds or the connection is lost."""
        async with asyncio.timeout(WAIT_S):
            while not is_true() and not self.lost:
                await asyncio.sleep(0.002)

    def stop_reading(self) -> None:
        """Let the peer read nothing."""
        assert self.there._transport is not None
        self.there._transport.pause_reading()

    def resume_reading(self) -> None:
        """Let the peer read again."""
        assert self.there._transport is not None
        self.there._transport.resume_reading()

    def _on_message(self, conn: FrameConnection, kind: str, body: Any) -> None:
        self.got.append((kind, body.get("seq", 0), len(body.get("body", b""))))

    def _on_lost(self, conn: FrameConnection) -> None:
        self.lost += 1


def on_pair(test: Callable[[Pair], Awaitable[None]]) -> None:
    """Run a test with a connection."""

    async def run() -> None:
        pair = Pair()
        await pair.connect()
        await test(pair)
        pair.here.close()
        pair.there.close()
        pair.server.close()

    asyncio.run(run())


def call(seq: int, size: int) -> Any:
    """Return a call with a body of this size."""
    return {**dispatch_of("POST", repeatable=False, body=bytes(size)), "seq": seq}


def answer(seq: int, size: int, *, bulk: bool = False) -> Any:
    """Return an answer with a body of this size."""
    response = Response(200, [], bytes(size))
    return answer_frame(seq, response, 0, (0, 0), LOAD, bulk=bulk).body


@pytest.mark.parametrize("size", [15 * MIB, 17 * MIB, 24 * MIB, BODY_BYTES])
def test_a_large_request_goes_through_beside_others(size: int) -> None:
    async def test(pair: Pair) -> None:
        pair.stop_reading()
        assert pair.here.send("Dispatch", call(1, 10))
        assert pair.here.send("Dispatch", call(2, size))
        for seq in range(3, 103):
            assert pair.here.send("Dispatch", call(seq, 1000))
        await asyncio.sleep(0.05)
        pair.resume_reading()
        await pair.until(lambda: len(pair.got) == 102)
        assert pair.lost == 0
        sizes = [10, size, *[1000] * 100]
        assert pair.got == [("Dispatch", seq, sizes[seq - 1]) for seq in range(1, 103)]

    on_pair(test)


@pytest.mark.parametrize("bulk", [False, True])
@pytest.mark.parametrize("size", [15 * MIB, 17 * MIB, 24 * MIB, BODY_BYTES])
def test_a_large_answer_goes_through_and_others_pass_it(size: int, bulk: bool) -> None:
    async def test(pair: Pair) -> None:
        pair.stop_reading()
        assert pair.here.send("Answer", answer(1, size, bulk=bulk))
        for seq in range(2, 102):
            assert pair.here.send("Answer", answer(seq, 1000))
        await asyncio.sleep(0.05)
        pair.resume_reading()
        await pair.until(lambda: len(pair.got) == 101)
        assert pair.lost == 0
        others = [("Answer", seq, 1000) for seq in range(2, 102)]
        assert pair.got == [*others, ("Answer", 1, size)]

    on_pair(test)


def test_large_answers_beyond_what_a_peer_holds_wait_for_each_other() -> None:
    async def test(pair: Pair) -> None:
        for turn in range(4):
            for seq in range(4 * turn, 4 * turn + 4):
                assert pair.here.send("Answer", answer(seq, 5 * MIB))
            await pair.until(lambda turn=turn: len(pair.got) == 4 * turn + 4)  # type: ignore[misc]
        assert pair.here.send("Answer", answer(16, 15 * MIB))
        assert pair.here.send("Answer", answer(17, BODY_BYTES))
        await pair.until(lambda: len(pair.got) == 18)
        assert pair.lost == 0
        sizes = {seq: 5 * MIB for seq in range(16)} | {16: 15 * MIB, 17: BODY_BYTES}
        assert {seq: size for _, seq, size in pair.got} == sizes

    on_pair(test)


def test_a_large_message_that_is_not_accepted_costs_itself_only() -> None:
    async def test(pair: Pair) -> None:
        pair.stop_reading()
        assert pair.here.send("Dispatch", call(1, 24 * MIB))
        assert not pair.here.send("Dispatch", call(2, 2 * MIB))
        assert pair.here.send("Dispatch", call(3, 1000))
        send_or_refuse(pair.here, "Answer", answer(4, 2 * MIB))
        pair.resume_reading()
        await pair.until(lambda: len(pair.got) == 3)
        assert pair.lost == 0
        assert pair.got == [("Dispatch", 1, 24 * MIB), ("Dispatch", 3, 1000), ("Refusal", 4, 0)]

    on_pair(test)


@pytest.mark.parametrize("large", [0, 24 * MIB])
def test_a_peer_that_does_not_read_is_disconnected_by_small_messages(large: int) -> None:
    async def test(pair: Pair) -> None:
        pair.stop_reading()
        if large:
            assert pair.here.send("Dispatch", call(1, large))
        sent = 0
        while not pair.lost and sent < 3 * MAX_UNSENT_BYTES:
            pair.here.send("Dispatch", call(2, MIB))
            sent += MIB
            await asyncio.sleep(0)
        assert pair.lost == 1

    on_pair(test)
