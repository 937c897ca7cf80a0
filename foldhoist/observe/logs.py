"""Log lines: changes of state, decisions on calls, and now and then counters.

Lines go to standard error. Nothing waits for its reader: what a full pipe does not take at once is
left out and counted.
"""

from __future__ import annotations

import os
import select
import sys
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

    from foldhoist.config.reload import ReloadResult
    from foldhoist.schema.settings import Observe

TEXT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[daemon]} {message}"
"""Format of a text line."""
LONGEST = 4096
"""Longest line, bytes: what a pipe that can be written to takes at once."""


class LineWriter:
    """Writes whole lines to a descriptor, or leaves them out; never waits."""

    def __init__(self, descriptor: int) -> None:
        self.left_out = 0
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, line: str) -> None:
        """Write a line if the descriptor takes it at once."""
        data = line.encode("utf-8", "replace")
        if len(data) >= LONGEST:
            data = data[: LONGEST - 1]
        ready = self._poll.poll(0)
        if not ready or not ready[0][1] & select.POLLOUT:
            self.left_out += 1
            return
        try:
            os.write(self._descriptor, data + b"\n")
        except OSError:
            self.left_out += 1


def set_up_logs(cfg: Observe, name: str) -> LineWriter:
    """Send log lines to standard error, as the settings say; returns what writes them."""
    writer = LineWriter(sys.stderr.fileno())
    logger.remove()
    logger.configure(extra={"daemon": name})
    if cfg["log_format"] == "json":
        logger.add(lambda message: writer.write(_json_line(message)), level=cfg["log_level"])
        return writer
    logger.add(
        lambda message: writer.write(str(message).rstrip("\n")),
        level=cfg["log_level"],
        format=TEXT,
        colorize=False,
    )
    return writer


def write_event(event: str, fields: dict[str, Any]) -> None:
    """Write a line of an event; its fields stand beside the message in JSON, in it as text."""
    logger.bind(event=event, **fields).info("{} {}", event, fields)


def log_reload(found: ReloadResult) -> None:
    """Tell what was taken over of settings that were read again, and what was not."""
    logger.info("settings read again, changed: {}", ", ".join(found.applied) or "nothing")
    for name in found.left:
        logger.warning("{} has changed: restart the daemon for it", name)


def _json_line(message: Message) -> str:
    record = message.record
    extra = record["extra"]
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": extra.get("event", record["message"]),
        **extra,
    }
    return msgspec.json.encode(line, enc_hook=str).decode()
