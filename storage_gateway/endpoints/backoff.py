"""Reconnect backoff with full jitter for calls to discovery.

What ends the watch of one gateway instance ends those of all. A fleet that comes back at once, or as fast as
it is rejected, keeps the discovery service at work on calls that nobody waits for any more. So each instance
waits for a time drawn uniformly from 0 to a bound, which grows with the number of instances and doubles with
each failure in a row ("full jitter").

The bounds leave room for a change to reach the policy within ``PROPAGATION_BOUND_S``, where discovery can be
reached: a watch that went dead is noticed after its idle timeout, then follow a first delay and one call; a
call that fails is followed by a delay and the next call.
"""

from __future__ import annotations

import random

PROPAGATION_BOUND_S = 6.0  # from a change in discovery, which can be reached, to the policy
MIN_BACKOFF_S = 0.1  # the smallest upper bound of a delay
BACKOFF_PER_GATEWAY_S = 0.15  # for each other instance of a shared service: about what a list takes
MAX_FIRST_BACKOFF_S = 1.25  # after a watch that worked: idle timeout, delay and call fit into the bound
MAX_BACKOFF_S = 2.75  # after failures, however many: failed call, delay and next call fit into the bound
MAX_LOCAL_BACKOFF_S = 0.4  # where discovery is an agent of this instance, which no other one calls
MAX_MOVE_BACKOFF_S = 0.9  # while discovery moves to another address, for which the bound is 4 s
MAX_DOUBLINGS = 16  # by then each bound is reached; keeps the power of 2 finite


class ReconnectBackoff:
    """Draws the delays of one gateway instance.

    Args:
        gateway_count: number of instances that call the same discovery service.
        seed: seed of the instance's random numbers.
    """

    def __init__(self, gateway_count: int, seed: int) -> None:
        self._gateway_count = gateway_count
        self._random = random.Random(seed)

    def delay_s(self, failures: int) -> float:
        """Draw the seconds until the next call, after so many calls in a row that failed."""
        return self._random.random() * max_delay_s(failures, self._gateway_count)


def max_delay_s(failures: int, gateway_count: int) -> float:
    """Return the upper bound of a delay in seconds, after so many calls in a row that failed."""
    first = max(MIN_BACKOFF_S, BACKOFF_PER_GATEWAY_S * (gateway_count - 1))
    doubled = first * 2.0 ** min(failures, MAX_DOUBLINGS)
    return min(_limit_s(failures, gateway_count), doubled)


def _limit_s(failures: int, gateway_count: int) -> float:
    if gateway_count <= 1:
        return MAX_LOCAL_BACKOFF_S
    if failures:
        return MAX_BACKOFF_S
    return MAX_FIRST_BACKOFF_S
