"""The volumes lately used, and their use through other gateway instances."""

from __future__ import annotations

import math

from storage_gateway.policy_api import Plan, Settings
from storage_gateway.policy_state.estimators import TokenBucket
from storage_gateway.policy_state.node import Node
from storage_gateway.policy_state.request import Request
from storage_gateway.policy_state.volume import UsageReport, Volume

OTHER_USAGE_SPAN_S = 1.0
"""Seconds over which the use of a volume through other instances is averaged."""


class VolumeTable:
    """Volumes by id; ``PolicyState`` owns it."""

    def __init__(self, settings: Settings) -> None:
        self.by_id: dict[int, Volume] = {}
        self._max_units = settings.max_request_units
        self._others_report = settings.nodes_report_other_usage

    def refill(self, volume_id: int, plan: Plan, gateway_count: int, now: float, started_at: float) -> Volume:
        """Return the volume, its reservation refilled by this instance's part of the reserved rate.

        A volume that was not used lately has a full reservation; its rate limit fills from this instance's
        start.
        """
        rate = self.reserved_rate_here(volume_id, plan.reserved_rate, gateway_count)
        capacity = rate + self._max_units if rate else 0.0
        volume = self.by_id.get(volume_id)
        if volume is None:
            volume = Volume(reservation=TokenBucket(capacity, now), rate_limit=TokenBucket(0.0, started_at))
            self.by_id[volume_id] = volume
        volume.reservation.refill(rate, capacity, now)
        return volume

    def reserved_rate_here(self, volume_id: int, reserved_rate: float, gateway_count: int) -> float:
        """Estimate this instance's part of a reservation: an even one, or what the others leave of theirs.

        Guards against reservations unmet where a volume uses its instances unevenly. Harms for a moment where
        the lead changes, as two instances then spend the same part.
        """
        even = reserved_rate / gateway_count
        volume = self.by_id.get(volume_id)
        if not self._others_report or volume is None or not volume.other_usage:
            return even
        return max(even, reserved_rate - sum(usage.rate for usage in volume.other_usage.values()))

    def learn_other_usage(self, request: Request, node: Node, units: float, now: float) -> None:
        """Take in what a node served the volume through other instances since its last answer about it.

        Until more is known, the other instances are taken to use all of their parts of the reservation.
        """
        reported = request.volume.other_usage
        expected = request.plan.reserved_rate * (1 - 1 / request.gateway_count)
        rate, told_at = reported.get(node.shard, (expected, now))
        span = now - told_at
        if span > 0:
            seen = 1 - math.exp(-span / OTHER_USAGE_SPAN_S)
            rate += seen * (units / span - rate)
        if span > 0 or node.shard not in reported:
            reported[node.shard] = UsageReport(rate, now)

    def forget_unused(self, unused_since: float, oldest_arrival: float) -> None:
        """Drop volumes without a request since, and the reserved units of older seconds."""
        self.by_id = {
            volume_id: volume
            for volume_id, volume in self.by_id.items()
            if volume.reservation.refilled_at > unused_since
        }
        for volume in self.by_id.values():
            volume.forget_before(oldest_arrival)
