"""Tests that requests cost what they take of memory, and that stalled ones give way to others.

Guards against a process over its host's memory by heads of thousands of headers, and against
uploads that stop short and shut out all others until they time out.
"""

from __future__ import annotations

import pytest

from bench.stages import FakeTransport, default_settings
from foldhoist.admission.body_memory import HELD_SHARE, ProcessMemory, process_limit
from foldhoist.daemon.caller_state import ServerState
from foldhoist.daemon.callers import CallerConnection
from foldhoist.daemon.giving_way import GIVE_WAY_AFTER_S

HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n"
LIMIT_BYTES = 1_000_000


class Callers:
    """Connections without sockets; a test's own time counts from the start."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, limit: float, **limits: int) -> None:
        cfg = default_settings()["limits"]
        cfg.update(limits)  # type: ignore[typeddict-item]
        self.now = 0.0
        self.requests = 0
        self.state = ServerState(cfg, self.run, lambda call_id: None, memory=ProcessMemory(limit))
        for module in ("callers", "caller_input", "caller_state"):
            monkeypatch.setattr(f"foldhoist.daemon.{module}.time.monotonic", lambda: self.now)

    def run(self, conn: CallerConnection, req: object) -> None:
        self.requests += 1
        conn.set_call_id(self.requests)

    def connect(self, data: bytes = b"") -> tuple[CallerConnection, FakeTransport]:
        conn, transport = CallerConnection(self.state), FakeTransport()
        conn.connection_made(transport)
        if data:
            conn.data_received(data)
        return conn, transport


def unfinished(size: int) -> bytes:
    return HEAD + b"Content-Length: %d\r\n\r\n" % (size + 1) + bytes(size)


def test_heads_are_bounded_by_what_they_take_of_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    callers = Callers(monkeypatch, LIMIT_BYTES)
    refused = 0
    for _ in range(20):
        conn, transport = callers.connect(HEAD + b"a:b\r\n" * 2800)
        if transport.take().startswith(b"HTTP/1.1 503 "):
            refused += 1
            conn.connection_lost(None)
    assert refused > 10
    assert callers.state.memory.used <= LIMIT_BYTES


def test_an_unfinished_upload_gives_way_once_it_has_lasted(monkeypatch: pytest.MonkeyPatch) -> None:
    callers = Callers(monkeypatch, LIMIT_BYTES)
    stalled = [callers.connect(unfinished(60_000)) for _ in range(20)]
    assert any(transport.take().startswith(b"HTTP/1.1 503 ") for _, transport in stalled)
    _, transport = callers.connect(unfinished(60_000))
    assert transport.take().startswith(b"HTTP/1.1 503 ")
    callers.now = 2 * GIVE_WAY_AFTER_S
    before = callers.state.count.gave_way
    conn, transport = callers.connect(unfinished(60_000))
    assert transport.take() == b""
    assert callers.state.count.gave_way > before
    conn.data_received(b"x")
    assert callers.requests == 1


def test_the_one_that_asks_gives_way_to_nobody_that_holds_less(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    callers = Callers(monkeypatch, LIMIT_BYTES)
    small, _ = callers.connect(unfinished(1000))
    large, transport = callers.connect(unfinished(900_000)[:-400_000])
    callers.now = 2 * GIVE_WAY_AFTER_S
    large.data_received(bytes(399_000))
    assert transport.take().startswith(b"HTTP/1.1 503 ")
    small.data_received(b"x")
    assert callers.requests == 1


def test_everything_is_released_with_the_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    callers = Callers(monkeypatch, LIMIT_BYTES)
    whole = HEAD + b"Content-Length: 5\r\n\r\nhello"
    shapes = [unfinished(9000), HEAD + b"a:b\r\n" * 900, whole, whole * 3, b"\r\n\r\nnonsense\r\n"]
    conns = [callers.connect(data)[0] for data in shapes * 3]
    for conn in conns:
        conn.connection_lost(None)
    assert callers.state.memory.used == 0
    assert callers.state.bodies.used == 0


@pytest.mark.parametrize(("memory_mb", "limit"), [(0, float("inf")), (200, 200e6 * HELD_SHARE)])
def test_the_limit_is_a_share_of_the_memory_of_the_host(memory_mb: int, limit: float) -> None:
    assert process_limit(memory_mb) == limit


def test_tiny_requests_are_served_while_others_have_used_up_their_part(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    callers = Callers(monkeypatch, LIMIT_BYTES)
    for _ in range(16):
        callers.connect(unfinished(60_000))
    assert callers.state.count.bodies_full > 0
    callers.connect(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
    assert callers.requests == 1


def test_a_search_in_vain_is_not_repeated_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each part of a body without room cost a search of all connections, 2 ms each."""
    callers = Callers(monkeypatch, LIMIT_BYTES)
    searches: list[float] = []

    def search(conns: object, now: float, above: float, **more: bool) -> list[CallerConnection]:
        searches.append(above)
        return []

    monkeypatch.setattr("foldhoist.daemon.caller_state.most_held", search)
    for _ in range(50):
        callers.connect(unfinished(60_000))
    assert len(searches) == 1
    callers.now = 10.0
    callers.connect(unfinished(60_000))
    assert len(searches) == 2
