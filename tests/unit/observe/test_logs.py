"""Log lines of the package and of its libraries take one way, which never waits for a reader."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
TIMEOUT_S = 30.0
"""Timeout of a process, seconds; only guards against a hang."""
PROGRAM = """
import logging
from foldhoist.observe.logs import set_up_logs
set_up_logs({"log_level": "INFO", "log_format": "json"}, "a")
for number in range(LINES):
    try:
        raise ValueError("x" * 100)
    except ValueError as exc:
        logging.getLogger("asyncio").error("line %d {}", number, exc_info=exc)
"""
PIPE_LINES = 2000
"""Lines that no pipe holds."""


def command(lines: int) -> list[str]:
    return [sys.executable, "-c", PROGRAM.replace("LINES", str(lines))]


def test_lines_of_libraries_have_the_format_of_the_settings() -> None:
    """Guards against errors of asyncio and tornado that a reader of JSON lines does not see."""
    done = subprocess.run(command(1), cwd=ROOT, stderr=subprocess.PIPE, check=True)
    line = json.loads(done.stderr)
    assert (line["level"], line["message"]) == ("ERROR", "asyncio: line 0 {}")
    assert "ValueError" in line["traceback"]


def test_lines_of_libraries_do_not_wait_for_a_reader() -> None:
    """Guards against an event loop that stands still in a write to a full pipe."""
    reading, writing = os.pipe()
    try:
        subprocess.run(command(PIPE_LINES), cwd=ROOT, stderr=writing, check=True, timeout=TIMEOUT_S)
    finally:
        os.close(reading)
        os.close(writing)
