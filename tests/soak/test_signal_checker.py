"""The checker of the soak finds a limit that is exceeded and a call after a leaving."""

from __future__ import annotations

import pytest

from soak.checker import find_violations
from soak.history import Arrival, Execution, Fault, History, LimitSpan, RequestResult

LIMIT = "a-named-limit-is-kept"
LEAVING = "a-leaving-upstream-gets-nothing"
NAMED = LimitSpan("i-1", 10.0, 20.0, 5.0)
"""The upstream names a limit of five requests a second for ten seconds."""
ALLOWED = 35
"""Arrivals that a window of 4 s may hold by that limit."""


def request(attempt: str, sent: float, daemon: str = "d0", **fields: object) -> RequestResult:
    plain = RequestResult(attempt, daemon, True, sent, sent + 0.1, 200, attempt, True)
    return plain._replace(signals_of="i-1", **fields)  # type: ignore[arg-type]


def history(
    results: list[RequestResult],
    faults: tuple[Fault, ...] = (),
    limits: tuple[LimitSpan, ...] = (NAMED,),
) -> History:
    """Return a history in which each request reaches the upstream when it is sent."""
    arrivals = tuple(Arrival(each.attempt, "i-1", each.sent) for each in results)
    executions = tuple(Execution(each.attempt, "d9") for each in results)
    return History(tuple(results), executions, faults, (), (), arrivals, limits)


def flood(count: int, since: float = 13.0, daemon: str = "d0") -> list[RequestResult]:
    """Return a request that hears of the limit, and `count` more within 2 s."""
    told = request(f"{daemon}-told", 10.0, daemon, limit="5.0")
    later = [request(f"{daemon}-{n}", since + 2.0 * n / count, daemon) for n in range(count)]
    return [told, *later]


def promises(checked: History) -> list[str]:
    return [each.promise for each in find_violations(checked)]


def test_a_limit_is_exceeded() -> None:
    assert promises(history(flood(ALLOWED))) == []
    assert promises(history(flood(ALLOWED + 1))) == [LIMIT]


def test_a_limit_is_exceeded_by_all_daemons_together() -> None:
    assert promises(history([*flood(20), *flood(20, daemon="d1")])) == [LIMIT]


def test_a_daemon_that_was_not_told_counts() -> None:
    untold = [each._replace(limit="") for each in flood(60)]
    assert promises(history(untold)) == []


def test_the_time_of_notice_counts() -> None:
    assert promises(history(flood(60, since=10.6)[:20])) == []


@pytest.mark.parametrize("kind", ["kill", "stop", "pause"])
def test_a_daemon_that_has_started_again_or_stood_still_counts(kind: str) -> None:
    fault = Fault(kind, "d0", 11.0, 12.0)
    assert promises(history(flood(60), (fault,))) == []
    elsewhere = fault._replace(daemon="d1")
    assert promises(history(flood(60), (elsewhere,))) == [LIMIT]


def test_an_ended_limit_counts() -> None:
    assert promises(history(flood(60), limits=(NAMED._replace(ended=12.9),))) == []


def test_a_limit_that_falls_counts_from_the_fall_on() -> None:
    spans = (NAMED._replace(ended=13.0, per_s=10.0), NAMED._replace(began=13.0, per_s=1.0))
    assert promises(history(flood(40, since=11.1), limits=spans)) == []
    assert promises(history(flood(40, since=15.0), limits=spans)) == [LIMIT]


def test_requests_between_two_limits_count_against_neither() -> None:
    """Nothing was named from 13 s to 14.5 s, where most of these requests are sent."""
    earlier, later = NAMED._replace(ended=13.0), NAMED._replace(began=14.5)
    assert promises(history(flood(30, since=15.6), limits=(earlier, later))) == []
    assert promises(history(flood(60, since=14.0), limits=(earlier, later))) == []
    assert promises(history(flood(60, since=16.0), limits=(earlier, later))) == [LIMIT]


def leaver(sent: float, *faults: Fault) -> History:
    said = request("a1", 5.0, leaving=True)
    return history([said, request("a2", sent)], faults, limits=())


def test_a_call_reaches_a_leaving_upstream() -> None:
    assert promises(leaver(7.0)) == []
    assert promises(leaver(7.2)) == [LEAVING]


def test_a_daemon_that_forgot_the_leaving_counts() -> None:
    assert promises(leaver(7.2, Fault("kill", "d0", 5.5, 6.0))) == []
    assert promises(leaver(7.2, Fault("kill", "d1", 5.5, 6.0))) == [LEAVING]
    assert promises(leaver(7.2, Fault("kill", "d0", 3.0, 4.0))) == [LEAVING]
