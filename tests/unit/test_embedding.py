"""The documented example of embedding is the one in examples, and runs."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def test_the_example_in_the_docs_runs() -> None:
    shown = (ROOT / "docs" / "developer-guide" / "embedding.md").read_text()
    code = shown.split("```python\n")[1].split("```")[0]
    assert code == (ROOT / "examples" / "embed.py").read_text()
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=ROOT
    )
    assert eval(done.stdout)["a"] > 200
