"""The monitor of the soak's event loop: guards against its own stalls being blamed on daemons."""

from __future__ import annotations

import asyncio
import time

from soak.stalls import CHECK_INTERVAL_S, StallMonitor

STALL_S = 0.3


def test_a_stall_of_the_loop_is_measured() -> None:
    async def stall() -> float:
        began = asyncio.get_running_loop().time()
        monitor = StallMonitor()
        await asyncio.sleep(0)
        time.sleep(STALL_S)
        await asyncio.sleep(2 * CHECK_INTERVAL_S)
        monitor.close()
        return monitor.longest_since(began)

    assert asyncio.run(stall()) >= STALL_S - CHECK_INTERVAL_S - 0.001
