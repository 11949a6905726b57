"""The records of a request and of its attempts."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from storage_gateway.policy_api import NO_SHARD, IdempotencyScope, Plan, RequestArrived, RequestClass
from storage_gateway.policy_state.node import Node, NodeStart
from storage_gateway.policy_state.volume import Volume

MIN_UNITS = 1e-9
"""A request of no units counts as one of these, so that shares of it can be formed."""


class Attempt(NamedTuple):
    """An attempt: the node it was sent to, and when."""

    node: Node
    sent_at: float


class RetryIdentity(NamedTuple):
    """What a client's retry has in common with its first try."""

    volume_id: int
    class_index: int
    object_key: int | None


class FailedTry(NamedTuple):
    """A request that was not served: when its first try arrived, and when it ended."""

    arrived_at: float
    ended_at: float


@dataclass(slots=True, eq=False)
class Request:
    """A request that is owed an answer, or has attempts in flight.

    Attributes:
        request_id: its id.
        shard: the shard that holds its object, or ``NO_SHARD``.
        class_index: its class, as an index.
        request_class: its class.
        plan: the plan of its volume.
        volume_id: its volume.
        volume: this instance's part of that volume.
        gateway_count: instances that the volume uses.
        units: its size, above 0.
        deadline: when its client stops waiting.
        retry_identity: what a client's retry has in common with it.
        ordering_key: its object, where its class is ordered.
        arrived_at: when the first try that it belongs to arrived.
        objective_at: until when an answer has its full value.
        reserved_units: units of it that were sent on the reservation.
        attempts_sent: number of its attempts so far.
        is_over: it has its final answer, or needs none.
        slow_start_admitted: for each warming node, whether it was admitted to it.
        in_flight: its attempts in flight, by number.
        possible_executions: its attempts that may have been executed.
    """

    request_id: str
    shard: int
    class_index: int
    request_class: RequestClass
    plan: Plan
    volume_id: int
    volume: Volume
    gateway_count: int
    units: float
    deadline: float
    retry_identity: RetryIdentity
    ordering_key: int | None
    arrived_at: float
    objective_at: float = math.inf
    reserved_units: float = 0.0
    attempts_sent: int = 0
    is_over: bool = False
    slow_start_admitted: dict[NodeStart, bool] = field(default_factory=dict)
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    possible_executions: list[Attempt] = field(default_factory=list)

    @classmethod
    def from_arrival(
        cls,
        event: RequestArrived,
        request_class: RequestClass,
        plan: Plan,
        volume: Volume,
        gateway_count: int,
        now: float,
    ) -> Request:
        """Make the record of a request that has just arrived."""
        return cls(
            request_id=event.request_id,
            shard=event.shard,
            class_index=event.class_index,
            request_class=request_class,
            plan=plan,
            volume_id=event.volume_id,
            volume=volume,
            gateway_count=gateway_count,
            units=max(event.units, MIN_UNITS),
            deadline=event.deadline,
            retry_identity=RetryIdentity(event.volume_id, event.class_index, event.object_key),
            ordering_key=event.object_key if request_class.ordered_by_key else None,
            arrived_at=now,
        )

    def is_admitted_to(self, node: Node) -> bool:
        """The slow start of the node has not turned it away."""
        return self.slow_start_admitted.get(node.start, True)

    def shares_idempotency_memory(self, node: Node) -> bool:
        """The node discards duplicates of its first attempt that may have been executed."""
        first = self.possible_executions[0].node
        match self.request_class.idempotency_scope:
            case IdempotencyScope.ZONE:
                return node.zone == first.zone
            case IdempotencyScope.SHARD:
                return node.shard == first.shard
        return True

    @property
    def creates_object(self) -> bool:
        """Any node can take it."""
        return self.shard == NO_SHARD

    @property
    def is_waiting(self) -> bool:
        """It waits for a node."""
        return not self.is_over and not self.in_flight

    @property
    def duplicates_discarded_until(self) -> float:
        """Until when nodes discard its duplicates, if it is idempotent with a key; infinite if unsent."""
        if not self.possible_executions:
            return math.inf
        return self.possible_executions[0].sent_at + self.request_class.idempotency_window_s

    @property
    def units_in_reservation(self) -> float:
        """Units of it that are still inside its volume's reservation."""
        return min(self.units, self.volume.reserved_units.get(int(self.arrived_at), 0.0))

    @property
    def is_reserved(self) -> bool:
        """The whole of it is inside its volume's reservation."""
        return self.units_in_reservation >= self.units

    def begin_attempt(self, node: Node, now: float) -> None:
        """Count an attempt that goes to the node now."""
        self.in_flight[self.attempts_sent] = Attempt(node, now)
        self.attempts_sent += 1
        node.in_flight[self.class_index] += 1
        node.in_flight_count += 1

    def end_attempt(self, number: int) -> Attempt:
        """Take out an attempt that has ended, and free its slot."""
        attempt = self.in_flight.pop(number)
        attempt.node.in_flight[self.class_index] -= 1
        attempt.node.in_flight_count -= 1
        return attempt

    def draw_reserved_units(self) -> None:
        """Take what is inside the reservation for an attempt."""
        self.reserved_units = self.units_in_reservation
        self.volume.reserved_units[int(self.arrived_at)] -= self.reserved_units

    def return_reserved_units(self) -> None:
        """Give back what an attempt that was not served had drawn on the reservation."""
        self.volume.reserved_units[int(self.arrived_at)] += self.reserved_units
