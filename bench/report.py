"""Writes the page and the plot of the decision benchmark from its results."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import matplotlib as mpl

from bench.figures import RESULTS

mpl.use("Agg")
import matplotlib.pyplot as plt

PAGE = Path(__file__).resolve().parent.parent / "docs" / "design" / "decisions.md"
GOAL = 1.15
"""Largest accepted ratio of a policy's p99 to the oracle's."""
HEAD = """# Decisions measured

Written by `make bench` from `bench/results/decisions.json` ({at}): the real ingress and owner
objects on simpy, {seeds} seeds, median (least to most). p99 of ordinary and of urgent calls in
milliseconds; *good* is the share of calls answered without error; *bad* the share of attempts that
went to the slowed or failing upstream from 100 ms after its change on. The cases are in
`bench/decisions.py`.

The goal is a p99 within 15% of the oracle's, ahead of every baseline. The oracle is greedy: it
knows the true state, but not what comes next, so that in overload it may answer more calls later.

![p99 of each policy as a multiple of the oracle's](decisions.png)

"""


def rows_by_case(body: dict[str, Any]) -> dict[tuple[str, str], dict[str, dict[str, Any]]]:
    """Return the rows by deployment and case, then by policy."""
    grouped: dict[tuple[str, str], dict[str, dict[str, Any]]] = {}
    for row in body["rows"]:
        grouped.setdefault((row["deployment"], row["case"]), {})[row["policy"]] = row
    return grouped


def summary(grouped: dict[tuple[str, str], dict[str, dict[str, Any]]]) -> list[str]:
    """Return table rows that compare 'mixed' with the oracle and the best baseline by case."""
    lines = ["| deployment | case | mixed p99 | to the oracle | best baseline | to it |"]
    lines.append("|---|---|---|---|---|---|")
    for (deployment, case), policies in grouped.items():
        p99 = {name: row["ordinary_p99"]["median"] for name, row in policies.items()}
        others = {name: p99[name] for name in p99 if name not in ("mixed", "oracle")}
        best = min(others, key=lambda name: others[name])
        ratio = p99["mixed"] / p99["oracle"]
        mark = "" if ratio <= GOAL else " **missed**"
        lines.append(
            f"| {deployment} | {case} | {p99['mixed']:.1f} | {ratio:.2f}{mark} | "
            f"{best} {others[best]:.1f} | {p99['mixed'] / others[best]:.2f} |"
        )
    return lines


def table(policies: dict[str, dict[str, Any]]) -> list[str]:
    """Return the table of a case, a row for each policy."""
    lines = ["| policy | p99 | p99.9 | urgent p99 | good | goodput/s | bad | attempts a call |"]
    lines.append("|---|---|---|---|---|---|---|---|")
    for name, row in policies.items():
        p99 = row["ordinary_p99"]
        lines.append(
            f"| {name} | {p99['median']:.1f} ({p99['least']:.1f} to {p99['most']:.1f}) | "
            f"{row['ordinary_p99.9']['median']:.1f} | {row['urgent_p99']['median']:.1f} | "
            f"{row['good']['median']:.3f} | {row['goodput_per_s']['median']:.0f} | "
            f"{row['bad_share']['median']:.3f} | {row['attempts_per_call']['median']:.3f} |"
        )
    return lines


def plot(grouped: dict[tuple[str, str], dict[str, dict[str, Any]]]) -> None:
    """Plot the ratio of each policy's p99 to the oracle's by case."""
    keys = list(grouped)
    figure, axes = plt.subplots(figsize=(11, 0.34 * len(keys) + 1.5))
    names = [name for name in grouped[keys[0]] if name != "oracle"]
    for name in names:
        ratios = []
        for key in keys:
            base = grouped[key]["oracle"]["ordinary_p99"]["median"]
            ratios.append(grouped[key][name]["ordinary_p99"]["median"] / base)
        size = 60 if name == "mixed" else 25
        axes.scatter(ratios, range(len(keys)), label=name, s=size, alpha=0.8)
    axes.axvline(GOAL, linestyle="--", linewidth=1, color="grey")
    axes.set_xscale("log")
    axes.set_yticks(range(len(keys)), [f"{deployment}: {case}" for deployment, case in keys])
    axes.invert_yaxis()
    axes.set_xlabel("p99 of ordinary calls, as a multiple of the oracle's (dashed: goal)")
    axes.legend(loc="lower right", fontsize=8)
    figure.tight_layout()
    figure.savefig(PAGE.with_suffix(".png"), dpi=90)
    plt.close(figure)


def write() -> None:
    """Write the page and the plot."""
    body = json.loads((RESULTS / "decisions.json").read_text())
    grouped = rows_by_case(body)
    lines = [HEAD.format(at=body["at"], seeds=body["seeds"]), *summary(grouped), ""]
    for (deployment, case), policies in grouped.items():
        lines += [f"## {deployment}: {case}", "", *table(policies), ""]
    PAGE.write_text("\n".join(lines))
    plot(grouped)


if __name__ == "__main__":
    write()
