"""Checks a specification in every reachable state and prints the results."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from minicheck import Protocol, check_safety

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_STATES = 3_000_000
"""Number of states after which a search counts as not finished, which fails the check."""
MUTANT_STATES = 80_000
"""Number of states after which the search for a violation by a mutant stops."""


def protocol(
    name: str,
    start: Any,
    transitions: Callable[[tuple[Any, ...]], list[tuple[str, tuple[Any, ...]]]],
    invariants: dict[str, Callable[[dict[str, Any]], bool]],
) -> Protocol:
    """Return a specification whose states are named tuples; `start` is the initial state."""
    return Protocol(
        name=name,
        candidate=False,
        fields=start._fields,
        initial=tuple(start),
        transitions=transitions,
        invariants=invariants,
    )


def explore(model: Protocol, max_states: int = MAX_STATES) -> dict[str, Any]:
    """Run a breadth-first search, print the verdict on each invariant and return the result."""
    result: dict[str, Any] = check_safety(model, max_states=max_states)
    for name, found in result["properties"].items():
        verdict = {True: "holds", False: "violated", None: "not finished"}[found["holds"]]
        steps = len(found.get("counterexample") or [])
        print(f"{model.name}: {name} {verdict}, {result['reachable_states']} states, {steps} steps")
    return result


def holds(model: Protocol) -> bool:
    """Return whether every invariant holds in every reachable state."""
    found = explore(model)["properties"].values()
    return all(each["holds"] is True for each in found)


def violated(model: Protocol, max_states: int = MUTANT_STATES) -> list[str]:
    """Return the labels of the shortest path to a violation, or an empty list.

    The search stops after `max_states` states; a violation found before that counts.
    """
    for found in explore(model, max_states)["properties"].values():
        if found["holds"] is False:
            return [str(step.get("label", step)) for step in found["counterexample"]]
    return []
