"""Tests of the owner's side of delivery."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from foldhoist.admission.body_memory import BodyMemory
from foldhoist.admission.slots import QueueLimits
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
from foldhoist.quarantine.table import QUARANTINED

if TYPE_CHECKING:
    import pytest

    from foldhoist.schema.messages import Suspect

EMPTY: Suspect = {"call": "", "crashes": [], "refuted": [], "age_ms": 0}
ANSWER = Complete(200, [], b"x" * 1000)


def make(slots: int = 2) -> Owner:
    owner = Owner("depo-1", "depo", QueueLimits(slots, 10, 0, 1), 600.0)
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


def sent_results(actions: list[Any]) -> list[tuple[int, str, Any]]:
    found = []
    for action in actions:
        if isinstance(action, SendTo):
            body: Any = action.frame.body
            found.append((body.get("seq", 0), action.frame.kind, body.get("ran", "")))
    return found


def test_newer_connection_replaces_the_older_one() -> None:
    owner = make()
    assert CloseLink(1) in owner.hello(0.1, 2, hello("in-1", 2))
    assert owner.dispatch(0.2, 0, 1, dispatch(1)) == []
    assert owner.hello(0.3, 3, hello("in-1", 1)) == [CloseLink(3)]
    assert owner.count.fenced == 2


def test_unknown_call_did_not_run_and_one_with_a_dropped_result_may_have() -> None:
    owner = make()
    assert sent_results(owner.fate(0.1, 1, {"seqs": [7]})) == [(7, "Refusal", "no")]
    for seq in range(1, peers_module.MAX_KEPT_RESULTS + 10):
        (start,) = owner.dispatch(0.2, 0, 1, dispatch(seq))
        assert isinstance(start, StartCall)
        owner.finished(0.3, start.ticket, ANSWER)
    assert sent_results(owner.fate(0.4, 1, {"seqs": [1]})) == [(1, "Refusal", "maybe")]
    newest = peers_module.MAX_KEPT_RESULTS + 9
    assert sent_results(owner.fate(0.4, 1, {"seqs": [newest]})) == [(newest, "Answer", "")]


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


def test_acknowledged_results_are_dropped() -> None:
    owner = make()
    (start,) = owner.dispatch(0.2, 0, 1, dispatch(1))
    assert isinstance(start, StartCall)
    owner.finished(0.3, start.ticket, ANSWER)
    owner.dispatch(0.4, 0, 1, dispatch(2, acked=2))
    assert len(owner._peers["in-1"].kept) == 0


def test_withdrawn_call_is_refused_while_waiting_and_cancelled_while_running() -> None:
    owner = make(slots=1)
    (start,) = owner.dispatch(0.1, 0, 1, dispatch(1))
    assert owner.dispatch(0.1, 0, 1, dispatch(2)) == []
    assert sent_results(owner.withdraw(0.2, 1, {"seq": 2})) == [(2, "Refusal", "no")]
    assert isinstance(start, StartCall)
    assert owner.withdraw(0.2, 1, {"seq": 1}) == [CancelCall(start.ticket)]
    ended = owner.finished(0.3, start.ticket, Incomplete(True, "cancelled"))
    assert sent_results(ended) == [(1, "Refusal", "maybe")]


def test_call_that_was_not_sent_to_the_upstream_did_not_run() -> None:
    owner = make()
    (start,) = owner.dispatch(0.1, 0, 1, dispatch(1))
    assert isinstance(start, StartCall)
    ended = owner.finished(0.2, start.ticket, Incomplete(False, "upstream-unreachable"))
    assert sent_results(ended) == [(1, "Refusal", "no")]


def reached(actions: list[Any]) -> list[bool]:
    frames = [action.frame for action in actions if isinstance(action, SendTo)]
    return [frame.body.get("reached", False) for frame in frames if frame.kind == "Refusal"]


def test_refusal_states_whether_the_upstream_received_the_call() -> None:
    for result, received in (
        (Shed(0.1), True),
        (Replaced(), True),
        (Incomplete(False, "upstream-unreachable"), False),
    ):
        owner = make()
        (start,) = owner.dispatch(0.1, 0, 1, dispatch(1))
        assert isinstance(start, StartCall)
        assert reached(owner.finished(0.2, start.ticket, result)) == [received]
    owner = make()
    owner.set_leaving("drain")
    assert reached(owner.dispatch(0.1, 0, 1, dispatch(2))) == [False]


def test_replaced_upstream_gets_no_calls_until_the_new_incarnation_is_announced() -> None:
    """Guards against using up the retry budget on calls that another incarnation rejects."""
    owner = make()
    owner.announce(0.0, announced(instance="one"))
    (start,) = owner.dispatch(0.1, 0, 1, dispatch(1))
    owner.set_queue_limits(0.1, QueueLimits(1, 10, 0, 1))
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


def test_upstream_gets_calls_again_once_it_is_no_longer_replaced() -> None:
    owner = make()
    owner.announce(0.0, announced(instance="one"))
    (start,) = owner.dispatch(0.1, 0, 1, dispatch(1))
    assert isinstance(start, StartCall)
    owner.finished(0.2, start.ticket, Replaced())
    assert owner.leaving
    assert len(sent_results(owner.clear_leaving(REPLACED))) == 1
    assert isinstance(owner.dispatch(0.3, 0, 1, dispatch(2))[-1], StartCall)


def test_waiting_calls_of_a_lost_ingress_are_dropped_and_reported_as_not_run() -> None:
    owner = make(slots=1)
    owner.dispatch(0.1, 0, 1, dispatch(1))
    owner.dispatch(0.1, 0, 1, dispatch(2, budget_ms=60_000))
    owner.link_lost(0.2, 1)
    owner.tick(5.0)
    assert owner.queue.queued == 0
    owner.hello(5.1, 2, hello("in-1", 2))
    assert sent_results(owner.fate(5.2, 2, {"seqs": [2]})) == [(2, "Refusal", "no")]


def test_upstream_is_leaving_until_every_source_is_cleared() -> None:
    owner = make()
    assert len(sent_results(owner.set_leaving("host-list"))) == 1
    owner.set_leaving("drain")
    assert sent_results(owner.dispatch(0.1, 0, 1, dispatch(1))) == [(1, "Refusal", "no")]
    owner.clear_leaving("host-list")
    assert owner.leaving
    owner.clear_leaving("drain")
    assert not owner.leaving


def reported_slots(actions: list[Any]) -> list[tuple[int, int]]:
    """Return connection and slots of each load report."""
    sent = [each for each in actions if isinstance(each, SendTo) and each.frame.kind == "Report"]
    return [(each.link, cast("Any", each.frame.body)["load"]["slots"]) for each in sent]


def test_changed_slots_are_reported_to_connected_ingresses() -> None:
    """Guards against ingresses that assume a single slot and send their calls elsewhere."""
    owner = make(slots=1)
    owner.hello(0.0, 2, hello("in-2", 1))
    assert reported_slots(owner.set_queue_limits(0.1, QueueLimits(12, 10, 0, 1))) == [
        (1, 12),
        (2, 12),
    ]
    assert owner.set_queue_limits(0.2, QueueLimits(12, 20, 0, 1)) == []


def test_announced_slots_are_reported() -> None:
    owner = make(slots=1)
    actions = owner.announce(0.1, announced(slots=10))
    assert reported_slots(actions) == [(1, 10)]
    assert owner.announce(0.2, announced(slots=10)) == []


def test_slots_lowered_by_the_concurrency_limit_are_reported() -> None:
    owner = make(slots=1)
    owner.announce(0.1, announced(slots=5))
    now, seq, changes = 1.0, 0, []
    while not changes:
        for concurrent in (1, 1, 1, 1, 5):
            starts = []
            for _ in range(concurrent):
                seq += 1
                starts += owner.dispatch(now, 0, 1, dispatch(seq))
            now += 0.1 if concurrent == 1 else 0.3
            for start in starts:
                changes += reported_slots(owner.finished(now, start.ticket, Complete(200, [], b"")))
        assert seq < 1000
    assert changes[0] == (1, 4)


def test_waiting_calls_start_when_slots_are_added() -> None:
    owner = make(slots=1)
    owner.dispatch(0.1, 0, 1, dispatch(1))
    assert owner.dispatch(0.1, 0, 1, dispatch(2)) == []
    started = owner.set_queue_limits(0.2, QueueLimits(2, 10, 0, 1))
    assert [each for each in started if isinstance(each, StartCall)]
    assert owner.queue.queued == 0


def test_pace_change_is_reported_to_the_most_recent_ingresses_only() -> None:
    owner = make()
    for link in range(2, MAX_PACE_REPORTS + 10):
        owner.hello(0.0, link, hello(f"in-{link}", 1))
        (start,) = owner.dispatch(link / 100, 0, link, dispatch(1))
        assert isinstance(start, StartCall)
        owner.finished(link / 100, start.ticket, Complete(200, [], b"", 100))
    links = [
        action.link for action in owner.sampled(1.0, Sample(500)) if isinstance(action, SendTo)
    ]
    assert links == list(range(MAX_PACE_REPORTS + 9, 9, -1))
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


def test_call_whose_body_exceeds_the_memory_limit_is_refused_as_not_run() -> None:
    bodies = BodyMemory(100_000)
    owner = Owner("depo-1", "depo", QueueLimits(1, 10, 0, 1), 600.0, bodies=bodies)
    owner.hello(0.0, 1, hello("in-1", 1))
    owner.dispatch(0.0, 0, 1, dispatch(1, body=b"x" * 60_000))
    owner.dispatch(0.0, 0, 1, dispatch(2, body=b"x" * 30_000))
    assert sent_results(owner.dispatch(0.0, 0, 1, dispatch(3, body=b"x" * 30_000))) == [
        (3, "Refusal", "no")
    ]
    assert owner.refusals.take()[-1].reason == "bodies-full"
    assert bodies.used == 90_000
    owner.finished(0.1, 1, ANSWER)
    owner.withdraw(0.1, 1, {"seq": 2})
    owner.finished(0.2, 2, Incomplete(True, "cancelled"))
    assert bodies.used == 0
    assert owner.calls == 0


def test_new_incarnation_is_not_leaving_because_the_previous_one_was() -> None:
    """Guards against refusing the new incarnation's calls by the previous one's deadline."""
    owner = make()
    upstream = {"instance": "i-1", "service": "depo", "slots": 4, "sequence": 1, "cold_ms": 0}
    for now, born_ms, state in ((0.0, 1000, "ready"), (1.0, 1000, "leaving"), (9.0, 9000, "ready")):
        announced = {**upstream, "born_ms": born_ms, "state": state}
        owner.announce(now, cast("Any", announced))
    assert [type(each) for each in owner.dispatch(10.0, 0, 1, dispatch(1))] == [StartCall]


def kinds(actions: list[Any]) -> list[str]:
    return [each.frame.kind for each in actions if isinstance(each, SendTo)]


def test_crash_is_reported_before_the_refusal_of_its_calls() -> None:
    owner = make()
    (started,) = owner.dispatch(0.0, 0, 1, dispatch(1))
    actions = owner.upstream_crashed(0.1, [started.ticket])
    actions += owner.finished(0.1, started.ticket, Incomplete(True, "upstream-connection-lost"))
    assert kinds(actions) == ["Crashes", "Refusal"]
    (suspect,) = actions[0].frame.body["suspects"]
    assert suspect["crashes"]
    assert owner.count.crashes == 1


def test_quarantined_calls_are_refused_on_arrival_and_waiting_and_cancelled_running() -> None:
    """The crashes come from another daemon, while one call runs and one waits."""
    owner = make(slots=1)
    (started,) = owner.dispatch(0.0, 0, 1, dispatch(1, repeatable=True))
    assert owner.dispatch(0.0, 0, 1, dispatch(2, repeatable=True)) == []
    call = owner.tickets[started.ticket].identity
    row = {"call": call, "crashes": ["a/1", "b/1"], "refuted": [], "age_ms": 0}
    actions = owner.learn_crashes(0.1, [cast("Any", row)])
    assert QuarantineCalls([call]) in actions
    assert CancelCall(started.ticket, QUARANTINED) in actions
    assert sent_results(actions) == [(2, "Refusal", "no")]
    assert sent_results(owner.dispatch(0.2, 0, 1, dispatch(3))) == [(3, "Refusal", "no")]
    assert sent_results(owner.dispatch(0.2, 0, 1, dispatch(4, path="/depo/y"))) == []


def test_running_call_that_is_not_repeatable_is_not_cancelled_by_quarantine() -> None:
    owner = make()
    (started,) = owner.dispatch(0.0, 0, 1, dispatch(1))
    call = owner.tickets[started.ticket].identity
    row = {"call": call, "crashes": ["a/1", "b/1"], "refuted": [], "age_ms": 0}
    assert owner.learn_crashes(0.1, [cast("Any", row)]) == [QuarantineCalls([call])]


def test_connecting_ingress_receives_the_suspected_calls() -> None:
    owner = make()
    row = {"call": "x", "crashes": ["a/1", "b/1"], "refuted": [], "age_ms": 0}
    owner.learn_crashes(0.1, [cast("Any", row)])
    assert kinds(owner.hello(0.2, 2, hello("in-2", 1))) == ["Report", "Crashes"]


def test_server_error_does_not_refute_a_crash() -> None:
    """A 504 does not show that the upstream can run the call to its end."""
    owner = make()
    for seq, status in ((1, 504), (2, 200)):
        (started,) = owner.dispatch(0.0, 0, 1, dispatch(seq))
        call = owner.tickets[started.ticket].identity
        owner.quarantine.merge(0.0, [{**EMPTY, "call": call, "crashes": ["a/1"]}])
        owner.finished(0.1, started.ticket, Complete(status, [], b""))
        assert owner.quarantine.is_suspect(call) is (status == 504)


def test_a_withdrawal_of_waiting_calls_leaves_a_running_one() -> None:
    owner = make(slots=1)
    owner.dispatch(0.2, 0, 1, dispatch(1))
    owner.dispatch(0.2, 0, 1, dispatch(2))
    assert owner.withdraw(0.3, 1, {"seq": 1, "only_waiting": True}) == []
    withdrawn = owner.withdraw(0.3, 1, {"seq": 2, "only_waiting": True})
    assert sent_results(withdrawn) == [(2, "Refusal", "no")]
    assert owner.calls == 1


def test_a_call_is_not_started_after_the_last_start_that_its_ingress_allows() -> None:
    """The ingress stops: a call that starts late at a busy upstream would be cut off."""
    owner = make(slots=1)
    (first,) = owner.dispatch(0.2, 0, 1, dispatch(1))
    assert isinstance(first, StartCall)
    owner.dispatch(0.2, 0, 1, dispatch(2, start_ms=300))
    ended = owner.finished(0.51, first.ticket, ANSWER)
    assert sent_results(ended) == [(1, "Answer", ""), (2, "Refusal", "no")]
    assert not [each for each in ended if isinstance(each, StartCall)]


def test_a_stopping_owner_refuses_the_calls_that_still_wait() -> None:
    """They waited until the process ended, and their callers were told that they may have run."""
    owner = make(slots=1)
    owner.dispatch(0.2, 0, 1, dispatch(1, budget_ms=60_000))
    owner.dispatch(0.2, 0, 1, dispatch(2, budget_ms=60_000))
    owner.status.begin_shutdown(5.0, 0.01)
    assert sent_results(owner.tick(3.9)) == []
    assert sent_results(owner.tick(4.1)) == [(2, "Refusal", "no")]
    assert owner.calls == 1
