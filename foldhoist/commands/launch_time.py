"""When this process began: to be imported before what takes long to load."""

from __future__ import annotations

import time

LAUNCH_TIME_S = time.monotonic()
"""Monotonic seconds."""
