"""Tests of the owner's side of delivery."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from foldhoist.admission.held import HeldBytes
from foldhoist.admission.slots import Shape
from foldhoist.delivery import peers as peers_module
from foldhoist.delivery.dispatch import (
    CancelCall,
    CloseLink,
    Complete,
    Incomplete,
    QuarantineCalls,
    Replaced,
    Sample,
    SendTo,
    Shed,
    StartCall,
)
from foldhoist.delivery.load_reports import MAX_PACE_REPORTS
from foldhoist.delivery.owner import Owner
from foldhoist.delivery.upstream_status import PACE_KEPT_MS, REPLACED
from foldhoist.quarantine.table import HELD

if TYPE_CHECKING:
    import pytest

    from foldhoist.schema.messages import Suspect

EMPTY: Suspect = {"call": "", "crashes": [], "refuted": [], "age_ms": 0}
ANSWER = Complete(200, [], b"x" * 1000)


def make(slots: int = 2) -> Owner:
    owner = Owner("depo-1", "depo", Shape(slots, 10, 0, 1), 600.0)
    owner.hello(0.0, 1, hello("in-1", 1))
    return owner


def hello(incarnation: str, epoch: int) -> Any:
    return {"name": "in", "incarnation": incarnation, "epoch": epoch, "schema": 1}


def dispatch(seq: int, acked: int = 0, **fields: Any) -> Any:
    plain = {
        "seq": seq,
        "acked": acked,
        "service": "depo",
        "method": "POST",
        "path": "/depo/x",
        "headers": [],
        "body": b"",
        "budget_ms": 1000,
        "urgent": False,
        "repeatable": False,
        "key": "",
        "key_issued_ms": 0,
        "generation": 1,
        "hops": 0,
        "retried": False,
        "trace": "",
    }
    return {**plain, **fields}


def said(actions: list[Any]) -> list[tuple[int, str, Any]]:
    found = []
    for action in actions:
        if isinstance(action, SendTo):
            body: Any = action.frame.body
            found.append((body.get("seq", 0), action.frame.kind, body.get("ran", "")))
    return found


def test_a_newer_connection_fences_the_older_one() -> None:
    owner = make()
    assert CloseLink(1) in owner.hello(0.1, 2, hello("in-1", 2))
    assert owner.dispatch(0.2, 0, 1, dispatch(1)) == []
    assert owner.hello(0.3, 3, hello("in-1", 1)) == [CloseLink(3)]
    assert owner.count.fenced == 2


def test_what_never_arrived_did_not_run_and_what_was_forgotten_may_have() -> None:
    owner = make()
    assert said(owner.fate(0.1, 1, {"seqs": [7]})) == [(7, "Refusal", "no")]
    for seq in range(1, peers_module.MAX_KEPT_RESULTS + 10):
        (start,) = owner.dispatch(0.2, 0, 1, dispatch(seq))
        assert isinstance(start, StartCall)
        owner.finished(0.3, start.ticket, ANSWER)
    assert said(owner.fate(0.4, 1, {"seqs": [1]})) == [(1, "Refusal", "maybe")]
    newest = peers_module.MAX_KEPT_RESULTS + 9
    assert said(owner.fate(0.4, 1, {"seqs": [newest]})) == [(newest, "Answer", "")]


def test_results_kept_for_all_ingresses_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peers_module, "MAX_KEPT_TOTAL_BYTES", 20_000)
    owner = make()
    for link in range(1, 11):
        owner.hello(0.0, link, hello(f"in-{link}", 2))
    for link in range(1, 11):
        for seq in range(20):
            (start,) = owner.dispatch(0.2, 0, link, dispatch(seq))
            assert isinstance(start, StartCall)
            owner.finished(0.3, start.ticket, ANSWER)
    assert sum(peer.kept_bytes for peer in owner._peers.values()) <= 20_000


def test_acknowledged_results_go() -> None:
    owner = make()
    (start,) = owner.dispatch(0.2, 0, 1, dispatch(1))
    assert isinstance(start, StartCall)
    owner.finished(0.3, start.ticket, ANSWER)
    owner.dispatch(0.4, 0, 1, dispatch(2, acked=2))
    assert len(owner._peers["in-1"].kept) == 0


def test_a_waiting_call_that_is_withdrawn_did_not_run_a_running_one_is_cancelled() -> None:
    owner = make(slots=1)
    (start,) = owner.dispatch(0.1, 0, 1, dispatch(1))
    assert owner.dispatch(0.1, 0, 1, dispatch(2)) == []
    assert said(owner.withdraw(0.2, 1, {"seq": 2})) == [(2, "Refusal", "no")]
    assert isinstance(start, StartCall)
    assert owner.withdraw(0.2, 1, {"seq": 1}) == [CancelCall(start.ticket)]
    ended = owner.finished(0.3, start.ticket, Incomplete(True, "cancelled"))
    assert said(ended) == [(1, "Refusal", "maybe")]


def test_a_call_that_never_left_for_the_upstream_did_not_run() -> None:
    owner = make()
    (start,) = owner.dispatch(0.1, 0, 1, dispatch(1))
    assert isinstance(start, StartCall)
    ended = owner.finished(0.2, start.ticket, Incomplete(False, "upstream-unreachable"))
    assert said(ended) == [(1, "Refusal", "no")]


def reached(actions: list[Any]) -> list[bool]:
    frames = [action.frame for action in actions if isinstance(action, SendTo)]
    return [frame.body.get("reached", False) for frame in frames if frame.kind == "Refusal"]


def test_a_refusal_tells_whether_the_call_was_at_the_upstream() -> None:
    for result, was_there in (
        (Shed(0.1), True),
        (Replaced(), True),
        (Incomplete(False, "upstream-unreachable"), False),
    ):
        owner = make()
        (start,) = owner.dispatch(0.1, 0, 1, dispatch(1))
        assert isinstance(start, StartCall)
        assert reached(owner.finished(0.2, start.ticket, result)) == [was_there]
    owner = make()
    owner.set_leaving("drain")
    assert reached(owner.dispatch(0.1, 0, 1, dispatch(2))) == [False]


def test_an_address_that_answers_for_another_life_gets_no_more_calls_until_it_is_announced() -> (
    None
):
    """Symptom: calls were refused that another upstream could have run.

    Sequence: another life of an upstream answered at the address; the owner went on offering calls
    there. Cause: each was an arrival, paid from the retry budget, which was soon used up: of six
    calls 60 ms apart one was answered.
    """
    owner = make()
    owner.announce(0.0, announced(instance="one"))
    (start,) = owner.dispatch(0.1, 0, 1, dispatch(1))
    owner.reshape(0.1, Shape(1, 10, 0, 1))
    owner.dispatch(0.1, 0, 1, dispatch(2, budget_ms=60_000))
    assert isinstance(start, StartCall)
    ended = owner.finished(0.2, start.ticket, Replaced())
    assert not [action for action in ended if isinstance(action, StartCall)]
    assert sorted(reached(ended)) == [False, True]
    assert reached(owner.dispatch(0.3, 0, 1, dispatch(3))) == [False]
    assert owner.load()["state"] == "leaving"
    owner.announce(0.4, announced(instance="two"))
    assert isinstance(owner.dispatch(0.5, 0, 1, dispatch(4))[-1], StartCall)
    assert not owner.leaving


def test_an_upstream_that_announces_itself_again_after_a_word_of_another_gets_calls() -> None:
    owner = make()
    owner.announce(0.0, announced(instance="one"))
    (start,) = owner.dispatch(0.1, 0, 1, dispatch(1))
    assert isinstance(start, StartCall)
    owner.finished(0.2, start.ticket, Replaced())
    assert owner.leaving
    assert len(said(owner.clear_leaving(REPLACED))) == 1
    assert isinstance(owner.dispatch(0.3, 0, 1, dispatch(2))[-1], StartCall)


def test_waiting_calls_of_an_ingress_that_is_gone_are_dropped_and_it_can_learn_so() -> None:
    owner = make(slots=1)
    owner.dispatch(0.1, 0, 1, dispatch(1))
    owner.dispatch(0.1, 0, 1, dispatch(2, budget_ms=60_000))
    owner.link_lost(0.2, 1)
    owner.tick(5.0)
    assert owner.queue.queued == 0
    owner.hello(5.1, 2, hello("in-1", 2))
    assert said(owner.fate(5.2, 2, {"seqs": [2]})) == [(2, "Refusal", "no")]


def test_leaving_by_any_source_refuses_and_tells_and_one_taken_back_leaves_the_others() -> None:
    owner = make()
    assert len(said(owner.set_leaving("host-list"))) == 1
    owner.set_leaving("drain")
    assert said(owner.dispatch(0.1, 0, 1, dispatch(1))) == [(1, "Refusal", "no")]
    owner.clear_leaving("host-list")
    assert owner.leaving
    owner.clear_leaving("drain")
    assert not owner.leaving


def reported_slots(actions: list[Any]) -> list[tuple[int, int]]:
    """Return the connections that were told of slots, and how many."""
    sent = [each for each in actions if isinstance(each, SendTo) and each.frame.kind == "Report"]
    return [(each.link, cast("Any", each.frame.body)["load"]["slots"]) for each in sent]


def test_an_ingress_that_came_early_is_told_the_slots_when_they_become_known() -> None:
    """Or it takes the upstream for one with a single slot, and sends its calls elsewhere."""
    owner = make(slots=1)
    owner.hello(0.0, 2, hello("in-2", 1))
    assert reported_slots(owner.reshape(0.1, Shape(12, 10, 0, 1))) == [(1, 12), (2, 12)]
    assert owner.reshape(0.2, Shape(12, 20, 0, 1)) == []


def test_an_ingress_is_told_the_slots_that_an_upstream_announces() -> None:
    owner = make(slots=1)
    told = owner.announce(0.1, announced(slots=10))
    assert reported_slots(told) == [(1, 10)]
    assert owner.announce(0.2, announced(slots=10)) == []


def test_an_ingress_is_told_when_the_last_slots_turn_out_to_be_worth_nothing() -> None:
    owner = make(slots=1)
    owner.announce(0.1, announced(slots=5))
    now, seq, told = 1.0, 0, []
    while not told:
        for beside in (1, 1, 1, 1, 5):
            starts = []
            for _ in range(beside):
                seq += 1
                starts += owner.dispatch(now, 0, 1, dispatch(seq))
            now += 0.1 if beside == 1 else 0.3
            for start in starts:
                told += reported_slots(owner.finished(now, start.ticket, Complete(200, [], b"")))
        assert seq < 1000
    assert told[0] == (1, 4)


def test_waiting_calls_start_when_there_are_more_slots() -> None:
    owner = make(slots=1)
    owner.dispatch(0.1, 0, 1, dispatch(1))
    assert owner.dispatch(0.1, 0, 1, dispatch(2)) == []
    started = owner.reshape(0.2, Shape(2, 10, 0, 1))
    assert [each for each in started if isinstance(each, StartCall)]
    assert owner.queue.queued == 0


def test_a_change_of_pace_is_told_to_the_newest_users_and_not_to_all() -> None:
    owner = make()
    for link in range(2, MAX_PACE_REPORTS + 10):
        owner.hello(0.0, link, hello(f"in-{link}", 1))
        (start,) = owner.dispatch(link / 100, 0, link, dispatch(1))
        assert isinstance(start, StartCall)
        owner.finished(link / 100, start.ticket, Complete(200, [], b"", 100))
    told = [action.link for action in owner.sampled(1.0, Sample(500)) if isinstance(action, SendTo)]
    assert told == list(range(MAX_PACE_REPORTS + 9, 9, -1))
    assert owner.sampled(1.1, Sample(510)) == []
    assert owner.sampled(1.0 + PACE_KEPT_MS / 1000, Sample(100)) == []


def announced(**fields: Any) -> Any:
    plain = {
        "instance": "i-1",
        "service": "depo",
        "slots": 4,
        "state": "ready",
        "sequence": 1,
        "born_ms": 0,
        "cold_ms": 0,
    }
    return {**plain, **fields}


def test_bodies_at_an_owner_are_bounded_and_the_refused_call_did_not_run() -> None:
    bodies = HeldBytes(100_000)
    owner = Owner("depo-1", "depo", Shape(1, 10, 0, 1), 600.0, bodies=bodies)
    owner.hello(0.0, 1, hello("in-1", 1))
    owner.dispatch(0.0, 0, 1, dispatch(1, body=b"x" * 60_000))
    owner.dispatch(0.0, 0, 1, dispatch(2, body=b"x" * 30_000))
    assert said(owner.dispatch(0.0, 0, 1, dispatch(3, body=b"x" * 30_000))) == [
        (3, "Refusal", "no")
    ]
    assert owner.refusals.take()[-1].reason == "bodies-full"
    assert bodies.held == 90_000
    owner.finished(0.1, 1, ANSWER)
    owner.withdraw(0.1, 1, {"seq": 2})
    owner.finished(0.2, 2, Incomplete(True, "cancelled"))
    assert bodies.held == 0
    assert owner.calls == 0


def test_a_leaving_binds_no_later_life_at_the_address() -> None:
    """Calls were refused for good 0.8 s after the leaving, whatever began there later."""
    owner = make()
    upstream = {"instance": "i-1", "service": "depo", "slots": 4, "sequence": 1, "cold_ms": 0}
    for now, born_ms, state in ((0.0, 1000, "ready"), (1.0, 1000, "leaving"), (9.0, 9000, "ready")):
        announced = {**upstream, "born_ms": born_ms, "state": state}
        owner.announce(now, cast("Any", announced))
    assert [type(each) for each in owner.dispatch(10.0, 0, 1, dispatch(1))] == [StartCall]


def kinds(actions: list[Any]) -> list[str]:
    return [each.frame.kind for each in actions if isinstance(each, SendTo)]


def test_who_may_send_a_call_again_hears_of_the_crash_before_its_refusal() -> None:
    owner = make()
    (started,) = owner.dispatch(0.0, 0, 1, dispatch(1))
    told = owner.upstream_ended(0.1, [started.ticket])
    told += owner.finished(0.1, started.ticket, Incomplete(True, "upstream-connection-lost"))
    assert kinds(told) == ["Crashes", "Refusal"]
    (suspect,) = told[0].frame.body["suspects"]
    assert suspect["crashes"]
    assert owner.count.crashes == 1


def test_calls_that_end_upstreams_are_refused_at_the_door_while_waiting_and_at_work() -> None:
    """Learned from another daemon while one is at work here and one waits."""
    owner = make(slots=1)
    (started,) = owner.dispatch(0.0, 0, 1, dispatch(1, repeatable=True))
    assert owner.dispatch(0.0, 0, 1, dispatch(2, repeatable=True)) == []
    call = owner.tickets[started.ticket].identity
    row = {"call": call, "crashes": ["a/1", "b/1"], "refuted": [], "age_ms": 0}
    actions = owner.learn_crashes(0.1, [cast("Any", row)])
    assert QuarantineCalls([call]) in actions
    assert CancelCall(started.ticket, HELD) in actions
    assert said(actions) == [(2, "Refusal", "no")]
    assert said(owner.dispatch(0.2, 0, 1, dispatch(3))) == [(3, "Refusal", "no")]
    assert said(owner.dispatch(0.2, 0, 1, dispatch(4, path="/depo/y"))) == []


def test_a_call_at_work_that_may_not_be_repeated_keeps_its_chance_of_an_answer() -> None:
    owner = make()
    (started,) = owner.dispatch(0.0, 0, 1, dispatch(1))
    call = owner.tickets[started.ticket].identity
    row = {"call": call, "crashes": ["a/1", "b/1"], "refuted": [], "age_ms": 0}
    assert owner.learn_crashes(0.1, [cast("Any", row)]) == [QuarantineCalls([call])]


def test_an_ingress_that_connects_is_told_which_calls_end_upstreams() -> None:
    owner = make()
    row = {"call": "x", "crashes": ["a/1", "b/1"], "refuted": [], "age_ms": 0}
    owner.learn_crashes(0.1, [cast("Any", row)])
    assert kinds(owner.hello(0.2, 2, hello("in-2", 1))) == ["Report", "Crashes"]


def test_an_answer_with_an_error_refutes_no_crash() -> None:
    """An upstream that gives up at the deadline has not shown that it can run the call."""
    owner = make()
    for seq, status in ((1, 504), (2, 200)):
        (started,) = owner.dispatch(0.0, 0, 1, dispatch(seq))
        call = owner.tickets[started.ticket].identity
        owner.quarantine.learned(0.0, [{**EMPTY, "call": call, "crashes": ["a/1"]}])
        owner.finished(0.1, started.ticket, Complete(status, [], b""))
        assert owner.quarantine.is_suspect(call) is (status == 504)
