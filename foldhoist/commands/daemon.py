"""`foldhoist daemon`: runs one daemon until it is stopped."""

from __future__ import annotations

import asyncio
import sys
import threading
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from foldhoist.commands.launch_time import LAUNCH_TIME_S
from foldhoist.commands.output import (
    EXIT_FAILED,
    EXIT_FAULTS,
    EXIT_OK,
    EXIT_UNREACHABLE,
    print_faults,
)
from foldhoist.commands.process_signals import SIGNALS
from foldhoist.config.faults import show
from foldhoist.config.settings import load_settings
from foldhoist.daemon.background import report_callback_errors, run_once
from foldhoist.exceptions import ListenError
from foldhoist.observe.logs import LineWriter, set_up_logs

if TYPE_CHECKING:
    from foldhoist.daemon.daemon import Daemon
    from foldhoist.daemon.mesh import MeshDaemon
    from foldhoist.schema.settings import Settings


def daemon(settings: str) -> int:
    """Run one daemon in the foreground; SIGTERM and SIGINT shut it down gracefully.

    Once it listens, it prints one JSON line with its addresses to standard output. SIGHUP makes it
    read its settings again.

    :param settings: Path of the daemon's settings file.
    """
    return run_daemon(settings, LAUNCH_TIME_S)


def run_daemon(settings: str, began: float) -> int:
    """Run one daemon and return the exit code; `began` is its launch time, monotonic seconds."""
    SIGNALS.install()
    SIGNALS.take_reload()
    loaded = load_settings(settings)
    if loaded.is_error():
        print_faults(loaded.error, as_json=False)
        return EXIT_FAULTS
    cfg = loaded.ok
    set_up_logs(cfg["observe"], cfg["daemon"]["name"])
    try:
        code = asyncio.run(_run(cfg, settings, began))
    except Exception as exc:
        logger.opt(exception=exc).error("the daemon ends: {!r}", exc)
        code = EXIT_FAILED
    logger.info("event loop closed, {} threads left", threading.active_count() - 1)
    return code


async def _run(cfg: Settings, path: str, began: float) -> int:
    lifecycle = _Lifecycle(_make(cfg, began), path)
    loop = asyncio.get_running_loop()
    report_callback_errors(loop)
    SIGNALS.attach(loop, lifecycle.act_on_signals)
    try:
        code = await lifecycle.run()
    finally:
        SIGNALS.detach(loop)
    logger.info("process ends, {} tasks left", len(asyncio.all_tasks()) - 1)
    return code


class _Lifecycle:
    """Starts a daemon and waits until it has stopped; acts on the signals of the process."""

    def __init__(self, running: Daemon | MeshDaemon, path: str) -> None:
        self._running = running
        self._path = path
        self._started = False
        self._listening: asyncio.Task[None] | None = None
        self._drain: asyncio.Task[None] | None = None

    async def run(self) -> int:
        """Run the daemon until it has stopped; returns the exit code."""
        try:
            if not await self._listen():
                return EXIT_OK
            await self._running.start()
        except ListenError as exc:
            logger.error("cannot listen: {}", exc)
            return EXIT_UNREACHABLE
        self._started = True
        _announce(self._running)
        self.act_on_signals()
        await self._running.stopped.wait()
        return EXIT_OK

    def act_on_signals(self) -> None:
        """Read the settings again, or end the daemon, if a signal requests it."""
        if not self._started:
            if SIGNALS.stop is not None and self._listening is not None:
                self._listening.cancel()
            return
        if SIGNALS.take_reload() and not self._running.stopped.is_set():
            _reload(self._running, self._path)
        if SIGNALS.stop is not None and self._drain is None:
            logger.info("{} received", SIGNALS.stop.name)
            self._drain = run_once("shutdown", self._running.drain, self._running.stopped.set)

    async def _listen(self) -> bool:
        """Listen, unless a signal ends the daemon before; returns whether it listens."""
        if SIGNALS.stop is None:
            self._listening = asyncio.get_running_loop().create_task(self._running.listen())
            await asyncio.wait({self._listening})
            if not self._listening.cancelled():
                self._listening.result()
                return True
        logger.info("stopped by a signal before it listened")
        return False


def _announce(running: Daemon | MeshDaemon) -> None:
    """Print the line that says where the daemon listens, if standard output takes it."""
    ready = {"ready": running.name, "addresses": running.addresses}
    writer = LineWriter(sys.stdout.fileno())
    writer.write(msgspec.json.encode(ready).decode())
    if writer.dropped:
        logger.warning("standard output does not take the ready line")


def _reload(running: Daemon | MeshDaemon, path: str) -> None:
    """Read the settings again; if the file has errors, the current settings stay."""
    loaded = load_settings(path)
    if loaded.is_error():
        for fault in loaded.error:
            logger.error("settings are kept as they were: {}", show(fault))
        return
    running.reload(loaded.ok)


def _make(cfg: Settings, began: float) -> Daemon | MeshDaemon:
    """Return the daemon that the settings require; imports only the modules of its kind."""
    if cfg["platform"]["adapter"]:
        from foldhoist.daemon.mesh import MeshDaemon

        return MeshDaemon(cfg, began=began)
    from foldhoist.daemon.daemon import Daemon

    return Daemon(cfg)
