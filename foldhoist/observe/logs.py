"""Log lines: changes of state and, now and then, counters; as text or as JSON."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

    from foldhoist.schema.settings import Observe

TEXT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[daemon]} {message}"
"""Format of a text line."""


def set_up_logs(cfg: Observe, name: str) -> None:
    """Send log lines to standard error, as the settings say."""
    logger.remove()
    logger.configure(extra={"daemon": name})
    if cfg["log_format"] == "json":
        logger.add(_write_json, level=cfg["log_level"])
        return
    logger.add(sys.stderr, level=cfg["log_level"], format=TEXT, colorize=False)


def _write_json(message: Message) -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    sys.stderr.write(msgspec.json.encode(line, enc_hook=str).decode() + "\n")
