"""Promise 2: a caller gets the whole answer to its own request and nothing of another's.

Bodies are unique and upstreams echo them; `harness.check_body` compares each one.
"""

from __future__ import annotations

import asyncio
import signal

from tests.integration import harness
from tests.integration.harness import load, make_fleet, with_proxies

CALLS = 12000
AT_ONCE = 150


def test_thousands_at_once_while_answers_are_late_cut_and_lost() -> None:
    with make_fleet(service_ms=2.0) as fleet:
        proxies = with_proxies(fleet)
        fleet.control_upstream("depo-2", cut_share=0.02)

        async def break_things() -> None:
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

        ended = asyncio.run(load(fleet, CALLS, AT_ONCE, during=break_things))
        ran = harness.executions(fleet)
        for proxy in proxies.values():
            proxy.close()
    verdicts = harness.verdicts(ended)
    assert verdicts["answered"] > CALLS / 2, verdicts
    assert harness.untrue_not_run(ended, ran) == []
    assert harness.run_twice(ended, ran) == []


def cut_answers(mutant: str) -> list[harness.Ended]:
    with make_fleet(mutant) as fleet:
        fleet.start()
        for name in harness.NAMES:
            fleet.control_upstream(name, cut_share=1.0)
        return asyncio.run(load(fleet, 60, 10, method="GET", path="/depo/lookup?size=1000"))


def test_a_cut_answer_is_never_a_success() -> None:
    ended = cut_answers("")
    assert all(end.outcome.verdict == "may-have-run" for end in ended)
    assert all(end.outcome.status == 502 for end in ended)


def test_taking_a_cut_answer_as_whole_is_found() -> None:
    ended = cut_answers("cut-is-whole")
    short = [end for end in ended if end.outcome.status == 200 and len(end.outcome.body) < 1000]
    assert short
