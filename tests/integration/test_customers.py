"""Customers: API keys and quotas over all daemons."""

from __future__ import annotations

import http.client
import json
import subprocess
import sys
import time
from typing import TYPE_CHECKING

import pytest

from foldhoist.customers.keys import digest_of
from standins.processes import LocalFleet, Target

if TYPE_CHECKING:
    from collections.abc import Iterator

SERVICES = f"""[service depo]
prefix = /depo/

[route depo-lookup]
service = depo
prefix = /depo/
repeatable = yes

[route depo-open]
service = depo
prefix = /depo/open/
repeatable = yes
open = yes

[customer huka]
keys = {digest_of("k-huka")}

[customer wona]
keys = {digest_of("k-wona")}
rate_per_s = 2
burst = 2
"""
TIMEOUT_S = 60.0
"""Longest time until the quota has both admitted and refused a call, in seconds."""


@pytest.fixture(scope="module")
def fleet() -> Iterator[LocalFleet]:
    targets = [Target(f"depo-{each}", "depo", "ist-1") for each in (1, 2, 3)]
    with LocalFleet("istanbul", targets, SERVICES) as running:
        running.start()
        yield running


def call(fleet: LocalFleet, daemon: str, path: str, key: str = "") -> http.client.HTTPResponse:
    host, _, port = fleet.addresses[daemon]["callers"].rpartition(":")
    conn = http.client.HTTPConnection(host, int(port))
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    conn.request("GET", path, headers=headers)
    answer = conn.getresponse()
    answer.read()
    return answer


@pytest.mark.parametrize("daemon", ["depo-1", "depo-2", "depo-3"])
def test_a_known_key_is_served_and_others_are_refused(fleet: LocalFleet, daemon: str) -> None:
    assert call(fleet, daemon, "/depo/x", "k-huka").status == 200
    for key, reason in (("", "no-api-key"), ("k-nobody", "unknown-api-key")):
        answer = call(fleet, daemon, "/depo/x", key)
        assert answer.status == 401
        assert answer.headers["Foldhoist-Reason"] == reason
        assert answer.headers["Foldhoist-Verdict"] == "not-run"
    assert call(fleet, daemon, "/depo/open/x").status == 200


def test_a_quota_refuses_with_retry_after_and_admits_calls_again(
    fleet: LocalFleet,
) -> None:
    until = time.monotonic() + TIMEOUT_S
    seen: set[int] = set()
    while seen != {200, 429}:
        assert time.monotonic() < until
        for daemon in ("depo-1", "depo-2", "depo-3"):
            answer = call(fleet, daemon, "/depo/x", "k-wona")
            seen.add(answer.status)
            if answer.status == 429:
                assert answer.headers["Foldhoist-Reason"] == "over-quota"
                assert int(answer.headers["Retry-After"]) >= 1


def test_status_shows_what_is_left_of_a_quota(fleet: LocalFleet) -> None:
    call(fleet, "depo-1", "/depo/x", "k-wona")
    rows = []
    for daemon in ("depo-1", "depo-2", "depo-3"):
        host, _, port = fleet.addresses[daemon]["operators"].rpartition(":")
        conn = http.client.HTTPConnection(host, int(port))
        conn.request("GET", "/status")
        rows += json.loads(conn.getresponse().read())["quotas"]
    assert {row["customer"] for row in rows} == {"wona"}
    assert all(0 <= row["left"] <= row["burst"] for row in rows)


def test_the_key_command_prints_a_key_and_its_digest() -> None:
    command = [sys.executable, "-m", "foldhoist", "key", "--json"]
    found = json.loads(subprocess.run(command, capture_output=True, check=True).stdout)
    assert digest_of(found["key"]) == found["digest"]
