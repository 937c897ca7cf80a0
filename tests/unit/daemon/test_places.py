"""Tests which connections are closed for others once as many are open as allowed.

Guards against callers that are refused for as long as others keep connections that ask nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from foldhoist.daemon.caller_state import MIN_ENDING
from foldhoist.daemon.giving_way import GIVE_WAY_AFTER_S
from foldhoist.delivery.verdict import Answered, Response
from tests.unit.daemon.test_giving_way import Callers

if TYPE_CHECKING:
    from bench.stages import FakeTransport
    from foldhoist.daemon.callers import CallerConnection

GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
OK = Answered(Response(200, [], b"yes"))
HELD = {
    "nothing sent": (b"", b""),
    "an unfinished head": (GET[:-2], b"HTTP/1.1 503 "),
    "an unfinished body": (b"POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nx", b"HTTP/1.1 503 "),
}


def is_served(callers: Callers) -> bool:
    before = callers.requests
    callers.connect(GET)
    return callers.requests > before


def answered(callers: Callers) -> tuple[CallerConnection, FakeTransport]:
    conn, transport = callers.connect(GET)
    conn.answer(OK, "t")
    transport.take()
    return conn, transport


@pytest.mark.parametrize("held", HELD)
def test_a_connection_that_waits_long_gives_its_place(
    held: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    data, told = HELD[held]
    callers = Callers(monkeypatch, float("inf"), callers=3)
    waiting = [callers.connect(data) for _ in range(3)]
    assert not is_served(callers)
    callers.now = 2 * GIVE_WAY_AFTER_S
    assert is_served(callers)
    assert [conn.ended for conn, _ in waiting].count(True) == 1
    assert [transport.take()[: len(told)] for conn, transport in waiting if conn.ended] == [told]


def test_those_that_were_answered_stay_longer(monkeypatch: pytest.MonkeyPatch) -> None:
    callers = Callers(monkeypatch, float("inf"), callers=3)
    known = [answered(callers)[0] for _ in range(2)]
    callers.now = 1.0
    unknown, _ = callers.connect()
    callers.now = 1.0 + 2 * GIVE_WAY_AFTER_S
    assert is_served(callers)
    assert unknown.ended
    assert not any(conn.ended for conn in known)


def test_a_request_that_runs_is_never_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    callers = Callers(monkeypatch, float("inf"), callers=3)
    running = [callers.connect(GET)[0] for _ in range(3)]
    callers.now = 1000.0
    assert not is_served(callers)
    for conn in running:
        conn.answer(OK, "t")
        assert not conn.ended


def test_an_unread_answer_gives_its_place_last(monkeypatch: pytest.MonkeyPatch) -> None:
    callers = Callers(monkeypatch, float("inf"), callers=2)
    conn, transport = callers.connect(GET)
    conn.pause_writing()
    conn.answer(OK, "t")
    idle, _ = answered(callers)
    callers.now = 2 * GIVE_WAY_AFTER_S
    assert is_served(callers)
    assert idle.ended
    assert not transport.aborted
    assert is_served(callers)
    assert transport.aborted


def test_connections_that_are_told_no_are_bounded_as_well(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections beyond the limit stay open until their callers know, but not any number."""
    callers = Callers(monkeypatch, float("inf"), callers=3)
    transports = [callers.connect()[1] for _ in range(100)]
    assert len(callers.state.open) == 3 + MIN_ENDING
    assert all(transport.aborted for transport in transports[3 + MIN_ENDING :])
