"""Writes docs/CAPACITY.md from the results in bench/results."""

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
"""Memory bounds, megabytes, 32 MiB each; bodies to callers, to the upstream, and unread answers."""
LIMIT_CHANGES_PER_S, LIMIT_REPORTS = 1 / 3, 24
"""A third of the upstreams change their limit each second; the most ingresses updated."""
HOSTS_POLL_S, KEEP_S, ATTEMPTS, RETRY_SHARE = 2.0, 3600.0, 3, 0.1


class Row(NamedTuple):
    """A value at the target size and its ceiling; 0 stands for no ceiling."""

    what: str
    value: float
    ceiling: float
    unit: str
    source: str

    @property
    def fits(self) -> str:
        """Return whether the value is within its ceiling, and their ratio."""
        if not self.ceiling:
            return "no ceiling given"
        factor = self.value / self.ceiling
        return f"fits ({factor:.2f} of it)" if factor <= 1 else f"DOES NOT FIT ({factor:.2f} times)"


def at(line: dict[str, Any], size: float) -> float:
    """Evaluate a fitted line at a size."""
    return float(line["base"] + line["slope"] * size)


def rows_of(results: dict[str, Any], latency: dict[str, Any]) -> list[Row]:
    """Return all rows at the target size, the largest share of its ceiling first."""
    per_daemon = CALLS_PER_S / DAEMONS
    idle, big, sizes = results["idle"], results["big"], results["messages"]["bytes"]
    calls = results["calls"]
    per_call = calls["ingress_us_per_s"]["slope"] + calls["owner_us_per_s"]["slope"]
    change_s = at(big["adopt_ms"], DAEMONS) / 1000
    control = idle["most"]["core_share"] + CHANGES_A_DAY / DAY_S * change_s
    snapshot = at(results["fleet"]["snapshot_bytes"], DAEMONS)
    asks = ASKS_PER_S * (sizes["Ask"] + sizes["Held"])
    passed = CHANGES_A_DAY / DAY_S * snapshot * FANOUT
    links = 2 * SERVICES * TRACK * results["links"]["frames_mb"]["slope"]
    keys = at(results["keys"]["memory_mb"], 50_000) + KEY_ANSWERS_MB
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
        Row("a change in force everywhere", spread_at_target(results), 3, "s", "spread, big"),
        Row("platform, appends", appends_per_s(), 100, "1/s", "490 changes a day, keep_s"),
        Row("platform, reads of the log", READERS * CENTRES / POLL_S, 0, "1/s", "poll_ms"),
        Row("platform, reads of the host list", DAEMONS / HOSTS_POLL_S, 0, "1/s", "hosts_poll_ms"),
        Row("calls, processor, both roles", per_daemon * per_call / 1e4, 0, "% of a core", "calls"),
        Row("the same at twice the calls", per_daemon * per_call / 5e3, 0, "% of a core", "calls"),
    ]
    return sorted(rows, key=lambda row: -(row.value / row.ceiling if row.ceiling else 0))


def appends_per_s() -> float:
    """Return the appends to the log per second: changes and rewritten snapshots."""
    return CHANGES_A_DAY / DAY_S + 1 / KEEP_S


def relay_hops() -> int:
    """Return the hops from a reader to the last daemon of a data centre."""
    reached, width, hops = READERS, READERS, 0
    while reached < DAEMONS / CENTRES:
        width *= FANOUT
        reached += width
        hops += 1
    return hops


def spread_at_target(results: dict[str, Any]) -> float:
    """Return the time until the last daemon adopts a change, seconds.

    Adds further relay hops and the larger configuration to the slowest measured time.
    """
    case = [each for each in results["spread"]["cases"] if each["case"] == "all"][-1]
    hop = max(0.0, case["last_s"]["median"] - POLL_S)
    larger = (at(results["big"]["adopt_ms"], DAEMONS) - at(results["big"]["adopt_ms"], 140)) / 1000
    return float(case["last_s"]["most"] + (relay_hops() - 1) * hop + larger)


def slope_rows(results: dict[str, Any]) -> list[str]:
    """Return a table row for each fitted line, with the slope's error and the measured range."""
    named = [
        ("processor of an ingress, us a call", results["calls"]["ingress_us_per_s"]),
        ("processor of an owner, us a call", results["calls"]["owner_us_per_s"]),
        ("one choice, us an upstream tracked", results["tracked"]["pick_us"]),
        ("memory, MB a connection of an ingress", results["links"]["frames_mb"]),
        ("memory, MB a connection of a caller", results["links"]["callers_mb"]),
        ("resident memory, MB a target of the configuration", results["big"]["rss_mb"]),
        ("adopting a change, ms a target", results["big"]["adopt_ms"]),
        ("reading a changed configuration, ms a target", results["fleet"]["change_ms"]),
        ("reading a new configuration, ms a target", results["fleet"]["parse_ms"]),
        ("placing and tracking, ms a target", results["fleet"]["place_ms"]),
        ("a generation on the wire, bytes a target", results["fleet"]["snapshot_bytes"]),
        ("memory, MB an idempotency key", results["keys"]["memory_mb"]),
        ("a changed limit, bytes sent, an ingress updated", results["signals"]["change_bytes"]),
        ("a changed limit, us, an ingress updated", results["signals"]["change_us"]),
        ("memory, MB an upstream with signals", results["signals"]["cache_mb"]),
        ("time to all, s a daemon", results["spread"]["last_s"]),
    ]
    return [
        f"| {what} | {line['base']:.4g} | {line['slope']:.4g} | {line['error']:.2g} | "
        f"{line['r2']:.3f} | {min(line['x']):g} to {max(line['x']):g} |"
        for what, line in named
    ]


def spread_rows(results: dict[str, Any]) -> list[str]:
    """Return a table row for each case of the propagation of a change."""
    rows = []
    for case in results["spread"]["cases"]:
        last, middle = case["last_s"], case["median_s"]
        rows.append(
            f"| {case['daemons']} | {case['case']} | {middle['median']:.2f} | "
            f"{last['median']:.2f} | {last['least']:.2f} to {last['most']:.2f} |"
        )
    return rows


def page(results: dict[str, Any], latency: dict[str, Any]) -> str:
    """Return the text of the page."""
    rows = rows_of(results, latency)
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
    idle, signals = results["idle"], results["signals"]
    runs = json.loads((RESULTS / "latency-300.json").read_text())["runs"]
    stages = json.loads((RESULTS / "stages.json").read_text())
    return TEMPLATE.read_text().format(
        table=table,
        slopes="\n".join(slope_rows(results)),
        spread="\n".join(spread_rows(results)),
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
        limit_reports=LIMIT_REPORTS,
        limit_bytes_per_s=LIMIT_CHANGES_PER_S * at(signals["change_bytes"], LIMIT_REPORTS),
        limit_us_per_s=LIMIT_CHANGES_PER_S * at(signals["change_us"], LIMIT_REPORTS),
        limit_mb=at(signals["cache_mb"], DAEMONS),
        limit_start_us=signals["limited_start_us"],
        free_start_us=signals["free_start_us"],
        log_reads=READERS * CENTRES / POLL_S,
        at=results["calls"]["at"],
    )


def write() -> None:
    """Write the page and print each row with its ceiling check."""
    results = json.loads((RESULTS / "capacity.json").read_text())
    latency = json.loads((RESULTS / "latency.json").read_text())
    PAGE.write_text(page(results, latency))
    for row in rows_of(results, latency):
        print(f"{row.what:45} {row.value:9.3g} {row.unit:12} {row.fits}")
