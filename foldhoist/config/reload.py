"""Decides which changed settings a running daemon applies without a restart; does no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, cast

from foldhoist.config.changes import changed_options

if TYPE_CHECKING:
    from collections.abc import Container
    from typing import Any

    from foldhoist.schema.settings import Settings

RELOADABLE_LIMITS = frozenset(
    f"[limits] {option}"
    for option in (
        "callers",
        "header_bytes",
        "held_bytes",
        "memory_mb",
        "request_ms",
        "idle_ms",
        "calls",
        "drain_ms",
    )
)
"""Limits that a running daemon applies without a restart: all except `body_bytes`."""


class ReloadResult(NamedTuple):
    """Settings to use from now on, options `applied`, and options `left` for a restart."""

    cfg: Settings
    applied: list[str]
    left: list[str]


def merge_reloadable(before: Settings, after: Settings, reloadable: Container[str]) -> ReloadResult:
    """Merge the changed options that are in `reloadable`; options are named `[section] option`."""
    merged: dict[str, dict[str, Any]] = {}
    applied: list[str] = []
    left: list[str] = []
    old, new = _sections(before), _sections(after)
    for section, options in new.items():
        merged[section] = dict(old[section])
        for option in changed_options(old[section], options):
            name = f"[{section}] {option}"
            if name not in reloadable:
                left.append(name)
                continue
            applied.append(name)
            merged[section][option] = options[option]
    return ReloadResult(cast("Settings", merged), applied, left)


def _sections(cfg: Settings) -> dict[str, dict[str, Any]]:
    return cast("dict[str, dict[str, Any]]", cfg)
