"""Writes docs/CAPACITY.md from the slopes kept in bench/results: every figure comes from there."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, NamedTuple

from bench.figures import RESULTS

TEMPLATE = Path(__file__).resolve().parent / "capacity_template.md"
PAGE = Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"

DAEMONS, SERVICES, CALLS_PER_S, CENTRES = 1400, 100, 430_000, 7
CHANGES_A_DAY, DEPTH, DAY_S = 490, 29, 86_400
READERS, POLL_S, FANOUT, ASKS_PER_S, TRACK = 3, 0.4, 8, 1.0, 12
KEY_ANSWERS_MB, KEPT_RESULTS_MB, BODIES_MB = 34, 34, 3 * 34
"""Bounds of 32 MiB each, megabytes; bodies for callers, for the upstream, and answers unread."""
HOSTS_POLL_S, KEEP_S, ATTEMPTS, RETRY_SHARE = 2.0, 3600.0, 3, 0.1


class Row(NamedTuple):
    """A figure at the target's size beside its ceiling; no ceiling is 0."""

    what: str
    value: float
    ceiling: float
    unit: str
    source: str

    @property
    def fits(self) -> str:
        """Return whether it fits, and how far it is from its ceiling."""
        if not self.ceiling:
            return "no ceiling given"
        factor = self.value / self.ceiling
        return f"fits ({factor:.2f} of it)" if factor <= 1 else f"DOES NOT FIT ({factor:.2f} times)"


def at(line: dict[str, Any], size: float) -> float:
    """Return a fitted line at a size."""
    return float(line["base"] + line["slope"] * size)


def rows_of(found: dict[str, Any], latency: dict[str, Any]) -> list[Row]:
    """Return every row at the target's size."""
    per_daemon = CALLS_PER_S / DAEMONS
    idle, big, sizes = found["idle"], found["big"], found["messages"]["bytes"]
    calls = found["calls"]
    per_call = calls["ingress_us_per_s"]["slope"] + calls["owner_us_per_s"]["slope"]
    change_s = at(big["adopt_ms"], DAEMONS) / 1000
    control = idle["most"]["core_share"] + CHANGES_A_DAY / DAY_S * change_s
    snapshot = at(found["fleet"]["snapshot_bytes"], DAEMONS)
    asks = ASKS_PER_S * (sizes["Ask"] + sizes["Held"])
    passed = CHANGES_A_DAY / DAY_S * snapshot * FANOUT
    links = 2 * SERVICES * TRACK * found["links"]["frames_mb"]["slope"]
    keys = at(found["keys"]["memory_mb"], 50_000) + KEY_ANSWERS_MB
    memory = at(big["rss_mb"], DAEMONS) + links + keys + KEPT_RESULTS_MB + BODIES_MB
    row300 = next((row for row in latency["rows"] if row["rate"] == 300), latency["rows"][-1])
    added = row300["added_us"]["p99"]["median"] / 1000
    rows = [
        Row("added latency, p99, 300 calls/s a daemon", added, 0.75, "ms", "bench.latency"),
        Row("control, processor", control * 100, 4.6, "% of a core", "idle, big"),
        Row("memory, all bounds full", memory, 256, "MB", "big, links, keys"),
        Row(
            "control, bytes sent by a relay", (asks + passed) / 1000, 10, "KB/s", "messages, fleet"
        ),
        Row("a change in force everywhere", spread_at_target(found), 3, "s", "spread, big"),
        Row("platform, appends", appends_per_s(), 100, "1/s", "490 changes a day, keep_s"),
        Row("platform, reads of the log", READERS * CENTRES / POLL_S, 0, "1/s", "poll_ms"),
        Row("platform, reads of the host list", DAEMONS / HOSTS_POLL_S, 0, "1/s", "hosts_poll_ms"),
        Row("calls, processor, both roles", per_daemon * per_call / 1e4, 0, "% of a core", "calls"),
        Row("the same at twice the calls", per_daemon * per_call / 5e3, 0, "% of a core", "calls"),
    ]
    return sorted(rows, key=lambda row: -(row.value / row.ceiling if row.ceiling else 0))


def appends_per_s() -> float:
    """Return the appends to the log a second: changes, and states written again."""
    return CHANGES_A_DAY / DAY_S + 1 / KEEP_S


def relay_hops() -> int:
    """Return the hops from a reader to the last daemon of a data centre."""
    reached, width, hops = READERS, READERS, 0
    while reached < DAEMONS / CENTRES:
        width *= FANOUT
        reached += width
        hops += 1
    return hops


def spread_at_target(found: dict[str, Any]) -> float:
    """Return the seconds until the last daemon: as measured, one more hop, a larger file."""
    case = [each for each in found["spread"]["cases"] if each["case"] == "all"][-1]
    hop = max(0.0, case["last_s"]["median"] - POLL_S)
    larger = (at(found["big"]["adopt_ms"], DAEMONS) - at(found["big"]["adopt_ms"], 140)) / 1000
    return float(case["last_s"]["most"] + (relay_hops() - 1) * hop + larger)


def slope_rows(found: dict[str, Any]) -> list[str]:
    """Return a table row for each slope, with its error and range."""
    named = [
        ("processor of an ingress, us a call", found["calls"]["ingress_us_per_s"]),
        ("processor of an owner, us a call", found["calls"]["owner_us_per_s"]),
        ("one choice, us an upstream tracked", found["tracked"]["pick_us"]),
        ("memory, MB a connection of an ingress", found["links"]["frames_mb"]),
        ("memory, MB a connection of a caller", found["links"]["callers_mb"]),
        ("resident memory, MB a target of the configuration", found["big"]["rss_mb"]),
        ("adopting a change, ms a target", found["big"]["adopt_ms"]),
        ("reading a changed configuration, ms a target", found["fleet"]["change_ms"]),
        ("reading a new configuration, ms a target", found["fleet"]["parse_ms"]),
        ("placing and tracking, ms a target", found["fleet"]["place_ms"]),
        ("a generation on the wire, bytes a target", found["fleet"]["snapshot_bytes"]),
        ("memory, MB an idempotency key", found["keys"]["memory_mb"]),
        ("time to all, s a daemon", found["spread"]["last_s"]),
    ]
    return [
        f"| {what} | {line['base']:.4g} | {line['slope']:.4g} | {line['error']:.2g} | "
        f"{line['r2']:.3f} | {min(line['x']):g} to {max(line['x']):g} |"
        for what, line in named
    ]


def spread_rows(found: dict[str, Any]) -> list[str]:
    """Return a table row for each case of the spread."""
    rows = []
    for case in found["spread"]["cases"]:
        last, middle = case["last_s"], case["median_s"]
        rows.append(
            f"| {case['daemons']} | {case['case']} | {middle['median']:.2f} | "
            f"{last['median']:.2f} | {last['least']:.2f} to {last['most']:.2f} |"
        )
    return rows


def page(found: dict[str, Any], latency: dict[str, Any]) -> str:
    """Return the page."""
    rows = rows_of(found, latency)
    table = "\n".join(
        f"| {row.what} | {row.value:.3g} {row.unit} | "
        f"{f'{row.ceiling:g} {row.unit}' if row.ceiling else '-'} | {row.fits} | {row.source} |"
        for row in rows
    )
    rates = "\n".join(
        f"| {row['rate']:g} | {row['added_us']['p50']['median']:.0f} | "
        f"{row['added_us']['p99']['median']:.0f} ({row['added_us']['p99']['least']:.0f} to "
        f"{row['added_us']['p99']['most']:.0f}) | {row['added_us']['p99.9']['median']:.0f} | "
        f"{row['direct_us']['p99']['median']:.0f} | "
        f"{row['processor_us_per_call']['median']:.0f} |"
        for row in latency["rows"]
    )
    idle = found["idle"]
    runs = json.loads((RESULTS / "latency-300.json").read_text())["runs"]
    stages = json.loads((RESULTS / "stages.json").read_text())
    return TEMPLATE.read_text().format(
        table=table,
        slopes="\n".join(slope_rows(found)),
        spread="\n".join(spread_rows(found)),
        rates=rates,
        per_daemon=CALLS_PER_S / DAEMONS,
        hops=relay_hops(),
        idle_core=idle["most"]["core_share"] * 100,
        idle_rss=idle["most"]["rss_mb"],
        idle_sent=idle["most"]["sent_bytes_per_s"],
        idle_received=idle["most"]["received_bytes_per_s"],
        idle_daemons=idle["daemons"],
        runs="\n".join(
            f"| {run['when']} | {run['added_p50']} | {run['added_p99']} | "
            f"{run['least']} to {run['most']} | {run['direct_p99']} |"
            for run in runs
        ),
        stages_ms=stages["total_us"] / 1000,
        leaf_worst=1 + DEPTH * (ATTEMPTS - 1),
        leaf_budget=1 + DEPTH * RETRY_SHARE,
        links=SERVICES * TRACK,
        log_reads=READERS * CENTRES / POLL_S,
        at=found["calls"]["at"],
    )


def write() -> None:
    """Write the page and print each row against its ceiling."""
    found = json.loads((RESULTS / "capacity.json").read_text())
    latency = json.loads((RESULTS / "latency.json").read_text())
    PAGE.write_text(page(found, latency))
    for row in rows_of(found, latency):
        print(f"{row.what:45} {row.value:9.3g} {row.unit:12} {row.fits}")
