"""Builds the program as a folder that needs no interpreter: dist/foldhoist/foldhoist.

The folder, unlike PyInstaller's single file, runs as one process and unpacks nothing.
"""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def main() -> int:
    """Build, and run the result once."""
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
    binary = ROOT / "dist" / "foldhoist" / "foldhoist"
    return subprocess.run([str(binary), "version"], check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
