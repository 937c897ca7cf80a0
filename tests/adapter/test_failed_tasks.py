"""A task or a callback of a daemon that raises an exception once goes on afterwards.

Guards against a daemon that looks alive and follows no configuration, peers or timers any more.
"""

from __future__ import annotations

import asyncio
from operator import attrgetter
from typing import TYPE_CHECKING, Any

import pytest

from foldhoist.daemon import peers_task
from foldhoist.daemon.background import COUNT
from foldhoist.delivery.dispatch import CancelCall
from foldhoist_adapter.store import LogStore
from tests.adapter.cluster import Cluster, call, route, start_two, until, with_cluster

if TYPE_CHECKING:
    from foldhoist.daemon.mesh import MeshDaemon

LIMIT_S = 30.0
"""Longest time of a test, seconds; well below the deadline of its requests."""


class ProvokedError(Exception):
    """An exception that nothing expects."""


class FailsOnce:
    """Takes the place of a method; its first call raises an exception."""

    def __init__(self, owner: Any, name: str) -> None:
        self.calls = 0
        self._method = getattr(owner, name)
        setattr(owner, name, self)

    def __call__(self, *args: Any, **kwargs: Any) -> Any:
        self.calls += 1
        if self.calls == 1:
            raise ProvokedError
        return self._method(*args, **kwargs)


def fails_once(daemon: MeshDaemon, path: str) -> FailsOnce:
    """Let the method at this path of attributes fail once."""
    owner, _, name = path.rpartition(".")
    return FailsOnce(attrgetter(owner)(daemon), name)


@pytest.mark.parametrize("method", ["poll", "newest"])
def test_the_next_configuration_is_followed(method: str) -> None:
    """The reader of the store fails once, with a configuration in force or at the start."""

    async def test(cluster: Cluster) -> None:
        await cluster.add("a")
        if method == "newest":
            await restart_with_failure(cluster, method)
        failures = COUNT.task_failures
        await cluster.configure(1, [route()])
        if method == "poll":
            await cluster.settle(1)
            fails_once(cluster.daemons["a"], "store.poll")
            await cluster.configure(2, [route()])
            await cluster.configure(3, [route()])
            await cluster.settle(3)
            assert COUNT.task_failures == failures + 1
        await cluster.settle(1)
        assert await cluster.ready("a") == 200

    with_cluster(test)()


async def restart_with_failure(cluster: Cluster, method: str) -> None:
    """Start the daemon again; its first call of this method of the store raises an exception."""
    await cluster.daemons["a"].stop()
    original = getattr(LogStore, method)
    failed = False

    async def fail(self: LogStore, *args: Any) -> Any:
        nonlocal failed
        if not failed:
            failed = True
            raise ProvokedError
        return await original(self, *args)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(LogStore, method, fail)
        await cluster.start_daemon("a")
        await until(lambda: failed)


def test_a_daemon_knows_its_peers_though_reading_their_records_failed_once() -> None:
    """The first read of the store's records raises an exception."""

    async def test(cluster: Cluster) -> None:
        await cluster.add("a")
        await restart_with_failure(cluster, "registrations")
        async with asyncio.timeout(LIMIT_S):
            await cluster.daemons["a"].peers.listed.wait()

    with_cluster(test)()


@pytest.mark.parametrize(
    "path",
    [
        "owner_task._cancel_overdue",
        "callers.abort_slow_readers",
        "links.close_unwanted",
        "registry.expire",
    ],
)
def test_a_periodic_check_goes_on(monkeypatch: pytest.MonkeyPatch, path: str) -> None:
    """Each of these checks runs in a task of its own."""
    monkeypatch.setattr(peers_task, "EXPIRY_CHECK_S", 0.1)

    async def test(cluster: Cluster) -> None:
        await cluster.add("a")
        check = fails_once(cluster.daemons["a"], path)
        async with asyncio.timeout(LIMIT_S):
            await until(lambda: check.calls > 2)

    with_cluster(test)()


def test_a_call_whose_connection_fails_unexpectedly_is_answered_at_once() -> None:
    """Guards against a call that waits until its deadline for a task that has ended."""

    async def test(cluster: Cluster) -> None:
        await cluster.add("a")
        await cluster.configure(1, [route(attempts=1)])
        await cluster.settle(1)
        owner = cluster.daemons["a"].owner_task.owner
        await until(lambda: owner.status.upstream is not None)
        cluster.daemons["a"].owner_task.pool.close_idle()
        fails_once(cluster.daemons["a"], "owner_task.pool._open")
        async with asyncio.timeout(LIMIT_S):
            assert (await cluster.send("a")).status == 503
            await until(lambda: owner.status.state == "warm")
            assert (await cluster.send("a")).status == 200

    with_cluster(test)()


def test_an_unreachable_upstream_is_found_again() -> None:
    """The task that connects to an upstream that is down fails once."""

    async def test(cluster: Cluster) -> None:
        await start_two(cluster)
        daemon = cluster.daemons["a"]
        tries = fails_once(daemon, "owner_task.pool.try_connect")
        daemon.owner_task._reconnector.start()
        async with asyncio.timeout(LIMIT_S):
            await until(lambda: tries.calls > 1)
            await until(lambda: daemon.owner_task.owner.status.state == "warm")

    with_cluster(test)()


def test_waiting_calls_are_checked_after_a_check_that_failed() -> None:
    """The timer of the ingress is set again by the check that it calls."""

    async def test(cluster: Cluster) -> None:
        await cluster.add("a")
        await cluster.configure(1, [route()])
        await cluster.settle(1)
        task = cluster.daemons["a"].ingress_task
        check = fails_once(cluster.daemons["a"], "ingress_task.ingress.tick")
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        loop.call_soon(task._tick)
        async with asyncio.timeout(LIMIT_S):
            await until(lambda: check.calls > 1)

    with_cluster(test)()


def test_unexpected_exceptions_are_counted() -> None:
    """An operator sees the exceptions of tasks and of handlers in the metrics."""

    async def test(cluster: Cluster) -> None:
        await cluster.add("a")
        daemon = cluster.daemons["a"]
        fails_once(daemon, "upstream.on_announcement")
        before = COUNT.handler_errors
        assert (await cluster.heartbeat("a")).status == 500
        assert COUNT.handler_errors == before + 1
        metrics = await call(daemon.addresses["operators"], "GET", "/metrics")
        assert b"foldhoist_process_handler_errors_total" in metrics.body
        assert b"foldhoist_process_task_failures_total" in metrics.body
        assert b"foldhoist_process_callback_errors_total" in metrics.body

    with_cluster(test)()


def test_an_error_in_an_action_of_the_owner_stops_none_of_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An error in one action left calls without the answers and ends that came after it."""

    async def test(cluster: Cluster) -> None:
        await cluster.add("a")
        owner_task = cluster.daemons["a"].owner_task
        cancelled: list[int] = []

        def cancel(ticket: int, reason: str) -> None:
            if ticket == 1:
                raise ProvokedError
            cancelled.append(ticket)

        monkeypatch.setattr(owner_task.pool, "cancel", cancel)
        owner_task._carry_out([CancelCall(ticket, "withdrawn") for ticket in (1, 2, 3)])
        assert cancelled == [2, 3]

    with_cluster(test)()
