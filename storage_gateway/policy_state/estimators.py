"""Estimators: token bucket, decaying rate, running means, demand, and the slope of a line."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Sequence
from itertools import pairwise
from typing import NamedTuple

from storage_gateway.policy_api import NO_SHARD

FAST_GAIN = 0.1
"""Weight of one answer in a running mean of a node's times, more where answers are rare."""


def clamp(value: float, minimum: float, maximum: float) -> float:
    """Return the value, moved into the range where it lies outside."""
    return max(minimum, min(maximum, value))


def bisect_decreasing(
    function: Callable[[float], float], goal: float, low: float, high: float, halvings: int
) -> float:
    """Return the upper end of the interval in which a decreasing function comes down to the goal."""
    for _ in range(halvings):
        middle = (low + high) / 2
        if function(middle) > goal:
            low = middle
        else:
            high = middle
    return high


def slope_through_origin(points: Sequence[tuple[float, float]]) -> float | None:
    """Fit the slope of the steps from one point (x, y) to the next by least squares through the origin.

    Returns:
        The slope, or None unless it is positive.
    """
    steps = [(after[0] - before[0], after[1] - before[1]) for before, after in pairwise(points)]
    slope = sum(dx * dy for dx, dy in steps) / max(sum(dx * dx for dx, _ in steps), 1e-12)
    return slope if slope > 0 else None


def low_biased_mean(mean: float, value: float) -> float:
    """Move a running mean towards a value, four times as fast downwards as upwards."""
    return mean + (FAST_GAIN if value < mean else FAST_GAIN / 4) * (value - mean)


class TokenBucket:
    """Units that fill up at a rate, to a capacity at most.

    Attributes:
        level: units in the bucket; below 0 after a debt.
        refilled_at: when ``refill`` was last called.
    """

    __slots__ = ("level", "refilled_at")

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self.refilled_at = now

    def refill(self, rate: float, capacity: float, now: float) -> None:
        """Add what has come at ``rate`` units a second since the last call."""
        self.level = min(capacity, self.level + rate * (now - self.refilled_at))
        self.refilled_at = now


class DecayingRate:
    """Units a second, in the mean over about the last ``span_s`` seconds (exponential decay)."""

    __slots__ = ("mean", "read_at", "span_s")

    def __init__(self, span_s: float) -> None:
        self.span_s = span_s
        self.mean = 0.0
        self.read_at = 0.0

    def at(self, now: float) -> float:
        """Return the rate as of now."""
        self.mean *= math.exp((self.read_at - now) / self.span_s)
        self.read_at = now
        return self.mean

    def add(self, units: float, now: float) -> None:
        """Count units that came just now."""
        self.mean = self.at(now) + units / self.span_s


class SlidingWindow:
    """Times of events within the last ``span_s`` seconds, the oldest first."""

    def __init__(self, span_s: float) -> None:
        self.span_s = span_s
        self.times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count an event."""
        self.times.append(now)

    def count(self, now: float) -> int:
        """Return the number of events in the window that ends now."""
        while self.times and self.times[0] <= now - self.span_s:
            self.times.popleft()
        return len(self.times)

    def next_expiry(self) -> float:
        """Return when the oldest event leaves the window, infinite for none."""
        return self.times[0] + self.span_s if self.times else math.inf


class ShardRates(NamedTuple):
    """Demand for one shard over the recent and the long span."""

    recent: DecayingRate
    long: DecayingRate


class ShardDemand(NamedTuple):
    """Units a second that this instance could send to one shard: inside reservations, and in all."""

    reserved: float
    total: float


class DemandEstimate:
    """What this instance could send just now, in all and inside reservations, and each shard's part of it.

    An instance hears of one shard too seldom to know its rate of the moment; how all of its traffic goes now,
    and the shard's part of it over long, tell it. Who knows little yet takes all for the shard's.
    """

    def __init__(self, recent_span_s: float, long_span_s: float, mean_units: float) -> None:
        self.recent_span_s = recent_span_s
        self.long_span_s = long_span_s
        self.mean_units = mean_units
        self.recent = DecayingRate(recent_span_s)
        self.recent_reserved = DecayingRate(recent_span_s)
        self.long = DecayingRate(long_span_s)
        self.shards: dict[int, ShardRates] = {}

    def add(self, shard: int, units: float, reserved: bool, now: float) -> None:
        """Count a request that could be sent now, ``reserved`` if it is inside its reservation."""
        if shard not in self.shards:
            rates = ShardRates(DecayingRate(self.recent_span_s), DecayingRate(self.long_span_s))
            self.shards[shard] = rates
        shard_recent, shard_long = self.shards[shard]
        self.recent.add(units, now)
        self.recent_reserved.add(units * reserved, now)
        self.long.add(units, now)
        shard_recent.add(units, now)
        shard_long.add(units, now)

    def at(self, shard: int, units: float, now: float) -> ShardDemand:
        """Return the shard's part of the demand.

        Args:
            shard: a shard that ``add`` was called with.
            units: what came for it just now, already counted.
            now: the present time.
        """
        shard_recent, shard_long = self.shards[shard]
        prior = self.mean_units / self.long_span_s
        part = 1.0 if shard == NO_SHARD else (shard_long.at(now) + prior) / (self.long.at(now) + prior)
        recent = self.recent.at(now)
        reserved = self.recent_reserved.at(now)
        demanded = max(part * recent, shard_recent.at(now) - units / self.recent_span_s)
        return ShardDemand(demanded * min(1.0, reserved / recent), demanded)

    def requests_seen(self, now: float) -> float:
        """Return the number of requests that the estimate rests on."""
        return self.long.at(now) * self.long_span_s / self.mean_units

    def forget_unused(self, now: float) -> None:
        """Drop shards of which hardly anything is left over the long span."""
        least = self.mean_units / self.long_span_s / self.long_span_s
        self.shards = {shard: rates for shard, rates in self.shards.items() if rates.long.at(now) > least}
