"""A TCP proxy that injects faults: delay, reset, freeze, loss in one direction, slow delivery."""

from __future__ import annotations

import asyncio
import threading
from typing import Any

CHUNK = 65536
"""Largest read, bytes."""


class Faults:
    """Faults of the proxy; "forth" is from the connecting side to the target, "back" the reverse.

    `slow_bytes` is the size of the pieces of which one is sent per millisecond; 0 sends at once.
    """

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.frozen = False
        self.drop_forth = False
        self.drop_back = False
        self.slow_bytes = 0
        self.refuse = False


class FaultProxy:
    """Listens on loopback and forwards to one address; runs in a thread with its own event loop."""

    def __init__(self, to: str) -> None:
        self.to = to
        self.faults = Faults()
        self.address = ""
        self.bytes_forth = 0
        self.bytes_back = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._call(self._listen())

    def cut(self) -> None:
        """Abort every connection."""
        self._call(self._cut())

    def close(self) -> None:
        """Abort every connection and stop the proxy."""
        self._call(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _call(self, coro: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(coro, self._loop).result(30)

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    async def _cut(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _close(self) -> None:
        self._server.close()
        await self._cut()
        await asyncio.sleep(0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.to.rpartition(":")
        if self.faults.refuse:
            writer.transport.abort()
            return
        try:
            to_reader, to_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, to_writer}
        await asyncio.gather(
            self._pump(reader, to_writer, forth=True), self._pump(to_reader, writer, forth=False)
        )
        self._writers -= {writer, to_writer}

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, forth: bool
    ) -> None:
        try:
            while data := await reader.read(CHUNK):
                await self._forward(data, writer, forth)
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.transport.abort() if self._is_closing(writer) else writer.close()

    def _is_closing(self, writer: asyncio.StreamWriter) -> bool:
        return writer.transport.is_closing()

    async def _forward(self, data: bytes, writer: asyncio.StreamWriter, forth: bool) -> None:
        faults = self.faults
        while faults.frozen:
            await asyncio.sleep(0.005)
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if (forth and faults.drop_forth) or (not forth and faults.drop_back):
            return
        if forth:
            self.bytes_forth += len(data)
        else:
            self.bytes_back += len(data)
        if not faults.slow_bytes:
            writer.write(data)
            await writer.drain()
            return
        for at in range(0, len(data), faults.slow_bytes):
            writer.write(data[at : at + faults.slow_bytes])
            await asyncio.sleep(0.001)
