"""Publishes a configuration to the log without the checks of `foldhoist apply`."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from foldhoist.configlog.fold import digest_of
from foldhoist.configlog.publisher import new_publish_id
from foldhoist.logservice.client import PlatformClient, pack_publish
from foldhoist.logservice.state import read_state

if TYPE_CHECKING:
    from standins.processes import LocalFleet


async def publish(fleet: LocalFleet, text: str) -> tuple[float, int]:
    """Append a change; returns its time of acceptance (wall clock) and its generation."""
    client = PlatformClient(fleet.platform_address, "configuration")
    state = (await read_state(client)).ok
    body = {
        "publish_id": new_publish_id(state, str(time.time_ns())),
        "base": state.generation,
        "base_digest": state.digest,
        "digest": digest_of(text),
        "content": text,
    }
    appended = await client.append(pack_publish(body))  # type: ignore[arg-type]
    assert appended.is_ok(), appended
    client.close()
    return time.time(), state.generation + 1
