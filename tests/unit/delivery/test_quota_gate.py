"""Tests of credit at an ingress: a call that did not run returns its credit."""

from __future__ import annotations

from typing import Any

from foldhoist.config.fleet import parse_fleet
from foldhoist.customers.keys import digest_of
from foldhoist.delivery.call import OwnerFrame, Reply, SendTo
from foldhoist.delivery.verdict import NotRun
from foldhoist.membership.view import homes, tracked
from tests.unit.delivery.test_ingress import fleet_text, make, refusal, replies, request

KEY = digest_of("k")
CUSTOMER = f"\n[customer huka]\nkeys = {KEY}\nrate_per_s = 1\nburst = 20\nrank = 2\n"


def limited() -> Any:
    """Return an ingress with a customer whose quota servers are other hosts."""
    ingress = make()
    fleet, faults = parse_fleet(fleet_text(3) + CUSTOMER, "x")
    assert not faults
    ingress.intake.adopt(fleet)
    ingress.gate.credits.set_hosts([*fleet["targets"], "me"])
    return ingress


def asked(actions: list[Any]) -> list[SendTo]:
    return [each for each in actions if isinstance(each, SendTo) and each.frame.kind == "CreditAsk"]


def dispatched(actions: list[Any]) -> list[SendTo]:
    return [each for each in actions if isinstance(each, SendTo) and each.frame.kind == "Dispatch"]


def credit(ask: SendTo, granted: int, again_ms: int = 0) -> Any:
    body: Any = ask.frame.body
    reply = {"ask": body["ask"], "known": True, "granted": granted, "again_ms": again_ms}
    return {**reply, "scarce": bool(again_ms)}


def call(ingress: Any, now: float, number: int) -> list[Any]:
    found: list[Any] = ingress.arrive(now, number, request(api_key=KEY))
    return found


def test_a_call_waits_for_credit_and_goes_on_with_it() -> None:
    ingress = limited()
    actions = call(ingress, 1.0, 1)
    (ask,) = asked(actions)
    assert not dispatched(actions)
    assert asked(call(ingress, 1.0, 2)) == []
    (sent,) = dispatched(ingress.credited(1.01, credit(ask, 1)))
    assert sent.frame.body["customer"] == "huka"
    assert sent.frame.body["rank"] == 2 * 4
    assert "scarce" not in sent.frame.body


def test_a_call_over_quota_is_refused_and_no_credit_is_asked_for_a_while() -> None:
    ingress = limited()
    (ask,) = asked(call(ingress, 1.0, 1))
    (verdict,) = replies(ingress.credited(1.01, credit(ask, 0, again_ms=2000)))
    assert (verdict.reason, verdict.status) == ("over-quota", 429)
    assert 2.0 <= verdict.retry_after_s <= 3.0
    again = call(ingress, 1.05, 2)
    assert asked(again) == []
    assert replies(again)[0].status == 429
    assert asked(call(ingress, 1.4, 3))


def test_credit_of_a_call_that_did_not_run_is_used_by_the_next() -> None:
    ingress = limited()
    (ask,) = asked(call(ingress, 1.0, 1))
    waiting = dispatched(ingress.credited(1.01, credit(ask, 1)))
    ended: list[Any] = []
    while waiting:
        one = waiting.pop()
        actions = ingress.refusal(1.02, one.target, refusal(one.frame.body["seq"], "no"))
        waiting += dispatched(actions)
        ended += [each for each in actions if isinstance(each, Reply)]
    assert isinstance(ended[0].verdict, NotRun)
    assert dispatched(call(ingress, 1.1, 2))
    assert asked(call(ingress, 1.1, 3))


def refuse_all(ingress: Any, now: float, sent: list[SendTo]) -> None:
    """Refuse a call at every owner until it ends without having run."""
    waiting = list(sent)
    while waiting:
        one = waiting.pop()
        waiting += dispatched(
            ingress.refusal(now, one.target, refusal(one.frame.body["seq"], "no"))
        )


def test_credit_that_calls_return_again_and_again_expires() -> None:
    """Guards against calls that are refused for want of room and gather credit meanwhile."""
    ingress = limited()
    (ask,) = asked(call(ingress, 1.0, 1))
    refuse_all(ingress, 1.02, dispatched(ingress.credited(1.01, credit(ask, 1))))
    for number in range(2, 10):
        now = 1.0 + number / 10
        sent = dispatched(call(ingress, now, number))
        assert bool(sent) == (now < 1.5)
        refuse_all(ingress, now, sent)


def test_returned_credit_does_not_outlive_its_grant_beside_newer_credit() -> None:
    ingress = limited()
    (ask,) = asked(call(ingress, 1.0, 1))
    old = dispatched(ingress.credited(1.01, credit(ask, 1)))
    (ask,) = asked(call(ingress, 1.4, 2))
    ingress.credited(1.41, credit(ask, 2))
    refuse_all(ingress, 1.45, old)
    assert dispatched(call(ingress, 1.6, 3))
    assert asked(call(ingress, 1.6, 4))


def test_credit_of_a_call_that_may_have_run_is_spent() -> None:
    ingress = limited()
    (ask,) = asked(call(ingress, 1.0, 1))
    (sent,) = dispatched(ingress.credited(1.01, credit(ask, 1)))
    ingress.caller_disconnected(1.02, 1)
    assert isinstance(sent.frame, OwnerFrame)
    assert asked(call(ingress, 1.1, 2))


def test_a_quota_server_that_does_not_answer_is_notified_and_the_next_one_asked() -> None:
    ingress = limited()
    (ask,) = asked(call(ingress, 1.0, 1))
    notified, again = asked(ingress.tick(1.3))
    assert (notified.target, notified.frame.body["elsewhere"]) == (ask.target, True)
    assert again.target != ask.target
    actions = ingress.tick(1.6)
    (verdict,) = replies(actions)
    assert (verdict.reason, verdict.status) == ("quota-unknown", 503)


def test_a_host_that_does_not_know_the_others_uses_no_share_of_its_own() -> None:
    """Guards against a daemon that has just started and takes a whole quota for its share."""
    ingress = make()
    fleet, _ = parse_fleet(fleet_text(3) + CUSTOMER, "x")
    ingress.intake.adopt(fleet)
    for number in range(1, 30):
        (verdict,) = replies(call(ingress, float(number), number))
        assert (verdict.reason, verdict.status) == ("quota-unknown", 503)


def test_a_caller_that_disconnects_while_its_call_waits_uses_no_credit() -> None:
    ingress = limited()
    (ask,) = asked(call(ingress, 1.0, 1))
    ingress.caller_disconnected(1.005, 1)
    assert dispatched(ingress.credited(1.01, credit(ask, 1))) == []
    assert dispatched(call(ingress, 1.02, 2))


def test_waiting_calls_run_when_the_quota_is_removed() -> None:
    ingress = limited()
    call(ingress, 1.0, 1)
    fleet, _ = parse_fleet(
        fleet_text(3) + CUSTOMER.replace("rate_per_s = 1", "rate_per_s = 0"), "x"
    )

    actions = ingress.adopt(1.1, 2, fleet, tracked(fleet, "me", "a"), homes(fleet))
    assert dispatched(actions)


def test_without_a_key_nothing_is_attempted() -> None:
    ingress = limited()
    (verdict,) = replies(ingress.arrive(1.0, 1, request()))
    assert (verdict.reason, verdict.status) == ("no-api-key", 401)


def test_a_host_does_not_lend_the_time_in_which_it_used_its_own_share() -> None:
    """Guards against a share of a quota that is both lent and used by the host itself."""
    ingress = limited()
    call(ingress, 1.0, 1)
    _, second = asked(ingress.tick(1.3))
    ingress.tick(1.6)
    for name in ingress._connected - {second.target}:
        ingress.link_lost(1.7, name)
    for number in range(2, 34):
        now = 1.7 + number / 10
        if asked(actions := call(ingress, now, number)):
            break
    (ask,) = asked(actions)
    assert ask.target == second.target
    assert ask.frame.body["lends_ms"] <= 200
