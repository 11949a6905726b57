"""Estimators: token bucket, decaying rate, running mean, sliding window, demand and linear fit."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Sequence
from itertools import pairwise
from typing import NamedTuple

from storage_gateway.policy_api import NO_SHARD

RESPONSE_GAIN = 0.1
"""Weight of one response in a running mean of a node's times; in the queueing delay, it is larger if
responses are rare."""


def clamp(value: float, minimum: float, maximum: float) -> float:
    """Limit a value to a range."""
    return max(minimum, min(maximum, value))


def bisect_decreasing(
    function: Callable[[float], float], target: float, low: float, high: float, steps: int
) -> float:
    """Find by bisection where a decreasing function reaches the target.

    Returns:
        The upper end of the last interval.
    """
    for _ in range(steps):
        middle = (low + high) / 2
        if function(middle) > target:
            low = middle
        else:
            high = middle
    return high


def slope_through_origin(points: Sequence[tuple[float, float]]) -> float | None:
    """Fit a line through the origin to the differences between successive points (x, y), by least squares.

    Returns:
        The slope; None unless it is positive.
    """
    steps = [(after[0] - before[0], after[1] - before[1]) for before, after in pairwise(points)]
    slope = sum(dx * dy for dx, dy in steps) / max(sum(dx * dx for dx, _ in steps), 1e-12)
    return slope if slope > 0 else None


def low_biased_mean(mean: float, value: float) -> float:
    """Return a running mean moved towards a value, four times as fast downwards as upwards."""
    return mean + (RESPONSE_GAIN if value < mean else RESPONSE_GAIN / 4) * (value - mean)


class TokenBucket:
    """A token bucket that counts units of work.

    Attributes:
        level: units in the bucket; negative while it is in debt.
        refilled_at: when ``refill`` was last called.
    """

    __slots__ = ("level", "refilled_at")

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self.refilled_at = now

    def refill(self, rate: float, capacity: float, now: float) -> None:
        """Add ``rate`` units for each second since the last call, up to the capacity."""
        self.level = min(capacity, self.level + rate * (now - self.refilled_at))
        self.refilled_at = now


class DecayingRate:
    """A mean rate in units a second with exponential decay; ``span_s`` is its time constant in seconds."""

    __slots__ = ("mean", "read_at", "span_s")

    def __init__(self, span_s: float) -> None:
        self.span_s = span_s
        self.mean = 0.0
        self.read_at = 0.0

    def at(self, now: float) -> float:
        """Return the rate at the present time."""
        self.mean *= math.exp((self.read_at - now) / self.span_s)
        self.read_at = now
        return self.mean

    def add(self, units: float, now: float) -> None:
        """Count units that have arrived now."""
        self.mean = self.at(now) + units / self.span_s


class SlidingWindow:
    """Counts the events of the last ``span_s`` seconds."""

    def __init__(self, span_s: float) -> None:
        self.span_s = span_s
        self.times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count an event that happens now."""
        self.times.append(now)

    def count(self, now: float) -> int:
        """Return the number of events in the window that ends now."""
        while self.times and self.times[0] <= now - self.span_s:
            self.times.popleft()
        return len(self.times)

    def next_expiry(self) -> float:
        """Return when the oldest event leaves the window; infinite if it is empty."""
        return self.times[0] + self.span_s if self.times else math.inf


class ShardRates(NamedTuple):
    """Demand for one shard over the recent and the long time span."""

    recent: DecayingRate
    long: DecayingRate


class ShardDemand(NamedTuple):
    """Units a second that this instance could send to one shard: within reservations, and in total."""

    reserved: float
    total: float


class DemandEstimate:
    """Estimates the present demand for each shard, in total and within reservations.

    An instance gets too few requests for one shard to measure their present rate directly. The estimate is
    the present rate of all requests times the shard's share of them over the long span. The share starts at 1
    and falls as requests for other shards are counted.
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
        """Count a request that could be sent now; ``reserved`` if it is within its reservation."""
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
        """Return the demand for a shard.

        Args:
            shard: a shard that ``add`` was called with.
            units: units of the request that has just been counted for it.
            now: the present time.
        """
        shard_recent, shard_long = self.shards[shard]
        prior = self.mean_units / self.long_span_s
        share = 1.0 if shard == NO_SHARD else (shard_long.at(now) + prior) / (self.long.at(now) + prior)
        recent = self.recent.at(now)
        reserved = self.recent_reserved.at(now)
        demanded = max(share * recent, shard_recent.at(now) - units / self.recent_span_s)
        return ShardDemand(demanded * min(1.0, reserved / recent), demanded)

    def requests_seen(self, now: float) -> float:
        """Return about how many requests of mean size the long span holds."""
        return self.long.at(now) * self.long_span_s / self.mean_units

    def forget_unused(self, now: float) -> None:
        """Drop shards with next to no demand over the long span."""
        minimum = self.mean_units / self.long_span_s / self.long_span_s
        self.shards = {shard: rates for shard, rates in self.shards.items() if rates.long.at(now) > minimum}
