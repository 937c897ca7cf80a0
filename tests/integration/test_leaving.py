"""Promise 5: an upstream reported as leaving by any source gets no new calls once all know it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from standins.processes import wait_until
from tests.integration import harness
from tests.integration.harness import load, make_fleet

if TYPE_CHECKING:
    from standins.processes import LocalFleet

TIMEOUT_S = 15.0
"""Longest time until the other daemons know that an upstream is leaving, in seconds."""
CALLS_BETWEEN = 400
"""Calls until the others must know; depo-1 has to answer one of them to say that it is leaving."""
SOURCES = ["upstream health", "upstream answer", "host list", "drain command", "configuration"]


def wait_until_known(fleet: LocalFleet) -> bool:
    """Return whether the other daemons know within `TIMEOUT_S` that depo-1 is leaving."""
    try:
        wait_until(
            lambda: all(knows_leaving(fleet, name) for name in ("depo-2", "depo-3")), TIMEOUT_S
        )
    except TimeoutError:
        return False
    return True


def knows_leaving(fleet: LocalFleet, name: str) -> bool:
    rows = [row for row in fleet.status(name)["upstreams"] if row["name"] == "depo-1"]
    return not rows or rows[0]["state"] == "leaving" or not rows[0]["linked"]


def runs_after(source: str, mutant: str = "") -> tuple[bool, int, dict[str, int]]:
    """Return whether the others learned that depo-1 leaves, its calls after that, and verdicts."""
    with make_fleet(mutant) as fleet:
        fleet.start()
        daemons = ("depo-2", "depo-3")
        asyncio.run(load(fleet, 100, 10, ingresses=daemons, prefix="before"))
        assert fleet.executions("depo-1")["executions"], "depo-1 had no calls before"
        fleet.signal_leaving("depo-1", source)
        asyncio.run(load(fleet, CALLS_BETWEEN, 10, ingresses=daemons, prefix="between"))
        known = wait_until_known(fleet)
        before = sum(fleet.executions("depo-1")["executions"].values())
        ended = asyncio.run(load(fleet, 300, 10, ingresses=daemons, prefix="after"))
        after = sum(fleet.executions("depo-1")["executions"].values())
    return known, after - before, harness.verdicts(ended)


@pytest.mark.parametrize("source", SOURCES)
def test_no_new_calls_after_leaving_by(source: str) -> None:
    known, runs, verdicts = runs_after(source)
    assert known
    assert runs == 0
    assert verdicts == {"answered": 300}


OWNER_ONLY_SOURCES = ["upstream health", "upstream answer", "host list"]
"""Sources that only the owner acts on.

A drain also ends the process, and a configuration also removes the target at every ingress.
"""


@pytest.mark.parametrize("source", OWNER_ONLY_SOURCES)
def test_without_set_leaving_new_calls_go_on_after(source: str) -> None:
    known, runs, _ = runs_after(source, "no-leaving")
    assert not known
    assert runs > 0


def test_an_upstream_serves_again_when_the_host_list_clears_leaving() -> None:
    with make_fleet() as fleet:
        fleet.start()
        fleet.control_platform(hosts={"depo-1": "leaving"})
        wait_until(lambda: fleet.status("depo-1")["leaving_why"] == ["host-list"])
        fleet.control_platform(hosts={"depo-1": "live"})
        wait_until(lambda: fleet.status("depo-1")["leaving_why"] == [])
        ended = asyncio.run(load(fleet, 60, 6))
        assert fleet.executions("depo-1")["executions"]
    assert harness.verdicts(ended) == {"answered": 60}
