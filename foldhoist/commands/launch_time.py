"""Launch time of this process; to be imported before modules that load slowly."""

from __future__ import annotations

import time

LAUNCH_TIME_S = time.monotonic()
"""Monotonic time, seconds."""
