"""The record of a storage node."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from storage_gateway.policy_api import EndpointEntry
from storage_gateway.policy_state.estimators import TokenBucket, low_biased_mean


class NodeIncarnation(NamedTuple):
    """A node between one start and the next."""

    node_id: int
    started_at: float


@dataclass(slots=True, eq=False)
class Node:
    """What this gateway instance knows about a listed node.

    Attributes:
        node_id: id of the node.
        shard: shard that the node holds; ``NO_SHARD`` for none.
        zone: zone of the node.
        incarnation: identifies the node since its last start.
        started_at: when the node last started; 0 for long ago.
        serving: whether discovery lists the node as taking new requests.
        concurrency_limit: number of requests that may be in flight; rounded down for use.
        in_flight: number of requests in flight, by class index.
        in_flight_count: number of requests in flight of all classes.
        class_slots: number of slots of each class, by class index.
        class_demand: seconds that requests were queued or in flight since the last control round, summed up
            by class index.
        queueing_delay_s: mean seconds that a request waits at the node.
        unit_time_s: mean seconds of service for a unit; 0 until the node has served an attempt.
        excess_rate: units a second that a volume of weight 1 may send beyond its reservation.
        excess_tokens: token bucket of each volume's share of the excess rate, by volume id.
        headroom_at_update: ``NodeTable.headroom`` when the excess rate was last updated.
        slow_start_tokens: units that may still be sent at once after a start, as an expected value.
        backoff_until: time before which nothing is sent to the node.
        consecutive_failures: failed attempts since the last served one.
        next_check_at: when the next timer for the node is due; infinite for none.
        served_units: units served since the last control round.
        last_served_at: when the node last served an attempt; 0 for never.
        newest_served_sent_at: latest send time of all served attempts; 0 for none.
        listing_number: greater than that of every node whose record was created before.
    """

    node_id: int
    shard: int
    zone: int
    concurrency_limit: float
    in_flight: list[int]
    class_slots: list[int]
    class_demand: list[float]
    queueing_delay_s: float
    excess_rate: float
    incarnation: NodeIncarnation
    started_at: float = 0.0
    serving: bool = True
    in_flight_count: int = 0
    unit_time_s: float = 0.0
    excess_tokens: dict[int, TokenBucket] = field(default_factory=dict)
    headroom_at_update: float = 1.0
    slow_start_tokens: TokenBucket = field(default_factory=lambda: TokenBucket(math.inf, 0.0))
    backoff_until: float = 0.0
    consecutive_failures: int = 0
    next_check_at: float = math.inf
    served_units: float = 0.0
    last_served_at: float = 0.0
    newest_served_sent_at: float = 0.0
    listing_number: int = 0

    @classmethod
    def from_entry(
        cls,
        entry: EndpointEntry,
        classes: int,
        concurrency_limit: float,
        queueing_delay_s: float,
        excess_rate: float,
    ) -> Node:
        """Create the record of a node that is listed for the first time, for this number of classes."""
        return cls(
            node_id=entry.id,
            shard=entry.shard,
            zone=entry.zone,
            concurrency_limit=concurrency_limit,
            in_flight=[0] * classes,
            class_slots=[1] * classes,
            class_demand=[0.0] * classes,
            queueing_delay_s=queueing_delay_s,
            excess_rate=excess_rate,
            incarnation=NodeIncarnation(entry.id, 0.0),
        )

    @property
    def has_free_slot(self) -> bool:
        """Whether the concurrency limit allows another request."""
        return self.in_flight_count < int(self.concurrency_limit)

    def response_time(self, units: float) -> float:
        """Estimate the seconds from sending a request of this size to its response."""
        return self.queueing_delay_s + self.unit_time_s * units

    def excess_bucket(self, volume_id: int, rate: float, now: float) -> TokenBucket:
        """Return the volume's bucket of the excess rate, refilled; it starts full, with one second of it."""
        bucket = self.excess_tokens.get(volume_id)
        if bucket is None:
            bucket = self.excess_tokens[volume_id] = TokenBucket(rate, now)
        bucket.refill(rate, rate, now)
        return bucket

    def restart(self, started_at: float, now: float) -> None:
        """Record a start of the node; its slow start begins again."""
        self.incarnation = NodeIncarnation(self.node_id, started_at)
        self.started_at = started_at
        self.slow_start_tokens = TokenBucket(math.inf, now)

    def update_times(
        self, elapsed_s: float, units: float, unit_time_s: float, gain: float, max_units: float
    ) -> None:
        """Update the service time and the queueing delay by the time of a response.

        The shortest times for a unit count as service, and what exceeds them as queueing. As service is in
        proportion to the units, a slow node or a large request is not mistaken for a queue. The estimate is
        wrong for a node that gives no short response for a long time.

        Args:
            elapsed_s: seconds from sending the request to its response.
            units: size of the request.
            unit_time_s: mean over all nodes, used for a node that has not served an attempt yet.
            gain: weight of this response in the mean queueing delay.
            max_units: size from which on a request may be more work than its units say; it never raises the
                queueing delay.
        """
        self.unit_time_s = low_biased_mean(self.unit_time_s or unit_time_s, elapsed_s / units)
        delay = max(0.0, elapsed_s - self.unit_time_s * units)
        if units < max_units or delay < self.queueing_delay_s:
            self.queueing_delay_s += gain * (delay - self.queueing_delay_s)

    def record_served(self, sent_at: float, units: float, now: float) -> None:
        """Record an attempt that the node has served."""
        self.newest_served_sent_at = max(self.newest_served_sent_at, sent_at)
        self.last_served_at = now
        self.consecutive_failures = 0
        self.served_units += units
