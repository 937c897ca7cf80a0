"""Dispatch holds its invariants; without any one rule it does not."""

from __future__ import annotations

import pytest

from tests.model.checking import holds, violated
from tests.model.dispatch_spec import Rules, specification


def test_dispatch_holds() -> None:
    assert holds(specification("dispatch", Rules()))


@pytest.mark.parametrize("rule", Rules._fields)
def test_without_the_rule_it_does_not(rule: str) -> None:
    rules = Rules()._replace(**{rule: False})
    assert violated(specification(f"dispatch without {rule}", rules)), rule
