"""Tests that the memory of large bodies goes back to the system when they are freed.

Guards against a daemon that holds as much as its largest bodies took, though they are gone.
"""

from __future__ import annotations

import subprocess
import sys

from foldhoist.daemon.allocator import TRIM_BYTES, TRIM_INTERVAL_S, UnusedMemory

BODY_BYTES = 30 * 1024 * 1024
MAX_KEPT_BYTES = 10 * 1024 * 1024
"""What may stay resident after bodies of 145 MiB, bytes."""
PROGRAM = f"""
import ctypes
from pathlib import Path
from foldhoist.daemon.allocator import configure_allocator

def resident() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096

configure_allocator()
warm = bytes({BODY_BYTES})
del warm
before = resident()
held = []
for _ in range(5):
    held += [b"x" * ({BODY_BYTES} - 1024 * 1024), bytearray(1000)]
bodies = held[::2]
held = held[1::2]
del bodies
print(resident() - before)
"""


def test_memory_of_large_bodies_is_returned() -> None:
    run = subprocess.run([sys.executable, "-c", PROGRAM], capture_output=True, check=True)
    assert int(run.stdout) < MAX_KEPT_BYTES


def test_unused_memory_is_given_back_when_much_less_is_held() -> None:
    """What a crowd of clients had held stayed resident after it had gone."""
    unused = UnusedMemory()
    trims: list[int] = []
    unused._malloc_trim = trims.append
    for now, held in [(0.0, 0), (1.0, 2 * TRIM_BYTES), (2.0, 2 * TRIM_BYTES), (3.0, TRIM_BYTES)]:
        unused.check(now, held)
    assert trims == [0]
    unused.check(3.0 + TRIM_INTERVAL_S / 2, 0)
    assert trims == [0]
    unused.check(3.0 + TRIM_INTERVAL_S, 0)
    assert trims == [0, 0]
    unused.check(9.0, 1000)
    assert trims == [0, 0]
