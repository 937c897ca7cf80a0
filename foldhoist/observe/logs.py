"""Writes log lines to standard error, as text or JSON.

Writing never blocks: a line that a full pipe does not accept at once is dropped and counted.
"""

from __future__ import annotations

import logging
import os
import select
import sys
import traceback
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

    from foldhoist.config.reload import ReloadResult
    from foldhoist.schema.settings import Observe

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[daemon]} {message}"
"""Format of a text line."""
MAX_LINE_BYTES = 4096
"""Longest line with its newline: a pipe that polls as writable accepts this much at once."""
MAX_TRACEBACK_CHARS = 2000
"""Longest end of a traceback in a JSON line, characters."""


class LineWriter:
    """Writes complete lines to a file descriptor, or drops them; never blocks."""

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, line: str) -> None:
        """Write a line, cut to `MAX_LINE_BYTES`, if the descriptor accepts it at once."""
        data = line.encode("utf-8", "replace")
        if len(data) >= MAX_LINE_BYTES:
            data = data[: MAX_LINE_BYTES - 1]
        ready = self._poll.poll(0)
        if not ready or not ready[0][1] & select.POLLOUT:
            self.dropped += 1
            return
        try:
            os.write(self._descriptor, data + b"\n")
        except OSError:
            self.dropped += 1


class _LibraryHandler(logging.Handler):
    """Passes on what libraries log, which would otherwise be written to standard error directly.

    Such a write waits while nobody reads the pipe, and the event loop with it.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Log the record of a library."""
        logger.opt(exception=record.exc_info).log(
            record.levelname, "{}: {}", record.name, record.getMessage()
        )


def set_up_logs(cfg: Observe, name: str) -> LineWriter:
    """Send log lines to standard error in the format of the settings; returns the writer."""
    writer = LineWriter(sys.stderr.fileno())
    logging.basicConfig(handlers=[_LibraryHandler()], level=logging.WARNING, force=True)
    logging.captureWarnings(True)
    logger.remove()
    logger.configure(extra={"daemon": name})
    if cfg["log_format"] == "json":
        logger.add(lambda message: writer.write(_json_line(message)), level=cfg["log_level"])
        return writer
    logger.add(
        lambda message: writer.write(str(message).rstrip("\n")),
        level=cfg["log_level"],
        format=TEXT_FORMAT,
        colorize=False,
        backtrace=False,
        diagnose=False,
    )
    return writer


def write_event(event: str, fields: dict[str, Any]) -> None:
    """Log an event; its fields are keys of the line in JSON and part of the message in text."""
    logger.bind(event=event, **fields).info("{} {}", event, fields)


def log_reload(found: ReloadResult) -> None:
    """Log which changed settings were applied, and which need a restart."""
    logger.info("settings read again, changed: {}", ", ".join(found.applied) or "nothing")
    for name in found.left:
        logger.warning("{} has changed; restart the daemon to apply it", name)


def _json_line(message: Message) -> str:
    record = message.record
    extra = record["extra"]
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": extra.get("event", record["message"]),
        **extra,
    }
    if record["exception"] is not None:
        lines = traceback.format_exception(record["exception"].value)
        line["traceback"] = "".join(lines)[-MAX_TRACEBACK_CHARS:]
    return msgspec.json.encode(line, enc_hook=str).decode()
