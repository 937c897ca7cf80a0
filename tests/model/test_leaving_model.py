"""A leaving that was acknowledged binds; without any one rule it does not."""

from __future__ import annotations

import pytest

from tests.model.checking import holds, violated
from tests.model.leaving_spec import ONE_LIFE, TWO_LIVES, Bounds, Rules, specification

MUTANT_STATES = {ONE_LIFE: 80_000, TWO_LIVES: 400_000}
"""States to which the search for a violation by a mutant is cut."""


@pytest.mark.parametrize("bounds", [ONE_LIFE, TWO_LIVES])
def test_an_acknowledged_leaving_binds(bounds: Bounds) -> None:
    assert holds(specification("leaving", Rules(), bounds))


@pytest.mark.parametrize("rule", Rules._fields)
def test_without_the_rule_it_does_not(rule: str) -> None:
    rules = Rules()._replace(**{rule: False})
    bounds = TWO_LIVES if rule in ("tell_start", "read_before_write") else ONE_LIFE
    model = specification(f"leaving without {rule}", rules, bounds)
    assert violated(model, MUTANT_STATES[bounds]), rule
