"""The records of a request and of its attempts."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from storage_gateway.policy_api import NO_SHARD, IdempotencyScope, Plan, RequestArrived, RequestClass
from storage_gateway.policy_state.node import Node, NodeIncarnation
from storage_gateway.policy_state.volume import Volume

MIN_UNITS = 1e-9
"""Least size of a request; a size of 0 would lead to divisions by zero."""


class Attempt(NamedTuple):
    """The node that an attempt was sent to, and the time of sending."""

    node: Node
    sent_at: float


class RetryIdentity(NamedTuple):
    """Identifies a request and the client's retries of it; ``object_key`` is None if it names no object."""

    volume_id: int
    class_index: int
    object_key: int | None


class FailedRequest(NamedTuple):
    """The times of a request that was not served; ``arrived_at`` is that of the original request."""

    arrived_at: float
    ended_at: float


@dataclass(slots=True, eq=False)
class Request:
    """A request that awaits its final response or has attempts in flight.

    Attributes:
        request_id: id of the request.
        shard: shard that holds the object; ``NO_SHARD`` for a request that creates one.
        class_index: index of the request class in the settings.
        request_class: settings of the request class.
        plan: plan of the volume.
        volume_id: id of the volume.
        volume: this instance's share of the volume.
        gateway_count: number of instances that the volume uses.
        units: size of the request, above 0.
        deadline: when the client stops waiting.
        retry_identity: identifies the client's retries of this request.
        ordering_key: object key if the class is ordered by key, else None.
        arrived_at: when the request arrived; for a client's retry, when the original did.
        objective_at: until when a response has its full value.
        drawn_units: reserved units that the latest attempt has drawn.
        attempts_sent: number of attempts sent so far.
        is_over: whether the final response has been given, or none is needed.
        slow_start_admitted: whether slow start admitted the request, by incarnation of a warming node.
        in_flight: attempts in flight, by attempt number.
        possible_executions: ended attempts that may have been executed.
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
    drawn_units: float = 0.0
    attempts_sent: int = 0
    is_over: bool = False
    slow_start_admitted: dict[NodeIncarnation, bool] = field(default_factory=dict)
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
        """Create the record of a request that arrives now."""
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
        """Return whether the slow start of the node has not rejected the request."""
        return self.slow_start_admitted.get(node.incarnation, True)

    def shares_idempotency_memory(self, node: Node) -> bool:
        """Return whether the node discards duplicates of the first attempt that may have been executed."""
        first = self.possible_executions[0].node
        match self.request_class.idempotency_scope:
            case IdempotencyScope.ZONE:
                return node.zone == first.zone
            case IdempotencyScope.SHARD:
                return node.shard == first.shard
        return True

    @property
    def creates_object(self) -> bool:
        """Whether the request creates an object, and any node can take it."""
        return self.shard == NO_SHARD

    @property
    def is_waiting(self) -> bool:
        """Whether the request waits to be sent to a node."""
        return not self.is_over and not self.in_flight

    @property
    def duplicates_discarded_until(self) -> float:
        """Until when nodes discard duplicates of a keyed request; infinite if none can be executed yet."""
        if not self.possible_executions:
            return math.inf
        return self.possible_executions[0].sent_at + self.request_class.idempotency_window_s

    @property
    def units_in_reservation(self) -> float:
        """Units of the request that are still within the reservation of its volume."""
        return min(self.units, self.volume.reserved_units.get(int(self.arrived_at), 0.0))

    @property
    def is_reserved(self) -> bool:
        """Whether the whole request is within the reservation of its volume."""
        return self.units_in_reservation >= self.units

    def begin_attempt(self, node: Node, now: float) -> None:
        """Record an attempt that is sent to the node now, and take a slot there."""
        self.in_flight[self.attempts_sent] = Attempt(node, now)
        self.attempts_sent += 1
        node.in_flight[self.class_index] += 1
        node.in_flight_count += 1

    def end_attempt(self, number: int) -> Attempt:
        """Remove an attempt that has ended, free its slot and return it."""
        attempt = self.in_flight.pop(number)
        attempt.node.in_flight[self.class_index] -= 1
        attempt.node.in_flight_count -= 1
        return attempt

    def draw_reserved_units(self) -> None:
        """Draw the units within the reservation for an attempt."""
        self.drawn_units = self.units_in_reservation
        self.volume.reserved_units[int(self.arrived_at)] -= self.drawn_units

    def return_reserved_units(self) -> None:
        """Return the units that an attempt which was not served had drawn on the reservation."""
        self.volume.reserved_units[int(self.arrived_at)] += self.drawn_units
