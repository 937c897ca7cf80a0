"""Tests of a daemon's settings."""

from __future__ import annotations

from pathlib import Path

import pytest

from foldhoist.config.faults import show
from foldhoist.config.settings import load_settings, parse_settings

ROOT = Path(__file__).resolve().parents[3]
GOOD = (ROOT / "examples" / "istanbul" / "kasa-1.ini").read_text()


def test_defaults_are_filled_in() -> None:
    settings, faults = parse_settings(GOOD, "x")
    assert faults == []
    assert settings["limits"]["body_bytes"] == 1048576


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("name = kasa-1", "nmae = kasa-1", "did you mean name?"),
        ("probes_per_s = 2.0", "probes_per_s = lots", "is not a number"),
        ("[measuring]", "[measurng]", "did you mean measuring?"),
        ("log = 127.0.0.1:19000", "", "[platform] log: is missing; add `log = ...`"),
    ],
)
def test_a_fault_names_its_place_and_a_hint(old: str, new: str, expected: str) -> None:
    lines = [show(fault) for fault in parse_settings(GOOD.replace(old, new, 1), "x")[1]]
    assert any(expected in line for line in lines), lines


def test_a_missing_file_is_a_fault() -> None:
    assert load_settings("no-such-file.ini").error[0].problem.startswith("cannot be read")


ODD_ADDRESSES = [
    "127.0.0.1:65536",
    "127.0.0.1:080",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:",
    "[::1",
]
ODD_VALUES = ["9" * 5000, "1e400", "nan", "-inf", "", "[" * 100_000, "a\x00b", "\ud800", "%(x)s"]


@pytest.mark.parametrize("address", [*ODD_ADDRESSES, "256.1.1.1:9", "localhost:9", "a b:9", ":9"])
def test_an_odd_address_is_a_fault(address: str) -> None:
    """Else the daemon would end when it listens, or a task when it connects."""
    text = GOOD.replace("log = 127.0.0.1:19000", f"log = {address}")
    assert [fault.option for fault in parse_settings(text, "x")[1]] == ["log"]


@pytest.mark.parametrize("number", range(len(GOOD.splitlines())))
def test_odd_lines_are_faults_and_raise_nothing(number: int) -> None:
    lines = GOOD.splitlines()
    name, equals, _ = lines[number].partition("=")
    for odd in [*ODD_VALUES, *ODD_ADDRESSES]:
        lines[number] = f"{name}= {odd}" if equals else odd
        parse_settings("\n".join(lines), "x")
