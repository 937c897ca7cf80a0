"""Tests of the command line: exit codes, text and JSON output."""

from __future__ import annotations

import json
import urllib.request
from typing import TYPE_CHECKING

import pytest

from standins.processes import wait_until
from tests.integration.harness import make_fleet

if TYPE_CHECKING:
    from collections.abc import Iterator

    from standins.processes import LocalFleet


@pytest.fixture(scope="module")
def fleet() -> Iterator[LocalFleet]:
    with make_fleet() as running:
        running.start()
        yield running


def operators(fleet: LocalFleet) -> str:
    return fleet.addresses["depo-1"]["operators"]


def test_status_as_text_and_as_json(fleet: LocalFleet) -> None:
    assert "generation 1" in fleet.command("status", operators(fleet)).stdout
    printed = json.loads(fleet.command("status", operators(fleet), "--json").stdout)
    assert printed["name"] == "depo-1"


def test_status_shows_the_limit_that_the_upstream_names(fleet: LocalFleet) -> None:
    fleet.control_upstream("depo-1", limit="500")
    address = fleet.addresses["depo-1"]["callers"]

    def is_shown() -> bool:
        with urllib.request.urlopen(f"http://{address}/depo/x", timeout=10):
            printed = fleet.command("status", operators(fleet)).stdout
            return "rate limit of the upstream: 500 calls/s" in printed

    wait_until(is_shown)
    printed = json.loads(fleet.command("status", operators(fleet), "--json").stdout)
    assert printed["limit"]["per_s"] == 500
    rows = {row["name"]: row["limit_per_s"] for row in printed["upstreams"]}
    assert rows["depo-1"] == 500
    fleet.control_upstream("depo-1", limit="")


def test_config_prints_the_applied_text(fleet: LocalFleet) -> None:
    printed = json.loads(fleet.command("config", operators(fleet), "--json").stdout)
    assert printed["content"] == fleet.configuration()


def test_a_faulty_file_lists_every_fault_and_applies_nothing(fleet: LocalFleet) -> None:
    text = fleet.configuration().replace("slots = 12", "slots = none")
    done = fleet.apply(text)
    assert done.returncode == 1
    assert done.stderr.count("is not a whole number") == 3
    assert "[target depo-1] slots = none" in done.stderr
    assert fleet.status("depo-1")["configuration"]["generation"] == 1


def test_removing_a_target_that_is_not_retired_is_refused_with_a_hint(fleet: LocalFleet) -> None:
    text = fleet.configuration()
    done = fleet.apply(text[: text.index("[target depo-3]")])
    assert done.returncode == 1
    assert "apply `state = retired`, then remove the section" in done.stderr


def test_a_data_centre_is_evacuated_and_used_again() -> None:
    with make_fleet() as fleet:
        fleet.start()
        name = str(fleet.status("depo-1")["upstreams"][0]["data_centre"])
        log, daemon = fleet.platform_address, operators(fleet)
        more = ("--daemon", daemon, "--log", log)
        assert "is no data centre" in fleet.command("evacuate", "nowhere", *more).stdout
        assert fleet.command("evacuate", name, *more).returncode == 0
        fleet.wait_generation(2)
        assert f"evacuated = {name}" in fleet.command("config", daemon).stdout
        assert "nothing changes" in fleet.command("evacuate", name, *more).stdout
        assert fleet.command("evacuate", name, *more, "--end").returncode == 0
        fleet.wait_generation(3)
        assert "evacuated" not in fleet.command("config", daemon).stdout


def test_a_file_based_on_an_older_generation_does_not_undo_a_later_change() -> None:
    with make_fleet() as fleet:
        fleet.start()
        first = fleet.configuration().replace("slots = 12", "slots = 11", 1)
        second = fleet.configuration().replace("slots = 12", "slots = 10", 1)
        printed = fleet.command("config", operators(fleet)).stdout
        assert "--base 1" in printed
        assert fleet.apply(first, "--base", "1").returncode == 0
        done = fleet.apply(second, "--base", "1")
        assert done.returncode == 2
        assert "generation 2 is in force" in done.stdout
        assert "was edited from generation 1" in done.stdout
        fleet.wait_generation(2)
        assert fleet.status("depo-1")["configuration"]["generation"] == 2
        without_base = fleet.apply(second)
        assert without_base.returncode == 0
        assert "changes against generation 2:" in without_base.stderr
        assert "[target depo-1] slots: 11, now 10" in without_base.stderr


def test_an_address_without_a_daemon(fleet: LocalFleet) -> None:
    done = fleet.command("status", "127.0.0.1:1")
    assert done.returncode == 4
    assert "give the operators address of one" in done.stderr


def test_explaining_an_unknown_or_malformed_trace(fleet: LocalFleet) -> None:
    assert fleet.command("explain", "f" * 32, "--daemon", operators(fleet)).returncode == 5
    assert fleet.command("explain", "short", "--daemon", operators(fleet)).returncode == 1


def test_metrics_are_in_the_prometheus_text_format(fleet: LocalFleet) -> None:
    import urllib.request

    with urllib.request.urlopen(f"http://{operators(fleet)}/metrics", timeout=10) as answer:
        text = answer.read().decode()
    assert "# TYPE foldhoist_ingress_calls_total counter" in text
    assert 'foldhoist_call_seconds{quantile="0.99"}' in text


def test_a_daemon_with_faulty_settings_reports_them_and_exits(fleet: LocalFleet) -> None:
    path = fleet.folder / "faulty.ini"
    path.write_text("[daemon]\nname = depo-1\n")
    done = fleet.command("daemon", str(path))
    assert done.returncode == 1
    assert "[daemon] data_centre: is missing" in done.stderr
    assert "[platform] log: is missing" in done.stderr
