"""What an upstream announces, and when that is acknowledged and acted on."""

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
"""In place of the times after which the task acts without having heard, seconds."""


@pytest.fixture(autouse=True)
def no_time_runs_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let nothing end by time, however slow the machine is."""
    monkeypatch.setattr(upstream_task, "BIND_S", NEVER_S)
    monkeypatch.setattr(upstream_task, "SETTLE_S", NEVER_S)


class FakeOwner:
    """Keeps what the owner is told."""

    def __init__(self) -> None:
        self.told: list[str] = []

    def announce(self, upstream: Any) -> None:
        """Keep the state."""
        self.told.append(upstream["state"])

    def announced_again(self) -> None:
        """Keep that."""
        self.told.append("announced again")


class FakePeers:
    """A store that writes when the test says so."""

    def __init__(self) -> None:
        self.may_write = asyncio.Event()
        self.fails = 0
        self.writes = 0

    async def write_record(self) -> bool:
        """Write, or fail."""
        self.writes += 1
        if self.fails:
            self.fails -= 1
            return False
        await self.may_write.wait()
        return True


class Around:
    """An upstream task with fakes around it."""

    def __init__(self, first: bool = True) -> None:
        self.owner: Any = FakeOwner()
        self.peers: Any = FakePeers()
        self.task = UpstreamTask(self.owner, lambda _: None, "shop")
        self.task.start(self.peers, first)


def played(test: Callable[[], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    """Run a test in a loop of its own."""

    def wrapped() -> None:
        asyncio.run(test())

    wrapped.__name__ = test.__name__
    return wrapped


def announced(state: str, sequence: int) -> Any:
    """Return what an upstream announces."""
    return {
        "instance": "i-1",
        "service": "shop",
        "slots": 4,
        "state": state,
        "sequence": sequence,
        "born_ms": 0,
        "cold_ms": 0,
    }


async def turns() -> None:
    """Let every task run as far as it can."""
    for _ in range(20):
        await asyncio.sleep(0)


@played
async def test_a_leaving_said_again_is_acknowledged_no_sooner_than_the_first_time() -> None:
    around = Around()
    await around.task.on_announcement(announced("ready", 1))
    first = asyncio.ensure_future(around.task.on_announcement(announced("leaving", 2)))
    await turns()
    again = asyncio.ensure_future(around.task.on_announcement(announced("leaving", 3)))
    deleted = asyncio.ensure_future(around.task.on_departure("i-1", 0))
    await turns()
    assert not first.done()
    assert not again.done()
    assert not deleted.done()
    around.peers.may_write.set()
    await asyncio.gather(first, again, deleted)


@played
async def test_what_the_store_refused_is_written_again() -> None:
    around = Around()
    around.peers.fails = 2
    around.peers.may_write.set()
    await around.task.on_announcement(announced("ready", 1))
    await around.task.on_announcement(announced("leaving", 2))
    assert around.peers.writes == 3


@played
async def test_a_new_life_does_not_serve_on_the_stores_word_alone() -> None:
    """The store was away when the leaving was acknowledged; only a peer has noted it."""
    around = Around(first=False)
    await around.task.on_announcement(announced("ready", 5))
    around.task.store_answered((), {"b"})
    assert around.owner.told == []
    assert around.task.announcement()["instance"] == ""
    around.task.add_ended([UpstreamIncarnation("i-1")])
    assert around.owner.told == ["leaving"]


@played
async def test_a_new_life_serves_when_all_peers_say_that_they_know_nothing() -> None:
    around = Around(first=False)
    await around.task.on_announcement(announced("ready", 5))
    around.task.store_answered((), {"b", "c"})
    around.task.peer_answered("b", ())
    assert around.owner.told == []
    around.task.peer_answered("c", ())
    assert around.owner.told == ["ready"]
