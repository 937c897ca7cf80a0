"""The signals of an upstream outlast restarts of its owner, and apply to no other incarnation."""

from __future__ import annotations

import pytest

from tests.model.checking import holds, violated
from tests.model.signals_spec import Rules, specification


def test_signals_outlast_restarts_of_the_owner() -> None:
    assert holds(specification("signals", Rules()))


@pytest.mark.parametrize("rule", Rules._fields)
def test_without_the_rule_an_invariant_is_violated(rule: str) -> None:
    rules = Rules()._replace(**{rule: False})
    assert violated(specification(f"signals without {rule}", rules)), rule
