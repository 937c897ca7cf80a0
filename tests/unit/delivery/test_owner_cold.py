"""What an owner does while its upstream is cold, and after an evacuation.

Guards against quarantining calls for crashes that overload of a cold upstream has caused.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from foldhoist.admission.cold import ColdRate
from foldhoist.admission.due import DueQueue
from foldhoist.admission.slots import QueueLimits
from foldhoist.delivery.dispatch import Sample, SendTo, StartCall
from foldhoist.delivery.owner import Owner
from foldhoist.delivery.upstream_status import EVACUATED
from foldhoist.quarantine.table import Quarantine
from tests.unit.delivery.test_owner import dispatch, hello

if TYPE_CHECKING:
    from foldhoist.delivery.dispatch import Action
    from foldhoist.schema.messages import Announced

RATE = ColdRate(8.0, 3.0)
"""Call rate of the cold upstreams in these tests."""


def make(name: str, quarantine: Quarantine) -> Owner:
    queue = DueQueue(QueueLimits(30, 60, 0, 8))
    owner = Owner(name, "depo", QueueLimits(30, 60, 0, 8), 600.0, queue, None, quarantine)
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
    """Send the same call `calls` times; return the tickets of those that start."""
    started: list[int] = []
    for seq in range(calls):
        number = int(now * 1000) * 100 + seq
        for action in owner.dispatch(now, 0, 1, dispatch(number, repeatable=True)):
            if isinstance(action, StartCall):
                started.append(action.ticket)
    return started


def states(actions: list[Action]) -> list[Any]:
    """Return the states of the upstream that are reported."""
    bodies = [action.frame.body for action in actions if isinstance(action, SendTo)]
    return [body["load"]["state"] for body in bodies if "load" in body]


def test_crash_of_an_overloaded_cold_upstream_suspects_no_calls() -> None:
    quarantines = [Quarantine("a"), Quarantine("b")]
    for quarantine in quarantines:
        owner = make("depo-1", quarantine)
        owner.announce(0.0, announced())
        running = send(owner, 1.0, 24)
        assert len(running) == 24
        owner.sampled(1.1, Sample(100, 3.0))
        owner.upstream_crashed(1.2, running)
        assert owner.count.overloaded == 1
        assert not quarantine.rows(1.2, own=True)
        assert not quarantine.is_suspect(owner.tickets[running[0]].identity)


def test_crash_of_a_cold_upstream_within_its_rate_suspects_the_running_calls() -> None:
    quarantine = Quarantine("a")
    owner = make("depo-1", quarantine)
    owner.announce(0.0, announced(cold_ms=3000))
    running = send(owner, 1.0, 24)
    assert len(running) == RATE.per_s
    owner.upstream_crashed(1.2, running)
    assert owner.count.overloaded == 0
    assert quarantine.is_suspect(owner.tickets[running[0]].identity)


def test_changes_between_cold_and_warm_are_reported() -> None:
    owner = make("depo-1", Quarantine())
    owner.announce(0.0, announced())
    assert states(owner.sampled(1.0, Sample(0, 2.0))) == ["cold"]
    assert states(owner.announced_again(1.5, 0.0)) == []
    assert states(owner.tick(2.9)) == []
    assert states(owner.tick(3.0)) == ["warm"]


def test_upstream_is_assumed_cold_after_an_evacuation_until_sampled() -> None:
    owner = make("depo-1", Quarantine())
    owner.announce(0.0, announced())
    assert states(owner.set_leaving(EVACUATED)) == ["leaving"]
    assert send(owner, 1.0, 3) == []
    assert states(owner.end_evacuation(10.0))[-1] == "cold"
    assert len(send(owner, 10.1, 24)) == RATE.per_s
    assert states(owner.sampled(10.2, Sample(100, 0.0)))[0] == "warm"
