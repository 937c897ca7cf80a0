"""Which errors of a listener end the daemon, and what a failed try leaves open."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from types import SimpleNamespace
from typing import TYPE_CHECKING

import pytest

from foldhoist.daemon import listeners
from foldhoist.daemon.listeners import addresses_of, open_listeners
from foldhoist.exceptions import ListenError

if TYPE_CHECKING:
    from foldhoist.schema.settings import Listen

ANY: Listen = {option: "127.0.0.1:0" for option in listeners.OPTIONS}  # type: ignore[assignment]


class FailingSocket(socket.socket):
    """A socket whose third `bind` or `listen` fails."""

    fails = ""
    error = 0
    calls = 0
    opened: list[socket.socket]

    def __init__(self, family: int) -> None:
        super().__init__(family)
        type(self).opened.append(self)

    def bind(self, address: object) -> None:
        self._fail("bind")
        super().bind(address)  # type: ignore[arg-type]

    def listen(self, backlog: int = 0) -> None:
        self._fail("listen")
        super().listen(backlog)

    def _fail(self, call: str) -> None:
        if call != self.fails:
            return
        type(self).calls += 1
        if self.calls == 3:
            raise OSError(self.error, os.strerror(self.error))


def fail_once(monkeypatch: pytest.MonkeyPatch, call: str, error: int) -> type[FailingSocket]:
    class Failing(FailingSocket):
        """The sockets of one test."""

    Failing.fails, Failing.error, Failing.opened = call, error, []
    monkeypatch.setattr(listeners, "socket", SimpleNamespace(**{**vars(socket), "socket": Failing}))
    return Failing


@pytest.mark.parametrize("call", ["bind", "listen"])
@pytest.mark.parametrize("error", [errno.EACCES, errno.EADDRNOTAVAIL, errno.EMFILE])
def test_an_error_other_than_in_use_is_raised_and_leaves_nothing_open(
    monkeypatch: pytest.MonkeyPatch, call: str, error: int
) -> None:
    """Guards against a wait that never ends, and against listeners of a failed start."""
    failing = fail_once(monkeypatch, call, error)
    with pytest.raises(ListenError, match=r"\[listen\] control = 127.0.0.1:0"):
        asyncio.run(open_listeners(ANY))
    assert all(sock.fileno() == -1 for sock in failing.opened)


@pytest.mark.parametrize("call", ["bind", "listen"])
def test_a_try_that_fails_as_an_address_is_in_use_leaves_nothing_open(
    monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    """Guards against a half-open daemon: callers that connect and get no answer."""
    failing = fail_once(monkeypatch, call, errno.EADDRINUSE)
    socks = asyncio.run(open_listeners(ANY))
    opened = [sock for sock in failing.opened if sock.fileno() != -1]
    assert opened == list(socks.values())
    assert list(addresses_of(socks)) == list(listeners.OPTIONS)
    for sock in opened:
        sock.close()
