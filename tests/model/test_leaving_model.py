"""A leaving that was acknowledged binds; without any one rule it does not."""

from __future__ import annotations

import pytest

from tests.model.checking import holds, violated
from tests.model.leaving_spec import Rules, specification


def test_an_acknowledged_leaving_binds() -> None:
    assert holds(specification("leaving", Rules()))


@pytest.mark.parametrize("rule", Rules._fields)
def test_without_the_rule_it_does_not(rule: str) -> None:
    rules = Rules()._replace(**{rule: False})
    assert violated(specification(f"leaving without {rule}", rules)), rule
