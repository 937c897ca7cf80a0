"""An owner applies the signals of its upstream, also after a restart.

Guards against upstreams that get more calls than they take, or calls after they leave.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from foldhoist.admission.due import DueQueue
from foldhoist.admission.rate_limit import LIMITED
from foldhoist.admission.slots import QueueLimits, SlotQueue
from foldhoist.delivery.dispatch import Complete, SendTo, SignalsChanged, StartCall
from foldhoist.delivery.owner import Owner
from foldhoist.delivery.signal_state import (
    AnswerSignals,
    Leaving,
    LimitChanged,
    LimitEnded,
    LimitInvalid,
)
from foldhoist.delivery.upstream_status import EVACUATED
from foldhoist.membership.incarnations import UpstreamIncarnation
from tests.unit.delivery.test_owner import dispatch, hello

if TYPE_CHECKING:
    from foldhoist.delivery.dispatch import Action
    from foldhoist.schema.messages import Announced

LIMITS = QueueLimits(30, 60, 0, 8)
LIMIT = AnswerSignals(5.0)
"""A limit of five calls a second."""
UPDATE: Any = {"signals": {"instance": "i-1", "born_ms": 0, "limit_per_s": 5.0}, "age_ms": 100}


def announced(instance: str = "i-1", **fields: Any) -> Announced:
    plain = {"service": "depo", "slots": 30, "state": "ready", "sequence": 1, "born_ms": 0}
    found: Any = {"instance": instance, "cold_ms": 0, **plain, **fields}
    return found


def make(queue: SlotQueue | DueQueue | None = None, upstream: str = "i-1") -> Owner:
    queue = queue if queue is not None else DueQueue(LIMITS)
    owner = Owner("depo-1", "depo", LIMITS, 600.0, queue)
    owner.hello(0.0, 1, hello("in-1", 1))
    if upstream:
        owner.announce(0.0, announced(upstream))
    return owner


def started(actions: list[Action]) -> list[int]:
    return [action.ticket for action in actions if isinstance(action, StartCall)]


def refusals(actions: list[Action]) -> list[Any]:
    bodies = [action.frame.body for action in actions if isinstance(action, SendTo)]
    return [body for body in bodies if "ran" in body]


def changes(actions: list[Action]) -> list[Any]:
    found = [action.changes for action in actions if isinstance(action, SignalsChanged)]
    return [change for each in found for change in each]


def answer_with(
    owner: Owner, now: float, signals: AnswerSignals = LIMIT, seq: int = 900
) -> list[Action]:
    """Send a call and answer it with these signals."""
    (ticket,) = started(owner.dispatch(now, 0, 1, dispatch(seq)))
    actions = owner.answer_began(now, ticket, signals)
    owner.finished(now, ticket, Complete(200, [], b""))
    return actions


@pytest.mark.parametrize("queue", [DueQueue, SlotQueue])
def test_an_upstream_gets_more_calls_than_it_takes(queue: type[SlotQueue | DueQueue]) -> None:
    """Calls want to start all the time; each is answered at once."""
    owner = make(queue(LIMITS))
    answer_with(owner, 0.0)
    starts = 0
    for step in range(1, 1000):
        now = step / 100
        tickets = started(owner.dispatch(now, 0, 1, dispatch(step))) + started(owner.tick(now))
        starts += len(tickets)
        while tickets:
            tickets = started(owner.finished(now, tickets.pop(), Complete(200, [], b"")))
            starts += len(tickets)
    assert 45 <= starts <= 54


def test_a_call_that_could_start_too_late_waits_for_its_deadline() -> None:
    owner = make()
    answer_with(owner, 0.0)
    asked = [owner.dispatch(0.1, 0, 1, dispatch(seq, budget_ms=900)) for seq in range(1, 9)]
    refused = [body for actions in asked for body in refusals(actions)]
    assert len(refused) == 3
    assert {body["reason"] for body in refused} == {LIMITED}
    assert owner.count.limited == 3
    assert {body["retry_after_ms"] for body in refused} == {1100}
    assert not refusals(owner.dispatch(1.2, 0, 1, dispatch(9, budget_ms=900)))
    (first, *_) = owner.refusals.take()
    assert (first.limit_per_s, first.limit_age_ms) == (5.0, 100)


def test_waiting_calls_outlast_their_deadline_when_the_limit_falls() -> None:
    owner = make()
    answer_with(owner, 0.0, AnswerSignals(20.0))
    for seq in range(1, 11):
        assert not refusals(owner.dispatch(0.01, 0, 1, dispatch(seq, budget_ms=900)))
    (ticket, *_) = started(owner.tick(0.06))
    refused = refusals(owner.answer_began(0.07, ticket, AnswerSignals(2.0)))
    assert len(refused) == 7
    assert owner.queue.queued == 2


def test_a_limit_lasts_longer_than_the_upstream_sends_it() -> None:
    owner = make()
    assert changes(answer_with(owner, 0.0)) == [LimitChanged(5.0, None)]
    assert changes(answer_with(owner, 1.0, AnswerSignals(8.0))) == [LimitChanged(8.0, 5.0)]
    (ended,) = changes(answer_with(owner, 2.0, AnswerSignals(None)))
    assert ended == LimitEnded(8.0, 2.0)
    tickets = [started(owner.dispatch(2.0, 0, 1, dispatch(seq))) for seq in range(10)]
    assert all(tickets)
    assert owner.load()["signals"] == {"instance": "i-1", "born_ms": 0}


def test_an_invalid_limit_ends_or_changes_the_one_before() -> None:
    owner = make()
    answer_with(owner, 0.0)
    (change,) = changes(answer_with(owner, 1.0, AnswerSignals(None, False, "soon")))
    assert change == LimitInvalid("soon")
    assert owner.load()["signals"]["limit_per_s"] == 5.0


def test_an_answer_of_a_former_incarnation_limits_the_next_one() -> None:
    owner = make()
    (ticket,) = started(owner.dispatch(0.0, 0, 1, dispatch(1)))
    owner.announce(0.1, announced("i-2"))
    assert owner.answer_began(0.2, ticket, AnswerSignals(5.0, leaving=True)) == []
    assert "signals" not in owner.load()
    assert not owner.leaving


def test_the_next_incarnation_inherits_a_limit_or_a_leaving() -> None:
    owner = make()
    answer_with(owner, 0.0, AnswerSignals(5.0, leaving=True))
    assert owner.leaving
    owner.announce(1.0, announced("i-2"))
    assert not owner.leaving
    assert not owner.queue.rate.active
    assert "signals" not in owner.load()
    assert started(owner.dispatch(1.0, 0, 1, dispatch(1)))


def test_an_upstream_that_signals_its_departure_is_ready_again_after_a_heartbeat() -> None:
    owner = make()
    found = changes(answer_with(owner, 0.0, AnswerSignals(None, leaving=True)))
    assert found == [Leaving(UpstreamIncarnation("i-1"))]
    owner.announce(0.5, announced(sequence=2))
    (refused,) = refusals(owner.dispatch(0.6, 0, 1, dispatch(1)))
    assert refused["reason"] == "upstream-leaving"
    assert refused["load"]["state"] == "leaving"


@pytest.mark.parametrize("updated_first", [False, True])
def test_a_restarted_owner_sends_freely_to_a_limited_upstream(updated_first: bool) -> None:
    """An ingress sends it the limit, before or after the upstream announces itself."""
    owner = make(upstream="")
    if not updated_first:
        owner.announce(0.0, announced())
    owner.merge_signals(0.0, UPDATE, -0.1)
    if updated_first:
        owner.announce(0.1, announced())
    tickets = [started(owner.dispatch(0.1, 0, 1, dispatch(seq))) for seq in range(10)]
    assert not any(tickets)


def test_older_signals_of_an_ingress_replace_a_newer_answer() -> None:
    owner = make()
    answer_with(owner, 5.0, AnswerSignals(None))
    assert owner.merge_signals(5.05, UPDATE, 0.0) == []
    assert started(owner.dispatch(5.1, 0, 1, dispatch(1)))


def test_a_departure_known_to_one_ingress_is_lost_to_the_signals_of_another() -> None:
    owner = make(upstream="")
    signals: Any = {**UPDATE["signals"], "leaving": True}
    owner.merge_signals(0.0, {"signals": signals, "age_ms": 900}, 0.0)
    owner.merge_signals(0.0, UPDATE, 0.0)
    owner.announce(0.1, announced())
    assert owner.leaving


def test_pending_signals_of_unknown_incarnations_grow_without_bound() -> None:
    owner = make()
    for number in range(100):
        signals: Any = {**UPDATE["signals"], "instance": f"x-{number}"}
        owner.merge_signals(0.0, {"signals": signals, "age_ms": 0}, 0.0)
    assert len(owner.status.signals._pending) <= 16


def test_starts_count_from_the_last_answer_without_a_limit() -> None:
    """An upstream that became slow as it set its limit said so late, and got too many calls.

    It answers 60 calls without a limit by 0.5 s, sets one, and answers the next one at 2.0 s.
    Calls want to start all the time.
    """
    owner = make(DueQueue(LIMITS))
    starts: list[float] = []
    for number in range(60):
        now = 0.008 * number
        starts.append(now)
        answer_with(owner, now, AnswerSignals(None), seq=number)
    slow = started(owner.dispatch(0.6, 0, 1, dispatch(100)))
    starts.append(0.6)
    owner.answer_began(2.0, slow[0], LIMIT)
    owner.finished(2.0, slow[0], Complete(200, [], b""))
    for number in range(1000, 1500):
        now = 2.0 + (number - 1000) * 0.02
        actions = owner.dispatch(now, 0, 1, dispatch(number, budget_ms=200)) + owner.tick(now)
        for ticket in started(actions):
            starts.append(now)
            owner.finished(now, ticket, Complete(200, [], b""))
    for at in [each for each in starts if each >= 3.5]:
        got = sum(1 for each in starts if at - 4.0 < each <= at)
        assert got <= 1.5 * 5.0 * 4.0 + 5, at
    assert starts[-1] > 8.0


def test_a_stop_limits_starts_whatever_the_upstream_announces_meanwhile() -> None:
    """A new incarnation, or the end of an evacuation, lifted the limit of a process that stops."""
    owner = make()
    owner.status.begin_shutdown(5.0, 0.01)
    owner.announce(1.0, announced("i-2", born_ms=1))
    owner.set_leaving(EVACUATED)
    owner.end_evacuation(1.5)
    assert owner.status.last_start_at == 4.0
