"""A server whose answer is given as bytes, valid HTTP or not."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType


def whole(body: bytes) -> bytes:
    """Return a whole answer with this body."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


ODD_ANSWERS = {
    "no HTTP": b"xx\r\n\r\n",
    "status of no digits": b"HTTP/1.1 abc OK\r\n\r\n",
    "status of 5000 digits": b"HTTP/1.1 " + b"9" * 5000 + b" OK\r\nContent-Length: 0\r\n\r\n",
    "length of no digits": b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
    "length of 5000 digits": b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n",
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "odd chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "odd coding": b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 5\r\n\r\nhello",
    "long head": b"HTTP/1.1 200 OK\r\nX: " + b"a" * 200_000 + b"\r\n\r\n",
    "half": b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello",
    "nothing": b"",
} | {
    f"redirection to {place}": b"HTTP/1.1 302 F\r\nLocation: %b\r\nContent-Length: 0\r\n\r\n"
    % place.encode()
    for place in ("ftp://x/", "http://[", "http://x:abc/", "http://" + "a" * 300 + "/")
}


class OddServer:
    """Answers each request with `answer` and closes the connection."""

    def __init__(self, answer: bytes) -> None:
        self.answer = answer
        self.address = ""

    async def __aenter__(self) -> OddServer:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, exc: BaseException | None, tb: TracebackType | None
    ) -> None:
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.answer)
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # The client closed the connection.
        finally:
            writer.close()
