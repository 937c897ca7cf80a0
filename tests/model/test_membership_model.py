"""Daemons that join find each other, and the record of a lost one replaces no running daemon."""

from __future__ import annotations

import pytest

from tests.model.checking import holds, violated
from tests.model.membership_spec import Rules, specification


def test_daemons_find_each_other() -> None:
    assert holds(specification("membership", Rules()))


@pytest.mark.parametrize("rule", Rules._fields)
def test_without_the_rule_an_invariant_is_violated(rule: str) -> None:
    rules = Rules()._replace(**{rule: False})
    assert violated(specification(f"membership without {rule}", rules)), rule
