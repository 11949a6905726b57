"""Admission control: reservations, the excess rate, rate limits and load shedding."""

from __future__ import annotations

import math

from storage_gateway.policy.concurrency import MAX_BOUND_STEP
from storage_gateway.policy.node_health import NodeHealth
from storage_gateway.policy.retries import DEADLINE_MARGIN_S, RetryPolicy
from storage_gateway.policy_api import Action, CancelAttempt, FailRequest, RejectRequest
from storage_gateway.policy_state import Node, PolicyState, RejectReason, Request, longest_wait


class AdmissionControl:
    """Computes the value of a request at a node, enforces the rates of its volume, and sheds requests."""

    def __init__(self, state: PolicyState, health: NodeHealth, retries: RetryPolicy) -> None:
        self.state = state
        self.health = health
        self.retries = retries
        self.max_excess_value = state.settings.max_excess_value

    def reserve(self, request: Request) -> None:
        """Draw a new request's units on its volume's reservation, and set its latency objective.

        A client's retry of a request that has just failed draws nothing and keeps the arrival time of the
        original, so that clients that retry aggressively gain nothing. The cost: a new request for the same
        object right after a failed one counts as its retry.
        """
        now = self.state.now
        objective_s = request.request_class.latency_objective_s
        original = self.state.requests.failed_requests.pop(request.retry_identity, None)
        if original and now - original.ended_at <= objective_s:
            request.arrived_at = original.arrived_at
        else:
            request.volume.draw_reservation(request.units, int(now))
        request.objective_at = min(request.arrived_at + objective_s, request.deadline)

    def unit_value(self, request: Request, node: Node) -> float:
        """Return the value of one unit of the request if it is sent to this node now."""
        reserved = request.units_in_reservation / request.units
        factor = (reserved + (1 - reserved) * self.state.settings.excess_value) * request.plan.value_factor
        late_factor = 1.0 if self.meets_objective(request, node) else request.request_class.late_value
        return request.request_class.priority_weight * factor * late_factor

    def meets_objective(self, request: Request, node: Node) -> bool:
        """Return whether this node is expected to respond within the latency objective."""
        return self.state.now + node.response_time(request.units) <= request.objective_at

    def is_within_reservation(self, request: Request, node: Node) -> bool:
        """Return whether the whole request is reserved and this node is expected to respond in time."""
        return request.is_reserved and self.meets_objective(request, node)

    def excess_ready_at(self, request: Request, node: Node) -> float:
        """Return when the excess rate of the node admits a request beyond its reservation.

        Keeps many instances from overloading a node with one slot each: all of them observe its queue and
        arrive at similar rates by weight. Slow nodes should be relieved in the same way. The cost: a volume
        that uses its instances very unevenly gets less than its share. A request that creates an object
        divides its rate among all nodes and is never sent late.

        Returns:
            The time; infinite if the request has no excess rate at this node.
        """
        if self.is_within_reservation(request, node):
            return self.state.now
        sharers = request.gateway_count * (len(self.state.nodes.owners) if request.creates_object else 1)
        rate = self.health.excess_rate(node) * request.plan.excess_weight / sharers
        if self.unit_value(request, node) <= 0 or (
            request.creates_object and not self.meets_objective(request, node)
        ):
            rate = 0.0
        bucket = node.excess_bucket(request.volume_id, rate, self.state.now)
        return self.state.now - min(0.0, bucket.level) / rate if rate else math.inf

    def rate_limit_ready_at(self, request: Request) -> float:
        """Return when this instance's share of the rate limit admits the request.

        Only the first attempt counts against the limit. The share is empty when the instance starts.
        """
        plan = request.plan
        now = self.state.now
        if not plan.rate_limit or request.attempts_sent:
            return now
        bucket = request.volume.rate_limit
        rate = plan.rate_limit / request.gateway_count
        bucket.refill(rate, plan.rate_limit_burst / request.gateway_count, now)
        return now + max(0.0, request.units - bucket.level) / rate

    def charge(self, request: Request, node: Node, reserved: bool) -> None:
        """Charge an attempt at this node to the excess rate, the reservation and the rate limit.

        A unit of lower value, or of a class with a smaller bound, costs more of the excess rate.
        """
        if not reserved:
            bound = max(MAX_BOUND_STEP, self.state.classes[request.class_index].bound)
            tokens_per_unit = self.max_excess_value / self.unit_value(request, node) / bound
            node.excess_tokens[request.volume_id].level -= request.units * tokens_per_unit
        request.draw_reserved_units()
        if not request.attempts_sent:
            request.volume.rate_limit.level -= request.units

    def review(self, request: Request) -> None:
        """Keep a queued request while it can meet its objective, and shed it otherwise.

        Runs after the nodes have chosen, so that a late request which can be sent at once has been sent.
        Prevents a backlog that outlives its value, whatever delays it: a surge, or a silent, warming or
        unlisted node. The cost: requests are also shed just before response times improve.
        """
        state = self.state
        node = state.nodes.owners.get(request.shard)
        late_at = request.objective_at
        ready_at = math.inf
        hopeless = not request.creates_object or not state.nodes.owners
        if node:
            late_at -= node.response_time(request.units)
            ready_at = max(node.backoff_until, self.excess_ready_at(request, node))
            if not request.is_admitted_to(node):
                ready_at = math.inf
            hopeless = ready_at >= request.deadline or not self.retries.is_safe_at(request, node)
        late_at = min(late_at, request.deadline - DEADLINE_MARGIN_S)
        if late_at > state.now and not hopeless:
            state.timers.add(late_at, request)
            return
        slot_wait_s = state.expected_wait(node) if node and not node.has_free_slot else 0.0
        self.shed(request, self._reason(request, node), max(ready_at - state.now, slot_wait_s))

    def _reason(self, request: Request, node: Node | None) -> RejectReason:
        """Return the rule that delays the request longest, for the status line."""
        if not node:
            return RejectReason.NO_ENDPOINT
        if not request.is_admitted_to(node):
            return RejectReason.SLOW_START
        ready_at = {
            RejectReason.BACKOFF: node.backoff_until,
            RejectReason.EXCESS_RATE: self.excess_ready_at(request, node),
            RejectReason.RATE_LIMIT: self.rate_limit_ready_at(request),
        }
        late = RejectReason.LATE if node.has_free_slot else RejectReason.CONCURRENCY_LIMIT
        return longest_wait(ready_at, self.state.now) or late

    def shed(self, request: Request, reason: RejectReason, wait_s: float = 0.0) -> None:
        """End the request at once: reject it with a retry hint if a retry is harmless, else fail it."""
        self.state.count_rejected(request, reason)
        retry_after_s = min(self.state.settings.max_retry_after_s, wait_s)
        if self.retries.may_reject(request):
            self.finish(request, RejectRequest(request.request_id, retry_after_s))
        else:
            self.finish(request, FailRequest(request.request_id))

    def finish(self, request: Request, response: Action | None, served: bool = False) -> None:
        """End a request, and cancel its attempts in flight if cancelling is allowed.

        Args:
            request: the request; one that is over already is left alone.
            response: the final response; None if none is needed.
            served: whether an attempt has served the request.
        """
        if request.is_over:
            return
        self.state.close(request, served)
        if response:
            self.state.actions.append(response)
        if self.state.settings.can_cancel:
            self.state.actions.extend(
                CancelAttempt(request.request_id, number) for number in request.in_flight
            )
        self.state.requests.forget(request)
