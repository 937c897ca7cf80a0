"""Promise 7: an accepted configuration comes into force everywhere and never goes back."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys

from foldhoist.configlog.fold import digest_of
from foldhoist.logservice.client import pack_snapshot
from standins.processes import LocalFleet, Target, request_json, wait_until
from tests.integration.harness import (
    FAST_SETTINGS,
    NAMES,
    SERVICES,
    MutantFleet,
    load,
    make_fleet,
    verdicts,
)


def generations(fleet: LocalFleet) -> list[int]:
    return [fleet.status(name)["configuration"]["generation"] for name in NAMES]


def change(fleet: LocalFleet, number: int) -> str:
    """Return a configuration that differs by one option."""
    return fleet.configuration().replace("deadline_ms = 3000", f"deadline_ms = {3000 + number}")


def started(**options: object) -> MutantFleet:
    fleet = make_fleet(**options)  # type: ignore[arg-type]
    fleet.start()
    return fleet


def test_a_change_is_in_force_everywhere_within_seconds() -> None:
    with started() as fleet:
        for number in range(1, 6):
            assert fleet.apply(change(fleet, number)).returncode == 0
            wait_until(lambda want=number + 1: generations(fleet) == [want] * 3)


def test_concurrent_applies_get_distinct_generations_or_are_rejected() -> None:
    with started() as fleet:
        processes = []
        for number in range(6):
            path = fleet.folder / f"race-{number}.ini"
            path.write_text(change(fleet, 100 + number))
            args = ["apply", str(path), "--log", fleet.platform_address, "--json"]
            processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "foldhoist", *args], stdout=subprocess.PIPE, text=True
                )
            )
        results = [json.loads(process.communicate(timeout=60)[0]) for process in processes]
        accepted = [each for each in results if each["result"] == "accepted"]
        assert all(each["result"] in ("accepted", "rejected") for each in results)
        assert len(accepted) >= 1
        assert len({each["generation"] for each in accepted}) == len(accepted)
        last = max(each["generation"] for each in accepted)
        wait_until(lambda: generations(fleet) == [last] * 3)
        contents = {
            fleet.command("config", fleet.addresses[name]["operators"]).stdout for name in NAMES
        }
        assert len(contents) == 1


def test_apply_reads_its_result_when_the_answer_to_its_append_is_lost() -> None:
    with started() as fleet:
        fleet.control_platform(lose_answers=1)
        done = fleet.apply(change(fleet, 7))
        assert (done.returncode, done.stdout) == (0, "accepted: generation 2 is in force\n")
        wait_until(lambda: generations(fleet) == [2] * 3)


def test_apply_fails_without_sending_while_the_platform_is_down() -> None:
    with started() as fleet:
        fleet.control_platform(down=True)
        done = fleet.apply(change(fleet, 8))
        assert done.returncode == 2
        assert "nothing was sent" in done.stdout
        fleet.control_platform(down=False)
        assert fleet.apply(change(fleet, 8)).returncode == 0


def test_a_daemon_that_starts_during_an_outage_gets_the_configuration_from_peers() -> None:
    with started() as fleet:
        fleet.control_platform(down=True)
        fleet.daemons["depo-1"].kill()
        fleet.restart_daemon("depo-1")
        wait_until(lambda: generations(fleet) == [1] * 3)


def test_a_frozen_daemon_catches_up_and_no_generation_decreases() -> None:
    with started() as fleet:
        fleet.daemons["depo-2"].signal(signal.SIGSTOP)
        assert fleet.apply(change(fleet, 9)).returncode == 0
        assert fleet.apply(change(fleet, 10)).returncode == 0
        fleet.daemons["depo-2"].signal(signal.SIGCONT)
        lowest = [0, 0, 0]

        def reached() -> bool:
            now = generations(fleet)
            assert all(new >= old for new, old in zip(now, lowest, strict=True))
            lowest[:] = now
            return now == [3] * 3

        wait_until(reached)


def test_a_stale_snapshot_as_the_only_record_reverts_no_daemon() -> None:
    settings = "[measuring]\nprobes_per_s = 5\n"
    with started(settings=settings) as fleet:
        url = f"http://{fleet.platform_address}/streams/configuration"
        first = request_json(f"http://{fleet.addresses['depo-1']['operators']}/configuration")
        assert fleet.apply(change(fleet, 11)).returncode == 0
        wait_until(lambda: generations(fleet) == [2] * 3)
        fleet.control_platform(keep_s=0.0)
        assert first["digest"] == digest_of(first["content"])
        wait_until(lambda: request_json(f"{url}?from=0")["oldest"] >= 2)
        fleet.control_platform(keep_s=86400.0)
        stale = {**first, "folded": 1, "exact": True}
        fleet.post(url, pack_snapshot(stale))
        fleet.daemons["depo-3"].kill()
        fleet.restart_daemon("depo-3")
        wait_until(lambda: generations(fleet) == [2] * 3)
        wait_until(lambda: _newest_snapshot(url) == 2)


def _newest_snapshot(url: str) -> int:
    import base64

    records = request_json(f"{url}?from=0")["records"]
    payloads = [base64.b64decode(record["data"]) for record in records]
    found = [json.loads(data[5:])["generation"] for data in payloads if data.startswith(b"keep ")]
    return max(found, default=0)


def test_a_change_arrives_after_every_reader_of_the_data_centre_was_killed() -> None:
    targets = [Target(f"depo-{i}", "depo", "ist-1") for i in range(7)]
    with LocalFleet("istanbul", targets, SERVICES, FAST_SETTINGS) as fleet:
        fleet.start()
        readers = [name for name in fleet.targets if fleet.status(name)["reader"]]
        for name in readers:
            fleet.daemons[name].kill()
        left = [name for name in fleet.targets if name not in readers]
        assert left
        assert fleet.apply(change(fleet, 12)).returncode == 0
        for name in left:
            wait_until(lambda name=name: _generation(fleet, name) == 2, 30)


def _generation(fleet: LocalFleet, name: str) -> int:
    return int(fleet.status(name)["configuration"]["generation"])


def test_a_slow_platform_delays_a_change_but_fails_no_call() -> None:
    with started() as fleet:
        fleet.control_platform(delay_s=1.0)
        assert fleet.apply(change(fleet, 13)).returncode == 0
        results = asyncio.run(load(fleet, 200, 10))
        assert verdicts(results) == {"answered": 200}
        wait_until(lambda: generations(fleet) == [2] * 3)
