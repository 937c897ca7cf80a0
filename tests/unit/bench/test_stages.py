"""The benchmark of the stages of a call works with the daemon's objects."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from bench import stages

if TYPE_CHECKING:
    import pytest


def test_every_call_passes_all_stages(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stages, "CALLS", 10)

    async def run() -> dict[str, float]:
        return stages.CallPath().run()

    spent = asyncio.run(run())
    assert set(spent) == set(stages.STAGES)
    assert all(spent.values())
