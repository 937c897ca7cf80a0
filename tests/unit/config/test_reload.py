"""What a running daemon takes over of settings that were read again."""

from __future__ import annotations

import copy

from bench.stages import default_settings
from foldhoist.config.reload import RELOADABLE_LIMITS, merge_reloadable


def test_only_what_can_change_is_taken_over_and_the_rest_is_named() -> None:
    before = default_settings()
    after = copy.deepcopy(before)
    after["limits"]["calls"] = 7
    after["limits"]["body_bytes"] = 9
    after["listen"]["callers"] = "127.0.0.1:9"
    found = merge_reloadable(before, after, RELOADABLE_LIMITS)
    assert found.applied == ["[limits] calls"]
    assert found.restart_required == ["[listen] callers", "[limits] body_bytes"]
    assert found.cfg["limits"]["calls"] == 7
    assert found.cfg["limits"]["body_bytes"] == before["limits"]["body_bytes"]
    assert found.cfg["listen"] == before["listen"]


def test_what_waited_for_a_restart_is_named_each_time_it_is_read() -> None:
    before = default_settings()
    after = copy.deepcopy(before)
    after["limits"]["body_bytes"] = 9
    once = merge_reloadable(before, after, RELOADABLE_LIMITS)
    assert merge_reloadable(once.cfg, after, RELOADABLE_LIMITS).restart_required == [
        "[limits] body_bytes"
    ]


def test_equal_settings_change_nothing() -> None:
    before = default_settings()
    found = merge_reloadable(before, copy.deepcopy(before), RELOADABLE_LIMITS)
    assert found == (before, [], [])


def test_every_limit_that_can_change_is_an_option() -> None:
    options = {f"[limits] {name}" for name in default_settings()["limits"]}
    assert options - RELOADABLE_LIMITS == {"[limits] body_bytes"}
    assert options >= RELOADABLE_LIMITS
