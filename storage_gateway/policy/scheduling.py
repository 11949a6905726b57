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
    """Lets each node with a free slot choose among the requests queued for it."""

    def __init__(self, state: PolicyState, admission: AdmissionControl, retries: RetryPolicy) -> None:
        self.state = state
        self.admission = admission
        self.retries = retries
        self.slow_start = SlowStart(state)

    def dispatch(self) -> None:
        """Send queued requests, letting the nodes choose in the order of their expected wait.

        Thus a request that creates an object goes to the node that is expected to respond first. Nodes that
        have no queued request to choose are left out, as a change of the endpoint list makes all nodes ready.
        """
        ready = self.state.nodes.take_ready(self.state.requests.queues)
        queue = [(self.state.expected_wait(node), order, node) for order, node in enumerate(ready)]
        heapify(queue)
        while queue:
            _, order, node = queue[0]
            if request := self.choose(node):
                self._send(request, node)
                heapreplace(queue, (self.state.expected_wait(node), order, node))
            else:
                heappop(queue)

    def choose(self, node: Node) -> Request | None:
        """Return the queued request of the highest value at this node, or None if none may be sent now.

        Requests of classes within their slots go before those that borrow slots of other classes.
        """
        now = self.state.now
        best = None
        best_rank = (False, 0.0, 0.0)
        next_ready = math.inf
        for request in self._candidates(node):
            within_slots = node.in_flight[request.class_index] < node.class_slots[request.class_index]
            rank = (within_slots, self.admission.unit_value(request, node), -request.objective_at)
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
        """Return the queued requests for which the node has a slot.

        Requests within their reservation have as many slots again as the concurrency limit. In a large fleet,
        where an instance has one or two slots at a node, a single long request beyond its reservation would
        otherwise block all reserved ones.
        """
        limit = int(node.concurrency_limit)
        queues = self.state.requests.queues
        queued = queues.get(node.shard, []) + queues.get(NO_SHARD, [])
        if node.in_flight_count < limit:
            return queued
        if node.in_flight_count >= 2 * limit:
            return []
        return [request for request in queued if self.admission.is_within_reservation(request, node)]

    def _ready_at(self, request: Request, node: Node) -> float:
        """Return when all rules admit the request; infinite if it awaits an event or misses its deadline."""
        ready_at = max(node.backoff_until, self.admission.excess_ready_at(request, node))
        response_at = self.state.now + node.response_time(request.units)
        if response_at >= request.deadline - DEADLINE_MARGIN_S or not self.retries.is_safe_at(request, node):
            return math.inf
        retry_ready_at = max(self.retries.key_ready_at(request), self.retries.retry_budget_ready_at(request))
        return max(ready_at, retry_ready_at, self.admission.rate_limit_ready_at(request))

    def _send(self, request: Request, node: Node) -> None:
        state = self.state
        reserved = self.admission.is_within_reservation(request, node)
        self.admission.charge(request, node, reserved)
        state.timers.add(state.now + self.retries.attempt_timeout(request, node, -math.inf), request)
        state.record_sent(request, node, reserved)
        first_byte_deadline = self.retries.first_byte_deadline(request)
        state.actions.append(SendAttempt(request.request_id, node.node_id, first_byte_deadline))
