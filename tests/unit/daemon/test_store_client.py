"""An odd answer of the store is a fault; an exception would end the task that reads."""

from __future__ import annotations

import asyncio

import pytest
from tornado.httpclient import HTTPRequest

from foldhoist.daemon.store_client import StoreClient
from tests.unit.daemon.odd_server import ODD_ANSWERS, OddServer, whole

TIMEOUT_S = 20.0
"""Longest wait for an answer, seconds."""


@pytest.mark.parametrize("answer", ODD_ANSWERS.values(), ids=ODD_ANSWERS)
def test_an_odd_answer_is_a_fault_and_the_next_good_one_counts(answer: bytes) -> None:
    async def run() -> None:
        async with OddServer(answer) as server:
            client = StoreClient()
            url = f"http://{server.address}/x"
            assert (await client.fetch(HTTPRequest(url), TIMEOUT_S)).is_error()
            server.answer = whole(b"good")
            assert (await client.fetch(HTTPRequest(url), TIMEOUT_S)).ok == b"good"
            client.close()

    asyncio.run(run())
