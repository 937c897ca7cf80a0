"""Control messages between daemons over pynng: one socket receives, one per peer sends."""

from __future__ import annotations

import asyncio
import zlib
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import pynng
from loguru import logger

from foldhoist.addresses import parse_address
from foldhoist.admission.bucket import TokenBucket
from foldhoist.daemon.background import run_task
from foldhoist.daemon.passed_over import PassedOver
from foldhoist.delivery.codec import decode_frame, encode
from foldhoist.exceptions import DecodingError, ListenError, ProtocolError

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.schema.settings import Measuring

MAX_PEER_SOCKETS = 48
"""Most peers with an open socket; the least recently used is closed first."""
MAX_QUEUED = 32
"""Most messages queued for a peer; the oldest is dropped first."""
SEND_TIMEOUT_MS = 1000
"""Timeout of sending a message to a peer, milliseconds."""
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
"""Longest control message, before and after decompression, bytes."""
FRAMING_BYTES = 8
"""Bytes that pynng adds to each message on the wire."""


@dataclass(slots=True)
class Counters:
    """Counters of control messages."""

    bad: int = 0
    dropped: int = 0
    over_budget: int = 0
    received: int = 0
    received_bytes: int = 0
    sent: int = 0
    sent_bytes: int = 0


class _Peer:
    """A socket to one peer, with a queue and the task that sends from it."""

    def __init__(self, address: str, count: Counters) -> None:
        self._count = count
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED)
        self._socket = pynng.Push0(send_timeout=SEND_TIMEOUT_MS)
        self._socket.reconnect_time_min = 50
        self._socket.reconnect_time_max = 2000
        self._socket.dial(f"tcp://{address}", block=False)
        self._task = run_task("control sender", self._send_loop)

    def send(self, data: bytes) -> None:
        if self._queue.full():
            self._queue.get_nowait()
            self._count.dropped += 1
        self._queue.put_nowait(data)

    def close(self) -> None:
        self._task.cancel()
        self._socket.close()

    async def _send_loop(self) -> None:
        while True:
            data = await self._queue.get()
            try:
                await self._socket.asend(data)
            except pynng.Timeout:
                self._count.dropped += 1
                continue
            except pynng.Closed:
                return
            except pynng.NNGException as exc:
                self._count.dropped += 1
                logger.warning("sending a control message failed: {!r}", exc)
                continue
            self._count.sent += 1
            self._count.sent_bytes += len(data) + FRAMING_BYTES


class Control:
    """Sends and receives control messages; a token bucket limits the bytes sent to all peers."""

    def __init__(
        self, address: str, cfg: Measuring, on_message: Callable[[str, Any], None]
    ) -> None:
        self.count = Counters()
        self.passed_over = PassedOver()
        self._on_message = on_message
        self._peers: OrderedDict[str, _Peer] = OrderedDict()
        loop = asyncio.get_running_loop()
        rate, burst = cfg["control_bytes_per_s"], cfg["control_burst_bytes"]
        self._bucket = TokenBucket(rate, burst, loop.time())
        self._socket = pynng.Pull0(recv_max_size=MAX_MESSAGE_BYTES)
        try:
            listener = self._socket.listen(f"tcp://{address}")
        except pynng.NNGException as exc:
            raise ListenError("control", address, str(exc)) from exc
        self.address = str(listener.local_address).removeprefix("tcp://")
        self._task = run_task("control receiver", self._receive_loop)

    def send(self, address: str, kind: str, body: object) -> bool:
        """Queue a message for a peer if the byte limit allows it; returns whether it was queued.

        The address may come from a message; nothing is sent to an invalid one.
        """
        try:
            parse_address(address)
        except DecodingError as exc:
            self.passed_over.add("control address", address, str(exc))
            return False
        data = zlib.compress(encode(kind, body), 1)
        now = asyncio.get_running_loop().time()
        if not self._bucket.take(now, len(data) + FRAMING_BYTES):
            self.count.over_budget += 1
            return False
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = _Peer(address, self.count)
        self._peers.move_to_end(address)
        while len(self._peers) > MAX_PEER_SOCKETS:
            _, evicted = self._peers.popitem(last=False)
            evicted.close()
        peer.send(data)
        return True

    def close(self) -> None:
        """Close all sockets."""
        self._task.cancel()
        for peer in self._peers.values():
            peer.close()
        self._socket.close()

    async def _receive_loop(self) -> None:
        while True:
            try:
                data = await self._socket.arecv()
            except pynng.Closed:
                return
            self.count.received += 1
            self.count.received_bytes += len(data) + FRAMING_BYTES
            try:
                kind, body = decode_frame(_decompress(data))
            except ProtocolError:
                self.count.bad += 1
                continue
            self._on_message(kind, body)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as exc:
        raise ProtocolError(f"control message: {exc}") from exc
    if decompressor.unconsumed_tail:
        raise ProtocolError("control message too long after decompression")
    return plain
