"""How the configuration is read from a store that fails, and how that is asked again."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any, NamedTuple

import pytest
from expression import Error, Ok

from foldhoist.configlog.evacuations import StoredEvacuations
from foldhoist.configlog.versions import ReaderElection, Version
from foldhoist.daemon import versions_task
from foldhoist.daemon.ports import StoreData, StoreFault
from foldhoist.daemon.versions_task import MAX_ANSWER_TIMEOUT_S, MIN_ANSWER_TIMEOUT_S, VersionsTask

if TYPE_CHECKING:
    from expression import Result

WAIT_MS = 5000
NOTHING = StoreData(None, StoredEvacuations(0, complete=False, records=()))
FIRST = StoreData(Version(1, b""), StoredEvacuations(1, complete=True, records=()))
SILENT = StoreFault("did not answer", True)
ASKED = 40
"""Calls after which a scripted store says nothing more."""


class Call(NamedTuple):
    """A call to the store, with what it may take."""

    kind: str
    wait_ms: int
    answer_s: float


class ScriptedStore:
    """Answers by a list; after its end it answers every call at once, up to a number of calls."""

    def __init__(self, answers: list[Result[StoreData, StoreFault]]) -> None:
        self.answers = answers
        self.calls: list[Call] = []
        self.ended = asyncio.Event()

    async def newest(self, answer_s: float) -> Result[StoreData, StoreFault]:
        """Return the next answer."""
        return await self._answer(Call("newest", 0, answer_s))

    async def poll(self, wait_ms: int, answer_s: float) -> Result[StoreData, StoreFault]:
        """Return the next answer."""
        return await self._answer(Call("news", wait_ms, answer_s))

    async def _answer(self, call: Call) -> Result[StoreData, StoreFault]:
        if len(self.calls) >= ASKED:
            self.ended.set()
            await asyncio.Event().wait()
        self.calls.append(call)
        await asyncio.sleep(0)
        return self.answers.pop(0) if self.answers else Ok(NOTHING)


class FakeAdapter:
    """Takes every version."""

    def translate(self, version: Version) -> Result[Any, str]:
        """Return something that stands for a configuration."""
        return Ok({"number": version.number, "fleet": {}})


class NoPeers:
    """Nobody to tell; `listed` says whether the list of daemons is known."""

    def __init__(self) -> None:
        self.listed = asyncio.Event()
        self.listed.set()

    def broadcast(self, kind: str, body: Any, local: bool | None = None) -> None:
        """Tell nobody."""

    def send_to_random(self, kind: str, body: Any) -> None:
        """Ask nobody."""


def calls_with(answers: list[Result[StoreData, StoreFault]]) -> list[Call]:
    """Return the calls that a task makes to a store with these answers."""

    async def run() -> list[Call]:
        store: Any = ScriptedStore(answers)
        adapter: Any = FakeAdapter()
        peers: Any = NoPeers()
        task = VersionsTask(
            adapter, store, ReaderElection("a", 6.0), WAIT_MS, lambda *_: None, random.Random(1)
        )
        task.start(peers, first=True)
        await store.ended.wait()
        task.close()
        return list(store.calls)

    return asyncio.run(run())


@pytest.mark.parametrize(("first", "reads"), [(False, True), (True, False)])
def test_a_restarted_daemon_that_nobody_gives_a_configuration_reads_itself(
    monkeypatch: pytest.MonkeyPatch, first: bool, reads: bool
) -> None:
    """At a first start nobody has one yet, and the readers pass it on when it comes."""
    monkeypatch.setattr(versions_task, "PEER_CONFIGURATION_TIMEOUT_S", 0.0)
    monkeypatch.setattr(versions_task, "CHECK_INTERVAL_S", 0.001)

    async def run() -> list[Call]:
        store: Any = ScriptedStore([Ok(FIRST)])
        adapter: Any = FakeAdapter()
        peers: Any = NoPeers()
        readers = ReaderElection("a", 6.0)
        readers.set_peers(["a", *(f"b{number}" for number in range(200))])
        monkeypatch.setattr(readers, "should_read", lambda now: False)
        task = VersionsTask(adapter, store, readers, WAIT_MS, lambda *_: None, random.Random(1))
        task.start(peers, first)
        for _ in range(200):
            await asyncio.sleep(0.001)
            if store.calls:
                break
        task.close()
        return list(store.calls)

    assert bool(asyncio.run(run())) is reads


def test_readers_do_not_wait_in_step() -> None:
    """A call that hangs when the store falls silent ends at another time at each reader."""
    waits = [call.wait_ms for call in calls_with([Ok(FIRST)]) if call.kind == "news"]
    assert max(waits) <= WAIT_MS
    assert min(waits) >= 0.4 * WAIT_MS
    assert len(set(waits)) > ASKED // 2


def test_a_store_that_has_failed_is_asked_without_waiting_for_news() -> None:
    """What hangs in a silent store must not hang on when the store is back."""
    calls = calls_with([Ok(FIRST), Error(SILENT), Error(SILENT), Error(SILENT)])
    assert [call.kind for call in calls[:2]] == ["newest", "news"]
    after = calls[2:5]
    assert [call.wait_ms for call in after] == [0, 0, 0]
    assert after[0].answer_s == MIN_ANSWER_TIMEOUT_S
    assert after[0].answer_s < after[1].answer_s < after[2].answer_s <= MAX_ANSWER_TIMEOUT_S
    assert calls[5].wait_ms >= 0.4 * WAIT_MS
    assert calls[5].answer_s == MIN_ANSWER_TIMEOUT_S


def test_a_start_beside_a_silent_store_asks_again_and_again() -> None:
    calls = calls_with([Error(SILENT)] * 3 + [Ok(FIRST)])
    assert [call.kind for call in calls[:4]] == ["newest"] * 4
    assert calls[0].answer_s == MIN_ANSWER_TIMEOUT_S
    assert calls[3].answer_s == MAX_ANSWER_TIMEOUT_S
