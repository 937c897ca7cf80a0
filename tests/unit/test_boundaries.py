"""Tests of the layering: platform names, imports of the core packages, and file sizes."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent.parent
CORE = ("admission", "configlog", "customers", "delivery", "membership", "quarantine", "routing")
PLATFORM_NAMES = re.compile(
    r"x-attempt-id|x-deadline-ms|x-response-signature|x-expect-instance|x-server-load"
    r"|x-not-executed|server-limit|server-leaving|x-caller-service|x-instance-id|/foldhoist/|log-append|log-newest|log-read"
    r"|keyed\.|virtual_hosts|route_paths|path_prefix|weighted_clusters|slo_latency|route_type"
    r"|cold_remaining|max_header_bytes|header_timeout|start_rev|x-tenant|tenant|auth_exempt",
    re.IGNORECASE,
)
"""Headers, paths, topics and fields of the platform, which only the adapter may use."""
FORBIDDEN_IN_CORE = {"asyncio", "socket", "time", "tornado", "pynng", "loguru", "os", "selectors"}
MAX_ADAPTER_LINES = 800
FOLDERS = ("foldhoist", "platform", "standins", "bench", "soak", "tools", "tests")
MAX_LINES = 400
"""Most lines of a file."""


def sources(*folders: str) -> list[Path]:
    return sorted(path for folder in folders for path in (ROOT / folder).rglob("*.py"))


@pytest.mark.parametrize("path", sources("foldhoist", "standins", "bench", "examples"), ids=str)
def test_only_the_adapter_uses_names_of_the_platform(path: Path) -> None:
    assert PLATFORM_NAMES.findall(path.read_text()) == []


def test_the_adapter_is_small() -> None:
    lines = sum(len(path.read_text().splitlines()) for path in sources("platform"))
    assert lines < MAX_ADAPTER_LINES
    assert not (ROOT / "platform" / "__init__.py").exists()


@pytest.mark.parametrize(
    "path", sources(*(f"foldhoist/{package}" for package in CORE)), ids=lambda path: path.name
)
def test_the_core_uses_no_clock_no_sockets_and_no_global_randomness(path: Path) -> None:
    tree = ast.parse(path.read_text())
    for node in ast.walk(tree):
        match node:
            case ast.Import(names=names):
                used = {alias.name.partition(".")[0] for alias in names}
            case ast.ImportFrom(module=str(module)):
                used = {module.partition(".")[0]}
            case _:
                continue
        assert not used & FORBIDDEN_IN_CORE
        if "random" in used:
            assert isinstance(node, ast.ImportFrom)
            assert {alias.name for alias in node.names} == {"Random"}


@pytest.mark.parametrize("path", sources(*FOLDERS), ids=str)
def test_no_file_exceeds_the_line_limit(path: Path) -> None:
    if path.parent.name == "schema":
        return
    assert len(path.read_text().splitlines()) <= MAX_LINES
