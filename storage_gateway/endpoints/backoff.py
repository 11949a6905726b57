"""Pauses between calls to discovery."""

from __future__ import annotations

WINDOW = 6.0  # seconds after which a change counts as told, once discovery had it and could be reached
PAUSE = 0.1  # the least spread of a next call
EACH = 0.15  # seconds of that spread for each front, where one service hears all: about what a list takes
MOST_FIRST = 1.25  # the most of that spread after a silence: silence, pause and call fit into the window
MOST_PAUSE = 2.75  # and after failures, however many: a call that fails, a pause and the next call fit
MOST_ALONE = 0.4  # where the front has an agent of its own, whom no other front's calls keep
MOST_MOVED = 0.9  # amid a move, which counts as told sooner


def spread(failures: int, callers: int) -> float:
    """Seconds within which the next call falls, anywhere: twice as many after each failure in a row, up to
    what the window leaves.

    Guards discovery: what ends one watch ends all, and a fleet that comes back at once, or as fast as it is
    turned away, keeps the service at work on calls that nobody waits for any more.
    """
    most = MOST_ALONE if callers <= 1 else MOST_PAUSE if failures else MOST_FIRST
    return min(most, max(PAUSE, EACH * (callers - 1)) * 2.0 ** min(failures, 16))
