"""`foldhoist evacuate`: has nothing sent to a data centre, or ends that."""

from __future__ import annotations

import asyncio
import re
import tempfile
from pathlib import Path

from foldhoist.commands.apply import apply
from foldhoist.commands.fetch import fetch_json
from foldhoist.commands.output import EXIT_FAULTS, EXIT_NOT_FOUND, EXIT_OK
from foldhoist.config.fleet import data_centres, evacuated, parse_fleet
from foldhoist.config.options import close_to

_SECTION = re.compile(r"^\[fleet\][^\n]*\n", re.MULTILINE)
_OPTION = re.compile(r"^evacuated *=.*\n(?:[ \t]+.*\n)*", re.MULTILINE)


def evacuate(
    data_centre: str,
    *,
    daemon: str,
    log: str,
    stream: str = "configuration",
    end: bool = False,
    json: bool = False,
) -> int:
    """Have nothing sent to the upstreams of a data centre; its hosts go on serving their callers.

    The configuration in force is applied anew with that one option changed, against its generation:
    it is rejected if another operator was faster.

    :param data_centre: Name of the data centre.
    :param daemon: Operators address of any daemon, as IP:port.
    :param log: Address of the platform's log, as IP:port.
    :param stream: Stream that holds the configuration.
    :param end: Send there again.
    :param json: Print for a program.
    """
    body = asyncio.run(fetch_json(daemon, "/configuration"))
    if not body["generation"]:
        print("no configuration is in force: run `foldhoist apply`")
        return EXIT_NOT_FOUND
    text: str = body["content"]
    fleet, _ = parse_fleet(text, "configuration in force")
    centres = data_centres(fleet)
    if data_centre not in centres:
        print(f"{data_centre} is no data centre: {close_to(data_centre, centres)}")
        return EXIT_FAULTS
    before = evacuated(fleet)
    after = before - {data_centre} if end else before | {data_centre}
    if after == before:
        print(f"{data_centre} is {'not evacuated' if end else 'evacuated'}: nothing changes")
        return EXIT_OK
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "fleet.ini"
        file.write_text(with_option(text, sorted(after)))
        return apply(
            str(file), log=log, stream=stream, daemon=daemon, base=body["generation"], json=json
        )


def with_option(text: str, names: list[str]) -> str:
    """Return the text of a configuration with these data centres evacuated."""
    plain = _OPTION.sub("", text)
    if not names:
        return plain
    return _SECTION.sub(lambda found: f"{found.group()}evacuated = {', '.join(names)}\n", plain, 1)
