"""Runs a specification through the checker and prints what was explored."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from minicheck import Protocol, check_safety

if TYPE_CHECKING:
    from collections.abc import Callable

MOST_STATES = 3_000_000
"""States from which on a search counts as not finished, which is no pass."""
MUTANT_STATES = 80_000
"""States to which the search for a violation by a mutant is cut."""


def protocol(
    name: str,
    start: Any,
    transitions: Callable[[tuple[Any, ...]], list[tuple[str, tuple[Any, ...]]]],
    invariants: dict[str, Callable[[dict[str, Any]], bool]],
) -> Protocol:
    """Return a specification whose world is a named tuple, `start` at first."""
    return Protocol(
        name=name,
        candidate=False,
        fields=start._fields,
        initial=tuple(start),
        transitions=transitions,
        invariants=invariants,
    )


def explore(model: Protocol, most_states: int = MOST_STATES) -> dict[str, Any]:
    """Return the result of a search, breadth first."""
    result: dict[str, Any] = check_safety(model, max_states=most_states)
    for name, found in result["properties"].items():
        told = {True: "holds", False: "violated", None: "not finished"}[found["holds"]]
        steps = len(found.get("counterexample") or [])
        print(f"{model.name}: {name} {told}, {result['reachable_states']} states, {steps} steps")
    return result


def holds(model: Protocol) -> bool:
    """Return whether every invariant holds in every reachable state."""
    found = explore(model)["properties"].values()
    return all(each["holds"] is True for each in found)


def violated(model: Protocol, most_states: int = MUTANT_STATES) -> list[str]:
    """Return the labels of the shortest way to a violation, or nothing.

    A violation that is found in a search cut short is a violation all the same.
    """
    for found in explore(model, most_states)["properties"].values():
        if found["holds"] is False:
            return [str(step.get("label", step)) for step in found["counterexample"]]
    return []
