"""The ingress's connections to owners: one for each, opened anew when it falls."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from foldhoist.daemon.frames import FrameConnection
from foldhoist.delivery.codec import SCHEMA_VERSION

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable, Mapping
    from random import Random

    from foldhoist.schema.messages import Hello

MIN_RETRY_S = 0.02
"""First pause before a connection is tried again, seconds; it doubles each time."""
MAX_RETRY_S = 0.5
"""Longest pause before a connection is tried again, seconds."""
CONNECT_TIMEOUT_S = 1.0
"""Longest wait for a connection and its first message, seconds."""
RETRY_NOW_TIMEOUT_S = 0.1
"""Longest such wait once the peer has shown that it is there, seconds.

A host without power swallows the first packet of a connection, which is sent again after a second
only: after all hosts of a site were powered off, half of the links came up 0.9 s after both of
their ends were running.
"""


UNWANTED_CLOSE_S = 10.0
"""A link that nobody wants is closed after this, seconds: longer than calls usually take."""


class LinkEvents:
    """What links tell: up, lost, refused, and every message."""

    def __init__(
        self,
        on_up: Callable[[str, str], None],
        on_lost: Callable[[str], None],
        on_refused: Callable[[str], None],
        on_message: Callable[[str, str, Any], None],
    ) -> None:
        self.on_up = on_up
        self.on_lost = on_lost
        self.on_refused = on_refused
        self.on_message = on_message


class Link:
    """The connection to one owner; a task keeps it up."""

    def __init__(
        self, name: str, address: str, hello: Hello, limit: int, events: LinkEvents, rng: Random
    ) -> None:
        self.name = name
        self.address = address
        self.up = False
        self.unwanted_since: float | None = None
        self._hello = hello
        self._limit = limit
        self._events = events
        self._rng = rng
        self._epoch = 0
        self._conn: FrameConnection | None = None
        self._fell = asyncio.Event()
        self._hurry = asyncio.Event()
        self._greeted = asyncio.Event()
        self._began = 0.0
        self._patience: asyncio.Timeout | None = None
        self._task = asyncio.get_running_loop().create_task(self._keep_up())

    def send(self, kind: str, body: Mapping[str, Any]) -> bool:
        """Write a message; returns False if the link is down."""
        if self._conn is None or not self.up:
            return False
        self._conn.send(kind, body)
        return True

    def retry_now(self) -> None:
        """Try again at once, also if a try hangs: the peer has shown that it is there."""
        self._hurry.set()
        if self._patience is not None:
            now = asyncio.get_running_loop().time()
            self._patience.reschedule(max(now, self._began + RETRY_NOW_TIMEOUT_S))

    def close(self) -> None:
        """Close for good."""
        self._task.cancel()
        if self._conn is not None:
            self._conn.close()

    async def _keep_up(self) -> None:
        pause = MIN_RETRY_S
        while True:
            if await self._connect():
                pause = MIN_RETRY_S
                await self._fell.wait()
                continue
            self._hurry.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(pause * (0.5 + self._rng.random())):
                    await self._hurry.wait()
            pause = min(MAX_RETRY_S, pause * 2)

    async def _connect(self) -> bool:
        host, _, port = self.address.rpartition(":")
        self._fell.clear()
        self._greeted.clear()
        loop = asyncio.get_running_loop()
        self._began = loop.time()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S) as self._patience:
                _, conn = await loop.create_connection(
                    lambda: FrameConnection(self._limit, self._message, self._lost), host, int(port)
                )
                self._conn = conn
                self._epoch += 1
                conn.send("Hello", {**self._hello, "epoch": self._epoch})
                await self._greeted.wait()
        except ConnectionRefusedError:
            self._events.on_refused(self.name)
            return False
        except (OSError, TimeoutError):
            self._drop()
            return False
        finally:
            self._patience = None
        return self.up

    def _message(self, conn: FrameConnection, kind: str, body: Any) -> None:
        if conn is not self._conn:
            return
        if kind == "Hello":
            self._greet(conn, body)
            return
        if kind == "Goaway":
            conn.send("Goaway", {"reason": "seen"})
        self._events.on_message(self.name, kind, body)

    def _greet(self, conn: FrameConnection, hello: Hello) -> None:
        if hello["schema"] != SCHEMA_VERSION or hello["name"] != self.name:
            conn.close()
            return
        self.up = True
        self._greeted.set()
        self._events.on_up(self.name, hello["incarnation"])

    def _lost(self, conn: FrameConnection) -> None:
        if conn is not self._conn:
            return
        self._conn = None
        was_up = self.up
        self.up = False
        self._greeted.set()
        self._fell.set()
        if was_up:
            self._events.on_lost(self.name)

    def _drop(self) -> None:
        if self._conn is not None:
            self._conn.close()


class Links:
    """All links of a daemon, by target name."""

    def __init__(self, hello: Hello, limit: int, events: LinkEvents, rng: Random) -> None:
        self._hello = hello
        self._limit = limit
        self._events = events
        self._rng = rng
        self._links: dict[str, Link] = {}
        self._addresses: dict[str, str] = {}

    def adopt(self, addresses: dict[str, str]) -> None:
        """Take over the addresses of a configuration; links to others are closed."""
        self._addresses = addresses
        for name, link in list(self._links.items()):
            if addresses.get(name) == link.address:
                continue
            self._close(name, link)

    def connect(self, names: Iterable[str]) -> None:
        """Open the links that are not there yet."""
        for name in names:
            address = self._addresses.get(name)
            if address is None or name in self._links:
                continue
            link = Link(name, address, self._hello, self._limit, self._events, self._rng)
            self._links[name] = link

    def set_address(self, name: str, address: str) -> None:
        """Take over the address of one owner; a link to another address is closed."""
        self._addresses[name] = address
        link = self._links.get(name)
        if link is not None and link.address != address:
            self._close(name, link)

    def remove(self, name: str) -> None:
        """Close the link to an owner that is gone."""
        self._addresses.pop(name, None)
        link = self._links.get(name)
        if link is not None:
            self._close(name, link)

    def close_unwanted(
        self, wanted: Container[str], now: float, is_busy: Callable[[str], bool]
    ) -> list[str]:
        """Close the links that have not been wanted for long and carry no call; return their names.

        What was wanted a moment ago may be again, and an answer may still be on its way.
        """
        closed: list[str] = []
        for name, link in list(self._links.items()):
            if name in wanted:
                link.unwanted_since = None
                continue
            if link.unwanted_since is None:
                link.unwanted_since = now
            if now - link.unwanted_since < UNWANTED_CLOSE_S or is_busy(name):
                continue
            self._close(name, link)
            closed.append(name)
        return closed

    def is_up(self, name: str) -> bool:
        """Return whether an owner is connected."""
        link = self._links.get(name)
        return link is not None and link.up

    def retry_now(self, name: str) -> None:
        """Try again at once to reach this owner, if its link is down."""
        link = self._links.get(name)
        if link is not None and not link.up:
            link.retry_now()

    def send(self, name: str, kind: str, body: Mapping[str, Any]) -> bool:
        """Write a message to an owner; returns False if its link is down."""
        link = self._links.get(name)
        return link is not None and link.send(kind, body)

    def connected(self) -> list[str]:
        """Return the names of the owners that are connected."""
        return [name for name, link in self._links.items() if link.up]

    def close(self) -> None:
        """Close every link for good."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def _close(self, name: str, link: Link) -> None:
        link.close()
        del self._links[name]
        self._events.on_lost(name)
