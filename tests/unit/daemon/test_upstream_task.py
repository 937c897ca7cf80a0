"""Tests of when announcements of an upstream are acknowledged and applied."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from foldhoist.daemon import upstream_task
from foldhoist.daemon.upstream_task import UpstreamTask
from foldhoist.membership.incarnations import UpstreamIncarnation

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

NEVER_S = 600.0
"""Replaces the timeouts of the task, seconds."""


@pytest.fixture(autouse=True)
def without_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disable the timeouts, so that the tests do not depend on the speed of the machine."""
    monkeypatch.setattr(upstream_task, "RECORD_TIMEOUT_S", NEVER_S)
    monkeypatch.setattr(upstream_task, "STARTUP_TIMEOUT_S", NEVER_S)


class FakeOwner:
    """Records the announcements to the owner."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def announce(self, upstream: Any) -> None:
        """Record the state."""
        self.calls.append(upstream["state"])

    def announced_again(self) -> None:
        """Record the repeated announcement."""
        self.calls.append("announced again")


class FakePeers:
    """A store that blocks writes until the test allows them."""

    def __init__(self) -> None:
        self.may_write = asyncio.Event()
        self.fails = 0
        self.writes = 0

    async def write_record(self) -> bool:
        """Wait until writes are allowed, or fail."""
        self.writes += 1
        if self.fails:
            self.fails -= 1
            return False
        await self.may_write.wait()
        return True


class Harness:
    """An upstream task with a fake owner and fake peers."""

    def __init__(self, first: bool = True) -> None:
        self.owner: Any = FakeOwner()
        self.peers: Any = FakePeers()
        self.task = UpstreamTask(self.owner, lambda _: None, "shop")
        self.task.start(self.peers, first)


def run_async(test: Callable[[], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    """Run an async test in its own event loop."""

    def wrapped() -> None:
        asyncio.run(test())

    wrapped.__name__ = test.__name__
    return wrapped


def announced(state: str, sequence: int) -> Any:
    """Return an announcement of an upstream."""
    return {
        "instance": "i-1",
        "service": "shop",
        "slots": 4,
        "state": state,
        "sequence": sequence,
        "born_ms": 0,
        "cold_ms": 0,
    }


async def run_pending_tasks() -> None:
    """Let every task run until it blocks."""
    for _ in range(20):
        await asyncio.sleep(0)


@run_async
async def test_repeated_departure_is_not_acknowledged_before_the_first() -> None:
    harness = Harness()
    await harness.task.on_announcement(announced("ready", 1))
    first = asyncio.ensure_future(harness.task.on_announcement(announced("leaving", 2)))
    await run_pending_tasks()
    again = asyncio.ensure_future(harness.task.on_announcement(announced("leaving", 3)))
    deleted = asyncio.ensure_future(harness.task.on_departure("i-1", 0))
    await run_pending_tasks()
    assert not first.done()
    assert not again.done()
    assert not deleted.done()
    harness.peers.may_write.set()
    await asyncio.gather(first, again, deleted)


@run_async
async def test_failed_write_to_the_store_is_retried() -> None:
    harness = Harness()
    harness.peers.fails = 2
    harness.peers.may_write.set()
    await harness.task.on_announcement(announced("ready", 1))
    await harness.task.on_announcement(announced("leaving", 2))
    assert harness.peers.writes == 3


@run_async
async def test_restarted_daemon_does_not_serve_after_the_stores_answer_alone() -> None:
    """The store failed when the departure was acknowledged; only a peer has recorded it."""
    harness = Harness(first=False)
    await harness.task.on_announcement(announced("ready", 5))
    harness.task.store_answered((), {"b"})
    assert harness.owner.calls == []
    assert harness.task.announcement()["instance"] == ""
    harness.task.add_ended([UpstreamIncarnation("i-1")])
    assert harness.owner.calls == ["leaving"]


@run_async
async def test_restarted_daemon_serves_once_all_peers_have_answered() -> None:
    harness = Harness(first=False)
    await harness.task.on_announcement(announced("ready", 5))
    harness.task.store_answered((), {"b", "c"})
    harness.task.peer_answered("b", ())
    assert harness.owner.calls == []
    harness.task.peer_answered("c", ())
    assert harness.owner.calls == ["ready"]
