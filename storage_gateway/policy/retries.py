"""Attempts: idempotency, order by key, the retry budget, and how long an attempt may be in flight."""

from __future__ import annotations

import math

from storage_gateway.policy_api import CancelAttempt, IdempotencyScope, Repeatability
from storage_gateway.policy_state import Node, PolicyState, Request

DEADLINE_MARGIN_S = 0.04  # kept clear of a deadline or an idempotency window: checks and sends take time
TIMEOUT_FACTOR = 3.0  # times the expected response time: how long an attempt may be in flight
LOST_ANSWER_SHARE = 0.4  # of the objective: the least for which an attempt whose answer seems lost may be


class RetryPolicy:
    """Says when a request may be attempted, where it may be again, and when an attempt is cancelled."""

    def __init__(self, state: PolicyState) -> None:
        self.state = state
        self.safety = state.settings.safety

    def is_safe_at(self, request: Request, node: Node) -> bool:
        """Say whether an attempt here has no doubled effect: duplicates of a keyed request are discarded."""
        request_class = request.request_class
        if not request.possible_executions or request_class.repeatability is Repeatability.REPEATABLE:
            return True
        if request_class.repeatability is Repeatability.NON_IDEMPOTENT:
            return False
        in_window = self.state.now <= self.first_byte_deadline(request)
        return in_window and request.shares_idempotency_memory(node)

    def first_byte_deadline(self, request: Request) -> float:
        """Return when an attempt must have begun: a keyed one while its duplicates are discarded."""
        if request.request_class.repeatability is not Repeatability.IDEMPOTENT_WITH_KEY:
            return math.inf
        return request.duplicates_discarded_until - DEADLINE_MARGIN_S

    def may_reject(self, request: Request) -> bool:
        """Say whether a client that tries again, anywhere, does no harm."""
        if not request.possible_executions:
            return True
        request_class = request.request_class
        if request_class.repeatability is Repeatability.IDEMPOTENT_WITH_KEY:
            return request_class.idempotency_scope is IdempotencyScope.ALL
        return request_class.repeatability is Repeatability.REPEATABLE

    def key_ready_at(self, request: Request) -> float:
        """Return when its turn by key has come: it is the oldest, and the key has cooled down."""
        requests = self.state.requests
        cooled_at = requests.key_ready_at.get(request.ordering_key, 0.0)
        return cooled_at if requests.is_first_of_key(request) else math.inf

    def budget_ready_at(self, request: Request) -> float:
        """Return when the retry budget allows the attempt, a first one at once."""
        state, safety = self.state, self.safety
        if not request.attempts_sent or safety.retry_budget_window_s is None:
            return state.now
        earned = (safety.retry_budget_ratio or 0.0) * state.accepted.count(state.now)
        if state.retried.count(state.now) + 1 <= (safety.retry_budget_base or 0.0) + earned:
            return state.now
        return state.retried.next_expiry()

    def attempt_timeout(self, request: Request, node: Node, sent_at: float) -> float:
        """Return for how many seconds an attempt may be in flight: its objective at least.

        That is shorter where one sent later is answered already, as nodes take requests in turn.
        """
        share = LOST_ANSWER_SHARE if node.newest_answered > sent_at else 1.0
        least = request.request_class.latency_objective_s * share
        return max(least, TIMEOUT_FACTOR * node.response_time(request.units))

    def cancel_overdue(self, request: Request) -> None:
        """Cancel attempts past their timeout. Guards against lost answers and nodes that hang."""
        if not self.state.settings.can_cancel:
            return
        for number, (node, sent_at) in request.in_flight.items():
            due_at = self._cancel_at(request, node, sent_at)
            if due_at <= self.state.now:
                self.state.actions.append(CancelAttempt(request.request_id, number))
            elif due_at < request.deadline:
                self.state.timers.add(due_at, request)

    def _cancel_at(self, request: Request, node: Node, sent_at: float) -> float:
        """Return when an attempt is overdue; a non-idempotent one, which then fails, only if it is lost."""
        due_at = sent_at + self.attempt_timeout(request, node, sent_at)
        if request.request_class.repeatability is not Repeatability.NON_IDEMPOTENT:
            return due_at
        objective_s = request.request_class.latency_objective_s
        seems_lost = node.newest_answered > sent_at
        return max(due_at, sent_at + objective_s) if seems_lost else self.state.now + objective_s
