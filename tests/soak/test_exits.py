"""The observer of a process's end: guards against a late notice being taken for a late end."""

from __future__ import annotations

import subprocess
import sys
import time

from soak.exits import ExitObserver


def test_the_end_of_a_process_is_seen_before_anybody_waits_for_it() -> None:
    process = subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE)
    observer = ExitObserver(process.pid)
    observer.start()
    while not observer.last_state:
        time.sleep(0.01)
    closed_at = time.monotonic()
    assert process.stdin is not None
    process.stdin.close()
    observer.join()
    process.wait()
    assert closed_at <= observer.ended_at <= time.monotonic()
