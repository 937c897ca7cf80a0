"""Daemons that join find each other, and a lost one's record harms nobody."""

from __future__ import annotations

import pytest

from tests.model.checking import holds, violated
from tests.model.membership_spec import Rules, specification


def test_daemons_find_each_other() -> None:
    assert holds(specification("membership", Rules()))


@pytest.mark.parametrize("rule", Rules._fields)
def test_without_the_rule_they_do_not(rule: str) -> None:
    rules = Rules()._replace(**{rule: False})
    assert violated(specification(f"membership without {rule}", rules)), rule
