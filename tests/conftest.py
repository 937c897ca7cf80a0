"""What all tests share: generated examples are the same each time, and no time is asserted."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

settings.register_profile(
    "same-each-time",
    database=None,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("same-each-time")
