"""Rules for attempts: idempotency, order by key, the retry budget and attempt timeouts."""

from __future__ import annotations

import math

from storage_gateway.policy_api import CancelAttempt, IdempotencyScope, Repeatability
from storage_gateway.policy_state import Node, PolicyState, Request

# Margin before a deadline or the end of an idempotency window, as checks and sends take time.
DEADLINE_MARGIN_S = 0.04
TIMEOUT_FACTOR = 3.0  # multiple of the expected response time that an attempt may be in flight
LOST_RESPONSE_SHARE = 0.4  # share of the latency objective: shortest timeout if the response seems lost


class RetryPolicy:
    """Decides when and where a request may be attempted again, and when an attempt is cancelled."""

    def __init__(self, state: PolicyState) -> None:
        self.state = state
        self.safety = state.settings.safety

    def is_safe_at(self, request: Request, node: Node) -> bool:
        """Return whether an attempt at this node cannot execute the request a second time.

        A keyed request is safe while nodes that share the idempotency memory discard its duplicates.
        """
        request_class = request.request_class
        if not request.possible_executions or request_class.repeatability is Repeatability.REPEATABLE:
            return True
        if request_class.repeatability is Repeatability.NON_IDEMPOTENT:
            return False
        in_window = self.state.now <= self.first_byte_deadline(request)
        return in_window and request.shares_idempotency_memory(node)

    def first_byte_deadline(self, request: Request) -> float:
        """Return until when the first byte of an attempt may be sent; infinite without a limit.

        An attempt of a keyed request must start while duplicates are still discarded.
        """
        if request.request_class.repeatability is not Repeatability.IDEMPOTENT_WITH_KEY:
            return math.inf
        return request.duplicates_discarded_until - DEADLINE_MARGIN_S

    def may_reject(self, request: Request) -> bool:
        """Return whether the client may retry at any gateway instance and node without a second execution."""
        if not request.possible_executions:
            return True
        request_class = request.request_class
        if request_class.repeatability is Repeatability.IDEMPOTENT_WITH_KEY:
            return request_class.idempotency_scope is IdempotencyScope.ALL
        return request_class.repeatability is Repeatability.REPEATABLE

    def key_ready_at(self, request: Request) -> float:
        """Return when the order by key admits the request; infinite while an older one of its key is open.

        The oldest request of a key waits for the end of the key cooldown.
        """
        requests = self.state.requests
        cooldown_end = requests.key_ready_at.get(request.ordering_key, 0.0)
        return cooldown_end if requests.is_first_of_key(request) else math.inf

    def retry_budget_ready_at(self, request: Request) -> float:
        """Return when the retry budget admits the next attempt; the first attempt needs no budget."""
        state, safety = self.state, self.safety
        if not request.attempts_sent or safety.retry_budget_window_s is None:
            return state.now
        earned = (safety.retry_budget_ratio or 0.0) * state.accepted.count(state.now)
        if state.retried.count(state.now) + 1 <= (safety.retry_budget_base or 0.0) + earned:
            return state.now
        return state.retried.next_expiry()

    def attempt_timeout(self, request: Request, node: Node, sent_at: float) -> float:
        """Return for how many seconds an attempt may be in flight, at least the latency objective.

        The timeout is shorter if an attempt sent later has been served: nodes process requests in order, so
        the response is probably lost.
        """
        share = LOST_RESPONSE_SHARE if node.newest_served_sent_at > sent_at else 1.0
        minimum_s = request.request_class.latency_objective_s * share
        return max(minimum_s, TIMEOUT_FACTOR * node.response_time(request.units))

    def cancel_overdue(self, request: Request) -> None:
        """Cancel the attempts past their timeout, against lost responses and nodes that hang."""
        if not self.state.settings.can_cancel:
            return
        for number, (node, sent_at) in request.in_flight.items():
            timeout_at = self._timeout_at(request, node, sent_at)
            if timeout_at <= self.state.now:
                self.state.actions.append(CancelAttempt(request.request_id, number))
            elif timeout_at < request.deadline:
                self.state.timers.add(timeout_at, request)

    def _timeout_at(self, request: Request, node: Node, sent_at: float) -> float:
        """Return when an attempt times out.

        A cancelled non-idempotent request fails, so its attempt times out only if the response seems lost;
        otherwise it is checked again after another latency objective.
        """
        timeout_at = sent_at + self.attempt_timeout(request, node, sent_at)
        if request.request_class.repeatability is not Repeatability.NON_IDEMPOTENT:
            return timeout_at
        objective_s = request.request_class.latency_objective_s
        seems_lost = node.newest_served_sent_at > sent_at
        return max(timeout_at, sent_at + objective_s) if seems_lost else self.state.now + objective_s
