"""Admission: reservations, the rate beyond them, rate limits, and which requests are shed."""

from __future__ import annotations

import math

from storage_gateway.policy.concurrency import MAX_STEP
from storage_gateway.policy.node_health import NodeHealth
from storage_gateway.policy.retries import DEADLINE_MARGIN_S, RetryPolicy
from storage_gateway.policy_api import Action, CancelAttempt, FailRequest, RejectRequest
from storage_gateway.policy_state import Node, PolicyState, RejectReason, Request, longest_wait


class AdmissionControl:
    """Says what a request is worth at a node, when its volume may send it, and when it is given up."""

    def __init__(self, state: PolicyState, health: NodeHealth, retries: RetryPolicy) -> None:
        self.state = state
        self.health = health
        self.retries = retries
        self.max_excess_value = state.settings.max_excess_value

    def reserve(self, request: Request) -> None:
        """Draw a new request on its volume's reservation; a retry belongs to its first try, which has drawn.

        Guards against clients that retry hard. Harms a new request for an object just after a failed one.
        """
        now = self.state.now
        objective_s = request.request_class.latency_objective_s
        failed = self.state.requests.failed_tries.pop(request.retry_identity, None)
        if failed and now - failed.ended_at <= objective_s:
            request.arrived_at = failed.arrived_at
        else:
            request.volume.draw_reservation(request.units, int(now))
        request.objective_at = min(request.arrived_at + objective_s, request.deadline)

    def value(self, request: Request, node: Node) -> float:
        """Return what a unit is worth when sent to this node now."""
        reserved = request.units_in_reservation / request.units
        share = (reserved + (1 - reserved) * self.state.settings.excess_value) * request.plan.value_factor
        late = 1.0 if self.in_time(request, node) else request.request_class.late_value
        return request.request_class.priority_weight * share * late

    def in_time(self, request: Request, node: Node) -> bool:
        """Say whether an answer of this node would come within the objective."""
        return self.state.now + node.response_time(request.units) <= request.objective_at

    def within_reservation(self, request: Request, node: Node) -> bool:
        """Say whether the whole request is reserved, and in time here."""
        return request.is_reserved and self.in_time(request, node)

    def excess_ready_at(self, request: Request, node: Node) -> float:
        """Return when a request beyond its reservation has its part of the node's excess rate.

        Guards against many instances that overfill a node with a slot each: all see its queue and come to
        like rates by weight. A new object has its rate at all nodes together and never goes late. Should also
        catch slow nodes. Harms a volume that uses its instances very unevenly.
        """
        if self.within_reservation(request, node):
            return self.state.now
        places = request.gateway_count * (len(self.state.nodes.owners) if request.creates_object else 1)
        rate = self.health.excess_rate(node) * request.plan.excess_weight / places
        if self.value(request, node) <= 0 or (request.creates_object and not self.in_time(request, node)):
            rate = 0.0
        tokens = node.excess_bucket(request.volume_id, rate, self.state.now)
        return self.state.now - min(0.0, tokens.level) / rate if rate else math.inf

    def limit_ready_at(self, request: Request) -> float:
        """Return when this instance's part of the rate limit has the units, empty at its start."""
        plan = request.plan
        now = self.state.now
        if not plan.rate_limit or request.attempts_sent:
            return now
        tokens = request.volume.rate_limit
        rate = plan.rate_limit / request.gateway_count
        tokens.refill(rate, plan.rate_limit_burst / request.gateway_count, now)
        return now + max(0.0, request.units - tokens.level) / rate

    def charge(self, request: Request, node: Node, reserved: bool) -> None:
        """Take what an attempt at this node uses of the excess rate, the reservation and the limit."""
        if not reserved:
            bound = max(MAX_STEP, self.state.classes[request.class_index].bound)
            price = self.max_excess_value / self.value(request, node) / bound
            node.excess_tokens[request.volume_id].level -= request.units * price
        request.draw_reserved_units()
        if not request.attempts_sent:
            request.volume.rate_limit.level -= request.units

    def review(self, request: Request) -> None:
        """Keep a queued request while it can be in time; once late it goes at once, or is shed.

        Guards against backlogs that outlive their value, whatever holds them up: surges, silent, warming or
        unlisted nodes. Harms where answers turn short again just after.
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
        """Return what kept a request from its node longest, for the status line."""
        if not node:
            return RejectReason.NO_ENDPOINT
        if not request.is_admitted_to(node):
            return RejectReason.SLOW_START
        ready_at = {
            RejectReason.BACKOFF: node.backoff_until,
            RejectReason.EXCESS_RATE: self.excess_ready_at(request, node),
            RejectReason.RATE_LIMIT: self.limit_ready_at(request),
        }
        late = RejectReason.LATE if node.has_free_slot else RejectReason.CONCURRENCY_LIMIT
        return longest_wait(ready_at, self.state.now) or late

    def shed(self, request: Request, reason: RejectReason, wait_s: float = 0.0) -> None:
        """Give the final answer at once: a rejection with a retry hint where trying again is harmless."""
        self.state.count_rejected(request, reason)
        retry_after_s = min(self.state.settings.max_retry_after_s, wait_s)
        if self.retries.may_reject(request):
            self.finish(request, RejectRequest(request.request_id, retry_after_s))
        else:
            self.finish(request, FailRequest(request.request_id))

    def finish(self, request: Request, answer: Action | None, served: bool = False) -> None:
        """End a request; what is still in flight for it is cancelled where that is allowed."""
        if request.is_over:
            return
        self.state.close(request, served)
        if answer:
            self.state.actions.append(answer)
        if self.state.settings.can_cancel:
            self.state.actions.extend(CancelAttempt(request.request_id, one) for one in request.in_flight)
        self.state.requests.forget(request)
