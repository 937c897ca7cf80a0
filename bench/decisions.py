"""Simulates every balancing policy on every case and compares it with an oracle.

The oracle knows the true state of every upstream at each choice: busy slots, queue, speed.
`python -m bench.decisions [--quick]`.
"""

from __future__ import annotations

import sys
import time
from multiprocessing import Pool
from typing import TYPE_CHECKING, Any, NamedTuple

from bench.deployments import ISTANBUL, TRINIDAD, CallOutcome, Case, Deployment, Slowdown
from bench.figures import percentile, spread, write_results
from bench.simulation import Simulation
from foldhoist.routing.picker import Choice, NoChoice, Picker

if TYPE_CHECKING:
    from collections.abc import Container

    from foldhoist.routing.picker import Pick

POLICIES = (
    "random",
    "round-robin",
    "least-in-flight",
    "two-choices",
    "hot-cold",
    "mixed",
    "oracle",
)
SEEDS = 5
WORKERS = 6
SLOW = Slowdown(1.0, 9.0, 20.0)
CASES = (
    Case("steady 50%", 0.5),
    Case("steady 80%", 0.8),
    Case("steady 95%", 0.95),
    Case("steady 120%", 1.2),
    Case("bursts of 10x for 50 ms", 0.3, bursts=((0.5, 0.55, 10.0), (1.2, 1.25, 10.0))),
    Case("noisy neighbours", 0.6, noisy=True),
    Case("one 20 times slower", 0.6, slow=((1, SLOW),)),
    Case("one fails fast", 0.6, failing=((1, 1.0, 9.0),)),
    Case("one fails fast and reports idleness", 0.6, failing=((1, 1.0, 9.0),), misleading=1),
    Case("one joins, one leaves", 0.6, joining=((1, 0.6),), leaving=((2, 1.2),)),
    Case("reports 50 ms late", 0.8, report_delay_s=0.05),
    Case("reports 2000 ms late", 0.8, report_delay_s=2.0),
    Case("a data centre lost", 0.45, lost_centre_at=1.0),
    Case("all callers at one daemon", 0.8, one_ingress=True),
)


class OraclePicker(Picker):
    """Chooses by the current true state of every upstream."""

    simulation: Simulation

    def pick(
        self,
        now: float,
        excluded: Container[str],
        explain: bool = True,
        route: str = "",
        remote_s: float = 0.0,
        start_by: float = float("inf"),
    ) -> Pick:
        """Choose the upstream that would finish one more call first."""
        best, lowest_cost = "", float("inf")
        for name, stats in self.tracks.items():
            if not stats.connected or name in excluded or name in self.simulation.down:
                continue
            cost = self._cost(name, now)
            if cost < lowest_cost:
                best, lowest_cost = name, cost
        if not best:
            return NoChoice("no-other-upstream", 0.1)
        return Choice(best, "oracle", ())

    def _cost(self, name: str, now: float) -> float:
        owner, upstream = self.simulation.owners[name], self.simulation.upstreams[name]
        if owner.leaving or upstream.fails(now):
            return float("inf")
        service = upstream.service_s * upstream.factor(now)
        load, slots = owner.queue, owner.queue.limits.slots
        waiting = load.queued + self.simulation.calls_in_transit(name)
        over = max(0, load.busy + waiting + 1 - slots)
        near = 0.0 if self.tracks[name].data_centre == self.data_centre else 0.0005
        return service * (1.0 + over / slots) + near + 1e-7 * (load.busy + waiting)


class Run(NamedTuple):
    """Parameters of a simulated run."""

    deployment: Deployment
    case: Case
    policy: str
    seed: int


def simulate(run: Run) -> dict[str, Any]:
    """Simulate one run; returns its metrics, times in milliseconds."""
    oracle = run.policy == "oracle"
    simulation = Simulation(run.deployment, run.case, "mixed" if oracle else run.policy, run.seed)
    if oracle:
        install_oracle_pickers(simulation)
    outcomes = simulation.run()
    return metrics_of(simulation, outcomes)


def install_oracle_pickers(simulation: Simulation) -> None:
    """Replace the pickers of every ingress by oracles."""
    for ingress in simulation.ingresses.values():
        for state in ingress._services.all():
            old = state.picker
            picker = OraclePicker(old.policy, old.data_centre, old.outliers.max_share, old.rng)
            picker.tracks = old.tracks
            picker.simulation = simulation
            state.picker = picker


def metrics_of(simulation: Simulation, outcomes: list[CallOutcome]) -> dict[str, Any]:
    """Return the metrics of a run without its first 200 ms."""
    settled = [each for each in outcomes if each.at > 0.2]
    good = [each for each in settled if each.verdict == "answered" and not each.failed]
    figures: dict[str, Any] = {"calls": len(settled)}
    for kind, urgent in (("ordinary", False), ("urgent", True)):
        times = [each.seconds * 1000 for each in good if each.urgent is urgent]
        for share in (50, 99, 99.9):
            figures[f"{kind}_p{share:g}"] = percentile(times, share)
    for verdict in ("answered", "not-run", "may-have-run"):
        named = sum(1 for each in settled if each.verdict == verdict)
        figures[verdict] = named / len(settled)
    figures["good"] = len(good) / len(settled)
    figures["goodput_per_s"] = len(good) / (simulation.case.length_s - 0.2)
    figures["bad_share"] = share_to_degraded(simulation, outcomes)
    attempts = sum(len(each.targets) for each in settled)
    figures["attempts_per_call"] = attempts / len(settled)
    return figures


def share_to_degraded(simulation: Simulation, outcomes: list[CallOutcome]) -> float:
    """Return the share of attempts that went to slow or failing upstreams.

    Counts calls from 100 ms after the first upstream degraded; 0.0 if none does.
    """
    bad = {simulation.names[at]: slow.begin for at, slow in simulation.case.slow}
    bad |= {simulation.names[at]: begin for at, begin, _ in simulation.case.failing}
    if not bad:
        return 0.0
    total = hits = 0
    for each in outcomes:
        if each.at < min(bad.values()) + 0.1:
            continue
        total += len(each.targets)
        hits += sum(1 for target in each.targets if target in bad)
    return hits / total if total else 0.0


def main() -> None:
    """Simulate every run, print the table and write the results."""
    quick = "--quick" in sys.argv
    deployments = (ISTANBUL,) if quick else (ISTANBUL, TRINIDAD)
    seeds = 2 if quick else SEEDS
    runs = [
        Run(deployment, case, policy, seed)
        for deployment in deployments
        for case in CASES
        for policy in POLICIES
        for seed in range(seeds)
    ]
    with Pool(WORKERS) as pool:
        made = pool.map(simulate, runs, chunksize=1)
    rows = collect(runs, made)
    for row in rows:
        show(row)
    write_results("decisions", {"at": time.strftime("%Y-%m-%d"), "seeds": seeds, "rows": rows})


def collect(runs: list[Run], made: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return a row for each deployment, case and policy, with median and range over seeds."""
    grouped: dict[tuple[str, str, str], list[dict[str, Any]]] = {}
    for run, figures in zip(runs, made, strict=True):
        grouped.setdefault((run.deployment.name, run.case.name, run.policy), []).append(figures)
    rows: list[dict[str, Any]] = []
    for (deployment, case, policy), several in grouped.items():
        row: dict[str, Any] = {"deployment": deployment, "case": case, "policy": policy}
        for name in several[0]:
            row[name] = spread([float(each[name]) for each in several])
        rows.append(row)
    return rows


def show(row: dict[str, Any]) -> None:
    """Print a row of the results."""
    p99, urgent, good, bad = (
        row[name]["median"] for name in ("ordinary_p99", "urgent_p99", "good", "bad_share")
    )
    tail = row["ordinary_p99.9"]["median"]
    goodput = row["goodput_per_s"]["median"]
    print(
        f"{row['deployment']:9} {row['case']:36} {row['policy']:16} p99 {p99:7.1f}  "
        f"p99.9 {tail:7.1f}  urgent p99 {urgent:7.1f}  good {good:6.3f}  {goodput:6.0f}/s  "
        f"bad {bad:5.3f}"
    )


if __name__ == "__main__":
    main()
