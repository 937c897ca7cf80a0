"""Evacuations stay exact and never go back, however late messages arrive."""

from __future__ import annotations

import pytest

from tests.model.checking import holds, violated
from tests.model.evacuations_spec import Rules, specification


def test_evacuations_are_exact_and_never_go_back() -> None:
    assert holds(specification())


@pytest.mark.parametrize("rule", Rules._fields)
def test_without_the_rule_an_invariant_is_violated(rule: str) -> None:
    assert violated(specification(Rules()._replace(**{rule: False})))
