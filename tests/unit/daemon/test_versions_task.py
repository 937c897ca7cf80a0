"""Reads and retries of a configuration task whose store fails."""

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
NO_CHANGE = StoreData(None, StoredEvacuations(0, complete=False, records=()))
FIRST_VERSION = StoreData(Version(1, b""), StoredEvacuations(1, complete=True, records=()))
NO_ANSWER = StoreFault("did not answer", True)
MAX_CALLS = 40
"""Calls after which a scripted store does not answer any more."""


class Call(NamedTuple):
    """A call to the store with its wait and its answer timeout in seconds."""

    kind: str
    wait_ms: int
    answer_s: float


class ScriptedStore:
    """Returns the given answers, then reports no change, up to `MAX_CALLS` calls."""

    def __init__(self, answers: list[Result[StoreData, StoreFault]]) -> None:
        self.answers = answers
        self.calls: list[Call] = []
        self.ended = asyncio.Event()

    async def newest(self, answer_s: float) -> Result[StoreData, StoreFault]:
        """Return the next answer."""
        return await self._answer(Call("newest", 0, answer_s))

    async def poll(self, wait_ms: int, answer_s: float) -> Result[StoreData, StoreFault]:
        """Return the next answer."""
        return await self._answer(Call("poll", wait_ms, answer_s))

    async def _answer(self, call: Call) -> Result[StoreData, StoreFault]:
        if len(self.calls) >= MAX_CALLS:
            self.ended.set()
            await asyncio.Event().wait()
        self.calls.append(call)
        await asyncio.sleep(0)
        return self.answers.pop(0) if self.answers else Ok(NO_CHANGE)


class FakeAdapter:
    """Translates every version."""

    def translate(self, version: Version) -> Result[Any, str]:
        """Return a placeholder for a configuration."""
        return Ok({"number": version.number, "fleet": {}})


class FakePeers:
    """A task of peers without any connected peer; its list of peers is known."""

    def __init__(self) -> None:
        self.listed = asyncio.Event()
        self.listed.set()

    def broadcast(self, kind: str, body: Any, local: bool | None = None) -> None:
        """Send nothing."""

    def send_to_random(self, kind: str, body: Any) -> None:
        """Send nothing."""


def calls_to_store(answers: list[Result[StoreData, StoreFault]]) -> list[Call]:
    """Return the calls that a configuration task makes to a store with these answers."""

    async def run() -> list[Call]:
        store: Any = ScriptedStore(answers)
        adapter: Any = FakeAdapter()
        peers: Any = FakePeers()
        task = VersionsTask(
            adapter, store, ReaderElection("a", 6.0), WAIT_MS, lambda *_: None, random.Random(1)
        )
        task.start(peers, first=True)
        await store.ended.wait()
        task.close()
        return list(store.calls)

    return asyncio.run(run())


@pytest.mark.parametrize(("first", "reads"), [(False, True), (True, False)])
def test_a_restarted_daemon_without_a_configuration_reads_the_store(
    monkeypatch: pytest.MonkeyPatch, first: bool, reads: bool
) -> None:
    """At a first start no daemon has one; the readers distribute it when it is published."""
    monkeypatch.setattr(versions_task, "PEER_CONFIGURATION_TIMEOUT_S", 0.0)
    monkeypatch.setattr(versions_task, "CHECK_INTERVAL_S", 0.001)

    async def run() -> list[Call]:
        store: Any = ScriptedStore([Ok(FIRST_VERSION)])
        adapter: Any = FakeAdapter()
        peers: Any = FakePeers()
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


def test_readers_wait_for_different_times() -> None:
    """Calls that hang in a store that stops answering must not all end at the same time."""
    wait_times_ms = [
        call.wait_ms for call in calls_to_store([Ok(FIRST_VERSION)]) if call.kind == "poll"
    ]
    assert max(wait_times_ms) <= WAIT_MS
    assert min(wait_times_ms) >= 0.4 * WAIT_MS
    assert len(set(wait_times_ms)) > MAX_CALLS // 2


def test_after_news_one_reader_waits_for_half_as_long() -> None:
    """Guards against readers that all hang when connections go silent soon after a change."""

    async def run() -> list[list[Call]]:
        stores: list[Any] = []
        names = ["a", "b"]
        for name, other in (names, reversed(names)):
            answers: list[Result[StoreData, StoreFault]] = [
                Ok(StoreData(Version(number, b""), NO_CHANGE.evacuations)) for number in range(1, 9)
            ]
            store: Any = ScriptedStore(answers)
            adapter: Any = FakeAdapter()
            peers: Any = FakePeers()
            readers = ReaderElection(name, 6.0)
            readers.set_peers(names)
            readers.on_report(asyncio.get_running_loop().time(), other, 0.0)
            rng = random.Random(1)
            task = VersionsTask(adapter, store, readers, WAIT_MS, lambda *_: None, rng)
            task.start(peers, first=True)
            stores.append(store)
            await store.ended.wait()
            task.close()
        return [[call for call in store.calls if call.kind == "poll"][:7] for store in stores]

    for polls in zip(*asyncio.run(run()), strict=True):
        shorter, longer = sorted(call.wait_ms for call in polls)
        assert shorter <= 0.5 * WAIT_MS
        assert longer >= 0.9 * WAIT_MS


def test_a_store_that_has_failed_is_polled_without_waiting_for_data() -> None:
    """A call that hangs in a failed store must end soon after the store recovers."""
    calls = calls_to_store(
        [Ok(FIRST_VERSION), Error(NO_ANSWER), Error(NO_ANSWER), Error(NO_ANSWER)]
    )
    assert [call.kind for call in calls[:2]] == ["newest", "poll"]
    retries = calls[2:5]
    assert [call.wait_ms for call in retries] == [0, 0, 0]
    assert retries[0].answer_s == MIN_ANSWER_TIMEOUT_S
    assert retries[0].answer_s < retries[1].answer_s < retries[2].answer_s <= MAX_ANSWER_TIMEOUT_S
    assert calls[5].wait_ms >= 0.4 * WAIT_MS
    assert calls[5].answer_s == MIN_ANSWER_TIMEOUT_S


def test_a_start_without_answers_of_the_store_is_retried() -> None:
    calls = calls_to_store([Error(NO_ANSWER)] * 3 + [Ok(FIRST_VERSION)])
    assert [call.kind for call in calls[:4]] == ["newest"] * 4
    assert calls[0].answer_s == MIN_ANSWER_TIMEOUT_S
    assert calls[3].answer_s == MAX_ANSWER_TIMEOUT_S
