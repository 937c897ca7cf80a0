"""Faults of a file: the place, the problem and how to correct it."""

from __future__ import annotations

from typing import NamedTuple, TypedDict


class Fault(NamedTuple):
    """A fault in a file; `level` is "error" or "warning", fields that do not apply are empty."""

    file: str
    section: str
    option: str
    value: str
    problem: str
    hint: str
    level: str = "error"


class FaultReport(TypedDict):
    """A fault as `--json` prints it."""

    file: str
    section: str
    option: str
    value: str
    problem: str
    mend: str
    level: str


def show(fault: Fault) -> str:
    """Return the fault as one line of text."""
    where = fault.file
    if fault.section:
        where += f" [{fault.section}]"
    if fault.option:
        where += f" {fault.option}"
    if fault.value:
        where += f" = {fault.value}"
    return f"{fault.level}: {where}: {fault.problem}; {fault.hint}"


def report(fault: Fault) -> FaultReport:
    """Return the fault as `--json` prints it."""
    return {
        "file": fault.file,
        "section": fault.section,
        "option": fault.option,
        "value": fault.value,
        "problem": fault.problem,
        "mend": fault.hint,
        "level": fault.level,
    }


def errors(faults: list[Fault]) -> list[Fault]:
    """Return the faults that are errors and make a file unusable, without the warnings."""
    return [fault for fault in faults if fault.level == "error"]
