"""Evacuations stay exact and never go back, however late what is told of them."""

from __future__ import annotations

import pytest

from tests.model.checking import holds, violated
from tests.model.evacuations_spec import Rules, model


def test_what_is_held_is_exact_and_never_older_than_before() -> None:
    assert holds(model())


@pytest.mark.parametrize("rule", Rules._fields)
def test_without_one_of_the_rules_it_is_not(rule: str) -> None:
    assert violated(model(Rules()._replace(**{rule: False})))
