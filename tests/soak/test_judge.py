"""The judge finds each promise that notes show broken, and excuses only what faults explain."""

from __future__ import annotations

import pytest

from soak.judge import AFTER_S, STOP_S, broken
from soak.notes import Asked, Fault, Notes, Ran, Stopped

GOOD = Asked("a1", "d0", False, 1.0, 1.1, 200, "a1", True)
RAN = Ran("a1", "d1")


def notes(
    *asked: Asked,
    ran: tuple[Ran, ...] = (RAN,),
    faults: tuple[Fault, ...] = (),
    stopped: tuple[Stopped, ...] = (),
    unserved: tuple[str, ...] = (),
) -> Notes:
    return Notes(asked, ran, faults, stopped, unserved)


def promises(found: Notes) -> list[str]:
    return [each.promise for each in broken(found)]


def test_what_is_as_promised_is_not_named() -> None:
    stopped = (Stopped("d0", 4.0, 0),)
    assert promises(notes(GOOD, stopped=stopped)) == []
    refused = GOOD._replace(status=503, echo="", whole=False)
    assert promises(notes(refused, ran=())) == []


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refusal_that_ran(status: int) -> None:
    assert promises(notes(GOOD._replace(status=status))) == ["not-run-is-true"]


def test_a_call_that_must_not_be_repeated_ran_twice() -> None:
    twice = (RAN, Ran("a1", "d2"))
    assert promises(notes(GOOD, ran=twice)) == ["at-most-once"]
    assert promises(notes(GOOD._replace(repeatable=True), ran=twice)) == []


def test_an_answer_that_is_cut_or_anothers_or_nobodys() -> None:
    promise = "answers-are-whole-and-their-own"
    assert promises(notes(GOOD._replace(whole=False))) == [promise]
    assert promises(notes(GOOD._replace(echo="a2"))) == [promise]
    assert promises(notes(GOOD, ran=())) == ["answers-are-the-upstreams"]


@pytest.mark.parametrize("status", [0, 502])
def test_a_call_that_ran_and_was_cut(status: int) -> None:
    cut = GOOD._replace(status=status, echo="", whole=False)
    promise = "planned-stop-cuts-nothing"
    assert promises(notes(cut)) == [promise]
    assert promises(notes(cut, ran=())) == []
    stop = Fault("stop", "d0", 0.5, 5.0)
    assert promises(notes(cut, faults=(stop,))) == [promise]
    kill = Fault("kill", "d1", 0.5, 0.9)
    assert promises(notes(cut, faults=(kill,))) == []
    later = kill._replace(began=1.2, ended=1.5)
    assert promises(notes(cut, faults=(later,))) == [promise]
    long_ago = kill._replace(began=0.0, ended=1.0 - AFTER_S - 0.1)
    assert promises(notes(cut, faults=(long_ago,))) == [promise]


@pytest.mark.parametrize(("took", "code"), [(1.0, None), (1.0, 1), (STOP_S + 1, 0)])
def test_a_planned_stop_that_does_not_end_as_planned(took: float, code: int | None) -> None:
    assert promises(notes(stopped=(Stopped("d0", took, code),))) == ["planned-stop-ends"]


def test_a_daemon_that_does_not_serve_again() -> None:
    assert promises(notes(unserved=("d3",))) == ["served-again"]
