"""`foldhoist daemon`: runs one daemon until it is stopped."""

from __future__ import annotations

import asyncio
import sys
import threading
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from foldhoist.commands.launch_time import LAUNCH_TIME_S
from foldhoist.commands.output import EXIT_FAULTS, EXIT_OK, EXIT_UNREACHABLE, print_faults
from foldhoist.commands.process_signals import SIGNALS
from foldhoist.config.faults import show
from foldhoist.config.settings import load_settings
from foldhoist.observe.logs import set_up_logs

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
    code = asyncio.run(_run(cfg, settings, began))
    logger.info("event loop closed, {} threads left", threading.active_count() - 1)
    return code


async def _run(cfg: Settings, path: str, began: float) -> int:
    running = _make(cfg, began)
    if SIGNALS.stop is not None:
        logger.info("{} received before the start", SIGNALS.stop.name)
        return EXIT_OK
    try:
        await running.start()
    except OSError as exc:
        logger.error("cannot listen: {}; change the addresses under [listen]", exc)
        return EXIT_UNREACHABLE
    ready = {"ready": running.name, "addresses": running.addresses}
    sys.stdout.write(msgspec.json.encode(ready).decode() + "\n")
    sys.stdout.flush()
    handler = _SignalHandler(running, path)
    loop = asyncio.get_running_loop()
    SIGNALS.attach(loop, handler.act)
    try:
        await running.stopped.wait()
    finally:
        SIGNALS.detach(loop)
    logger.info("process ends, {} tasks left", len(asyncio.all_tasks()) - 1)
    return EXIT_OK


class _SignalHandler:
    """Acts on the recorded signals of a running daemon."""

    def __init__(self, running: Daemon | MeshDaemon, path: str) -> None:
        self._running = running
        self._path = path
        self._drain: asyncio.Task[None] | None = None

    def act(self) -> None:
        """Read the settings again, or shut the daemon down, if a signal requests it."""
        if SIGNALS.take_reload() and not self._running.stopped.is_set():
            _reload(self._running, self._path)
        if SIGNALS.stop is not None and self._drain is None:
            logger.info("{} received", SIGNALS.stop.name)
            self._drain = asyncio.get_running_loop().create_task(self._running.drain())


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
