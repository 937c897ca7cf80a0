"""A daemon remembers signals from its first line on, until its process has ended."""

from __future__ import annotations

import os
import signal
from typing import TYPE_CHECKING

import pytest

from tests.integration.held_process import WITH_ADAPTER, HeldProcess, settings

if TYPE_CHECKING:
    from pathlib import Path

FIRST_SLOW_IMPORT = "msgspec"
"""The first module that a daemon imports from outside the package and the standard library."""


@pytest.mark.parametrize("stop", [signal.SIGTERM, signal.SIGINT])
def test_a_stop_signal_during_the_imports_ends_with_success(
    tmp_path: Path, stop: signal.Signals
) -> None:
    """Guards against the default action of signals until the daemon listens."""
    path = tmp_path / "p.ini"
    path.write_text(settings())
    with HeldProcess(tmp_path, path, FIRST_SLOW_IMPORT) as process:
        held = process.wait_held()
        process.popen.send_signal(stop)
        os.close(held)
        assert process.exit_code() == 0


def test_a_reload_signal_during_the_imports_does_not_end_the_process(tmp_path: Path) -> None:
    """Guards against the default action of SIGHUP until the daemon listens."""
    path = tmp_path / "p.ini"
    path.write_text(settings())
    with HeldProcess(tmp_path, path, FIRST_SLOW_IMPORT) as process:
        held = process.wait_held()
        process.popen.send_signal(signal.SIGHUP)
        os.close(held)
        assert process.addresses()
        process.popen.send_signal(signal.SIGTERM)
        assert process.exit_code() == 0


@pytest.mark.parametrize("platform", [WITH_ADAPTER, ""])
def test_settings_that_change_while_they_are_read_are_applied(
    tmp_path: Path, platform: str
) -> None:
    """Guards against a change that is lost as its SIGHUP comes before the daemon listens."""
    path, fifo = tmp_path / "p.ini", tmp_path / "read"
    os.mkfifo(fifo)
    path.symlink_to(fifo)
    with HeldProcess(tmp_path, path) as process:
        held = process.wait_held(fifo)
        os.set_blocking(held, True)
        os.write(held, settings(platform).encode())
        changed = tmp_path / "changed"
        changed.write_text(settings(platform) + "idle_ms = 9000\n")
        changed.replace(path)
        process.popen.send_signal(signal.SIGHUP)
        os.close(held)
        assert process.addresses()
        process.wait_logged("settings read again, changed: [limits] idle_ms")
        process.popen.send_signal(signal.SIGTERM)
        assert process.exit_code() == 0


def test_a_stop_signal_while_the_settings_are_read_ends_with_success(tmp_path: Path) -> None:
    """Guards against the default action of signals between the imports and the start."""
    fifo = tmp_path / "read"
    os.mkfifo(fifo)
    with HeldProcess(tmp_path, fifo) as process:
        held = process.wait_held(fifo)
        os.set_blocking(held, True)
        os.write(held, settings().encode())
        process.popen.send_signal(signal.SIGTERM)
        os.close(held)
        assert process.exit_code() == 0


@pytest.mark.parametrize("platform", [WITH_ADAPTER, ""])
def test_further_signals_during_the_shutdown_do_not_end_the_process(
    tmp_path: Path, platform: str
) -> None:
    """Guards against signals that cut off a graceful shutdown."""
    path = tmp_path / "p.ini"
    path.write_text(settings(platform))
    with HeldProcess(tmp_path, path) as process:
        process.addresses()
        process.popen.send_signal(signal.SIGTERM)
        process.wait_logged("draining")
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            process.popen.send_signal(number)
        assert process.exit_code() == 0
        assert "process ends" in process.log()


@pytest.mark.parametrize("late", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
def test_a_signal_after_the_event_loop_has_closed_does_not_change_the_exit_code(
    tmp_path: Path, late: signal.Signals
) -> None:
    """Guards against the default actions that asyncio and the interpreter restore at the end."""
    path = tmp_path / "p.ini"
    path.write_text(settings())
    with HeldProcess(tmp_path, path, "exit") as process:
        process.addresses()
        process.popen.send_signal(signal.SIGTERM)
        held = process.wait_held()
        process.popen.send_signal(late)
        os.close(held)
        assert process.exit_code() == 0
