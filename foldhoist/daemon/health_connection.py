"""A connection to the upstream's health path; its answers are bounded."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import httptools

from foldhoist.daemon.answer_size import MAX_HEAD_BYTES, pieces
from foldhoist.daemon.http import HeadReader

if TYPE_CHECKING:
    from foldhoist.daemon.dialect import Dialect
    from foldhoist.delivery.dispatch import Sample

SAMPLE_TIMEOUT_S = 0.1
"""Timeout for connecting and for an answer, seconds; a later sample could be outdated."""
MAX_HEALTH_BYTES = MAX_HEAD_BYTES
"""Limit of a health answer with its body, bytes."""


class HealthConnection(asyncio.Protocol):
    """A persistent connection to the health endpoint; one request at a time."""

    def __init__(self, dialect: Dialect) -> None:
        self._dialect = dialect
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[Sample] | None = None
        self._received = 0
        self._parser: httptools.HttpResponseParser | None = None

    @property
    def usable(self) -> bool:
        """Return whether a request may be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the running request, and drop the parser, which refers to this connection."""
        self._transport = None
        self._fail("health connection lost")
        self._parser = None

    async def request(self, data: bytes) -> Sample:
        """Send a request and return the sample in its answer.

        Raises ConnectionError or TimeoutError.
        """
        if self._transport is None:
            raise ConnectionError("health connection lost")
        self._reset_head()
        self._parser = httptools.HttpResponseParser(self)
        self._answer = asyncio.get_running_loop().create_future()
        self._received = 0
        self._transport.write(data)
        try:
            async with asyncio.timeout(SAMPLE_TIMEOUT_S):
                return await self._answer
        finally:
            self._answer = None

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse the answer; bytes without a request, or too many, close the connection."""
        for piece in pieces(data):
            if self._answer is None or self._answer.done() or self._parser is None:
                self.close()
                return
            self._received += len(piece)
            if self._received > MAX_HEALTH_BYTES:
                self._fail(f"health answer is too large, over {MAX_HEALTH_BYTES} bytes")
                self.close()
                return
            try:
                self._parser.feed_data(piece)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade):
                self._fail("malformed health answer")
                self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; those after the body are dropped, as they were not in the head."""
        if not self._head_done:
            self._head.add(name, value)

    def on_headers_complete(self) -> None:
        """Mark the head as complete."""
        self._head_done = True

    def on_message_complete(self) -> None:
        """End the request with the sample in the answer; an interim answer is skipped."""
        assert self._parser is not None
        status = self._parser.get_status_code()
        if status < 200:
            self._reset_head()
            return
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(self._dialect.sample(status, self._head))
        if not self._parser.should_keep_alive():
            self.close()

    def _reset_head(self) -> None:
        self._head = HeadReader(self._dialect.upstream_rules)
        self._head_done = False

    def _fail(self, reason: str) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(ConnectionError(reason))
