"""Promise 5: an upstream that is leaving gets no new work after a few seconds, by any source."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from standins.processes import wait_until
from tests.integration import harness
from tests.integration.harness import load, make_fleet

if TYPE_CHECKING:
    from standins.processes import LocalFleet

LONGEST_S = 15.0
"""Longest wait for word to get round; the time itself is measured, not asserted."""
SOURCES = ["upstream health", "upstream answer", "host list", "drain command", "configuration"]


def wait_for_word(fleet: LocalFleet) -> bool:
    """Wait until the other daemons know; return whether they ever did."""
    try:
        wait_until(lambda: all(knows(fleet, name) for name in ("depo-2", "depo-3")), LONGEST_S)
    except TimeoutError:
        return False
    return True


def knows(fleet: LocalFleet, name: str) -> bool:
    rows = [row for row in fleet.status(name)["upstreams"] if row["name"] == "depo-1"]
    return not rows or rows[0]["state"] == "leaving" or not rows[0]["linked"]


def runs_after(source: str, mutant: str = "") -> tuple[bool, int, dict[str, int]]:
    """Return whether word got round, how many calls depo-1 ran after that, and all verdicts."""
    with make_fleet(mutant) as fleet:
        fleet.start()
        daemons = ("depo-2", "depo-3")
        asyncio.run(load(fleet, 100, 10, ingresses=daemons, prefix="before"))
        assert fleet.executions("depo-1")["executions"], "depo-1 had no calls before"
        fleet.signal_leaving("depo-1", source)
        asyncio.run(load(fleet, 100, 10, ingresses=daemons, prefix="between"))
        seen = wait_for_word(fleet)
        before = sum(fleet.executions("depo-1")["executions"].values())
        ended = asyncio.run(load(fleet, 300, 10, ingresses=daemons, prefix="after"))
        after = sum(fleet.executions("depo-1")["executions"].values())
    return seen, after - before, harness.verdicts(ended)


@pytest.mark.parametrize("source", SOURCES)
def test_no_new_work_by(source: str) -> None:
    seen, runs, verdicts = runs_after(source)
    assert seen
    assert runs == 0
    assert verdicts == {"answered": 300}


BY_OWNER = ["upstream health", "upstream answer", "host list"]
"""Sources that only the owner acts on; a drain also ends the process, and a configuration also
takes the target out of every ingress's choice."""


@pytest.mark.parametrize("source", BY_OWNER)
def test_without_the_mechanism_work_goes_on_by(source: str) -> None:
    seen, runs, _ = runs_after(source, "no-leaving")
    assert not seen
    assert runs > 0


def test_a_host_list_that_takes_it_back_brings_the_upstream_back() -> None:
    with make_fleet() as fleet:
        fleet.start()
        fleet.control_platform(hosts={"depo-1": "leaving"})
        wait_until(lambda: fleet.status("depo-1")["leaving_why"] == ["host-list"])
        fleet.control_platform(hosts={"depo-1": "live"})
        wait_until(lambda: fleet.status("depo-1")["leaving_why"] == [])
        ended = asyncio.run(load(fleet, 60, 6))
        assert fleet.executions("depo-1")["executions"]
    assert harness.verdicts(ended) == {"answered": 60}
