"""Asking a daemon that is slow to answer, and one that is not there."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from foldhoist.commands import fetch
from foldhoist.exceptions import UnreachableError

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{"a": 1}'


def test_a_daemon_that_took_the_connection_is_waited_for_longer_than_one_that_did_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    asked: list[HTTPRequest] = []

    class Client:
        def fetch(self, request: HTTPRequest) -> Any:
            asked.append(request)
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
    (req,) = asked
    assert req.connect_timeout == fetch.CONNECT_S
    assert req.request_timeout == fetch.ANSWER_S
    assert fetch.ANSWER_S >= 10 * fetch.CONNECT_S


def test_a_daemon_that_is_not_there_is_named() -> None:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = "{}:{}".format(*sock.getsockname())
        with pytest.raises(UnreachableError, match=address):
            asyncio.run(fetch.fetch_json(address, "/x"))
