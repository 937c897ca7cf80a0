"""The connections that a daemon opens to owners, one to each; lost ones are opened again."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from foldhoist.addresses import parse_address
from foldhoist.daemon.background import run_task
from foldhoist.daemon.frames import FrameConnection
from foldhoist.delivery.codec import SCHEMA_VERSION

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable, Mapping
    from random import Random

    from foldhoist.admission.body_memory import BodyMemory
    from foldhoist.schema.messages import Hello

MIN_RETRY_S = 0.02
"""First pause after a failed attempt to connect, before jitter, seconds; doubles each time."""
MAX_RETRY_S = 0.5
"""Longest pause after a failed attempt to connect, seconds, before jitter."""
CONNECT_TIMEOUT_S = 1.0
"""Longest wait for a connection and the peer's Hello on it, seconds."""
RETRY_NOW_TIMEOUT_S = 0.1
"""Longest such wait once the peer is known to be running, seconds.

The first packet to a host that was down is lost, and the system retransmits it only after a second.
"""
UNWANTED_CLOSE_S = 10.0
"""An unwanted link is closed after this time, seconds; longer than calls usually take."""


class LinkEvents:
    """Callbacks for the events of links; each gets the name of the owner first.

    `on_up` also gets the incarnation, `on_message` the kind and the fields of a message.
    """

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
    """The connection to one owner; a task opens it and reconnects after a loss."""

    def __init__(
        self,
        name: str,
        address: str,
        hello: Hello,
        limit: int,
        events: LinkEvents,
        rng: Random,
        bodies: BodyMemory | None = None,
    ) -> None:
        self._bodies = bodies
        self.name = name
        self.address = address
        self._host, self._port = parse_address(address)
        self.up = False
        self.unwanted_since: float | None = None
        self._hello = hello
        self._limit = limit
        self._events = events
        self._rng = rng
        self._epoch = 0
        self._conn: FrameConnection | None = None
        self._lost_event = asyncio.Event()
        self._retry_event = asyncio.Event()
        self._hello_event = asyncio.Event()
        self._attempt_started_at = 0.0
        self._timeout: asyncio.Timeout | None = None
        self._task = run_task(f"link to {name}", self._run)

    def send(self, kind: str, body: Mapping[str, Any]) -> bool:
        """Send a message; returns False if it is not sent, as the link is down or full."""
        return self._conn is not None and self.up and self._conn.send(kind, body)

    def retry_now(self) -> None:
        """Retry without a pause, and limit the wait of a pending attempt: the peer is running."""
        self._retry_event.set()
        if self._timeout is not None:
            now = asyncio.get_running_loop().time()
            self._timeout.reschedule(max(now, self._attempt_started_at + RETRY_NOW_TIMEOUT_S))

    def close(self) -> None:
        """Close the connection and stop reconnecting."""
        self._task.cancel()
        if self._conn is not None:
            self._conn.close()

    async def _run(self) -> None:
        pause = MIN_RETRY_S
        while True:
            if await self._connect():
                pause = MIN_RETRY_S
                await self._lost_event.wait()
                continue
            self._retry_event.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(pause * (0.5 + self._rng.random())):
                    await self._retry_event.wait()
            pause = min(MAX_RETRY_S, pause * 2)

    async def _connect(self) -> bool:
        self._lost_event.clear()
        self._hello_event.clear()
        loop = asyncio.get_running_loop()
        self._attempt_started_at = loop.time()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S) as self._timeout:
                _, conn = await loop.create_connection(
                    lambda: FrameConnection(
                        self._limit, self._on_message, self._on_lost, self._bodies
                    ),
                    self._host,
                    self._port,
                )
                self._conn = conn
                self._epoch += 1
                conn.send("Hello", {**self._hello, "epoch": self._epoch})
                await self._hello_event.wait()
        except ConnectionRefusedError:
            self._events.on_refused(self.name)
            return False
        except (OSError, TimeoutError):
            self._drop()
            return False
        finally:
            self._timeout = None
        return self.up

    def _on_message(self, conn: FrameConnection, kind: str, body: Any) -> None:
        if conn is not self._conn:
            return
        if kind == "Hello":
            self._on_hello(conn, body)
            return
        if kind == "Goaway":
            conn.send("Goaway", {"reason": "seen"})
        self._events.on_message(self.name, kind, body)

    def _on_hello(self, conn: FrameConnection, hello: Hello) -> None:
        if hello["schema"] != SCHEMA_VERSION or hello["name"] != self.name:
            conn.close()
            return
        self.up = True
        self._hello_event.set()
        self._events.on_up(self.name, hello["incarnation"])

    def _on_lost(self, conn: FrameConnection) -> None:
        if conn is not self._conn:
            return
        self._conn = None
        was_up = self.up
        self.up = False
        self._hello_event.set()
        self._lost_event.set()
        if was_up:
            self._events.on_lost(self.name)

    def _drop(self) -> None:
        if self._conn is not None:
            self._conn.close()


class Links:
    """All links of a daemon, by the name of the owner."""

    def __init__(
        self,
        hello: Hello,
        limit: int,
        events: LinkEvents,
        rng: Random,
        bodies: BodyMemory | None = None,
    ) -> None:
        self._hello = hello
        self._bodies = bodies
        self._limit = limit
        self._events = events
        self._rng = rng
        self._links: dict[str, Link] = {}
        self._addresses: dict[str, str] = {}

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Set the addresses of all owners; links to other addresses are closed."""
        self._addresses = addresses
        for name, link in list(self._links.items()):
            if addresses.get(name) == link.address:
                continue
            self._close(name, link)

    def connect(self, names: Iterable[str]) -> None:
        """Open the missing links to these owners; those without a known address are skipped."""
        for name in names:
            address = self._addresses.get(name)
            if address is None or name in self._links:
                continue
            link = Link(
                name, address, self._hello, self._limit, self._events, self._rng, self._bodies
            )
            self._links[name] = link

    def set_address(self, name: str, address: str) -> None:
        """Set the address of one owner; a link to its earlier address is closed."""
        self._addresses[name] = address
        link = self._links.get(name)
        if link is not None and link.address != address:
            self._close(name, link)

    def remove(self, name: str) -> None:
        """Remove an owner and close the link to it."""
        self._addresses.pop(name, None)
        link = self._links.get(name)
        if link is not None:
            self._close(name, link)

    def close_unwanted(
        self, wanted: Container[str], now: float, is_busy: Callable[[str], bool]
    ) -> list[str]:
        """Close links without calls that have been unwanted for long; returns their names.

        They stay for UNWANTED_CLOSE_S, as they may soon be wanted again.
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
        """Return whether the link to an owner is up."""
        link = self._links.get(name)
        return link is not None and link.up

    def retry_now(self, name: str) -> None:
        """Retry the connection to an owner without a pause, if its link is down."""
        link = self._links.get(name)
        if link is not None and not link.up:
            link.retry_now()

    def send(self, name: str, kind: str, body: Mapping[str, Any]) -> bool:
        """Send a message to an owner; returns False if it is not sent."""
        link = self._links.get(name)
        return link is not None and link.send(kind, body)

    def connected(self) -> list[str]:
        """Return the names of the connected owners."""
        return [name for name, link in self._links.items() if link.up]

    def close(self) -> None:
        """Close every link and stop reconnecting."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def _close(self, name: str, link: Link) -> None:
        link.close()
        del self._links[name]
        self._events.on_lost(name)
