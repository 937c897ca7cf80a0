"""What an owner does while its upstream is cold, and after an evacuation.

After all hosts had lost power, five of the six upstreams of a service ended within 0.6 s, each cold
and with 24 calls sent in a second where 8 are borne. A call that many callers had sent was at work
on two of them, and 69 daemons refused it for 10 minutes. It had ended nothing: the load had.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from foldhoist.admission.cold import ColdRate
from foldhoist.admission.due import DueQueue
from foldhoist.admission.slots import Shape
from foldhoist.delivery.dispatch import Sample, SendTo, StartCall
from foldhoist.delivery.owner import Owner
from foldhoist.delivery.upstream_status import EVACUATED
from foldhoist.quarantine.table import Quarantine
from tests.unit.delivery.test_owner import dispatch, hello

if TYPE_CHECKING:
    from foldhoist.delivery.dispatch import Action
    from foldhoist.schema.messages import Announced

RATE = ColdRate(8.0, 3.0)
"""What the upstreams of these tests bear."""


def make(name: str, quarantine: Quarantine) -> Owner:
    queue = DueQueue(Shape(30, 60, 0, 8))
    owner = Owner(name, "depo", Shape(30, 60, 0, 8), 600.0, queue, None, quarantine)
    owner.hello(0.0, 1, hello("in-1", 1))
    owner.set_cold_rate(-100.0, RATE)
    return owner


def announced(cold_ms: int = 0) -> Announced:
    return {
        "instance": "i-1",
        "service": "depo",
        "slots": 40,
        "state": "ready",
        "sequence": 1,
        "born_ms": 0,
        "cold_ms": cold_ms,
    }


def send(owner: Owner, now: float, calls: int) -> list[int]:
    """Send the same call some times; return the numbers of those that start."""
    started: list[int] = []
    for seq in range(calls):
        number = int(now * 1000) * 100 + seq
        for action in owner.dispatch(now, 0, 1, dispatch(number, repeatable=True)):
            if isinstance(action, StartCall):
                started.append(action.ticket)
    return started


def states(actions: list[Action]) -> list[Any]:
    """Return the states of the upstream that are told."""
    told = [action.frame.body for action in actions if isinstance(action, SendTo)]
    return [body["load"]["state"] for body in told if "load" in body]


def test_an_end_by_more_than_it_bears_is_no_evidence_against_calls() -> None:
    quarantines = [Quarantine("a"), Quarantine("b")]
    for quarantine in quarantines:
        owner = make("depo-1", quarantine)
        owner.announce(0.0, announced())
        at_work = send(owner, 1.0, 24)
        assert len(at_work) == 24
        owner.sampled(1.1, Sample(100, 3.0))
        owner.upstream_ended(1.2, at_work)
        assert owner.count.overloaded == 1
        assert not quarantine.rows(1.2, own=True)
        assert not quarantine.is_suspect(owner.tickets[at_work[0]].identity)


def test_an_end_within_what_it_bears_still_counts_against_them() -> None:
    quarantine = Quarantine("a")
    owner = make("depo-1", quarantine)
    owner.announce(0.0, announced(cold_ms=3000))
    at_work = send(owner, 1.0, 24)
    assert len(at_work) == RATE.per_s
    owner.upstream_ended(1.2, at_work)
    assert owner.count.overloaded == 0
    assert quarantine.is_suspect(owner.tickets[at_work[0]].identity)


def test_ingresses_are_told_when_it_turns_cold_and_when_it_is_warm_again() -> None:
    owner = make("depo-1", Quarantine())
    owner.announce(0.0, announced())
    assert states(owner.sampled(1.0, Sample(0, 2.0))) == ["cold"]
    assert states(owner.announced_again(1.5, 0.0)) == []
    assert states(owner.tick(2.9)) == []
    assert states(owner.tick(3.0)) == ["warm"]


def test_after_an_evacuation_it_is_cold_until_it_says_otherwise() -> None:
    owner = make("depo-1", Quarantine())
    owner.announce(0.0, announced())
    assert states(owner.set_leaving(EVACUATED)) == ["leaving"]
    assert send(owner, 1.0, 3) == []
    assert states(owner.end_evacuation(10.0))[-1] == "cold"
    assert len(send(owner, 10.1, 24)) == RATE.per_s
    assert states(owner.sampled(10.2, Sample(100, 0.0)))[0] == "warm"
