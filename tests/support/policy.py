"""Builders of policy settings with the optional rules disabled, and a driver for a policy."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from storage_gateway import policy_api as api
from storage_gateway.policy import Policy
from storage_gateway.policy_state import Node, Request
from storage_gateway.policy_state.volume import Volume


def make_request_class(**changes: Any) -> api.RequestClass:
    """Return a repeatable request class; ``changes`` replaces fields."""
    request_class = api.RequestClass(
        latency_objective_s=0.5,
        priority_weight=2.0,
        late_value=0.2,
        repeatability=api.Repeatability.REPEATABLE,
        idempotency_scope=api.IdempotencyScope.ALL,
        idempotency_window_s=5.0,
        ordered_by_key=False,
    )
    return replace(request_class, **changes)


def make_plan(**changes: Any) -> api.Plan:
    """Return a plan without a rate limit; ``changes`` replaces fields."""
    plan = api.Plan(
        value_factor=1.0,
        expected_rate=8.0,
        reserved_rate=4.0,
        excess_weight=1.0,
        rate_limit=0.0,
        rate_limit_burst=0.0,
    )
    return replace(plan, **changes)


def make_settings(
    classes: list[api.RequestClass] | None = None,
    plans: list[api.Plan] | None = None,
    safety: dict[str, Any] | None = None,
    **changes: Any,
) -> api.Settings:
    """Return policy settings.

    Args:
        classes: the request classes; None for the one of ``make_request_class``.
        plans: the plans; None for the one of ``make_plan``.
        safety: fields of the safety limits to replace; None for no changes.
        changes: fields of the settings to replace.
    """
    safety_limits = api.SafetyLimits(
        slow_start_min_share=0.2,
        slow_start_window_s=10.0,
        overload_multiple=2.0,
        overload_window_s=1.0,
        endpoint_poll_interval_s=None,
        key_cooldown_s=0.1,
        retry_budget_base=None,
        retry_budget_ratio=None,
        retry_budget_window_s=None,
    )
    base = api.Settings(
        classes=classes or [make_request_class()],
        plans=plans or [make_plan()],
        safety=replace(safety_limits, **(safety or {})),
        seed=1,
        gateway_count=2,
        must_watch_endpoints=False,
        max_attempts=3,
        can_cancel=True,
        slow_start_units=8.0,
        max_request_units=6.0,
        mean_request_units=2.0,
        excess_value=0.3,
    )
    return replace(base, **changes)


def make_endpoint_entry(
    node_id: int, shard: int, state: api.EndpointState = api.EndpointState.SERVING, started_at: float = 0.0
) -> api.EndpointEntry:
    """Return the entry of a node in an update of the endpoint list; zones 0 and 1 alternate by shard."""
    return api.EndpointEntry(id=node_id, shard=shard, zone=shard % 2, state=state, started_at=started_at)


class PolicyDriver:
    """Sends events to one policy, and keeps its clock, its actions and the numbers of its attempts.

    Attributes:
        policy: the policy under test.
        now: the policy's clock, in seconds.
        actions: all actions so far, in order, without those that set timers.
        attempt_numbers: number of the latest attempt, by request id.
    """

    def __init__(self, settings: api.Settings, nodes: list[api.EndpointEntry], now: float = 100.0) -> None:
        self.policy = Policy(settings)
        self.now = now
        self.actions: list[api.Action] = []
        self.attempt_numbers: dict[str, int] = {}
        self.step(api.EndpointsChanged(api.EndpointUpdateKind.CACHED, nodes))

    @property
    def nodes(self) -> dict[int, Node]:
        """The policy's records of nodes, by id."""
        return self.policy.state.nodes.by_id

    @property
    def requests(self) -> dict[str, Request]:
        """The policy's records of requests, by id."""
        return self.policy.state.requests.by_id

    @property
    def volumes(self) -> dict[int, Volume]:
        """The policy's records of volumes, by id."""
        return self.policy.state.volumes.by_id

    def step(self, *events: api.Event, at: float | None = None) -> list[api.Action]:
        """Process a batch of events, and return the actions, without those that set timers."""
        if at is not None:
            self.now = at
        actions = self.policy.step(self.now, list(events))
        actions = [action for action in actions if not isinstance(action, api.SetTimer)]
        for action in actions:
            if isinstance(action, api.SendAttempt):
                self.attempt_numbers[action.request_id] = self.attempt_numbers.get(action.request_id, -1) + 1
        self.actions += actions
        return actions

    def run_until(self, end: float) -> list[api.Action]:
        """Advance the clock to ``end`` in steps of 20 ms, and return the actions."""
        actions: list[api.Action] = []
        while self.now < end:
            actions += self.step(api.TimerFired(0), at=min(end, self.now + 0.02))
        return actions

    def submit(self, request_id: str, **changes: Any) -> list[api.Action]:
        """Process the arrival of a request, and return the actions."""
        return self.step(self.arrival(request_id, **changes))

    def arrival(self, request_id: str, **changes: Any) -> api.RequestArrived:
        """Return the event of a request that arrives now: one unit, for shard 1, with a deadline in 2 s."""
        base = api.RequestArrived(
            request_id=request_id,
            class_index=0,
            plan_index=0,
            volume_id=1,
            object_key=None,
            shard=1,
            units=1.0,
            deadline=self.now + 2.0,
            gateway_count=1,
        )
        return replace(base, **changes)

    def end_attempt(
        self,
        request_id: str,
        outcome: api.AttemptOutcome,
        node: int = 1,
        elapsed_s: float = 0.05,
        **changes: Any,
    ) -> list[api.Action]:
        """End the latest attempt of a request now, and return the actions."""
        base = api.AttemptEnded(
            request_id=request_id,
            attempt_number=self.attempt_numbers[request_id],
            node_id=node,
            outcome=outcome,
            elapsed_s=elapsed_s,
            request_settled=outcome is api.AttemptOutcome.SERVED,
        )
        return self.step(replace(base, **changes))

    def attempts_in_flight(self, node: int) -> int:
        """Return the number of attempts in flight at this node."""
        attempts = [attempt for request in self.requests.values() for attempt in request.in_flight.values()]
        return sum(attempt.node.node_id == node for attempt in attempts)

    def end_all_attempts(self, elapsed_s: float) -> None:
        """End every attempt in flight now, as served by the node that it was sent to."""
        for request in [request for request in self.requests.values() if request.in_flight]:
            (attempt,) = request.in_flight.values()
            node = attempt.node.node_id
            self.end_attempt(request.request_id, api.AttemptOutcome.SERVED, node=node, elapsed_s=elapsed_s)

    def sent_request_ids(self) -> list[str]:
        """Return the request ids of all attempts so far, in order."""
        return [action.request_id for action in self.actions if isinstance(action, api.SendAttempt)]
