"""Tests of the list of differences between two fleet configurations."""

from __future__ import annotations

from typing import Any, cast

from foldhoist.config.changes import changes


def fleet(**sections: Any) -> Any:
    """Return a configuration that has only the given sections."""
    empty = {"fleet": {"name": "f"}, "services": {}, "routes": {}, "customers": {}, "targets": {}}
    return cast("Any", {**empty, **sections})


def test_equal_configurations_have_no_changes() -> None:
    assert changes(fleet(), fleet()) == []


def test_added_removed_and_changed_sections_are_listed_by_name() -> None:
    old = fleet(services={"a": {"queue": 1}}, routes={"r": {"service": "a"}})
    new = fleet(services={"a": {"queue": 2}, "b": {"queue": 1}}, fleet={"name": "g"})
    assert changes(old, new) == [
        "[fleet] name: f, now g",
        "[service a] queue: 1, now 2",
        "[service b]: added",
        "[route r]: removed",
    ]
