"""Builds a standalone program with PyInstaller, dist/foldhoist/foldhoist, and smoke-tests it.

The one-folder layout, unlike a single file, runs as one process and unpacks nothing.
"""

import json
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import psutil

from standins.processes import SETTINGS

ROOT = Path(__file__).resolve().parent.parent
LISTEN = "\n".join(
    f"{name} = 127.0.0.1:0" for name in ("callers", "frames", "control", "operators")
)


def build() -> Path:
    """Build the program; returns its path."""
    command = [
        *(sys.executable, "-m", "PyInstaller", "--noconfirm", "--onedir", "--log-level", "ERROR"),
        *("--name", "foldhoist", "--distpath", str(ROOT / "dist")),
        *("--workpath", str(ROOT / "build" / "binary"), "--specpath", str(ROOT / "build")),
        *("--add-data", f"{ROOT / 'foldhoist' / 'schema'}/*.json:foldhoist/schema"),
        *("--collect-all", "pockets", "--copy-metadata", "opentelemetry-sdk"),
        *("--copy-metadata", "opentelemetry-api", "--copy-metadata", "defopt"),
        *("--exclude-module", "matplotlib", "--exclude-module", "numpy"),
        str(ROOT / "foldhoist" / "__main__.py"),
    ]
    subprocess.run(command, check=True, cwd=ROOT)
    return ROOT / "dist" / "foldhoist" / "foldhoist"


def run_daemon(binary: Path) -> None:
    """Run the program as a daemon; raises SystemExit unless it is one process and exits with 0."""
    with tempfile.TemporaryDirectory() as scratch:
        settings = Path(scratch) / "daemon.ini"
        address = "127.0.0.1:1"
        text = SETTINGS.format(
            name="depo-1",
            data_centre="ist-1",
            listen=LISTEN,
            upstream=address,
            platform=address,
            seeds="",
            more="",
        )
        settings.write_text(text)
        daemon = subprocess.Popen([binary, "daemon", settings], stdout=subprocess.PIPE)
        assert daemon.stdout is not None
        ready = json.loads(daemon.stdout.readline())
        process = psutil.Process(daemon.pid)
        children = process.children(recursive=True)
        threads, memory = process.num_threads(), process.memory_info().rss / 1e6
        daemon.send_signal(signal.SIGTERM)
        code = daemon.wait(30)
    print(
        f"{ready['ready']} listened, {len(children)} children, {threads} threads, {memory:.0f} MB"
    )
    if children or code:
        raise SystemExit(f"children {children}, exit code {code}")


def main() -> None:
    """Build the program and smoke-test it."""
    binary = build()
    subprocess.run([binary, "version"], check=True)
    run_daemon(binary)


if __name__ == "__main__":
    main()
