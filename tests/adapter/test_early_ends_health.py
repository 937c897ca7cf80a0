"""A health answer that ends early is no sample: each framing, cut at each byte.

Guards against a state of the upstream that it has not told, or not in its head.
"""

from __future__ import annotations

import asyncio

import pytest

from bench.stages import FakeTransport
from foldhoist.daemon.health_connection import HealthConnection
from foldhoist.delivery.dispatch import Sample
from foldhoist_adapter.headers import PlatformDialect
from tests.adapter.answers import CHUNKED, CHUNKS, HINTS, INVALID, LENGTH, End, Framed, head

TIMEOUT_S = 60.0
"""Longest wait for an answer in these tests, seconds; it only ends a test that hangs."""
LOAD = b"X-Server-Load: 1,0,4,150"
SAMPLE = Sample(150, well=True)
VALID_HERE = ("unsigned", "another attempt's", "coding, chunks twice")
"""Answers that are none to a call: samples are unsigned, and their bodies are not read."""
ANSWERS = [
    Framed("length", End.FRAMING, head(LENGTH, LOAD)),
    Framed("chunks", End.FRAMING, head(LOAD, CHUNKED), CHUNKS),
    Framed("interim answers", End.FRAMING, head(LENGTH, LOAD), before=2 * HINTS),
    Framed("until closed", End.NEVER, head(LOAD)),
    *[each for each in INVALID if each.name not in VALID_HERE],
]


@pytest.fixture(autouse=True)
def no_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let no request time out before its answer ends, however late the event loop is."""
    monkeypatch.setattr("foldhoist.daemon.health_connection.SAMPLE_TIMEOUT_S", TIMEOUT_S)


async def sample_in(data: bytes, exc: Exception | None) -> Sample | None:
    """Return the sample in an answer whose connection ends after these bytes, None if none."""
    conn = HealthConnection(PlatformDialect("shop"))
    conn.connection_made(FakeTransport())
    asked = asyncio.ensure_future(conn.request(b"request"))
    await asyncio.sleep(0)
    conn.data_received(data)
    conn.connection_lost(exc)
    try:
        return await asked
    except ConnectionError:
        return None


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("answer", ANSWERS, ids=[each.name for each in ANSWERS])
def test_a_health_answer_that_ends_early_is_no_sample(answer: Framed, reset: bool) -> None:
    async def run() -> None:
        for cut in range(len(answer.data) + 1):
            sample = await sample_in(answer.data[:cut], ConnectionResetError() if reset else None)
            whole = answer.end is End.FRAMING and cut == len(answer.data)
            assert sample == (SAMPLE if whole else None), answer.data[:cut]

    asyncio.run(run())


def test_what_follows_the_body_of_a_health_answer_is_no_part_of_its_head() -> None:
    data = head(CHUNKED) + CHUNKS[:-2] + LOAD + b"\r\n\r\n"
    assert asyncio.run(sample_in(data, None)) == Sample(0, well=True)
