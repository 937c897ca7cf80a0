"""Versions reach every daemon and never go back; without any of the rules one of these fails."""

from __future__ import annotations

import pytest

from tests.model.checking import holds, violated
from tests.model.spread_spec import Rules, specification


def test_versions_spread_and_never_go_back() -> None:
    assert holds(specification("spread", Rules()))


@pytest.mark.parametrize("rule", Rules._fields)
def test_without_the_rule_an_invariant_is_violated(rule: str) -> None:
    rules = Rules()._replace(**{rule: False})
    assert violated(specification(f"spread without {rule}", rules)), rule
