"""Writes variants of a site file with other processor shares, machines and data centres.

`python -m tools.variants SITE FOLDER`; site files are not part of the repository.
"""

import re
import shutil
import sys
from pathlib import Path

SMALL_SHARE = "0.172"
"""Processor share of each machine in the variant `small`."""
MACHINE = re.compile(r"^  \{ class = .*$", re.MULTILINE)
"""A line of the list of machines in a site file."""


def small(text: str) -> str:
    """Return the site with a small processor share on each machine."""
    return re.sub(r"cpu_share = [0-9.]+", f"cpu_share = {SMALL_SHARE}", text)


def lone(text: str) -> str:
    """Return the site with one machine for its second service and none for its last."""
    apps = list(dict.fromkeys(re.findall(r'app = "([^"]+)"', text)))
    seen: set[str] = set()

    def keep(match: re.Match[str]) -> str:
        line = match[0]
        app = re.search(r'app = "([^"]+)"', line)
        if app is None:
            return line
        if app[1] == apps[-1] or (app[1] == apps[1] and app[1] in seen):
            return ""
        seen.add(app[1])
        return line

    return MACHINE.sub(keep, text)


def scattered(text: str) -> str:
    """Return the site with a separate data centre for each machine outside the first service."""
    apps = list(dict.fromkeys(re.findall(r'app = "([^"]+)"', text)))
    added: list[str] = []

    def move(match: re.Match[str]) -> str:
        line = match[0]
        if f'app = "{apps[0]}"' in line or "app = " not in line:
            return line
        added.append(f"apart-{len(added) + 1}")
        return re.sub(r'zone = "[^"]+"', f'zone = "{added[-1]}"', line)

    text = MACHINE.sub(move, text)
    region = re.search(r'region = "[^"]+"', text)
    entry = f", {region[0]}" if region is not None else ""
    names = "".join(f'  {{ name = "{name}"{entry} }},\n' for name in added)
    return re.sub(r"(?m)^zones = \[\n", f"zones = [\n{names}", text, count=1)


VARIANTS = {"small": small, "lone": lone, "scattered": scattered}


def main(site: str, folder: str) -> int:
    """Write every variant of a site file to a folder and print the paths."""
    source, target = Path(site), Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(source.with_name("wire.json"), target / "wire.json")
    for name, change in VARIANTS.items():
        path = target / f"{source.stem}-{name}.toml"
        text = change(source.read_text())
        path.write_text(text.replace(f'name = "{source.stem}"', f'name = "{path.stem}"', 1))
        print(path)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2]))
