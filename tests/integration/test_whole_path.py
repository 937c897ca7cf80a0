"""A request passes through separate processes: caller, ingress, owner and upstream."""

from __future__ import annotations

import http.client
from typing import TYPE_CHECKING

import pytest

from standins.processes import LocalFleet, Target

if TYPE_CHECKING:
    from collections.abc import Iterator

SERVICES = """[service kasa]
prefix = /kasa/

[service depo]
prefix = /depo/

[route depo-lookup]
service = depo
prefix = /depo/
repeatable = yes
"""


@pytest.fixture(scope="module")
def fleet() -> Iterator[LocalFleet]:
    targets = [Target("kasa-1", "kasa", "ist-1"), Target("depo-1", "depo", "ist-1")]
    targets.append(Target("depo-2", "depo", "ist-2"))
    with LocalFleet("istanbul", targets, SERVICES) as running:
        running.start()
        yield running


def call(fleet: LocalFleet, daemon: str, method: str, path: str, body: bytes = b""):
    host, _, port = fleet.addresses[daemon]["callers"].rpartition(":")
    conn = http.client.HTTPConnection(host, int(port))
    conn.request(method, path, body, {"X-Request-Id": f"{daemon}{path}"})
    answer = conn.getresponse()
    return answer, answer.read()


@pytest.mark.parametrize("daemon", ["kasa-1", "depo-1", "depo-2"])
def test_any_daemon_serves_any_service(fleet: LocalFleet, daemon: str) -> None:
    answer, body = call(fleet, daemon, "POST", "/kasa/gift", b"ten lira")
    assert (answer.status, body) == (200, b"ten lira")
    assert answer.headers["Foldhoist-Verdict"] == "answered"


def test_unknown_service_is_not_run(fleet: LocalFleet) -> None:
    answer, _ = call(fleet, "kasa-1", "GET", "/nothing")
    assert answer.status == 404
    assert answer.headers["Foldhoist-Verdict"] == "not-run"


def test_explain_prints_the_path_of_a_call(fleet: LocalFleet) -> None:
    answer, _ = call(fleet, "kasa-1", "GET", "/depo/stock")
    trace = answer.headers["Foldhoist-Trace"]
    done = fleet.command("explain", trace, "--daemon", fleet.addresses["depo-1"]["operators"])
    assert done.returncode == 0
    assert "kasa-1: GET /depo/stock arrived for service depo" in done.stdout
    assert "waited 0.00 ms for a slot" in done.stdout
    assert "final answer, answered, status 200" in done.stdout
