"""The table of scores and prices of days."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from tools.prices import days_of, main, table

if TYPE_CHECKING:
    import pytest


def entry(worth: float, calls: float) -> dict[str, Any]:
    """Return a journal entry with one day and the fields that the tool reads."""
    prices = [["calls", 7.0, calls], ["exits", 0.0, -0.0]]
    day = {"name": "quiet-1", "score": 0.9, "G": worth, "served": 0.8, "prices": prices}
    return {"days": [day]}


def test_a_price_of_zero_has_no_column() -> None:
    text = table(days_of(entry(0.5, 0.25)))
    assert text.splitlines() == [
        "| day | plays | score | worth | served in aim | calls |",
        "|---|---|---|---|---|---|",
        "| quiet-1 | 1 | 0.900 | 0.500 | 0.800 | 0.250 |",
    ]


def test_repeated_days_give_median_and_range() -> None:
    days = [day for worth in (0.5, 0.7, 0.6) for day in days_of(entry(worth, 0.25))]
    assert "| quiet-1 | 3 | 0.900 | 0.600 (0.500 to 0.700) |" in table(days)


def test_an_unknown_entry_is_reported(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["00nosuch"]) == 2
    assert "no entry 00nosuch" in capsys.readouterr().out
