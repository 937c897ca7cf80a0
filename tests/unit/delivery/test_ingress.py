"""Tests of the ingress's side of delivery."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from bench.stages import fleet_text
from foldhoist.admission.completion import TIME_MARGIN
from foldhoist.config.fleet import parse_fleet
from foldhoist.delivery.admission_checks import DAEMON_LEAVING, DAEMON_STOPPED
from foldhoist.delivery.attempt_fates import FATE_TIMEOUT_S
from foldhoist.delivery.call import CallerRequest, Reply, SendTo
from foldhoist.delivery.ingress import Ingress
from foldhoist.delivery.rules import CONNECTION_FULL, CONNECTION_FULL_RETRY_S, MAX_PARK_S
from foldhoist.delivery.services import ANNOUNCEMENT_TIMEOUT_S
from foldhoist.delivery.verdict import Answered, MayHaveRun, NotRun, Response
from foldhoist.membership.view import homes, tracked
from foldhoist.quarantine.identity import identity_of
from foldhoist.quarantine.table import QUARANTINE_S, QUARANTINED, Quarantine
from foldhoist.routing.picker import Member

if TYPE_CHECKING:
    from foldhoist.schema.messages import Load

LOAD: Load = {
    "busy": 0,
    "queued": 0,
    "slots": 4,
    "service_us": 0,
    "errors": 0.0,
    "state": "warm",
}
TRACE = "00-" + "1" * 32 + "-" + "2" * 16 + "-00"


def make(
    targets: int = 3,
    linked: bool = True,
    objective_ms: int = 0,
    quarantine: Quarantine | None = None,
) -> Ingress:
    fleet, _ = parse_fleet(fleet_text(targets), "x")
    for route in fleet["routes"].values():
        route["objective_ms"] = objective_ms
    ingress = Ingress("a", 100, random.Random(1), quarantine=quarantine)
    ingress.adopt(0.0, 1, fleet, tracked(fleet, "me", "a"), homes(fleet))
    for name in fleet["targets"] if linked else []:
        ingress.link_up(0.0, name, "incarnation-1")
    return ingress


def request(method: str = "GET", **fields: Any) -> CallerRequest:
    plain = CallerRequest(method, "/depo/x", [], b"", 0.0, False, "", 0, 0, False, TRACE)
    return plain._replace(**fields)


def sent(actions: list[Any]) -> list[SendTo]:
    return [each for each in actions if isinstance(each, SendTo)]


def replies(actions: list[Any]) -> list[Any]:
    return [each.verdict for each in actions if isinstance(each, Reply)]


def refusal(seq: int, ran: str, reached: bool = False) -> Any:
    plain = {"seq": seq, "ran": ran, "reason": "why", "retry_after_ms": 50, "load": LOAD}
    return {**plain, "reached": True} if reached else plain


def attempts_where_all_refuse(ingress: Ingress, calls: int, ran: str, reached: bool) -> int:
    """Return the number of attempts that an ingress makes for this many calls, one a second."""
    attempts = 0
    for number in range(calls):
        waiting = sent(ingress.arrive(float(number), number, request()))
        while waiting:
            attempts += 1
            one = waiting.pop()
            body = refusal(one.frame.body["seq"], ran, reached)
            waiting += sent(ingress.refusal(float(number), one.target, body))
    return attempts


def test_not_run_is_tried_elsewhere_and_maybe_only_if_repeatable() -> None:
    for method, ran, tries in (("GET", "no", 1), ("GET", "maybe", 1), ("POST", "no", 1)):
        ingress = make()
        (first,) = sent(ingress.arrive(1.0, 1, request(method)))
        again = ingress.refusal(1.1, first.target, refusal(first.frame.body["seq"], ran))
        assert len(sent(again)) == tries
        assert sent(again)[0].target != first.target
    ingress = make()
    (first,) = sent(ingress.arrive(1.0, 1, request("POST")))
    ended = ingress.refusal(1.1, first.target, refusal(first.frame.body["seq"], "maybe"))
    assert replies(ended) == [MayHaveRun("why")]


def test_a_call_inside_a_retried_one_is_not_retried() -> None:
    ingress = make()
    (first,) = sent(ingress.arrive(1.0, 1, request(retried=True)))
    ended = ingress.refusal(1.1, first.target, refusal(first.frame.body["seq"], "no"))
    assert replies(ended) == [NotRun("why", 0.05)]


def test_retries_stay_a_share_of_calls_when_everything_fails() -> None:
    attempts = attempts_where_all_refuse(make(12), 1000, "maybe", reached=False)
    assert attempts <= 1000 * 1.1 + 5


def test_calls_shed_by_upstreams_count_as_arrivals_and_refusals_by_owners_do_not() -> None:
    for reached, most in ((True, 100 * 1.1 + 5), (False, 100 * 4)):
        attempts = attempts_where_all_refuse(make(12), 100, "no", reached)
        assert attempts <= most
        assert reached or attempts == most


def test_only_an_attempt_after_an_arrival_is_marked_as_retried() -> None:
    for reached in (True, False):
        ingress = make()
        for number in range(20):
            ingress.arrive(0.5, 100 + number, request())
        (first,) = sent(ingress.arrive(1.0, 1, request()))
        body = refusal(first.frame.body["seq"], "no", reached)
        (again,) = sent(ingress.refusal(1.1, first.target, body))
        assert not first.frame.body["retried"]
        assert again.frame.body["retried"] is reached


def test_a_dispatch_carries_the_probability_of_being_a_repeat() -> None:
    for retried, share, percent in ((None, 0.3, 30), (None, 0.0, None), (False, 0.3, None)):
        ingress = make()
        (first,) = sent(ingress.arrive(1.0, 1, request(retried=retried, parent_repeat=share)))
        assert first.frame.body["retried"] is False
        assert first.frame.body.get("repeat_percent") == percent
    (first,) = sent(make().arrive(1.0, 1, request(retried=True)))
    assert first.frame.body["retried"] is True


def test_a_late_answer_is_counted_and_dropped() -> None:
    ingress = make()
    (first,) = sent(ingress.arrive(1.0, 1, request()))
    seq = first.frame.body["seq"]
    ended = ingress.tick(1.0 + 2.0)
    assert replies(ended) == [MayHaveRun("deadline-passed", status=504)]
    answer: Any = {"seq": seq, "status": 200, "headers": [], "body": b"", "ahead": 0, "load": LOAD}
    assert ingress.answer(3.1, first.target, {**answer, "waited_us": 0, "served_us": 0}) == []
    assert ingress.count.late == 1


def test_a_deadline_noticed_by_the_owner_first_looks_like_a_lost_connection() -> None:
    ingress = make()
    (dispatch,) = sent(ingress.arrive(0.0, 1, request("POST")))
    body: Any = dispatch.frame.body
    message = {**refusal(body["seq"], "maybe"), "reason": "deadline-passed"}
    ended = ingress.refusal(0.5, dispatch.target, message)
    assert replies(ended) == [MayHaveRun("deadline-passed", status=504)]


def test_a_parked_call_is_sent_when_a_connection_is_made() -> None:
    ingress = make(linked=False)
    assert replies(ingress.arrive(1.0, 1, request())) == []
    assert len(sent(ingress.link_up(1.1, "depo-1", "incarnation-1"))) == 1


def test_a_parked_call_is_refused_when_its_wait_ends() -> None:
    ingress = make(linked=False)
    ingress.arrive(1.0, 1, request())
    at = ingress.next_at()
    assert at is not None
    assert replies(ingress.tick(at)) == [NotRun("no-upstream-connected", 1.0)]


def test_a_parked_call_waits_while_it_can_still_be_on_time() -> None:
    for budget_s, objective_ms, usual_s, longest_s in (
        (0.2, 0, 0.0, 0.2),
        (9.0, 0, 0.0, MAX_PARK_S),
        (9.0, 200, 0.0, 0.2),
        (9.0, 200, 0.1, 0.2 - 0.1 * TIME_MARGIN),
        (9.0, 200, 0.5, MAX_PARK_S),
    ):
        ingress = make(linked=False, objective_ms=objective_ms)
        for _ in range(10 if usual_s else 0):
            ingress.pickers()["depo"].times.update("depo", usual_s)
        ingress.arrive(1.0, 1, request(budget_s=budget_s))
        assert replies(ingress.tick(1.0 + longest_s - 0.002)) == []
        assert replies(ingress.tick(1.0 + longest_s + 0.001)) != []


def test_a_call_for_a_service_that_has_no_upstream_is_refused_at_once() -> None:
    ingress = make(linked=False)
    ingress.track(1.0, {})
    assert replies(ingress.arrive(1.1, 1, request())) == []
    ended = replies(ingress.arrive(1.0 + ANNOUNCEMENT_TIMEOUT_S, 2, request()))
    assert ended == [NotRun("no-upstream-connected", 1.0)]
    ingress.track(9.0, {"depo": [Member("depo-1", "a", 4)]})
    assert replies(ingress.arrive(9.1, 3, request())) == []


def test_a_call_may_have_run_if_its_owner_restarted() -> None:
    ingress = make()
    (first,) = sent(ingress.arrive(1.0, 1, request("POST")))
    assert ingress.link_lost(1.1, first.target) == []
    ended = ingress.link_up(1.2, first.target, "incarnation-2")
    assert replies(ended) == [MayHaveRun("owner-restarted")]


def test_an_owner_of_the_same_incarnation_is_asked_for_outcomes() -> None:
    ingress = make()
    (first,) = sent(ingress.arrive(1.0, 1, request("POST")))
    ingress.link_lost(1.1, first.target)
    (asked,) = sent(ingress.link_up(1.2, first.target, "incarnation-1"))
    assert asked.frame.kind == "FateAsk"
    assert asked.frame.body == {"seqs": [first.frame.body["seq"]]}


def test_an_owner_that_was_asked_may_take_its_time() -> None:
    """Guards against a 502 for a call that is still at work at an owner that is connected again."""
    ingress = make()
    ingress._services.get("depo").cfg["deadline_ms"] = 30_000
    (first,) = sent(ingress.arrive(1.0, 1, request("POST")))
    ingress.link_lost(1.1, first.target)
    ingress.link_up(1.2, first.target, "incarnation-1")
    assert replies(ingress.tick(1.1 + 2 * FATE_TIMEOUT_S)) == []
    answer: Any = {"seq": first.frame.body["seq"], "status": 200, "headers": [], "body": b"late"}
    answer |= {"ahead": 0, "waited_us": 0, "served_us": 0, "load": LOAD}
    (verdict,) = replies(ingress.answer(4.0, first.target, answer))
    assert verdict == Answered(Response(200, [], b"late"))


def test_an_owner_that_is_lost_once_more_has_the_same_time_again() -> None:
    ingress = make()
    ingress._services.get("depo").cfg["deadline_ms"] = 30_000
    (first,) = sent(ingress.arrive(1.0, 1, request("POST")))
    ingress.link_lost(1.1, first.target)
    ingress.link_up(1.2, first.target, "incarnation-1")
    ingress.link_lost(2.0, first.target)
    assert replies(ingress.tick(1.9 + FATE_TIMEOUT_S)) == []
    assert replies(ingress.tick(2.0 + FATE_TIMEOUT_S)) == [MayHaveRun("owner-unreachable")]


def test_a_call_that_its_connection_does_not_take_goes_to_others_and_is_not_run() -> None:
    """Guards against a call that waits for the answer of an owner that never got it."""
    ingress = make()
    (attempt,) = sent(ingress.arrive(1.0, 1, request("POST")))
    seen = []
    while True:
        seen.append(attempt.target)
        actions = ingress.fates.not_sent(1.0, attempt.frame.body["seq"])
        if replies(actions):
            break
        (attempt,) = sent(actions)
    assert sorted(seen) == ["depo-0", "depo-1", "depo-2"]
    assert replies(actions) == [NotRun(CONNECTION_FULL, CONNECTION_FULL_RETRY_S)]
    assert ingress.fates.not_sent(1.0, attempt.frame.body["seq"]) == []


def test_a_hedge_is_sent_for_a_slow_repeatable_call_and_the_loser_withdrawn() -> None:
    ingress = make()
    ingress._services.get("depo").cfg["hedge_ms"] = 20
    (first,) = sent(ingress.arrive(1.0, 1, request()))
    (second,) = sent(ingress.tick(1.021))
    assert second.target != first.target
    answer: Any = {"seq": second.frame.body["seq"], "status": 200, "headers": [], "body": b""}
    answer |= {"ahead": 0, "waited_us": 0, "served_us": 0, "load": LOAD}
    ended = ingress.answer(1.03, second.target, answer)
    assert isinstance(replies(ended)[0], Answered)
    (withdrawn,) = sent(ended)
    assert (withdrawn.target, withdrawn.frame.kind) == (first.target, "Withdraw")
    (reply,) = [each for each in ended if isinstance(each, Reply)]
    results = [(attempt.target, attempt.result) for attempt in reply.record.attempts]
    assert results == [(second.target, "answered"), (first.target, "withdrawn")]


def suspect(call: str, *crashes: str) -> Any:
    return {"call": call, "crashes": list(crashes), "refuted": [], "age_ms": 0}


def test_a_quarantined_call_is_refused_with_the_remaining_time() -> None:
    quarantine = Quarantine("incarnation")
    ingress = make(quarantine=quarantine)
    call = identity_of("GET", "/depo/x", [], b"", "")
    quarantine.merge(1.0, [suspect(call, "a/1", "b/1")])
    (verdict,) = replies(ingress.arrive(11.0, 1, request()))
    assert verdict == NotRun(QUARANTINED, QUARANTINE_S - 10.0)
    assert sent(ingress.arrive(11.0, 2, request(path="/depo/y")))


def test_a_call_is_not_retried_after_a_second_upstream_crashed() -> None:
    quarantine = Quarantine("incarnation")
    ingress = make(quarantine=quarantine)
    (first,) = sent(ingress.arrive(1.0, 1, request()))
    call = identity_of("GET", "/depo/x", [], b"", "")
    quarantine.merge(1.1, [suspect(call, "a/1", "b/1")])
    ended = ingress.refusal(1.1, first.target, refusal(first.frame.body["seq"], "maybe"))
    assert [type(each) for each in replies(ended)] == [MayHaveRun]


def test_a_suspect_call_is_not_hedged() -> None:
    for suspected in (False, True):
        quarantine = Quarantine("incarnation")
        ingress = make(quarantine=quarantine)
        ingress._services.get("depo").cfg["hedge_ms"] = 20
        ingress.arrive(2.0, 1, request())
        if suspected:
            quarantine.merge(2.0, [suspect(identity_of("GET", "/depo/x", [], b"", ""), "a/1")])
        assert bool(sent(ingress.tick(2.03))) is not suspected


def stopping(stop_at: float) -> tuple[Ingress, SendTo]:
    """Return an ingress that stops, with a call of 100 s that it sent before; stops at `stop_at`.

    Its calls usually take 10 ms.
    """
    ingress = make()
    for state in ingress._services.all():
        state.cfg["deadline_ms"] = 100_000
    for number in range(10):
        (first,) = sent(ingress.arrive(0.0, number, request()))
        answer = {"seq": first.frame.body["seq"], "status": 200, "headers": [], "body": b""}
        times = {"waited_us": 0, "served_us": 10_000, "ahead": 0, "load": LOAD}
        ingress.answer(0.01, first.target, {**answer, **times})  # type: ignore[typeddict-item]
    (before,) = sent(ingress.arrive(1.0, 100, request("POST", budget_s=100.0)))
    ingress.begin_shutdown(stop_at, 3.0)
    return ingress, before


def test_a_stopping_ingress_limits_the_start_of_calls_and_withdraws_those_that_wait() -> None:
    """A call that started just before the end of the process was cut off."""
    ingress, before = stopping(10.0)
    (later,) = sent(ingress.arrive(2.0, 101, request("POST", budget_s=100.0)))
    assert later.frame.body["start_ms"] == 7000
    assert ingress.next_at() == 9.0
    withdrawn = sent(ingress.tick(9.0))
    assert [each.frame.kind for each in withdrawn] == ["Withdraw", "Withdraw"]
    assert all(each.frame.body["only_waiting"] for each in withdrawn)
    ended = ingress.refusal(9.01, before.target, refusal(before.frame.body["seq"], "no"))
    assert replies(ended) == [NotRun(DAEMON_LEAVING, 0.0)]
    assert replies(ingress.arrive(9.02, 102, request(budget_s=100.0))) == [
        NotRun(DAEMON_LEAVING, 0.0)
    ]


def test_a_call_that_ends_before_the_process_is_neither_limited_nor_withdrawn() -> None:
    ingress, _ = stopping(10.0)
    (sent_late,) = sent(ingress.arrive(9.5, 101, request("POST", budget_s=0.4)))
    assert "start_ms" not in sent_late.frame.body


def test_every_call_has_its_final_answer_when_the_process_ends() -> None:
    """Callers got a closed connection, though the daemon knew whether their calls had run."""
    ingress, _ = stopping(10.0)
    assert replies(ingress.end_shutdown(10.0)) == [MayHaveRun(DAEMON_STOPPED)]
    unconnected = make(linked=False)
    assert not replies(unconnected.arrive(0.5, 1, request()))
    assert replies(unconnected.end_shutdown(0.6)) == [NotRun(DAEMON_LEAVING, 0.0)]
