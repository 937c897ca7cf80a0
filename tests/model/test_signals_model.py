"""What an upstream says of itself binds ingresses over its owner's restarts, and nobody else."""

from __future__ import annotations

import pytest

from tests.model.checking import holds, violated
from tests.model.signals_spec import Rules, specification


def test_what_an_upstream_said_is_kept_over_its_owners_restarts() -> None:
    assert holds(specification("signals", Rules()))


@pytest.mark.parametrize("rule", Rules._fields)
def test_without_the_rule_an_invariant_is_violated(rule: str) -> None:
    rules = Rules()._replace(**{rule: False})
    assert violated(specification(f"signals without {rule}", rules)), rule
