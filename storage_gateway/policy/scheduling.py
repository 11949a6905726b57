"""Scheduling: which queued request goes to which node, and when."""

from __future__ import annotations

import math
from heapq import heapify, heappop, heapreplace

from storage_gateway.policy.admission import AdmissionControl
from storage_gateway.policy.retries import DEADLINE_MARGIN_S, RetryPolicy
from storage_gateway.policy.slow_start import SlowStart
from storage_gateway.policy_api import NO_SHARD, SendAttempt
from storage_gateway.policy_state import Node, PolicyState, Request


class Scheduler:
    """Lets the nodes choose among the queued requests."""

    def __init__(self, state: PolicyState, admission: AdmissionControl, retries: RetryPolicy) -> None:
        self.state = state
        self.admission = admission
        self.retries = retries
        self.slow_start = SlowStart(state)

    def dispatch(self) -> None:
        """Have nodes choose in order of expected wait, so new objects go where they are answered first."""
        ready = self.state.nodes.take_ready()
        queue = [(self.state.expected_wait(node), place, node) for place, node in enumerate(ready)]
        heapify(queue)
        while queue:
            _, place, node = queue[0]
            if request := self.choose(node):
                self._send(request, node)
                heapreplace(queue, (self.state.expected_wait(node), place, node))
            else:
                heappop(queue)

    def choose(self, node: Node) -> Request | None:
        """Return the queued request worth most here; classes within their slots go before borrowers."""
        now = self.state.now
        best = None
        best_rank = (False, 0.0, 0.0)
        next_ready = math.inf
        for request in self._candidates(node):
            in_slots = node.in_flight[request.class_index] < node.class_slots[request.class_index]
            rank = (in_slots, self.admission.value(request, node), -request.objective_at)
            if best is not None and rank <= best_rank:
                continue
            ready_at = self._ready_at(request, node)
            if ready_at > now:
                next_ready = min(next_ready, ready_at)
            elif self.slow_start.admits(request, node):
                best = request
                best_rank = rank
        if best is None and next_ready < math.inf:
            self.state.check_node_at(node, next_ready)
        return best

    def _candidates(self, node: Node) -> list[Request]:
        """Return what is queued for the node; what is within its reservation has as many slots again.

        Guards reservations where an instance has a slot or two at a node, as in a large fleet: one long
        request beyond its share would bar all that is reserved.
        """
        limit = int(node.concurrency_limit)
        queues = self.state.requests.queues
        queued = queues.get(node.shard, []) + queues.get(NO_SHARD, [])
        if node.in_flight_count < limit:
            return queued
        if node.in_flight_count >= 2 * limit:
            return []
        return [request for request in queued if self.admission.within_reservation(request, node)]

    def _ready_at(self, request: Request, node: Node) -> float:
        """Return when every rule could allow it; infinite if only an event can, or its answer is too late."""
        ready_at = max(node.backoff_until, self.admission.excess_ready_at(request, node))
        answered_at = self.state.now + node.response_time(request.units)
        if answered_at >= request.deadline - DEADLINE_MARGIN_S or not self.retries.is_safe_at(request, node):
            return math.inf
        turn_at = max(self.retries.key_ready_at(request), self.retries.budget_ready_at(request))
        return max(ready_at, turn_at, self.admission.limit_ready_at(request))

    def _send(self, request: Request, node: Node) -> None:
        state = self.state
        reserved = self.admission.within_reservation(request, node)
        self.admission.charge(request, node, reserved)
        state.timers.add(state.now + self.retries.attempt_timeout(request, node, -math.inf), request)
        state.record_sent(request, node, reserved)
        first_byte_deadline = self.retries.first_byte_deadline(request)
        state.actions.append(SendAttempt(request.request_id, node.node_id, first_byte_deadline))
