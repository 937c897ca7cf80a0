"""Tests of requests to a daemon's operators address: timeouts and errors."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from foldhoist.commands import fetch
from foldhoist.exceptions import UnreachableError

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{"a": 1}'


def test_the_timeout_for_the_answer_is_longer_than_the_one_for_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    requests: list[HTTPRequest] = []

    class Client:
        def fetch(self, request: HTTPRequest) -> Any:
            requests.append(request)
            return AsyncHTTPClient().fetch(request)

    monkeypatch.setattr(fetch, "AsyncHTTPClient", Client)

    async def run() -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ANSWER)
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        assert await fetch.fetch_json(address, "/x") == {"a": 1}
        server.close()

    asyncio.run(run())
    (req,) = requests
    assert req.connect_timeout == fetch.CONNECT_TIMEOUT_S
    assert req.request_timeout == fetch.ANSWER_TIMEOUT_S
    assert fetch.ANSWER_TIMEOUT_S >= 10 * fetch.CONNECT_TIMEOUT_S


def test_an_unreachable_daemon_is_named() -> None:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = "{}:{}".format(*sock.getsockname())
        with pytest.raises(UnreachableError, match=address):
            asyncio.run(fetch.fetch_json(address, "/x"))
