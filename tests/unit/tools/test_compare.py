"""The table that compares days across runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.compare import main, table

if TYPE_CHECKING:
    import pytest


def test_common_days_are_compared_by_their_medians() -> None:
    ours = {"quiet-1": [0.7, 0.9, 0.8], "trouble-1": [0.5], "drawn": [0.1]}
    assert table({"mixed": ours, "random": {"quiet-1": [0.6], "trouble-1": [0.4]}}) == (
        "| day | mixed | random |\n"
        "|---|---|---|\n"
        "| quiet-1 | 0.800 | 0.600 |\n"
        "| trouble-1 | 0.500 | 0.400 |\n"
        "| mean | 0.650 | 0.500 |"
    )


def test_an_unknown_entry_is_reported(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["mixed=00nosuch"]) == 2
    assert "no entry 00nosuch" in capsys.readouterr().out
