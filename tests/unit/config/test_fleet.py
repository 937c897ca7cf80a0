"""Tests of the fleet configuration: each fault is reported with its place and a hint."""

from __future__ import annotations

import pytest

from foldhoist.config.faults import errors, show
from foldhoist.config.fleet import SectionCache, check_change, parse_fleet
from foldhoist.customers.keys import digest_of

GOOD = """[fleet]
name = f
data_centres = a, b

[service s]
prefix = /s/

[target s-1]
service = s
data_centre = a
frames = 127.0.0.1:1
control = 127.0.0.1:2
operators = 127.0.0.1:3
slots = 4
"""


def faults_of(text: str) -> list[str]:
    return [show(fault) for fault in parse_fleet(text, "f.ini")[1]]


def test_defaults_are_filled_in() -> None:
    fleet, faults = parse_fleet(GOOD, "f.ini")
    assert faults == []
    assert fleet["targets"]["s-1"]["connections"] == 200
    assert fleet["services"]["s"]["policy"] == "mixed"


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("slots = 4", "slots = 0", "[target s-1] slots = 0: is out of range"),
        ("slots = 4", "slot = 4", "did you mean slots?"),
        ("service = s", "service = z", "[target s-1] service = z: is no service; known are s"),
        ("data_centre = a", "data_centre = q", "is no data centre"),
        ("127.0.0.1:2", "127.0.0.1:1", "is the address of target s-1 (frames), too"),
        ("127.0.0.1:2", "localhost:2", "is not an IP address and a port; write it as 127.0.0.1"),
        ("[service s]", "[servce s]", "did you mean service?"),
        ("prefix = /s/", "prefix = s", "does not begin with /"),
        ("prefix = /s/", "prefix = /s/\nurgent_slots = 4", "leaves no slot of target s-1"),
        ("prefix = /s/", "prefix = /s/\npolicy = best", "write one of random"),
        ("[fleet]", "[fleet]\nname = g", "already exists"),
        ("[service s]", "[service s]\nprefix = /t/\n[service s]", "is there twice"),
    ],
)
def test_a_fault_names_section_option_value_and_hint(old: str, new: str, expected: str) -> None:
    assert any(expected in line for line in faults_of(GOOD.replace(old, new))), expected


def test_every_fault_is_listed_at_once() -> None:
    text = GOOD.replace("slots = 4", "slots = x").replace("prefix = /s/", "prefix = s")
    assert len(faults_of(text)) == 2


def test_a_cache_does_not_change_the_result() -> None:
    cache = SectionCache()
    for text in (GOOD, GOOD.replace("slots = 4", "slots = 9"), GOOD.replace("slots", "slot"), GOOD):
        assert parse_fleet(text, "x", cache) == parse_fleet(text, "x")


def test_a_target_is_removed_only_after_it_was_retired() -> None:
    old, _ = parse_fleet(GOOD, "old")
    new, _ = parse_fleet(GOOD.replace("s-1", "s-2"), "new")
    assert "was not retired" in check_change(old, new, "new")[0].problem
    retired, _ = parse_fleet(GOOD + "state = retired\n", "retired")
    assert check_change(retired, new, "new") == []
    assert check_change(retired, old, "new")[0].problem == "was retired and cannot come back"


def test_a_service_without_targets_is_only_a_warning() -> None:
    text = GOOD + "\n[service lonely]\nprefix = /l/\n"
    faults = parse_fleet(text, "x")[1]
    assert len(faults) == 1
    assert errors(faults) == []


@pytest.mark.parametrize(
    ("split", "expected"),
    [
        ("s:90, t:10", "[route r] split = t: is no service"),
        ("s", "[route r] split = s: is no split"),
    ],
)
def test_a_split_lists_known_services_with_weights(split: str, expected: str) -> None:
    route = f"\n[route r]\nservice = s\nprefix = /s/x/\nsplit = {split}\n"
    assert any(expected in line for line in faults_of(GOOD + route))
    assert faults_of(GOOD + "\n[route r]\nservice = s\nprefix = /s/x/\nsplit = s:1\n") == []


def customer(name: str, *keys: str, more: str = "") -> str:
    digests = ", ".join(digest_of(key) for key in keys)
    return f"\n[customer {name}]\nkeys = {digests}\n{more}"


def test_a_key_shared_by_two_customers_is_reported_without_the_key() -> None:
    (line,) = faults_of(GOOD + customer("huka", "k-1", "k-2") + customer("wona", "k-2"))
    assert "[customer wona] keys" in line
    assert "is a key of customer huka, too" in line
    assert "k-2" not in line


def test_a_customer_without_keys_is_a_warning() -> None:
    faults = parse_fleet(GOOD + customer("huka"), "f.ini")[1]
    assert not errors(faults)
    assert "nobody can call as it" in show(faults[0])


@pytest.mark.parametrize(
    ("more", "expected"),
    [
        ("rate_per_s = -1", "[customer huka] rate_per_s = -1: is out of range"),
        ("rate_per_s = many", "is not a number"),
        ("burst = nan", "is out of range"),
        ("rank = 1001", "is out of range"),
        ("rates = 1", "is no option of this section"),
    ],
)
def test_an_invalid_quota_option_is_reported(more: str, expected: str) -> None:
    lines = faults_of(GOOD + customer("huka", "k-1", more=more))
    assert any(expected in line for line in lines), lines


def test_a_key_in_place_of_its_digest_is_reported() -> None:
    lines = faults_of(GOOD + "\n[customer huka]\nkeys = ftimaj3nr26tta828m82\n")
    assert any("write what `foldhoist key` prints" in line for line in lines)
    assert all("ftimaj3nr26tta828m82" not in line.partition("holds")[2] for line in lines)
