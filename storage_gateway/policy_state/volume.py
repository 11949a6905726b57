"""The record of a volume."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

from storage_gateway.policy_state.estimators import TokenBucket


class UsageReport(NamedTuple):
    """Usage of a volume at a shard through other instances: mean units a second, and time of the report."""

    rate: float
    reported_at: float


@dataclass(slots=True, eq=False)
class Volume:
    """This instance's share of a volume's reservation and rate limit.

    Attributes:
        reservation: token bucket of the reserved rate.
        rate_limit: token bucket of the rate limit.
        other_usage: usage through other instances that nodes have reported, by shard.
        reserved_units: reserved units that no attempt has drawn yet, by second of arrival of their requests.
        open_requests: number of requests that are not over.
    """

    reservation: TokenBucket
    rate_limit: TokenBucket
    other_usage: dict[int, UsageReport] = field(default_factory=dict)
    reserved_units: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    open_requests: int = 0

    def draw_reservation(self, units: float, second: int) -> None:
        """Reserve as many units as the reservation has left, for a request that arrives in this second."""
        reserved = min(self.reservation.level, units)
        self.reservation.level -= reserved
        self.reserved_units[second] += reserved

    def forget_before(self, oldest: float) -> None:
        """Drop the reserved units of seconds before ``oldest``."""
        remaining_units = {second: units for second, units in self.reserved_units.items() if second >= oldest}
        self.reserved_units = defaultdict(float, remaining_units)
