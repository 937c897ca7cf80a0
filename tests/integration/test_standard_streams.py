"""A daemon starts and stops whatever its standard streams are connected to."""

from __future__ import annotations

import json
import os
import shlex
import signal
import subprocess
import sys
import urllib.error
import urllib.request
from typing import TYPE_CHECKING

import pytest

from standins.ports import AddressPool
from standins.processes import wait_until
from tests.integration.held_process import ANY_ADDRESSES, TIMEOUT_S, HeldProcess, settings

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


@pytest.fixture
def addresses() -> Iterator[dict[str, str]]:
    pool = AddressPool()
    yield {option: pool.take() for option in ANY_ADDRESSES}
    pool.close()


@pytest.fixture
def unread_pipe() -> Iterator[int]:
    """Return the writing end of a full pipe that nobody reads."""
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    for size in (4096, 1):
        try:
            while True:
                os.write(writing, b"x" * size)
        except BlockingIOError:
            pass
    os.set_blocking(writing, True)
    yield writing
    os.close(reading)
    os.close(writing)


@pytest.fixture
def broken_pipe() -> Iterator[int]:
    """Return the writing end of a pipe whose reader is gone."""
    reading, writing = os.pipe()
    os.close(reading)
    yield writing
    os.close(writing)


def answers(address: str) -> bool:
    """Return whether the daemon's event loop answers; it is not ready without a store."""
    try:
        urllib.request.urlopen(f"http://{address}/foldhoist/ready", timeout=TIMEOUT_S)
    except urllib.error.HTTPError as exc:
        return exc.code == 503
    return False


def check_life(path: Path, addresses: dict[str, str], redirections: str, given: int) -> None:
    """Start a daemon by a shell with redirections, wait until it answers, and stop it."""
    path.write_text(settings(addresses=addresses))
    command = shlex.join([sys.executable, "-m", "foldhoist", "daemon", str(path)])
    process = subprocess.Popen(
        ["/bin/sh", "-c", f"exec {command} {redirections}"],
        stdin=subprocess.DEVNULL,
        stdout=given,
        stderr=given,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(["platform", "."])},
    )
    try:
        wait_until(lambda: process.poll() is not None or answers(addresses["operators"]))
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize(
    "redirections",
    [">&-", "2>&-", ">&- 2>&-", "<&- >&- 2>&-", ">/dev/full", "2>/dev/full", ">/dev/full 2>&1"],
)
def test_a_daemon_lives_with_closed_and_full_streams(
    tmp_path: Path, addresses: dict[str, str], redirections: str
) -> None:
    """Guards against a process that ends as nobody takes its ready line or its log."""
    check_life(tmp_path / "p.ini", addresses, redirections, subprocess.DEVNULL)


@pytest.mark.parametrize("redirections", ["2>/dev/null", ">/dev/null", ""])
def test_a_daemon_lives_with_a_pipe_that_nobody_reads(
    tmp_path: Path, addresses: dict[str, str], redirections: str, unread_pipe: int
) -> None:
    """Guards against an event loop that waits for a reader of the ready line or of the log."""
    check_life(tmp_path / "p.ini", addresses, redirections, unread_pipe)


@pytest.mark.parametrize("redirections", ["2>/dev/null", ">/dev/null", ""])
def test_a_daemon_lives_with_a_pipe_whose_reader_is_gone(
    tmp_path: Path, addresses: dict[str, str], redirections: str, broken_pipe: int
) -> None:
    """Guards against a process that ends with the reader of its output."""
    check_life(tmp_path / "p.ini", addresses, redirections, broken_pipe)


def test_an_error_that_ends_a_daemon_is_a_line_of_its_log(
    tmp_path: Path, addresses: dict[str, str]
) -> None:
    """Guards against an end that only the interpreter tells, past the format of the log."""
    path = tmp_path / "p.ini"
    lines = "adapter = no_such_adapter\n[observe]\nlog_format = json"
    path.write_text(settings(lines, addresses))
    with HeldProcess(tmp_path, path) as process:
        assert process.exit_code() == 1
        found = [json.loads(line) for line in process.log().splitlines()]
    assert any("no_such_adapter" in line["message"] for line in found)
