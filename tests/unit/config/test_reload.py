"""Tests of reloading settings in a running daemon."""

from __future__ import annotations

import copy

from bench.stages import default_settings
from foldhoist.config.reload import RELOADABLE_LIMITS, merge_reloadable


def test_reloadable_options_are_applied_and_the_others_are_listed() -> None:
    before = default_settings()
    after = copy.deepcopy(before)
    after["limits"]["calls"] = 7
    after["limits"]["body_bytes"] = 9
    after["listen"]["callers"] = "127.0.0.1:9"
    result = merge_reloadable(before, after, RELOADABLE_LIMITS)
    assert result.applied == ["[limits] calls"]
    assert result.left == ["[listen] callers", "[limits] body_bytes"]
    assert result.cfg["limits"]["calls"] == 7
    assert result.cfg["limits"]["body_bytes"] == before["limits"]["body_bytes"]
    assert result.cfg["listen"] == before["listen"]


def test_an_option_that_needs_a_restart_is_listed_at_each_reload() -> None:
    before = default_settings()
    after = copy.deepcopy(before)
    after["limits"]["body_bytes"] = 9
    first = merge_reloadable(before, after, RELOADABLE_LIMITS)
    assert merge_reloadable(first.cfg, after, RELOADABLE_LIMITS).left == ["[limits] body_bytes"]


def test_equal_settings_change_nothing() -> None:
    before = default_settings()
    result = merge_reloadable(before, copy.deepcopy(before), RELOADABLE_LIMITS)
    assert result == (before, [], [])


def test_every_reloadable_limit_is_an_option() -> None:
    options = {f"[limits] {name}" for name in default_settings()["limits"]}
    assert options - RELOADABLE_LIMITS == {"[limits] body_bytes"}
    assert options >= RELOADABLE_LIMITS
