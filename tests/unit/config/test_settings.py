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
