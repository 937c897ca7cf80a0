"""A graceful shutdown while callers keep connections open, at least one of them in use."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, NamedTuple

import pytest

from foldhoist.daemon.callers import CallerConnection
from tests.adapter.cluster import (
    Answer,
    Cluster,
    read_answer,
    request_bytes,
    route,
    start_two,
    until,
    with_cluster,
)

if TYPE_CHECKING:
    from foldhoist.daemon.frames import FrameConnection

CONNECTIONS = 12
"""Number of connections that stay open until they are used."""
FIRST_USE_S = 2.5
"""Time from the start of the shutdown to the first use of a connection, in seconds."""
USE_INTERVAL_S = 0.25
"""Interval between uses of two connections, in seconds; shorter than `WORK_S`."""
WORK_S = 0.6
"""Service time of the target, in seconds."""


class SentRequest(NamedTuple):
    """A request on a kept connection: its attempt id, and its status, 0 without an answer."""

    attempt: str
    status: int


async def start_shop(cluster: Cluster) -> None:
    """Start daemon a beside another service, and b beside the only target of service shop."""
    await cluster.add("a", service="web")
    await cluster.add("b")
    await cluster.configure(1, [route(route_type="unsafe", attempts=1)])
    await cluster.settle(1)


async def send_after(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int, after_s: float
) -> SentRequest:
    """Send a request on an idle connection after `after_s` seconds, and close the connection."""
    await asyncio.sleep(after_s)
    attempt = f"{number:04x}"
    headers = {"X-Attempt-Id": attempt, "X-Deadline-Ms": "60000"}
    try:
        writer.write(request_bytes("POST", "/a/1", b"x", headers))
        answer = await read_answer(reader)
    except ConnectionError:
        return SentRequest(attempt, 0)
    finally:
        writer.close()
    return SentRequest(attempt, answer.status)


@with_cluster
async def test_a_shutdown_loses_no_request_on_busy_connections(
    cluster: Cluster,
) -> None:
    await start_shop(cluster)
    cluster.targets["b"].work_s = WORK_S
    host, _, port = cluster.daemons["a"].addresses["callers"].rpartition(":")
    conns = [await asyncio.open_connection(host, int(port)) for _ in range(CONNECTIONS)]
    drained = asyncio.create_task(cluster.daemons["a"].drain())
    sent = await asyncio.gather(
        *(
            send_after(*conn, number, FIRST_USE_S + number * USE_INTERVAL_S)
            for number, conn in enumerate(conns)
        )
    )
    await drained
    ran = {req.headers["x-attempt-id"] for req in cluster.targets["b"].ran}
    assert [each for each in sent if each.status == 0 and each.attempt in ran] == []
    await until(lambda: cluster.daemons["a"].stopped.is_set())


@with_cluster
async def test_a_daemon_in_shutdown_refuses_new_calls_as_not_run(cluster: Cluster) -> None:
    await start_shop(cluster)
    daemon = cluster.daemons["a"]
    for number in range(5):
        assert (await cluster.send("a", method="POST", body=b"x", attempt=f"{number:x}")).status
    ran = len(cluster.targets["b"].ran)
    daemon.ingress_task.ingress.admission.begin_shutdown(asyncio.get_running_loop().time())
    answer = await cluster.send("a", method="POST", body=b"x")
    assert (answer.status, answer.body) == (503, b"not run: daemon-leaving\n")
    assert len(cluster.targets["b"].ran) == ran


CALLERS = 4
"""Callers that send one call after the other until the daemon takes no more connections."""
NOT_CONNECTED = "Connect call failed"
"""In the error of a connection that was not accepted, and over which nothing was sent.

It is reset if the listening socket closes between its handshake and its acceptance.
"""
WARM_UP_CALLS = 12
"""Calls after which a new target is offered as many at once as it has slots."""


async def warm_up(cluster: Cluster) -> None:
    """Let the targets of daemon a's calls answer until they count as warm."""
    for number in range(WARM_UP_CALLS):
        await cluster.send("a", method="POST", body=b"x", attempt=f"aa{number:02x}")


async def send_until_closed(cluster: Cluster, number: int) -> list[SentRequest]:
    """Send one call after the other, each on a new connection, until none is accepted."""
    sent: list[SentRequest] = []
    while True:
        attempt = f"{number:02x}{len(sent):04x}"
        try:
            answer = await cluster.send("a", method="POST", body=b"x", attempt=attempt)
        except (ConnectionRefusedError, ConnectionResetError) as exc:
            if NOT_CONNECTED not in str(exc):
                raise
            return sent
        sent.append(SentRequest(attempt, answer.status))
        await asyncio.sleep(USE_INTERVAL_S)


@with_cluster
async def test_a_stop_answers_every_call_that_waits_at_a_limited_upstream(cluster: Cluster) -> None:
    """A call whose wait ended just before the stop was started, cut off and left unanswered."""
    await start_shop(cluster)
    await warm_up(cluster)
    target = cluster.targets["b"]
    target.limit, target.work_s = "1", 0.9
    callers = [asyncio.create_task(send_until_closed(cluster, number)) for number in range(CALLERS)]
    await until(lambda: cluster.daemons["b"].owner.queue.queued > 1)
    await cluster.daemons["a"].drain()
    sent = [each for task in callers for each in await task]
    ran = {req.headers["x-attempt-id"] for req in target.ran}
    assert {each.status for each in sent if each.attempt in ran} == {200}
    assert {each.status for each in sent if each.attempt not in ran} == {503}


@with_cluster
async def test_a_call_that_outlasts_the_stop_is_told_that_it_may_have_run(cluster: Cluster) -> None:
    """The caller of such a call got a closed connection, though its daemon knew better."""
    await start_shop(cluster)
    target = cluster.targets["b"]
    target.gate = asyncio.Event()
    running = asyncio.create_task(cluster.send("a", method="POST", body=b"x"))
    await until(lambda: len(target.ran) == 1)
    await cluster.daemons["a"].drain()
    answer = await running
    assert (answer.status, answer.body) == (502, b"may have run: daemon-stopped\n")


@with_cluster
async def test_a_stopping_owner_refuses_the_calls_that_it_can_not_start(cluster: Cluster) -> None:
    """Their ingress learned nothing of them, and told their callers that they may have run."""
    await start_shop(cluster)
    await warm_up(cluster)
    target, owner = cluster.targets["b"], cluster.daemons["b"].owner
    target.gate = asyncio.Event()
    slots = owner.queue.limits.slots
    calls: dict[str, asyncio.Task[Answer]] = {}
    while not owner.queue.queued:
        attempt = f"{len(calls):04x}"
        sending = cluster.send("a", method="POST", body=b"x", attempt=attempt)
        calls[attempt] = asyncio.create_task(sending)
        await asyncio.sleep(USE_INTERVAL_S / 10)
    await cluster.daemons["b"].drain()
    answers = {attempt: await task for attempt, task in calls.items()}
    ran = {req.headers["x-attempt-id"] for req in target.ran} & set(calls)
    assert len(ran) == slots
    for attempt, answer in answers.items():
        assert answer.status == (502 if attempt in ran else 503), answer


@with_cluster
async def test_an_error_in_a_step_of_a_stop_cuts_off_no_call(cluster: Cluster) -> None:
    """An error while the daemon stopped listening ended the process at once, with running calls."""
    await start_shop(cluster)
    gate = cluster.targets["b"].gate = asyncio.Event()
    daemon = cluster.daemons["a"]
    headers = {"X-Deadline-Ms": "60000"}
    running = asyncio.create_task(cluster.send("a", method="POST", headers=headers))
    await until(lambda: bool(cluster.targets["b"].ran))

    def fail() -> None:
        gate.set()
        raise OSError("no descriptor left")

    daemon.stop_accepting = fail  # type: ignore[method-assign]
    await daemon.drain()
    assert (await running).status == 200
    assert daemon.stopped.is_set()


@with_cluster
async def test_a_connection_that_appears_late_is_served_before_the_stop(cluster: Cluster) -> None:
    """The daemon looked once for connections, then waited for its upstream, and cut later ones."""
    await start_two(cluster)
    for _ in range(WARM_UP_CALLS):
        await asyncio.gather(cluster.send("a"), cluster.send("b"))
    daemon = cluster.daemons["a"]
    for target in cluster.targets.values():
        target.gate = asyncio.Event()
    running: list[asyncio.Task[Answer]] = []
    while not daemon.owner.calls:
        running.append(asyncio.create_task(cluster.send("b", attempt=f"{len(running):x}")))
        await asyncio.sleep(USE_INTERVAL_S)
    drained = asyncio.create_task(daemon.drain())
    await until(lambda: daemon.owner.leaving)
    ours, theirs = socket.socketpair()
    ours.sendall(request_bytes("GET", "/a/1", headers={"X-Attempt-Id": "late"}))
    await asyncio.get_running_loop().connect_accepted_socket(
        lambda: CallerConnection(daemon.callers), theirs
    )
    reader, writer = await asyncio.open_connection(sock=ours)
    await until(lambda: daemon.ingress_task.ingress.calls == 1)
    for name in ("a", "b"):
        gate = cluster.targets[name].gate
        assert gate is not None
        gate.set()
        await asyncio.sleep(USE_INTERVAL_S)
    answer = await read_answer(reader)
    writer.close()
    assert (answer.status, answer.closed) == (200, True)
    await drained
    assert {(await each).status for each in running} == {200}


LARGE_ANSWER_BYTES = 900_000
"""Size of an answer that no buffer between two daemons holds."""
SMALL_BUFFER_BYTES = 32768
"""Buffers of the sockets between two daemons in that test, in bytes."""
AFTER_NOTICE_S = 2.5
"""Service time of its target, in seconds, so that it comes while the owner stops."""
SLOW_READ_S = 0.12
"""Pause of a slow link between two reads, in seconds; the answer takes longer than a Goaway may."""


def slow_down(reading: FrameConnection, writing: FrameConnection) -> asyncio.Task[None]:
    """Make a link between two daemons slow in one direction."""
    transports = [conn._transport for conn in (reading, writing)]
    for transport in transports:
        assert transport is not None
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    link = transports[0]
    assert link is not None

    async def read_slowly() -> None:
        while not link.is_closing():
            link.pause_reading()
            await asyncio.sleep(SLOW_READ_S)
            link.resume_reading()
            await asyncio.sleep(0)
            await asyncio.sleep(0)

    return asyncio.create_task(read_slowly())


@pytest.mark.parametrize("kind", ["safe", "bulk"])
def test_a_stopping_owner_ends_only_when_its_answers_have_arrived(kind: str) -> None:
    """Large answers that were still on a slow link were dropped when the Goaway timed out."""

    @with_cluster
    async def stop(cluster: Cluster) -> None:
        await cluster.add("a", service="web")
        await cluster.add("b")
        await cluster.configure(1, [route(route_type=kind, attempts=1)])
        await cluster.settle(1)
        await warm_up(cluster)
        owner = cluster.daemons["b"]
        to_owner = cluster.daemons["a"].links._links["b"]._conn
        assert to_owner is not None
        links = owner.owner_task._conns
        slow = slow_down(to_owner, links[owner.owner_task.ingresses()[0][0]])
        target = cluster.targets["b"]
        target.extra_body, target.work_s = b"x" * LARGE_ANSWER_BYTES, AFTER_NOTICE_S
        sent = asyncio.create_task(cluster.send("a", attempt="ab"))
        await until(lambda: owner.owner.calls == 1)
        await owner.drain()
        answer = await sent
        await slow
        assert (answer.status, len(answer.body) > LARGE_ANSWER_BYTES) == (200, True)

    stop()


READ_AFTER_S = 0.1
"""Time after the limit of a stop at which a slow caller reads, in seconds."""


@with_cluster
async def test_an_answer_that_waits_to_be_sent_at_the_limit_is_sent_before_the_process_ends(
    cluster: Cluster,
) -> None:
    """The process ended 0.05 s after the limit with answers in its own buffers."""
    await cluster.add("a")
    await cluster.configure(1, [route()])
    await cluster.settle(1)
    daemon = cluster.daemons["a"]
    cluster.targets["a"].extra_body = b"x" * LARGE_ANSWER_BYTES
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    host, _, port = daemon.addresses["callers"].rpartition(":")
    sock.connect((host, int(port)))
    reader, writer = await asyncio.open_connection(sock=sock, limit=SMALL_BUFFER_BYTES)
    await until(lambda: len(daemon.callers.open) == 1)
    (conn,) = daemon.callers.open
    assert conn._transport is not None
    accepted = conn._transport.get_extra_info("socket")
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
    writer.write(request_bytes("GET", "/a/1", headers={"X-Attempt-Id": "ab"}))
    await until(lambda: conn.unread_bytes > 0)
    drained = asyncio.create_task(daemon.drain())
    await until(lambda: daemon.callers.refusing)
    await asyncio.sleep(READ_AFTER_S)
    reading = asyncio.create_task(read_answer(reader))
    await drained
    assert conn.unread_bytes == 0
    answer = await reading
    writer.close()
    assert (answer.status, len(answer.body) > LARGE_ANSWER_BYTES) == (200, True)
