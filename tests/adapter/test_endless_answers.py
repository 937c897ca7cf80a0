"""An upstream whose answers never end harms no other call on its daemon.

Guards against a daemon that reads such an answer until the call's deadline, for all its callers.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from loguru import logger

from foldhoist.routing.picker import RAMP_S
from tests.adapter.cluster import Cluster, route, until, with_cluster
from tests.adapter.target import ENDLESS_BLOCK_BYTES, Endless
from tests.unit.daemon.test_endless_answers import BODIES, HEADS

if TYPE_CHECKING:
    from collections.abc import Iterator

OTHER_CALLS = 40
"""Calls beside an endless answer."""
SOCKET_BYTES = 16 * 1024 * 1024
"""Upper bound of what the sockets and the event loop hold beside what is read."""


@pytest.fixture(name="lines")
def _lines() -> Iterator[list[str]]:
    """Return the warnings that are logged during a test."""
    found: list[str] = []
    sink = logger.add(lambda message: found.append(str(message)), level="WARNING")
    yield found
    logger.remove(sink)


@pytest.mark.parametrize("kind", ["header value", "headers", "interim answers", "trailers"])
def test_an_endless_head_ends_its_call_alone(kind: str, lines: list[str]) -> None:
    check(Endless(*HEADS[kind]), lines, "answer-head-too-large")


@pytest.mark.parametrize("kind", ["by chunks", "until closed"])
def test_an_endless_body_ends_its_call_alone(kind: str, lines: list[str]) -> None:
    check(Endless(*BODIES[kind]), lines, "answer-too-large")


def takes_calls_side_by_side(cluster: Cluster) -> bool:
    """Return whether the slow start is over in which upstream b gets one call at a time."""
    picker = cluster.daemons["a"].ingress_task.ingress.pickers()["shop"]
    return asyncio.get_running_loop().time() - picker.tracks["b"].ramp_start >= RAMP_S


def check(answer: Endless, lines: list[str], reason: str) -> None:
    """Make a call with an endless answer beside others."""

    @with_cluster
    async def run(cluster: Cluster) -> None:
        await cluster.add("a", service="web")
        await cluster.add("b")
        await cluster.configure(1, [route(attempts=1)])
        await cluster.settle(1)
        await until(lambda: takes_calls_side_by_side(cluster))
        target = cluster.targets["b"]
        target.endless["/a/endless"] = answer
        bad = asyncio.ensure_future(cluster.send("a", "/a/endless"))
        await until(lambda: target.endless_bytes > 0)
        others = [await cluster.send("a", f"/a/{number}") for number in range(OTHER_CALLS)]
        assert (await bad).status == 502
        assert {other.status for other in others} == {200}
        limit = cluster.daemons["b"].cfg["limits"]["body_bytes"]
        assert target.endless_bytes <= limit + SOCKET_BYTES + ENDLESS_BLOCK_BYTES
        await until(lambda: not cluster.daemons["b"].owner_task.pool._busy)
        assert len([line for line in lines if reason in line and target.address in line]) == 1

    run()


@with_cluster
async def test_an_endless_health_answer_does_not_stop_calls(cluster: Cluster) -> None:
    await cluster.add("a", service="web")
    await cluster.add("b")
    await cluster.configure(1, [route(attempts=1)])
    await cluster.settle(1)
    cluster.targets["b"].endless["/health"] = Endless(*HEADS["header value"])
    sampler = cluster.daemons["b"].owner_task.sampler
    sampler.request_sample()
    await until(lambda: sampler.count.failed >= 2)
    assert (await cluster.send("a")).status == 200
