"""Faults of a file: where, what, and how to mend it."""

from __future__ import annotations

from typing import NamedTuple, TypedDict


class Fault(NamedTuple):
    """One fault; `level` is "error" or "warning", empty fields do not apply."""

    file: str
    section: str
    option: str
    value: str
    problem: str
    mend: str
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
    """Return the fault as one line for a person."""
    where = fault.file
    if fault.section:
        where += f" [{fault.section}]"
    if fault.option:
        where += f" {fault.option}"
    if fault.value:
        where += f" = {fault.value}"
    return f"{fault.level}: {where}: {fault.problem}; {fault.mend}"


def report(fault: Fault) -> FaultReport:
    """Return the fault for a program."""
    return {
        "file": fault.file,
        "section": fault.section,
        "option": fault.option,
        "value": fault.value,
        "problem": fault.problem,
        "mend": fault.mend,
        "level": fault.level,
    }


def errors(faults: list[Fault]) -> list[Fault]:
    """Return the faults that forbid the use of a file."""
    return [fault for fault in faults if fault.level == "error"]
