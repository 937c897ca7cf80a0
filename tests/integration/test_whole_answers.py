"""Promise 2: a caller gets the complete answer to its own request, and no other.

Bodies are unique and upstreams echo them; `harness.check_body` compares each one.
"""

from __future__ import annotations

import asyncio
import signal

from tests.integration import harness
from tests.integration.harness import load, make_fleet, with_proxies

CALLS = 12000
AT_ONCE = 150


def test_concurrent_calls_get_their_own_answers_under_faults() -> None:
    with make_fleet(service_ms=2.0) as fleet:
        proxies = with_proxies(fleet)
        fleet.control_upstream("depo-2", cut_share=0.02)

        async def inject_faults() -> None:
            for turn in range(8):
                proxy = proxies[f"depo-{turn % 3 + 1}"]
                proxy.faults.delay_s = 0.02
                await asyncio.sleep(0.1)
                proxy.faults.delay_s = 0.0
                proxy.faults.slow_bytes = 40
                await asyncio.sleep(0.05)
                proxy.faults.slow_bytes = 0
                proxy.cut()
                fleet.daemons["depo-3"].signal(signal.SIGSTOP)
                await asyncio.sleep(0.1)
                fleet.daemons["depo-3"].signal(signal.SIGCONT)

        results = asyncio.run(load(fleet, CALLS, AT_ONCE, during=inject_faults))
        ran = harness.executions(fleet)
        for proxy in proxies.values():
            proxy.close()
    verdicts = harness.verdicts(results)
    assert verdicts["answered"] > CALLS / 2, verdicts
    assert harness.not_run_but_executed(results, ran) == []
    assert harness.executed_twice(results, ran) == []


def cut_answers(mutant: str) -> list[harness.CallResult]:
    with make_fleet(mutant) as fleet:
        fleet.start()
        for name in harness.NAMES:
            fleet.control_upstream(name, cut_share=1.0)
        return asyncio.run(load(fleet, 60, 10, method="GET", path="/depo/lookup?size=1000"))


def test_a_cut_answer_is_never_a_success() -> None:
    results = cut_answers("")
    assert all(result.outcome.verdict == "may-have-run" for result in results)
    assert all(result.outcome.status == 502 for result in results)


def test_without_the_completeness_check_a_cut_answer_is_a_success() -> None:
    results = cut_answers("cut-is-complete")
    short = [
        result
        for result in results
        if result.outcome.status == 200 and len(result.outcome.body) < 1000
    ]
    assert short
