"""The record of a volume."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

from storage_gateway.policy_state.estimators import TokenBucket


class UsageReport(NamedTuple):
    """Use of a volume through other instances at one shard: mean units a second, and when it was told."""

    rate: float
    told_at: float


@dataclass(slots=True, eq=False)
class Volume:
    """This instance's part of a volume's reservation and rate limit.

    Attributes:
        reservation: tokens of the reserved rate.
        rate_limit: tokens of the rate limit.
        other_usage: use through other instances, by shard, as the nodes report it.
        reserved_units: units of the requests of each second of arrival that are still inside the reservation.
    """

    reservation: TokenBucket
    rate_limit: TokenBucket
    other_usage: dict[int, UsageReport] = field(default_factory=dict)
    reserved_units: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))

    def draw_reservation(self, units: float, second: int) -> None:
        """Count the units that the reservation has, of a request that arrives in this second, as reserved."""
        reserved = min(self.reservation.level, units)
        self.reservation.level -= reserved
        self.reserved_units[second] += reserved

    def forget_before(self, oldest: float) -> None:
        """Drop the reserved units of seconds before ``oldest``."""
        kept = {second: units for second, units in self.reserved_units.items() if second >= oldest}
        self.reserved_units = defaultdict(float, kept)
