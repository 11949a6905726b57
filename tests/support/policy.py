"""Helpers: settings with every rule off, and a policy driven event by event."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from storage_gateway import policy_api as api
from storage_gateway.policy.policy import Policy


def make_request_class(**changes: Any) -> api.RequestClass:
    spec = api.RequestClass(
        latency_objective_s=0.5,
        priority_weight=2.0,
        late_value=0.2,
        repeatability=api.Repeatability.REPEATABLE,
        idempotency_scope=api.IdempotencyScope.ALL,
        idempotency_window_s=5.0,
        ordered_by_key=False,
    )
    return replace(spec, **changes)


def make_plan(**changes: Any) -> api.Plan:
    spec = api.Plan(
        value_factor=1.0,
        expected_rate=8.0,
        reserved_rate=4.0,
        excess_weight=1.0,
        rate_limit=0.0,
        rate_limit_burst=0.0,
    )
    return replace(spec, **changes)


def make_settings(
    classes: list[api.RequestClass] | None = None,
    plans: list[api.Plan] | None = None,
    safety: dict[str, Any] | None = None,
    **changes: Any,
) -> api.Settings:
    figures = api.SafetyLimits(
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
        safety=replace(figures, **(safety or {})),
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
    node: int, cell: int, state: api.EndpointState = api.EndpointState.SERVING, started_at: float = 0.0
) -> api.EndpointEntry:
    return api.EndpointEntry(node=node, shard=cell, zone=cell % 2, state=state, started_at=started_at)


class PolicyDriver:
    """One policy, its clock, and what it has out."""

    def __init__(self, config: api.Settings, nodes: list[api.EndpointEntry], now: float = 100.0) -> None:
        self.policy = Policy(config)
        self.now = now
        self.log: list[api.Action] = []
        self.shots: dict[str, int] = {}
        self.step(api.EndpointsChanged(api.EndpointUpdateKind.CACHED, nodes))

    def step(self, *events: api.Event, at: float | None = None) -> list[api.Action]:
        """Feed a batch; returns its actions without the policy's own wake-ups."""
        if at is not None:
            self.now = at
        actions = self.policy.step(self.now, list(events))
        actions = [action for action in actions if not isinstance(action, api.SetTimer)]
        for action in actions:
            if isinstance(action, api.SendAttempt):
                self.shots[action.request_id] = self.shots.get(action.request_id, -1) + 1
        self.log += actions
        return actions

    def run_until(self, end: float) -> list[api.Action]:
        """Let time pass, a tick a step."""
        actions: list[api.Action] = []
        while self.now < end:
            actions += self.step(api.TimerFired(0), at=min(end, self.now + 0.02))
        return actions

    def ask(self, request: str, **changes: Any) -> list[api.Action]:
        return self.step(self.arrival(request, **changes))

    def arrival(self, request: str, **changes: Any) -> api.RequestArrived:
        base = api.RequestArrived(
            request_id=request,
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

    def end(
        self, request: str, outcome: api.AttemptOutcome, node: int = 1, spent: float = 0.05, **changes: Any
    ) -> list[api.Action]:
        base = api.AttemptEnded(
            request_id=request,
            attempt=self.shots[request],
            node=node,
            outcome=outcome,
            elapsed_s=spent,
            request_settled=outcome is api.AttemptOutcome.SERVED,
        )
        return self.step(replace(base, **changes))

    def sent(self) -> list[str]:
        return [action.request_id for action in self.log if isinstance(action, api.SendAttempt)]
