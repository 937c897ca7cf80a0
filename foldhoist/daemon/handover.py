"""Idempotency keys that change their home: asks former homes, answers new ones."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from foldhoist.config.fleet import homes_of, targets_of

if TYPE_CHECKING:
    from foldhoist.daemon.control import Control
    from foldhoist.delivery.owner import Owner
    from foldhoist.schema.fleet import Fleet
    from foldhoist.schema.messages import Handed, Handover

ASK_AGAIN_S = 0.5
"""Time between two questions to a former home that has not answered, seconds."""


class HandoverTask:
    """Keeps the owner's key table in step with the configuration in force."""

    def __init__(self, owner: Owner, control: Control) -> None:
        self._owner = owner
        self._control = control
        self._fleet: Fleet | None = None
        self._unanswered: dict[str, Handover] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start asking again for what is missing."""
        self._task = asyncio.get_running_loop().create_task(self._ask_again())

    def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    def adopt(self, generation: int, fleet: Fleet) -> None:
        """Take over a configuration; from now on only keys of this generation's homes are run."""
        self._fleet = fleet
        service = self._owner.service
        others = [name for name in targets_of(fleet, service)]
        self._owner.keys.adopt(_wall_ms(), generation, homes_of(fleet, service), others)
        self._ask()
        for name, message in list(self._unanswered.items()):
            if message["generation"] <= generation:
                del self._unanswered[name]
                self.on_handover(message)

    def on_handover(self, message: Handover) -> None:
        """Answer a new home once its generation is adopted here."""
        if message["service"] != self._owner.service:
            return
        keys = self._owner.keys
        if keys.generation < message["generation"]:
            self._unanswered[message["target"]] = message
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
        """Take in what a former home knew."""
        if message["service"] == self._owner.service:
            self._owner.keys.handed(asyncio.get_running_loop().time(), message)

    def _ask(self) -> None:
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

    async def _ask_again(self) -> None:
        while True:
            await asyncio.sleep(ASK_AGAIN_S)
            self._ask()


def _wall_ms() -> int:
    return int(time.time() * 1000)
