"""An acknowledged leaving is permanent; without any of its rules an invariant is violated."""

from __future__ import annotations

import pytest

from tests.model.checking import holds, violated
from tests.model.leaving_spec import ONE_INCARNATION, TWO_INCARNATIONS, Bounds, Rules, specification

MUTANT_STATES = {ONE_INCARNATION: 80_000, TWO_INCARNATIONS: 400_000}
"""Number of states after which the search for a violation by a mutant stops."""


@pytest.mark.parametrize("bounds", [ONE_INCARNATION, TWO_INCARNATIONS])
def test_an_acknowledged_leaving_is_permanent(bounds: Bounds) -> None:
    assert holds(specification("leaving", Rules(), bounds))


@pytest.mark.parametrize("rule", Rules._fields)
def test_without_the_rule_an_invariant_is_violated(rule: str) -> None:
    rules = Rules()._replace(**{rule: False})
    bounds = (
        TWO_INCARNATIONS if rule in ("announce_start", "read_before_write") else ONE_INCARNATION
    )
    model = specification(f"leaving without {rule}", rules, bounds)
    assert violated(model, MUTANT_STATES[bounds]), rule
