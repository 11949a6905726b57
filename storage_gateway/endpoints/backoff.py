"""Reconnect backoff with full jitter for calls to discovery.

What ends the watch of one gateway instance ends the watches of all. If all instances reconnected at once, or
as fast as they are rejected, the discovery service would be kept busy with calls that have already timed out.
So each instance waits for a time drawn uniformly from 0 to a bound, which grows with the number of instances
and doubles with each consecutive failure ("full jitter").

The bounds let a change reach the policy in time as long as discovery is reachable (``call_schedule.py``).
"""

from __future__ import annotations

import random

MIN_BACKOFF_S = 0.1  # smallest upper bound of a delay
BACKOFF_PER_GATEWAY_S = 0.15  # for each other instance of a shared service: about the time of a list call
MAX_FIRST_BACKOFF_S = 1.25  # after a working watch
MAX_BACKOFF_S = 2.75  # after any number of failures
MAX_LOCAL_BACKOFF_S = 0.4  # for a local agent, which no other instance calls
MAX_MOVE_BACKOFF_S = 0.9  # while moving to another discovery address, which must not take more than 4 s
MAX_DOUBLINGS = 16  # the limit is reached by then; prevents an overflow of the power of 2


class ReconnectBackoff:
    """Draws the reconnect delays of one gateway instance.

    Args:
        gateway_count: number of instances that call the same discovery service.
        seed: seed of the random delays; it should differ between instances.

    Attributes:
        gateway_count: number of instances that call the same discovery service; 1 for a local agent.
    """

    def __init__(self, gateway_count: int, seed: int) -> None:
        self.gateway_count = gateway_count
        self._random = random.Random(seed)

    def delay_s(self, failures: int) -> float:
        """Draw the seconds until the next call, after this number of consecutive failed calls."""
        return self._random.random() * self.max_delay_s(failures)

    def draw_s(self, min_s: float, max_s: float) -> float:
        """Draw a time in seconds between two bounds."""
        return self._random.uniform(min_s, max_s)

    def max_delay_s(self, failures: int) -> float:
        """Return the upper bound of a delay in seconds, after this number of consecutive failed calls."""
        return max_delay_s(failures, self.gateway_count)


def max_delay_s(failures: int, gateway_count: int) -> float:
    """Return the upper bound of a delay in seconds, after this number of consecutive failed calls."""
    first_bound_s = max(MIN_BACKOFF_S, BACKOFF_PER_GATEWAY_S * (gateway_count - 1))
    doubled_bound_s = first_bound_s * 2.0 ** min(failures, MAX_DOUBLINGS)
    return min(_limit_s(failures, gateway_count), doubled_bound_s)


def _limit_s(failures: int, gateway_count: int) -> float:
    if gateway_count <= 1:
        return MAX_LOCAL_BACKOFF_S
    if failures:
        return MAX_BACKOFF_S
    return MAX_FIRST_BACKOFF_S
