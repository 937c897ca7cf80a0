"""Runs every benchmark except capacity: stages, latency, leaving, decisions."""

from __future__ import annotations

from bench import decisions, latency, leaving, report, stages


def main() -> None:
    """Run the benchmarks in sequence and write the report."""
    for name, run in (
        ("stages of a call", stages.main),
        ("added latency", latency.main),
        ("leaving upstreams", leaving.main),
        ("decisions", decisions.main),
    ):
        print(f"\n# {name}", flush=True)
        run()
    report.write()


if __name__ == "__main__":
    main()
