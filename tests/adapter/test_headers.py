"""Tests of the translation of the platform's headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foldhoist.daemon.request import BadRequest
from foldhoist.delivery.call import CallerRequest
from foldhoist.delivery.dispatch import Complete, Incomplete, Replaced, Shed, StartCall
from foldhoist.delivery.signal_state import AnswerSignals
from foldhoist.delivery.verdict import Answered, MayHaveRun, NotRun, Response
from foldhoist_adapter.headers import PlatformDialect
from tests.unit.daemon.calls import dispatch_of, head_of

if TYPE_CHECKING:
    from foldhoist.daemon.http import HeadReader

DIALECT = PlatformDialect("web")
CALL = StartCall(1, dispatch_of("GET", [[b"X-Attempt-Id", b"a1"]]), 0.5, "i-1")
SIGNED = {b"X-Attempt-Id": b"a1", b"X-Response-Signature": b"s"}


def head(fields: dict[bytes, bytes], of_caller: bool = False) -> HeadReader:
    return head_of(DIALECT.caller_rules if of_caller else DIALECT.upstream_rules, fields)


@pytest.mark.parametrize(
    ("status", "fields", "kind"),
    [
        (200, SIGNED, Complete),
        (500, SIGNED, Complete),
        (200, {b"X-Attempt-Id": b"a1"}, Incomplete),
        (200, {b"X-Response-Signature": b"s"}, Incomplete),
        (200, {**SIGNED, b"Content-Encoding": b"gzip"}, Incomplete),
        (503, {b"X-Attempt-Id": b"a1", b"X-Not-Executed": b"1"}, Shed),
        (429, {b"X-Not-Executed": b"1"}, Shed),
        (400, {b"X-Not-Executed": b"1"}, Shed),
        (421, {b"X-Instance-Id": b"i-2"}, Replaced),
        (503, {b"X-Attempt-Id": b"a1"}, Incomplete),
        (200, {**SIGNED, b"X-Attempt-Id": b"of-another"}, type(None)),
        (503, {b"X-Attempt-Id": b"of-another", b"X-Not-Executed": b"1"}, type(None)),
    ],
)
def test_kind_of_result_of_an_upstream_answer(
    status: int, fields: dict[bytes, bytes], kind: type
) -> None:
    assert type(DIALECT.result(status, head(fields), b"", CALL)) is kind


@pytest.mark.parametrize(
    ("load", "pace"),
    [(b"1,0,12,400", 400), (b"1,0,12", 0), (b"", 0), (b"1,0,12,soon", 0), (b"1,0,12,", 0)],
)
def test_pace_is_the_fourth_field_of_the_load_header(load: bytes, pace: int) -> None:
    result = DIALECT.result(200, head({**SIGNED, b"X-Server-Load": load}), b"", CALL)
    assert isinstance(result, Complete)
    assert result.pace == pace


def test_request_to_the_upstream_carries_the_platform_headers() -> None:
    req = dispatch_of("GET", [[b"Host", b"x"], [b"X-Attempt-Id", b"a1"]])
    sent = dict(DIALECT.request_headers(StartCall(1, {**req, "caller": "web"}, 0.25, "i-1"), b""))
    assert sent[b"X-Deadline-Ms"] == b"250"
    assert sent[b"X-Caller-Service"] == b"web"
    assert sent[b"X-Expect-Instance"] == b"i-1"
    assert sent[b"Host"] == b"x"


@pytest.mark.parametrize(
    ("url", "fields", "reason"),
    [
        (b"http://x/", {}, "target-is-no-path"),
        (b"/", {b"X-Deadline-Ms": b"soon"}, "bad-deadline"),
        (b"/", {b"X-Deadline-Ms": b"9" * 20}, "bad-deadline"),
    ],
)
def test_invalid_request_is_refused(url: bytes, fields: dict[bytes, bytes], reason: str) -> None:
    found = DIALECT.read_request("GET", url, head(fields, of_caller=True), b"")
    assert found == BadRequest(400, reason)


def test_host_deadline_and_id_come_from_the_request_but_not_the_caller() -> None:
    fields = {
        b"Host": b"Shop.Example:80",
        b"X-Deadline-Ms": b"800",
        b"X-Attempt-Id": b"0a1b",
        b"X-Caller-Service": b"forged",
        b"X-Expect-Instance": b"forged",
    }
    found = DIALECT.read_request("GET", b"/a", head(fields, of_caller=True), b"")
    assert isinstance(found, CallerRequest)
    assert (found.host, found.budget_s, found.name) == ("shop.example", 0.8, "0a1b")
    assert found.caller == "web"
    assert [name for name, _ in found.headers] == [b"Host", b"X-Attempt-Id"]
    assert found.trace[3:35] == "0a1b".rjust(32, "0")


def test_status_and_retry_after_of_final_answers() -> None:
    status, headers, _ = DIALECT.answer(NotRun("full", 0.25), "")
    assert (status, dict(headers)) == (503, {b"Retry-After": b"0.250"})
    assert DIALECT.answer(NotRun("deadline-passed", 0.0, status=504), "")[0] == 503
    assert DIALECT.answer(NotRun("no-such-service", 0.0, status=404), "")[0] == 404
    for verdict in (MayHaveRun("lost"), MayHaveRun("deadline-passed", status=504)):
        status, headers, _ = DIALECT.answer(verdict, "")
        assert status in (502, 504)
        assert headers == []
    answered = Answered(Response(200, [[b"X-Response-Signature", b"s"]], b"body"))
    assert DIALECT.answer(answered, "") == (200, [[b"X-Response-Signature", b"s"]], b"body")


@pytest.mark.parametrize(
    ("fields", "signals"),
    [
        ({}, AnswerSignals()),
        ({b"Server-Limit": b"5.9"}, AnswerSignals(5.9)),
        ({b"server-limit": b" 0 "}, AnswerSignals(0.0)),
        ({b"Server-Leaving": b"1"}, AnswerSignals(None, leaving=True)),
        ({b"Server-Leaving": b"0"}, AnswerSignals()),
        ({b"Server-Limit": b"3", b"Server-Leaving": b"1"}, AnswerSignals(3.0, leaving=True)),
        ({b"Server-Limit": b"-3"}, AnswerSignals(None, False, "-3")),
        ({b"Server-Limit": b"1e3"}, AnswerSignals(None, False, "1e3")),
        ({b"Server-Limit": b"nan"}, AnswerSignals(None, False, "nan")),
        ({b"Server-Limit": b""}, AnswerSignals(None, False, "(empty)")),
        ({b"Server-Limit": b"9" * 100}, AnswerSignals(None, False, "9" * 40)),
        ({b"Server-Limit": b"5", b"server-limit": b"6"}, AnswerSignals(None, False, "5, 6")),
    ],
)
def test_signals_in_an_answer(fields: dict[bytes, bytes], signals: AnswerSignals) -> None:
    assert DIALECT.signals(200, head({**SIGNED, **fields}), CALL) == signals


@pytest.mark.parametrize(
    ("status", "fields"),
    [
        (421, SIGNED),
        (200, {b"X-Attempt-Id": b"a1"}),
        (200, {**SIGNED, b"X-Attempt-Id": b"of-another"}),
        (503, {b"X-Attempt-Id": b"of-another", b"X-Not-Executed": b"1"}),
    ],
)
def test_signals_of_another_upstream_or_answer_are_applied(
    status: int, fields: dict[bytes, bytes]
) -> None:
    named = {**fields, b"Server-Limit": b"5", b"Server-Leaving": b"1"}
    assert DIALECT.signals(status, head(named), CALL) is None


def test_signals_in_a_shed_call() -> None:
    fields = {b"X-Not-Executed": b"1", b"Server-Limit": b"5"}
    assert DIALECT.signals(503, head(fields), CALL) == AnswerSignals(5.0)


@given(limit=st.binary(max_size=60))
def test_any_bytes_as_a_limit_break_an_answer(limit: bytes) -> None:
    signals = DIALECT.signals(200, head({**SIGNED, b"Server-Limit": limit}), CALL)
    assert signals is not None
    assert (signals.limit_per_s is None) == bool(signals.invalid_limit)
    if signals.limit_per_s is not None:
        assert 0.0 <= signals.limit_per_s < 1e12
