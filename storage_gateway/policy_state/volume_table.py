"""The recently used volumes, and their usage through other gateway instances."""

from __future__ import annotations

import math

from storage_gateway.policy_api import Plan, Settings
from storage_gateway.policy_state.estimators import TokenBucket
from storage_gateway.policy_state.node import Node
from storage_gateway.policy_state.request import Request
from storage_gateway.policy_state.volume import UsageReport, Volume

OTHER_USAGE_SPAN_S = 1.0
"""Seconds over which the usage of a volume through other instances is averaged."""


class VolumeTable:
    """Volumes by id; ``PolicyState`` owns it.

    Attributes:
        by_id: the volumes; with a limit on their number, the least recently used first.
        forgotten_at: latest use of all volumes that were forgotten because of the limit; minus infinity if
            none was.
    """

    def __init__(self, settings: Settings) -> None:
        self.by_id: dict[int, Volume] = {}
        self.forgotten_at = -math.inf
        self._max_volumes = settings.max_records
        self._max_units = settings.max_request_units
        self._nodes_report_other_usage = settings.nodes_report_other_usage

    def refill(self, volume_id: int, plan: Plan, gateway_count: int, now: float, started_at: float) -> Volume:
        """Return the volume, its reservation refilled by this instance's share of the reserved rate.

        A volume that was not used recently has a full reservation. Its rate limit has been filling since the
        start of this instance, or since the latest use of a volume that was forgotten for want of space: this
        one may have spent its share until then.
        """
        rate = self.local_reserved_rate(volume_id, plan.reserved_rate, gateway_count)
        capacity = rate + self._max_units if rate else 0.0
        volume = self.by_id.get(volume_id)
        if volume is None:
            self._evict_least_recently_used()
            filling_since = max(started_at, self.forgotten_at)
            volume = Volume(TokenBucket(capacity, now), TokenBucket(0.0, filling_since))
            self.by_id[volume_id] = volume
        elif self._max_volumes:
            self.by_id[volume_id] = self.by_id.pop(volume_id)  # most recently used
        volume.reservation.refill(rate, capacity, now)
        return volume

    def local_reserved_rate(self, volume_id: int, reserved_rate: float, gateway_count: int) -> float:
        """Estimate this instance's share of a reservation: an equal one, or what the others leave if more.

        With equal shares only, a volume that uses its instances unevenly would not get its reservation. The
        cost: when most of its requests move to another instance, both spend the same share for a moment.
        """
        equal_share = reserved_rate / gateway_count
        volume = self.by_id.get(volume_id)
        if not self._nodes_report_other_usage or volume is None or not volume.other_usage:
            return equal_share
        return max(equal_share, reserved_rate - sum(usage.rate for usage in volume.other_usage.values()))

    def update_other_usage(self, request: Request, node: Node, units: float, now: float) -> None:
        """Update the usage by the units a node has served through other instances since its last report.

        Without a report, the other instances are assumed to use their full equal shares of the reservation.
        """
        reported = request.volume.other_usage
        expected = request.plan.reserved_rate * (1 - 1 / request.gateway_count)
        rate, reported_at = reported.get(node.shard, (expected, now))
        span_s = now - reported_at
        if span_s > 0:
            gain = 1 - math.exp(-span_s / OTHER_USAGE_SPAN_S)
            rate += gain * (units / span_s - rate)
        if span_s > 0 or node.shard not in reported:
            reported[node.shard] = UsageReport(rate, now)

    def _evict_least_recently_used(self) -> None:
        """Forget the least recently used volume without open requests, if there are as many as the limit."""
        if not self._max_volumes or len(self.by_id) < self._max_volumes:
            return
        unused = (volume_id for volume_id, volume in self.by_id.items() if not volume.open_requests)
        least_recently_used = next(unused, None)
        if least_recently_used is not None:
            volume = self.by_id.pop(least_recently_used)
            used_at = max(volume.reservation.refilled_at, volume.rate_limit.refilled_at)
            self.forgotten_at = max(self.forgotten_at, used_at)

    def forget_unused(self, unused_since: float, oldest_arrival: float) -> None:
        """Drop volumes without a request after ``unused_since``, and reserved units of older arrivals."""
        self.by_id = {
            volume_id: volume
            for volume_id, volume in self.by_id.items()
            if volume.reservation.refilled_at > unused_since
        }
        for volume in self.by_id.values():
            volume.forget_before(oldest_arrival)
