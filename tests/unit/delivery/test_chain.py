"""Tests that repeats along a chain of services stay within their allowance at the upstreams.

Guards against retry amplification: the calls of a repeated run are repeats where they arrive, and
must cost retry budget there instead of earning it.
"""

from __future__ import annotations

import random
from functools import partial
from itertools import product
from typing import TYPE_CHECKING

import pytest

from foldhoist.delivery.dispatch import Complete, Result, Shed
from tests.unit.delivery.chain import Chain, Deployment

if TYPE_CHECKING:
    from collections.abc import Callable

OUTAGE_S = (12.0, 24.0)
"""Start and end of the outage of the last service, seconds."""


def in_outage(now: float) -> bool:
    return OUTAGE_S[0] <= now < OUTAGE_S[1]


def sheds_all(now: float, rng: random.Random) -> Result:
    return Shed(0.0) if in_outage(now) else Complete(200, [], b"")


def fails_all(now: float, rng: random.Random) -> Result:
    return Complete(500 if in_outage(now) else 200, [], b"")


def fails_some(now: float, rng: random.Random) -> Result:
    return Complete(500 if in_outage(now) and rng.random() < 0.4 else 200, [], b"")


LAST_SERVICES: tuple[Callable[[float, random.Random], Result], ...] = (
    sheds_all,
    fails_all,
    fails_some,
)
SHAPES = (Deployment(depth=2, calls=2), Deployment(depth=3), Deployment(depth=4))


def test_repeats_of_each_service_stay_within_the_allowance() -> None:
    over: dict[str, float] = {}
    for deployment, last in product(SHAPES, LAST_SERVICES):
        chain = Chain(deployment, last, seed=3)
        chain.run(30.0)
        for service, seen in chain.arrivals.items():
            assert seen.repeats
            most = seen.most_over
            if most > 0.0:
                over[f"{service} of {deployment.depth}, {last.__name__}"] = round(most, 1)
    assert not over


@pytest.mark.parametrize("last", [sheds_all, fails_all])
def test_a_chain_of_29_services_stays_within_the_allowance(
    last: Callable[[float, random.Random], Result],
) -> None:
    """Guards against amplification along a long chain with few calls at each of 58 hosts."""
    deployment = Deployment(depth=29, hosts=2, per_s=20.0)
    chain = Chain(deployment, last, seed=3)
    chain.run(30.0)
    assert chain.arrivals["s0"].repeats
    over = {name: seen.most_over for name, seen in chain.arrivals.items()}
    assert max(over.values()) <= 0.0, over


def inject_loss(chain: Chain, rng: random.Random) -> None:
    """Drop a connection, or rarely restart a daemon or let all adopt a configuration."""
    name, target = rng.sample(chain.names, 2)
    drawn = rng.random()
    if drawn < 0.99:
        chain.cut(name, target, rng.choice((0.001, 0.01, 0.05)))
    elif drawn < 0.997:
        chain.restart(name, 0.3)
    else:
        chain.reconfigure()


@pytest.mark.parametrize("seed", range(6))
def test_repeats_stay_within_the_allowance_when_connections_and_daemons_are_lost(seed: int) -> None:
    """Repeats stay within the allowance when frames are lost and outcomes are asked for."""
    deployment = Deployment(unsafe_share=0.4)
    chain = Chain(deployment, (sheds_all, fails_some)[seed % 2], seed)
    rng = random.Random(seed)
    for step in range(24_000):
        chain.after(step * 0.001, partial(inject_loss, chain, rng))
    chain.run(30.0)
    over = {name: seen.most_over for name, seen in chain.arrivals.items()}
    assert all(seen.repeats for seen in chain.arrivals.values())
    assert max(over.values()) <= 0.0, over
