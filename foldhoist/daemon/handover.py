"""Transfers idempotency keys whose home has changed, between the former and the new home."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from foldhoist.config.fleet import homes_of, targets_of
from foldhoist.daemon.background import run_task

if TYPE_CHECKING:
    from foldhoist.daemon.control import Control
    from foldhoist.delivery.owner import Owner
    from foldhoist.schema.fleet import Fleet
    from foldhoist.schema.messages import Handed, Handover

RETRY_INTERVAL_S = 0.5
"""Interval of requests to targets that have not handed over their keys, seconds."""


class HandoverTask:
    """Applies the configuration in force to the owner's key table, and hands over its keys."""

    def __init__(self, owner: Owner, control: Control) -> None:
        self._owner = owner
        self._control = control
        self._fleet: Fleet | None = None
        self._early_requests: dict[str, Handover] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start repeating the requests that are not answered."""
        self._task = run_task("handover", self._retry_loop)

    def close(self) -> None:
        """Cancel the task."""
        if self._task is not None:
            self._task.cancel()

    def adopt(self, generation: int, fleet: Fleet) -> None:
        """Apply a generation; request keys from other targets, and answer requests that waited."""
        self._fleet = fleet
        service = self._owner.service
        others = [name for name in targets_of(fleet, service)]
        self._owner.keys.adopt(_wall_ms(), generation, homes_of(fleet, service), others)
        self._request_keys()
        for name, message in list(self._early_requests.items()):
            if message["generation"] <= generation:
                del self._early_requests[name]
                self.on_handover(message)

    def on_handover(self, message: Handover) -> None:
        """Send a target the keys whose home it now is, once its generation is adopted here."""
        if message["service"] != self._owner.service:
            return
        keys = self._owner.keys
        if keys.generation < message["generation"]:
            self._early_requests[message["target"]] = message
            return
        now = asyncio.get_running_loop().time()
        handed: Handed = {
            "service": self._owner.service,
            "generation": keys.generation,
            "former": self._owner.name,
            "since_ms": keys.since_ms,
            "keys": keys.export(now, message["target"]),
        }
        self._control.send(message["answer_to"], "Handed", handed)

    def on_handed(self, message: Handed) -> None:
        """Import the keys that another target hands over."""
        if message["service"] == self._owner.service:
            self._owner.keys.handed(asyncio.get_running_loop().time(), message)

    def _request_keys(self) -> None:
        if self._fleet is None:
            return
        for name in self._owner.keys.pending:
            target = self._fleet["targets"].get(name)
            if target is None:
                continue
            message: Handover = {
                "service": self._owner.service,
                "generation": self._owner.keys.generation,
                "target": self._owner.name,
                "answer_to": self._control.address,
            }
            self._control.send(target["control"], "Handover", message)

    async def _retry_loop(self) -> None:
        while True:
            await asyncio.sleep(RETRY_INTERVAL_S)
            self._request_keys()


def _wall_ms() -> int:
    return int(time.time() * 1000)
