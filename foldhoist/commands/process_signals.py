"""Signals of this process, recorded from its first line on until the daemon acts on them.

Imports nothing that loads slowly: until the handlers are installed, a signal ends the process.
"""

from __future__ import annotations

import signal

TYPE_CHECKING = False
if TYPE_CHECKING:
    from asyncio import AbstractEventLoop
    from collections.abc import Callable
    from socket import socket
    from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""Signals that shut the daemon down gracefully."""
RELOAD_SIGNAL = signal.SIGHUP
"""Signal after which the settings are read again."""
WAKEUP_READ_BYTES = 4096
"""Most wake-up bytes read at once; one is written for each signal."""


class ProcessSignals:
    """Records signals, and wakes up an event loop to act on them.

    The handlers stay in place when the event loop closes, so that no signal has its default action
    while the process ends.
    """

    def __init__(self) -> None:
        self.installed = False
        self.stop: signal.Signals | None = None
        self._wakeup: tuple[socket, socket]
        self._reload = False

    def install(self) -> None:
        """Record signals from now on."""
        self.installed = True
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
            signal.signal(number, self._record)

    def ignore(self) -> None:
        """Ignore signals from now on: the interpreter would restore their default actions."""
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
            signal.signal(number, signal.SIG_IGN)

    def take_reload(self) -> bool:
        """Return whether a reload was requested since the last call."""
        requested = self._reload
        self._reload = False
        return requested

    def attach(self, loop: AbstractEventLoop, on_signal: Callable[[], None]) -> None:
        """Call `on_signal` in the event loop after each signal, and now for earlier ones."""
        from socket import socketpair

        reading, writing = self._wakeup = socketpair()
        reading.setblocking(False)
        writing.setblocking(False)

        def on_readable() -> None:
            reading.recv(WAKEUP_READ_BYTES)
            on_signal()

        loop.add_reader(reading, on_readable)
        signal.set_wakeup_fd(writing.fileno(), warn_on_full_buffer=False)
        on_signal()

    def detach(self, loop: AbstractEventLoop) -> None:
        """Only record signals from now on, as the event loop is about to close."""
        signal.set_wakeup_fd(-1)
        reading, writing = self._wakeup
        loop.remove_reader(reading)
        reading.close()
        writing.close()

    def _record(self, number: int, frame: FrameType | None) -> None:
        if number == RELOAD_SIGNAL:
            self._reload = True
            return
        if self.stop is None:
            self.stop = signal.Signals(number)


SIGNALS = ProcessSignals()
"""The signals of this process."""
