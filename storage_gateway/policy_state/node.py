"""The record of a node."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from storage_gateway.policy_api import EndpointEntry
from storage_gateway.policy_state.estimators import TokenBucket, low_biased_mean


class NodeStart(NamedTuple):
    """One life of a node, from one start to the next."""

    node_id: int
    started_at: float


@dataclass(slots=True, eq=False)
class Node:
    """A listed node, as this instance knows it.

    Attributes:
        node_id: its id.
        shard: the shard that it holds.
        zone: its zone.
        start: its present life.
        started_at: when it last started; 0 for long ago.
        serving: it takes new requests.
        concurrency_limit: requests that may be in flight there.
        in_flight: requests in flight there, by class.
        in_flight_count: their sum.
        class_slots: slots of the limit, by class.
        class_demand: request seconds queued or in flight there since the last control round, by class.
        queueing_delay_s: mean time that a request waits there.
        unit_time_s: mean time of service for a unit; 0 until it has answered.
        excess_rate: units a second by weight that a volume may send beyond its reservation.
        excess_tokens: a volume's part of that rate, by volume.
        headroom_seen: ``NodeTable.headroom`` when it last answered.
        slow_start_tokens: after a start, expected units that may still be sent at once.
        backoff_until: nothing is sent before.
        failures_in_row: attempts without an answer since the last answer.
        next_check_at: when a timer is due to look at it next.
        served_units: units that it has served since the last control round.
        answered_at: when it last answered.
        newest_answered: when the latest sent of its answered attempts was sent.
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
    start: NodeStart
    started_at: float = 0.0
    serving: bool = True
    in_flight_count: int = 0
    unit_time_s: float = 0.0
    excess_tokens: dict[int, TokenBucket] = field(default_factory=dict)
    headroom_seen: float = 1.0
    slow_start_tokens: TokenBucket = field(default_factory=lambda: TokenBucket(math.inf, 0.0))
    backoff_until: float = 0.0
    failures_in_row: int = 0
    next_check_at: float = math.inf
    served_units: float = 0.0
    answered_at: float = 0.0
    newest_answered: float = 0.0

    @classmethod
    def from_entry(
        cls,
        entry: EndpointEntry,
        classes: int,
        concurrency_limit: float,
        queueing_delay_s: float,
        excess_rate: float,
    ) -> Node:
        """Make the record of a node that is listed for the first time."""
        return cls(
            node_id=entry.node,
            shard=entry.shard,
            zone=entry.zone,
            concurrency_limit=concurrency_limit,
            in_flight=[0] * classes,
            class_slots=[1] * classes,
            class_demand=[0.0] * classes,
            queueing_delay_s=queueing_delay_s,
            excess_rate=excess_rate,
            start=NodeStart(entry.node, 0.0),
        )

    @property
    def has_free_slot(self) -> bool:
        """Its concurrency limit allows one more request."""
        return self.in_flight_count < int(self.concurrency_limit)

    def response_time(self, units: float) -> float:
        """Estimate the time in seconds from sending a request of this size to its answer."""
        return self.queueing_delay_s + self.unit_time_s * units

    def excess_bucket(self, volume_id: int, rate: float, now: float) -> TokenBucket:
        """Return the volume's part of the excess rate, refilled; it holds one second of it, full at first."""
        bucket = self.excess_tokens.get(volume_id)
        if bucket is None:
            bucket = self.excess_tokens[volume_id] = TokenBucket(rate, now)
        bucket.refill(rate, rate, now)
        return bucket

    def restart(self, started_at: float, now: float) -> None:
        """Take in that it has started anew."""
        self.start = NodeStart(self.node_id, started_at)
        self.started_at = started_at
        self.slow_start_tokens = TokenBucket(math.inf, now)

    def learn_times(
        self, elapsed_s: float, units: float, unit_time_s: float, gain: float, max_units: float
    ) -> None:
        """Tell service from queueing in the time of an answer: short answers are service, the rest is queue.

        Work goes with units, so a slow node or a large request is not taken for a queue. Misjudges a node of
        which no answer is short for long.

        Args:
            elapsed_s: time from sending to the answer.
            units: size of the request.
            unit_time_s: mean over all nodes, for a node that has not answered yet.
            gain: weight of this answer in the mean delay.
            max_units: size from which a request may be more work than its units say.
        """
        self.unit_time_s = low_biased_mean(self.unit_time_s or unit_time_s, elapsed_s / units)
        delay = max(0.0, elapsed_s - self.unit_time_s * units)
        if units < max_units or delay < self.queueing_delay_s:
            self.queueing_delay_s += gain * (delay - self.queueing_delay_s)

    def record_answer(self, sent_at: float, units: float, now: float) -> None:
        """Take in that an attempt was served."""
        self.newest_answered = max(self.newest_answered, sent_at)
        self.answered_at = now
        self.failures_in_row = 0
        self.served_units += units
