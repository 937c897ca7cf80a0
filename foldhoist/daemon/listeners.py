"""Listens on the addresses of a daemon, while waiting for other processes to free them."""

from __future__ import annotations

import asyncio
import errno
import socket
from contextlib import ExitStack
from ipaddress import ip_address
from itertools import combinations
from typing import TYPE_CHECKING, Literal, NamedTuple

from loguru import logger

from foldhoist.addresses import parse_address
from foldhoist.daemon.callers import CallerConnection
from foldhoist.exceptions import DecodingError, ListenError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from ipaddress import IPv4Address, IPv6Address

    from foldhoist.daemon.caller_state import ServerState
    from foldhoist.daemon.owner_task import OwnerTask
    from foldhoist.schema.settings import Listen

OPTIONS: tuple[Literal["callers", "frames", "control", "operators"], ...] = (
    "callers",
    "frames",
    "control",
    "operators",
)
"""Options under `[listen]`."""
BACKLOG = 1024
"""Most connections that wait to be accepted, per listener."""
RETRY_INTERVAL_S = 0.1
"""Interval of tries while an address is in use, seconds."""
LOG_INTERVAL_S = 5.0
"""Shortest interval of log lines about an address that is in use, seconds."""


class _Address(NamedTuple):
    """A value of a setting under `[listen]`."""

    option: str
    text: str
    host: IPv4Address | IPv6Address
    port: int


class _AddressInUseError(Exception):
    """Another process holds an address."""

    def __init__(self, address: _Address) -> None:
        super().__init__(address.text)
        self.address = address


async def open_listeners(cfg: Listen) -> dict[str, socket.socket]:
    """Return a listening socket for each setting, once all of the addresses are free.

    While one of them is in use, none is held. Raises ListenError for an address that cannot become
    free by waiting.
    """
    parsed = [_parse(option, cfg[option]) for option in OPTIONS]
    _check_distinct(parsed)
    loop = asyncio.get_running_loop()
    log_at = loop.time()
    while True:
        try:
            return _listen_on_all(parsed)
        except _AddressInUseError as exc:
            if loop.time() >= log_at:
                log_at = loop.time() + LOG_INTERVAL_S
                option, text = exc.address[:2]
                logger.warning("[listen] {} = {} is in use, waiting until it is free", option, text)
        await asyncio.sleep(RETRY_INTERVAL_S)


def addresses_of(sockets: Mapping[str, socket.socket]) -> dict[str, str]:
    """Return the bound addresses, which have the ports that the system chose for port 0."""
    return {name: "{}:{}".format(*sock.getsockname()[:2]) for name, sock in sockets.items()}


async def accept_traffic(
    sockets: Mapping[str, socket.socket], callers: ServerState, owner_task: OwnerTask
) -> list[asyncio.Server]:
    """Accept connections of callers, at the first server, and of peers, at the second."""
    loop = asyncio.get_running_loop()
    factories: dict[str, Callable[[], asyncio.BaseProtocol]] = {
        "callers": lambda: CallerConnection(callers),
        "frames": owner_task.connection,
    }
    return [
        await loop.create_server(factory, sock=sockets[name], backlog=BACKLOG)
        for name, factory in factories.items()
    ]


def _parse(option: str, text: str) -> _Address:
    try:
        address = parse_address(text, min_port=0)
        return _Address(option, text, ip_address(address.host), address.port)
    except (DecodingError, ValueError) as exc:
        raise ListenError(option, text, str(exc)) from exc


def _check_distinct(addresses: list[_Address]) -> None:
    """Raise ListenError if two settings name the same address."""
    for first, second in combinations(addresses, 2):
        if second.port != 0 and first.port == second.port and _overlap(first, second):
            problem = f"is the address of [listen] {first.option}, too"
            raise ListenError(second.option, second.text, problem)


def _overlap(first: _Address, second: _Address) -> bool:
    if first.host.version != second.host.version:
        return False
    return first.host == second.host or first.host.is_unspecified or second.host.is_unspecified


def _listen_on_all(addresses: list[_Address]) -> dict[str, socket.socket]:
    """Bind all addresses before any listens, so that no caller connects to a failed try."""
    with ExitStack() as opened:
        socks: dict[str, socket.socket] = {}
        for address in addresses:
            family = socket.AF_INET if address.host.version == 4 else socket.AF_INET6
            sock = socks[address.option] = opened.enter_context(socket.socket(family))
            _bind(sock, address)
        for address in addresses:
            _listen(socks[address.option], address)
        opened.pop_all()
    return socks


def _bind(sock: socket.socket, address: _Address) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if sock.family == socket.AF_INET6:
        sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
    try:
        sock.bind((str(address.host), address.port))
    except (OSError, OverflowError) as exc:
        raise _error(address, exc) from exc


def _listen(sock: socket.socket, address: _Address) -> None:
    try:
        sock.listen(BACKLOG)
    except OSError as exc:
        raise _error(address, exc) from exc


def _error(address: _Address, exc: OSError | OverflowError) -> Exception:
    if isinstance(exc, OSError) and exc.errno == errno.EADDRINUSE:
        return _AddressInUseError(address)
    problem = exc.strerror if isinstance(exc, OSError) and exc.strerror else str(exc)
    return ListenError(address.option, address.text, problem)
