"""Clients that do not behave: each opens a connection, sends its bytes, and stays."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

STAYING_S = 2.0
"""Time for which a crowd has stayed when anything is checked, seconds."""
SENDING_S = 10.0
"""Longest wait until a crowd has sent everything, seconds; a daemon may stop reading before."""
STALLED_S = 0.5
"""Time after which a client that comes and goes gives up sending, seconds."""
RESET = struct.pack("ii", 1, 0)
"""Option of a socket whose close sends a reset."""
RECEIVE_BUFFER_BYTES = 2048
"""Receive buffer of a client that does not read."""
HEAD = b"POST /u/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: 0b\r\nX-Deadline-Ms: 60000\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
GET = b"GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: 0c\r\nX-Deadline-Ms: 60000\r\n%s\r\n"


class Crowd:
    """Clients at one address; none of them reads, and all stay until the crowd is closed."""

    def __init__(self, address: str) -> None:
        ip, _, port = address.rpartition(":")
        self._address = (ip, int(port))
        self._socks: list[socket.socket] = []

    async def __aenter__(self) -> Crowd:
        """Return the crowd, which has no client yet."""
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Close every connection."""
        self.close()

    async def send(self, payloads: Iterable[bytes]) -> None:
        """Add a client for each payload, and wait until all have sent what is read of them."""
        tasks = [asyncio.ensure_future(self._client(each)) for each in payloads]
        _, pending = await asyncio.wait(tasks, timeout=SENDING_S)
        for task in pending:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(STAYING_S)

    async def come_and_go(self, payload: bytes, clients: int, for_s: float) -> None:
        """Have clients connect, send what they can, and reset their connection, again and again."""
        until = asyncio.get_running_loop().time() + for_s
        await asyncio.gather(*(self._come_and_go(payload, until) for _ in range(clients)))

    def close(self) -> None:
        """Close every connection."""
        for sock in self._socks:
            sock.close()
        self._socks.clear()

    async def _client(self, payload: bytes) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self._socks.append(sock)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        with suppress(OSError):
            await loop.sock_connect(sock, self._address)
            await loop.sock_sendall(sock, payload)

    async def _come_and_go(self, payload: bytes, until: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            with socket.socket() as sock, suppress(OSError):
                sock.setblocking(False)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                async with asyncio.timeout(STALLED_S):
                    await loop.sock_connect(sock, self._address)
                    await loop.sock_sendall(sock, payload)


def unfinished_chunks(body_bytes: int, chunk_bytes: int) -> bytes:
    """Return a request whose body comes in such chunks and lacks its last one."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    return CHUNKED_HEAD + chunk * (body_bytes // chunk_bytes)


def whole_chunks(body_bytes: int, chunk_bytes: int) -> bytes:
    """Return a whole request whose body comes in such chunks."""
    return unfinished_chunks(body_bytes, chunk_bytes) + b"0\r\n\r\n"


def unfinished_body(body_bytes: int) -> bytes:
    """Return a request whose body lacks its last byte."""
    return HEAD + b"Content-Length: %d\r\n\r\n" % body_bytes + bytes(body_bytes - 1)


def whole_body(body_bytes: int) -> bytes:
    """Return a whole request with a body of this length."""
    return HEAD + b"Content-Length: %d\r\n\r\n" % body_bytes + bytes(body_bytes)


def unfinished_head(head_bytes: int, header: bytes = b"ab:c\r\n") -> bytes:
    """Return the begin of a head that consists of the same header again and again."""
    return HEAD + header * ((head_bytes - len(HEAD)) // len(header))


def unfinished_trailers(count: int) -> bytes:
    """Return a request whose body is whole, with so many headers behind it, and more to come."""
    return CHUNKED_HEAD + b"0\r\n" + b"a:\r\n" * count


def get(path: bytes = b"/s/1", headers: bytes = b"") -> bytes:
    """Return a request without a body."""
    return GET % (path, headers)
