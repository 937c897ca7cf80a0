"""An upstream that is cold gets no more calls a second than it bears then.

When a data centre came back, or all hosts after a loss of power, every upstream was cold for 3 s.
Each was given as many calls as it had slots for: 24 in a second, where 20 are allowed and 8 are
borne. Five of the six upstreams of a service ended within 0.6 s, were back 3 s later, cold again,
and ended again, for 20 s; calls that happened to be at work on two of them were refused everywhere.
How long an upstream is cold was decoded from its announcements, and read by nobody.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.adapter.cluster import Answer, Cluster, played, route, until

BORNE_PER_S = 8.0
"""Calls a second that a cold upstream bears."""
ALLOWED_IN_A_SECOND = 20
"""Calls that a cold upstream may get in any second: 1.5 times what it bears, and 8."""
COLD = {"cold_period_s": 3.0, "cold_per_s": BORNE_PER_S}
"""What the configuration says of each service."""
COLD_S = 60.0
"""Time for which an upstream is cold in a test that does not wait for its end, seconds."""
BURST = 30
"""Calls that come to each host at once."""
PAUSE_S = 0.3
"""Time between two bursts, seconds."""


async def start(cluster: Cluster, upstreams: int) -> None:
    """Start a host that calls, and upstreams that end when they get too much while cold."""
    await cluster.add("a", service="web")
    for number in range(upstreams):
        name = f"s{number}"
        await cluster.add(name, data_centre="one" if number % 2 else "two")
        cluster.targets[name].bears_in_a_second = ALLOWED_IN_A_SECOND
        cluster.targets[name].work_s = 0.02
    await cluster.configure(1, [route(attempts=2)], **COLD)
    await cluster.settle(1)


async def turn_cold(cluster: Cluster, name: str, cold_s: float = COLD_S) -> None:
    """Let an upstream be cold, and announce it."""
    cluster.targets[name].turn_cold(cold_s)
    await cluster.beat(name, status={"cold_remaining_s": cold_s})


async def burst(cluster: Cluster, hosts: list[str], path: str = "/a/popular") -> list[Answer]:
    """Send the same call many times at once at each host."""
    return await asyncio.gather(*(cluster.ask(name, path) for name in hosts for _ in range(BURST)))


def shops(cluster: Cluster) -> list[str]:
    return [name for name, target in cluster.targets.items() if target.service == "shop"]


@played
async def test_a_cold_upstream_gets_what_it_bears_and_the_rest_is_refused(cluster: Cluster) -> None:
    await start(cluster, 1)
    await turn_cold(cluster, "s0")
    answers: list[Answer] = []
    for _ in range(4):
        answers += await burst(cluster, ["a", "s0"])
        await asyncio.sleep(PAUSE_S)
    assert cluster.targets["s0"].lives_ended == 0
    assert cluster.targets["s0"].most_in_a_second() <= ALLOWED_IN_A_SECOND
    statuses = [answer.status for answer in answers]
    assert set(statuses) == {200, 503}
    assert statuses.count(200) >= BORNE_PER_S


@played
async def test_one_that_turns_cold_under_load_is_known_by_its_health_answers(
    cluster: Cluster,
) -> None:
    await start(cluster, 1)
    await burst(cluster, ["a"])
    target = cluster.targets["s0"]
    target.turn_cold(COLD_S)
    asked = target.sampled
    await cluster.ask("a")
    await until(lambda: target.sampled > asked + 1)
    for _ in range(3):
        await burst(cluster, ["a", "s0"])
    assert target.lives_ended == 0
    assert target.most_in_a_second() <= ALLOWED_IN_A_SECOND


@played
async def test_a_late_word_of_being_warm_does_not_end_it(cluster: Cluster) -> None:
    await start(cluster, 1)
    await turn_cold(cluster, "s0")
    await cluster.beat("s0")
    for _ in range(3):
        await burst(cluster, ["a", "s0"])
    assert cluster.targets["s0"].lives_ended == 0
    assert cluster.targets["s0"].most_in_a_second() <= ALLOWED_IN_A_SECOND


@played
async def test_a_daemon_that_starts_again_keeps_to_it(cluster: Cluster) -> None:
    """What the life before has sent within the same second counts for the upstream."""
    await start(cluster, 1)
    await turn_cold(cluster, "s0")
    await burst(cluster, ["a", "s0"])
    await cluster.daemons["s0"].stop()
    await cluster.start_daemon("s0")
    await cluster.beat("s0", status={"cold_remaining_s": COLD_S})
    await cluster.settle(1)
    await burst(cluster, ["a", "s0"])
    assert cluster.targets["s0"].lives_ended == 0
    assert cluster.targets["s0"].most_in_a_second() <= ALLOWED_IN_A_SECOND


@pytest.mark.parametrize("upstreams", [2, 5])
def test_after_power_was_lost_everywhere_all_is_served_again(upstreams: int) -> None:
    """Popular reads come at once from all hosts while every upstream is cold, for seconds."""

    @played
    async def play(cluster: Cluster) -> None:
        await start(cluster, upstreams)
        for daemon in cluster.daemons.values():
            await daemon.stop()
        for name in cluster.targets:
            await cluster.start_daemon(name)
        cold_s = 2.0
        for name in shops(cluster):
            await turn_cold(cluster, name, cold_s)
        await cluster.beat("a")
        await cluster.settle(1)
        until_s = asyncio.get_running_loop().time() + cold_s
        while asyncio.get_running_loop().time() < until_s:
            await burst(cluster, ["a", *shops(cluster)])
            await asyncio.sleep(PAUSE_S)
        assert [cluster.targets[name].lives_ended for name in shops(cluster)] == [0] * upstreams
        for name in ("a", *shops(cluster)):
            answers = [await cluster.ask(name, "/a/popular") for _ in range(10)]
            assert [answer.status for answer in answers] == [200] * 10

    play()
