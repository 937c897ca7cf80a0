"""The dispatch protocol keeps its invariants, and violates one without any of its rules."""

from __future__ import annotations

import pytest

from tests.model.checking import holds, violated
from tests.model.dispatch_spec import Rules, specification


def test_dispatch_holds() -> None:
    assert holds(specification("dispatch", Rules()))


@pytest.mark.parametrize("rule", Rules._fields)
def test_without_the_rule_an_invariant_is_violated(rule: str) -> None:
    rules = Rules()._replace(**{rule: False})
    assert violated(specification(f"dispatch without {rule}", rules)), rule
