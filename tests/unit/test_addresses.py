"""Addresses that cannot be dialled are refused when they are read, not when they are used."""

from __future__ import annotations

import pytest

from foldhoist.addresses import Address, parse_address
from foldhoist.exceptions import DecodingError


@pytest.mark.parametrize(
    ("text", "address"),
    [
        ("127.0.0.1:80", Address("127.0.0.1", 80)),
        ("127.0.0.1:65535", Address("127.0.0.1", 65535)),
        ("[::1]:1", Address("::1", 1)),
        ("::1:8080", Address("::1", 8080)),
        ("fe80::1%eth0:80", Address("fe80::1%eth0", 80)),
        ("localhost:80", Address("localhost", 80)),
        ("a:1", Address("a", 1)),
        ("my_host-2.zone.example:80", Address("my_host-2.zone.example", 80)),
        ("1a.example.:80", Address("1a.example.", 80)),
    ],
)
def test_a_valid_address_is_parsed(text: str, address: Address) -> None:
    assert parse_address(text) == address


@pytest.mark.parametrize(
    "port",
    [
        "",
        "0",
        "65536",
        "99999999999",
        "9" * 5000,
        "080",
        "00000199999",
        "x",
        "-1",
        "+1",
        "1_0",
        " 80",
        "80 ",
        "80\n",
        "8.0",
        "1e3",
        "0x50",
        "\u0661",
        "\u00b2",
    ],
)
def test_a_port_out_of_range_or_spelled_oddly_is_refused(port: str) -> None:
    with pytest.raises(DecodingError):
        parse_address(f"127.0.0.1:{port}")


@pytest.mark.parametrize(
    "host",
    [
        "",
        ":",
        "[]",
        "[a]",
        "[127.0.0.1]",
        "[::1",
        "::1]",
        "a b",
        "a\x00b",
        "127.0.0.1\x00",
        "256.1.1.1",
        "1",
        "127.1",
        "1.2.3.4.5",
        "0x7f.1",
        "a..b",
        ".",
        "-a",
        "a-",
        "a/b",
        "a@b",
        "x" * 64,
        ".".join(["x" * 60] * 5),
        "\u00e9.example",
        "\u0661.0.0.1",
        "*",
        "a\n",
        "::1%\x00",
    ],
)
def test_a_host_that_is_none_is_refused(host: str) -> None:
    with pytest.raises(DecodingError):
        parse_address(f"{host}:80")


@pytest.mark.parametrize("text", ["", ":", "80", "127.0.0.1", "[::1]", "a:b:1"])
def test_a_text_without_host_and_port_is_refused(text: str) -> None:
    with pytest.raises(DecodingError):
        parse_address(text)


def test_port_0_is_valid_only_to_listen() -> None:
    assert parse_address("127.0.0.1:0", min_port=0) == Address("127.0.0.1", 0)
    with pytest.raises(DecodingError):
        parse_address("127.0.0.1:00", min_port=0)
