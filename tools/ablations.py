"""Writes copies of the sources with one decision mechanism disabled each, for ablation studies.

`python -m tools.ablations OUT` writes a folder for each mechanism under OUT, with the packages of
a daemon. Results are in docs/design/further.md.
"""

import shutil
import sys
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = ("foldhoist", "platform", "deploy")


class Ablation(NamedTuple):
    """A mechanism, and the source text whose replacement disables it."""

    name: str
    file: str
    text: str
    replacement: str


ABLATIONS = (
    Ablation(
        "sampled-pace",
        "foldhoist/daemon/owner_task.py",
        'SamplePlan(cfg["measuring"]["sample_cost"])',
        "SamplePlan(0.0)",
    ),
    Ablation(
        "waiting-for-slow-spells",
        "foldhoist/admission/due.py",
        "return not self.pace.is_worth_waiting(now, call.expect_s)",
        "return True",
    ),
    Ablation(
        "pace-in-the-choice",
        "foldhoist/routing/policies.py",
        "if paces is not None and stats.pace:",
        "if False:",
    ),
    Ablation(
        "yielding-ranks",
        "foldhoist/admission/refusal_rates.py",
        "if decisions.total(now) >= MIN_DECISIONS:",
        "if False:",
    ),
    Ablation(
        "rank-in-the-order",
        "foldhoist/admission/due.py",
        "RANK_DELAY_S = 0.02",
        "RANK_DELAY_S = 0.0",
    ),
    Ablation(
        "nested-calls-first",
        "foldhoist/admission/due.py",
        "nested = self._callers.is_nested(route)",
        "nested = False",
    ),
    Ablation(
        "late-behind-timely",
        "foldhoist/admission/due.py",
        "if now + call.expect_s > (call.on_time_by or call.due):",
        "if False:",
    ),
    Ablation(
        "hedging",
        "foldhoist/delivery/rules.py",
        "if not call.repeatable or call.req.retried:",
        "if True:",
    ),
    Ablation(
        "other-owners-after-refusals",
        "foldhoist/delivery/rules.py",
        "MAX_REFUSALS = 3",
        "MAX_REFUSALS = 0",
    ),
    Ablation(
        "distance",
        "foldhoist/routing/policies.py",
        "if stats.data_centre != data_centre:",
        "if False:",
    ),
    Ablation(
        "ejection",
        "foldhoist/routing/outliers.py",
        "if stats.errors >= EJECT_ERROR_SHARE or _is_slow(upstreams, stats.name, stats.latency_s):",
        "if False:",
    ),
    Ablation(
        "ramp-of-new-upstreams",
        "foldhoist/routing/picker.py",
        "if age >= RAMP_S:",
        "if True:",
    ),
    Ablation(
        "reports-of-load",
        "foldhoist/routing/upstream_stats.py",
        "return self.in_flight + trust * self.decayed_other_calls(now)",
        "return float(self.in_flight)",
    ),
    Ablation(
        "trust-in-reports-learned",
        "foldhoist/routing/trust.py",
        "self.weight = min(1.0, max(0.0, 2.0 * (1.0 - self._report_error / self._mean_error)))",
        "self.weight = 1.0",
    ),
    Ablation(
        "retry-slack",
        "foldhoist/delivery/services.py",
        "SLACK_CAPACITY_SHARE = 0.4",
        "SLACK_CAPACITY_SHARE = 0.0",
    ),
    Ablation(
        "slots-below-the-knee",
        "foldhoist/admission/concurrency_limit.py",
        "MAX_SLOWDOWN = 1.3",
        "MAX_SLOWDOWN = 1e9",
    ),
)


def write(ablation: Ablation, out: Path) -> None:
    """Write the sources with a mechanism disabled to a folder named after it.

    Raises ValueError unless the text occurs exactly once in the file.
    """
    folder = out / ablation.name
    for package in PACKAGES:
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(ROOT / package, folder / package, dirs_exist_ok=True, ignore=ignored)
    path = folder / ablation.file
    source = path.read_text()
    if source.count(ablation.text) != 1:
        raise ValueError(f"{ablation.name}: {ablation.file} does not contain its text exactly once")
    path.write_text(source.replace(ablation.text, ablation.replacement))


if __name__ == "__main__":
    for each in ABLATIONS:
        write(each, Path(sys.argv[1]))
        print(each.name)
