"""Each ablation still matches its source file."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tools.ablations import ABLATIONS, Ablation, write

if TYPE_CHECKING:
    from pathlib import Path


@pytest.mark.parametrize("ablation", ABLATIONS, ids=lambda each: each.name)
def test_the_copy_has_the_text_replaced_and_compiles(ablation: Ablation, tmp_path: Path) -> None:
    write(ablation, tmp_path)
    source = (tmp_path / ablation.name / ablation.file).read_text()
    assert ablation.text not in source
    compile(source, ablation.file, "exec")
