"""`foldhoist evacuate`: evacuates a data centre, or ends its evacuation."""

from __future__ import annotations

import asyncio
import re
import tempfile
from pathlib import Path

from foldhoist.commands.apply import apply
from foldhoist.commands.fetch import fetch_json
from foldhoist.commands.output import EXIT_FAULTS, EXIT_NOT_FOUND, EXIT_OK
from foldhoist.config.fleet import data_centres, evacuated, parse_fleet
from foldhoist.config.options import suggest_name

_FLEET_SECTION = re.compile(r"^\[fleet\][^\n]*\n", re.MULTILINE)
_EVACUATED_OPTION = re.compile(r"^evacuated *=.*\n(?:[ \t]+.*\n)*", re.MULTILINE)


def evacuate(
    data_centre: str,
    *,
    daemon: str,
    log: str,
    stream: str = "configuration",
    end: bool = False,
    json: bool = False,
) -> int:
    """Send no calls to the upstreams of a data centre; its hosts still serve their callers.

    The configuration in force is applied again with only the option `evacuated` changed, and with
    its generation as the base: it is rejected if another change came first.

    :param data_centre: Name of the data centre.
    :param daemon: Operators address of any daemon, as IP:port.
    :param log: Address of the platform's log, as IP:port.
    :param stream: Stream that holds the configuration.
    :param end: End the evacuation: send calls there again.
    :param json: Print JSON.
    """
    body = asyncio.run(fetch_json(daemon, "/configuration"))
    if not body["generation"]:
        print("no configuration is in force: run `foldhoist apply`")
        return EXIT_NOT_FOUND
    text: str = body["content"]
    fleet, _ = parse_fleet(text, "configuration in force")
    centres = data_centres(fleet)
    if data_centre not in centres:
        print(f"{data_centre} is no data centre: {suggest_name(data_centre, centres)}")
        return EXIT_FAULTS
    before = evacuated(fleet)
    after = before - {data_centre} if end else before | {data_centre}
    if after == before:
        print(f"{data_centre} is {'not evacuated' if end else 'evacuated'}: nothing changes")
        return EXIT_OK
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "fleet.ini"
        file.write_text(set_evacuated(text, sorted(after)))
        return apply(
            str(file), log=log, stream=stream, daemon=daemon, base=body["generation"], json=json
        )


def set_evacuated(text: str, names: list[str]) -> str:
    """Return the text of a configuration with these data centres evacuated."""
    without = _EVACUATED_OPTION.sub("", text)
    if not names:
        return without
    return _FLEET_SECTION.sub(
        lambda match: f"{match.group()}evacuated = {', '.join(names)}\n", without, 1
    )
