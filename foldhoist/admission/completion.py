"""Until when a call may start and still be of use, by how long it takes; no I/O, no clock.

An answer is worth most to its caller while it is on time, something until the caller's deadline,
and nothing afterwards. Waiting is of use while the work still fits in behind it; what no longer
fits is refused, so that its caller can go elsewhere.
"""

from __future__ import annotations

TIME_MARGIN = 1.4
"""Time that is kept for a call, in times of how long such calls take: some take longer."""


def latest_start(now: float, due: float, deadline: float, expect_s: float) -> float:
    """Return until when a call may start, in seconds on the clock of `now`.

    Until it can no longer be answered when it is `due`. A call that can't be on time from the
    beginning is of use until its `deadline`.
    """
    needed_s = expect_s * TIME_MARGIN
    if now + needed_s <= due:
        return min(due, deadline) - needed_s
    return deadline - needed_s


def hedge_after(objective_s: float, expect_s: float) -> float:
    """Return when a second attempt still can be on time, seconds after the first; 0 for never.

    While the first attempt is about as old as such calls get, it is the likelier to be first.
    """
    if not objective_s:
        return 0.0
    return max(objective_s - expect_s * TIME_MARGIN, expect_s * TIME_MARGIN)
