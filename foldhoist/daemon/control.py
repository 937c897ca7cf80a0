"""Control messages between daemons over pynng: one socket to receive, one for each peer sent to."""

from __future__ import annotations

import asyncio
import zlib
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import pynng
from loguru import logger

from foldhoist.admission.bucket import TokenBucket
from foldhoist.delivery.codec import decode_frame, encode
from foldhoist.exceptions import ProtocolError

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.schema.settings import Measuring

MOST_PEERS = 48
"""Peers with an open socket; the longest unused is closed first."""
MOST_QUEUED = 32
"""Messages that wait for a peer that is not there; the oldest is dropped first."""
SEND_MS = 1000
"""Longest wait for a peer to take a message, milliseconds."""
LONGEST = 16 * 1024 * 1024
"""Longest control message after unpacking, bytes."""
FRAMING = 8
"""Bytes that pynng adds to a message on the wire."""


@dataclass(slots=True)
class Counters:
    """What control has counted."""

    bad: int = 0
    dropped: int = 0
    over_budget: int = 0
    received: int = 0
    received_bytes: int = 0
    sent: int = 0
    sent_bytes: int = 0


class _Peer:
    """A socket to one peer, with the task that writes to it."""

    def __init__(self, address: str, count: Counters) -> None:
        self._count = count
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(MOST_QUEUED)
        self._socket = pynng.Push0(send_timeout=SEND_MS)
        self._socket.reconnect_time_min = 50
        self._socket.reconnect_time_max = 2000
        self._socket.dial(f"tcp://{address}", block=False)
        self._task = asyncio.get_running_loop().create_task(self._write())

    def send(self, data: bytes) -> None:
        if self._queue.full():
            self._queue.get_nowait()
            self._count.dropped += 1
        self._queue.put_nowait(data)

    def close(self) -> None:
        self._task.cancel()
        self._socket.close()

    async def _write(self) -> None:
        while True:
            data = await self._queue.get()
            try:
                await self._socket.asend(data)
            except pynng.Timeout:
                self._count.dropped += 1
                continue
            except pynng.NNGException:
                self._count.dropped += 1
                return
            self._count.sent += 1
            self._count.sent_bytes += len(data) + FRAMING


class Control:
    """Sends and receives control messages; what may be sent is bounded here and only here."""

    def __init__(
        self, address: str, cfg: Measuring, on_message: Callable[[str, Any], None]
    ) -> None:
        self.count = Counters()
        self._on_message = on_message
        self._peers: OrderedDict[str, _Peer] = OrderedDict()
        loop = asyncio.get_running_loop()
        rate, burst = cfg["control_bytes_per_s"], cfg["control_burst_bytes"]
        self._bucket = TokenBucket(rate, burst, loop.time())
        self._socket = pynng.Pull0(recv_max_size=LONGEST)
        listener = self._socket.listen(f"tcp://{address}")
        self.address = str(listener.local_address).removeprefix("tcp://")
        self._task = loop.create_task(self._read())

    def send(self, address: str, kind: str, body: object) -> bool:
        """Send a message if the budget has room for it; returns whether it was queued."""
        data = zlib.compress(encode(kind, body), 1)
        now = asyncio.get_running_loop().time()
        if not self._bucket.take(now, len(data) + FRAMING):
            self.count.over_budget += 1
            return False
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = _Peer(address, self.count)
        self._peers.move_to_end(address)
        while len(self._peers) > MOST_PEERS:
            _, old = self._peers.popitem(last=False)
            old.close()
        peer.send(data)
        return True

    def close(self) -> None:
        """Close every socket."""
        self._task.cancel()
        for peer in self._peers.values():
            peer.close()
        self._socket.close()

    async def _read(self) -> None:
        while True:
            try:
                data = await self._socket.arecv()
            except pynng.NNGException as exc:
                logger.warning("control socket ended: {}", exc)
                return
            self.count.received += 1
            self.count.received_bytes += len(data) + FRAMING
            try:
                kind, body = decode_frame(_unpack(data))
            except ProtocolError:
                self.count.bad += 1
                continue
            self._on_message(kind, body)


def _unpack(data: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, LONGEST)
    except zlib.error as exc:
        raise ProtocolError(f"control message: {exc}") from exc
    if unpacker.unconsumed_tail:
        raise ProtocolError("control message too long")
    return plain
