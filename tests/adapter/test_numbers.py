"""Counts and times of the platform may have a fraction, in settings, headers and bodies.

Guards against daemons that do not start because the settings accept whole numbers only.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from foldhoist.config.settings import parse_settings
from foldhoist.configlog.versions import Version
from foldhoist.daemon.http import parse_decimal
from foldhoist.daemon.request import BadRequest
from foldhoist.delivery.services import RetrySlack
from foldhoist_adapter.configuration import translate
from foldhoist_adapter.endpoints import _HEARTBEATS, _announcement
from foldhoist_adapter.headers import PlatformDialect
from foldhoist_adapter.numbers import whole_count
from tests.unit.daemon.calls import head_of

TEMPLATE = (Path(__file__).resolve().parents[2] / "deploy" / "settings.ini").read_text()
PLACEHOLDERS = {
    "{{node_name}}": "kasa-1",
    "{{zone}}": "kadikoy",
    "{{listen.outbound}}": "10.0.0.1:8304",
    "{{ip}}:{{internal_port_range.0}}": "10.0.0.1:7620",
    "{{listen.control}}": "10.0.0.1:8306",
    "{{listen.ready}}": "10.0.0.1:8302",
    "{{app_addr}}": "10.0.0.1:8301",
    "{{#bounds.cold_overage}}cold_overage = {{bounds.cold_overage}}{{/bounds.cold_overage}}": "",
    "{{#bounds.cold_slack}}cold_slack = {{bounds.cold_slack}}{{/bounds.cold_slack}}": "",
    "{{#bounds.quota_slack}}quota_slack = {{bounds.quota_slack}}{{/bounds.quota_slack}}": "",
    "{{service}}": "kasa",
    "{{platform.address}}": "10.0.0.9:8309",
    "{{bootstrap}}": "true",
    "{{limits.memory_mb}}": "300.5",
    "{{#limits.memory_mb}}": "",
    "{{/limits.memory_mb}}": "",
}


def settings_text(slack: str, window: str) -> str:
    text = TEMPLATE
    tested = {"{{bounds.retry_budget_slack}}": slack, "{{bounds.budget_window_s}}": window}
    for placeholder, value in {**PLACEHOLDERS, **tested}.items():
        text = text.replace(placeholder, value)
    assert "{{" not in text
    return text


@pytest.mark.parametrize(
    ("slack", "window"),
    [("430", "10"), ("30.714285714285715", "10"), ("0.5", "2.5"), ("430.0", "0.25"), ("4e2", "1")],
)
def test_settings_accept_counts_and_times_with_a_fraction(slack: str, window: str) -> None:
    settings, faults = parse_settings(settings_text(slack, window), "node.ini")
    assert faults == []
    assert settings["platform"]["retry_slack"] == float(slack)
    assert settings["platform"]["retry_window_s"] == float(window)
    assert settings["limits"]["memory_mb"] == 300.5
    part = RetrySlack(float(slack), float(window)).part(14)
    assert part.capacity > 0
    assert part.per_s > 0


@pytest.mark.parametrize("slack", ["nan", "inf", "-1", "many"])
def test_settings_reject_an_invalid_count(slack: str) -> None:
    faults = parse_settings(settings_text(slack, "10"), "node.ini")[1]
    assert [(fault.section, fault.option) for fault in faults] == [("platform", "retry_slack")]


@pytest.mark.parametrize(
    ("count", "expected"), [(0, 0), (0.4, 1), (1, 1), (5.0, 5), (5.9, 5), (0.0, 0), (-2, 0)]
)
def test_counts_are_rounded_down_but_not_to_zero(count: float, expected: int) -> None:
    assert whole_count(count) == expected


@pytest.mark.parametrize(
    ("header", "number"),
    [
        (b"812", 812.0),
        (b" 812.5 ", 812.5),
        (b"", None),
        (b"1e3", None),
        (b"-1", None),
        (b"9" * 13, None),
        (b"nan", None),
    ],
)
def test_header_number_is_a_plain_decimal(header: bytes, number: float | None) -> None:
    assert parse_decimal(header) == number


def test_heartbeat_may_have_slots_with_a_fraction() -> None:
    heartbeat = {
        "info": {"service": "kasa", "slots": 4.5},
        "status": {"state": "ready", "sequence": 3, "cold_remaining_s": 0.25},
    }
    announced = _announcement("i-1", _HEARTBEATS.decode(json.dumps(heartbeat)))
    assert announced["slots"] == 4
    assert announced["cold_ms"] == 250


def test_configuration_may_have_counts_with_a_fraction() -> None:
    route: dict[str, Any] = {
        "path_prefix": "/a/",
        "route_type": "safe",
        "timeout_s": 1.25,
        "service": "kasa",
        "attempts": 2.5,
        "priority": 1.0,
    }
    content = {
        "version": "0000000a",
        "virtual_hosts": [{"host": "h", "route_paths": [route]}],
        "services": [{"name": "kasa", "max_connections": 171.4}],
        "limits": {"max_header_bytes": 4681.1, "max_body_bytes": 65536.0},
    }
    fleet = translate(Version(10, json.dumps(content).encode())).ok
    assert fleet["routes"]["h/a/"]["attempts"] == 2
    assert fleet["routes"]["h/a/"]["rank"] == 1
    assert fleet["routes"]["h/a/"]["timeout_ms"] == 1250
    assert fleet["fleet"]["header_bytes"] == 4681
    assert fleet["fleet"]["body_bytes"] == 65536


@pytest.mark.parametrize(
    ("deadline", "budget_s"), [(b"800", 0.8), (b"812.5", 0.8125), (b"0", -1.0), (b"0.0", -1.0)]
)
def test_deadline_may_have_a_fraction(deadline: bytes, budget_s: float) -> None:
    dialect = PlatformDialect("kasa")
    head = head_of(dialect.caller_rules, {b"Host": b"h", b"X-Deadline-Ms": deadline})
    req = dialect.read_request("GET", b"/a/1", head, b"")
    assert not isinstance(req, BadRequest)
    assert req.budget_s == budget_s


def test_pace_may_have_a_fraction() -> None:
    dialect = PlatformDialect("kasa")
    head = head_of(dialect.upstream_rules, {b"X-Server-Load": b"1,0,12,112.5"})
    assert dialect.sample(200, head).pace == 112
