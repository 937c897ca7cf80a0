"""Addresses HOST:PORT of daemons and upstreams; the only place that parses them."""

from __future__ import annotations

import re
from ipaddress import ip_address
from typing import NamedTuple

from foldhoist.exceptions import DecodingError

MAX_PORT = 65_535
MAX_NAME_CHARS = 253
"""Longest name of a host, characters."""
_PORT = re.compile(r"0|[1-9][0-9]{0,4}")
_LABEL = re.compile(r"[0-9A-Za-z_]([0-9A-Za-z_-]{0,61}[0-9A-Za-z_])?")
_IP = re.compile(r"[0-9A-Fa-f.:]+(%[0-9A-Za-z_.-]{1,15})?")


class Address(NamedTuple):
    """A host, an IP address or a name, and a port."""

    host: str
    port: int


def parse_address(text: str, min_port: int = 1) -> Address:
    """Return the address in a text; raises DecodingError if it is invalid.

    An IPv6 address may stand in brackets. Port 0 is valid only to listen, with a `min_port` of 0.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not _PORT.fullmatch(port) or not min_port <= int(port) <= MAX_PORT:
        raise DecodingError("is no address with a valid port")
    if host.startswith("[") and host.endswith("]") and ":" in host:
        host = host[1:-1]
    if not is_ip(host) and not _is_name(host):
        raise DecodingError("is no address with a valid host")
    return Address(host, int(port))


def is_ip(host: str) -> bool:
    """Return whether a host is an IP address."""
    if not _IP.fullmatch(host):
        return False
    try:
        ip_address(host)
    except ValueError:
        return False
    return True


def _is_name(host: str) -> bool:
    """Return whether a host is a plain name; a last label of digits stands in IP addresses only."""
    labels = host.removesuffix(".").split(".")
    if len(host) > MAX_NAME_CHARS or labels[-1].isdigit():
        return False
    return all(_LABEL.fullmatch(label) for label in labels)
