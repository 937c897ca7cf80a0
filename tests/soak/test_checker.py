"""The checker finds each broken promise and excuses only calls that an unplanned fault explains."""

from __future__ import annotations

import pytest

from soak.checker import (
    DEADLINE_S,
    FAULT_EFFECT_S,
    LOSS_SLACK_S,
    MAX_STOP_S,
    STOP_EFFECT_S,
    find_violations,
)
from soak.history import Execution, Fault, History, PlannedStop, RequestResult

GOOD = RequestResult("a1", "d0", False, 1.0, 1.1, 200, "a1", True)
RAN = Execution("a1", "d1")


def history(
    *results: RequestResult,
    executions: tuple[Execution, ...] = (RAN,),
    faults: tuple[Fault, ...] = (),
    stops: tuple[PlannedStop, ...] = (),
    unserved: tuple[str, ...] = (),
) -> History:
    return History(results, executions, faults, stops, unserved)


def promises(checked: History) -> list[str]:
    return [each.promise for each in find_violations(checked)]


def test_kept_promises_give_no_violation() -> None:
    stops = (PlannedStop("d0", 4.0, 0),)
    assert promises(history(GOOD, stops=stops)) == []
    refused = GOOD._replace(status=503, echo="", complete=False)
    assert promises(history(refused, executions=())) == []


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refused_call_ran(status: int) -> None:
    assert promises(history(GOOD._replace(status=status))) == ["not-run-is-true"]


def test_an_unrepeatable_call_ran_twice() -> None:
    twice = (RAN, Execution("a1", "d2"))
    assert promises(history(GOOD, executions=twice)) == ["at-most-once"]
    assert promises(history(GOOD._replace(repeatable=True), executions=twice)) == []


def test_an_answer_is_incomplete_or_of_another_call_or_of_no_upstream() -> None:
    promise = "answers-are-whole-and-their-own"
    assert promises(history(GOOD._replace(complete=False))) == [promise]
    assert promises(history(GOOD._replace(echo="a2"))) == [promise]
    assert promises(history(GOOD, executions=())) == ["answers-are-the-upstreams"]


@pytest.mark.parametrize("status", [0, 502])
def test_a_call_ran_and_was_interrupted(status: int) -> None:
    cut = GOOD._replace(status=status, echo="", complete=False)
    promise = "planned-stop-cuts-nothing"
    assert promises(history(cut)) == [promise]
    assert promises(history(cut, executions=())) == []
    stop = Fault("stop", "d0", 0.5, 5.0)
    assert promises(history(cut, faults=(stop,))) == [promise]
    kill = Fault("kill", "d1", 0.5, 0.9)
    assert promises(history(cut, faults=(kill,))) == []
    later = kill._replace(began=1.2, ended=1.5)
    assert promises(history(cut, faults=(later,))) == [promise]
    long_ago = kill._replace(began=0.0, ended=1.0 - FAULT_EFFECT_S - 0.1)
    assert promises(history(cut, faults=(long_ago,))) == [promise]


def test_a_request_that_did_not_run_is_lost_at_a_planned_stop() -> None:
    """Requests without an answer counted only if they ran."""
    lost = GOOD._replace(status=0, echo="", complete=False, ended=1.0 + LOSS_SLACK_S + 0.01)
    stop = Fault("stop", "d0", 0.5, 5.0)

    def found(result: RequestResult, *faults: Fault) -> list[str]:
        return promises(history(result, executions=(), faults=faults))

    assert found(lost, stop) == ["planned-stop-answers-all"]
    assert found(lost) == []
    assert found(lost, stop._replace(daemon="d1")) == []
    assert found(lost, stop._replace(began=1.3)) == []
    assert found(lost, stop._replace(began=1.2 - STOP_EFFECT_S)) == []
    assert found(lost._replace(ended=1.0 + LOSS_SLACK_S - 0.01), stop) == []
    assert found(lost._replace(ended=1.0 + DEADLINE_S), stop) == []
    assert found(lost._replace(status=503), stop) == []
    assert found(lost, stop, Fault("kill", "d1", 0.5, 0.9)) == []


@pytest.mark.parametrize(("took", "code"), [(1.0, None), (1.0, 1), (MAX_STOP_S + 1, 0)])
def test_a_planned_stop_is_late_or_fails(took: float, code: int | None) -> None:
    assert promises(history(stops=(PlannedStop("d0", took, code),))) == ["planned-stop-ends"]


def test_the_evidence_of_a_late_stop_names_both_clocks() -> None:
    """Nothing told whether the daemon was late or the soak's own process, which reads the time."""
    stops = (PlannedStop("d0", 9.1, 0, last_line=5.2, stalled=3.75),)
    (violation,) = find_violations(history(stops=stops))
    assert "last line came after 5.2 s" in violation.evidence
    assert "late by up to 3.75 s" in violation.evidence


def test_a_daemon_does_not_recover() -> None:
    assert promises(history(unserved=("d3",))) == ["served-again"]
