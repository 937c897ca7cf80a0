"""Tests of the share of repeats among an upstream's recent calls."""

from __future__ import annotations

from foldhoist.delivery.dispatch import Ticket
from foldhoist.delivery.repeats import DECAY_S, StartedRepeats
from foldhoist.delivery.tickets import Tickets
from tests.unit.daemon.calls import dispatch_of


def test_the_share_follows_started_calls() -> None:
    repeats = StartedRepeats()
    assert repeats.share == 0.0
    for number in range(1000):
        repeats.started(number * 0.01, float(number % 4 == 0))
    assert 0.2 < repeats.share < 0.3
    for number in range(1000, 1000 + int(500 * DECAY_S)):
        repeats.started(number * 0.01, 0.0)
    assert repeats.share < 0.01


def test_the_share_is_zero_while_no_call_runs() -> None:
    tickets = Tickets(None)
    number = tickets.add(Ticket("in", {**dispatch_of(), "retried": True}, 0.0))
    tickets.start(number, 0.0)
    assert tickets.repeat_share == 1.0
    tickets.pop(number)
    assert tickets.repeat_share == 0.0


def test_a_dispatched_probability_counts_as_a_share() -> None:
    tickets = Tickets(None)
    tickets.start(tickets.add(Ticket("in", {**dispatch_of(), "repeat_percent": 30}, 0.0)), 0.0)
    assert tickets.repeat_share == 0.3
