"""The platform's settings, translated to those of the policy."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from storage_gateway import policy_api as api
from storage_gateway.config.table import Table

REPEATS = {
    "repeatable": api.Repeatability.REPEATABLE,
    "by_key": api.Repeatability.IDEMPOTENT_WITH_KEY,
    "once": api.Repeatability.NON_IDEMPOTENT,
}


def read_settings(facts: Mapping[str, Any], seed: int) -> api.Settings:
    """Translate the settings: unknown keys are passed over, an absent or null figure is 0."""
    root = Table(facts, "settings.")
    safety, limits, extra = root.table("Safety", {}), root.table("PolicyLimits"), root.table("Extra", {})
    classes = [
        api.RequestClass(
            latency_objective_s=lane.number("AimS", above=0.0),
            priority_weight=lane.number("Worth"),
            late_value=lane.number("LateShare", 0.0),
            repeatability=lane.one_of("Repeat", REPEATS),
            idempotency_scope=lane.one_of(
                "DedupScope", {scope.value: scope for scope in api.IdempotencyScope}, "all"
            ),
            idempotency_window_s=lane.number("MemorySpanS", 0.0),
            ordered_by_key=lane.flag("ByArrival"),
        )
        for lane in root.tables("Lanes")
    ]
    plans = [
        api.Plan(
            value_factor=plan.number("WorthFactor"),
            expected_rate=plan.number("BaseRate", 0.0),
            reserved_rate=plan.number("FloorRate", 0.0),
            excess_weight=plan.number("Proportion"),
            rate_limit=plan.number("Limit", 0.0),
            rate_limit_burst=plan.number("LimitBurst", 0.0),
        )
        for plan in root.tables("Contracts")
    ]

    if not any(kind.priority_weight for kind in classes):
        raise root.fail("Lanes[0].Worth", "want a class of some worth")
    slow_start_window_s = safety.number("RampTimeS", 0.0)

    def optional(key: str) -> float | None:
        return None if safety.values.get(key) is None else safety.number(key)

    return api.Settings(
        classes=classes,
        plans=plans,
        safety=api.SafetyLimits(
            slow_start_min_share=safety.number("ColdFrom", 0.0),
            slow_start_window_s=slow_start_window_s,
            overload_multiple=safety.number("TipMultiple", 0.0),
            overload_window_s=safety.number("TipAfterS", above=0.0)
            if slow_start_window_s
            else safety.number("TipAfterS", 0.0),
            endpoint_poll_interval_s=optional("AskEveryS"),
            key_cooldown_s=safety.number("KeyRestS", 0.0),
            retry_budget_base=optional("FreeResends"),
            retry_budget_ratio=optional("ExtraRatio"),
            retry_budget_window_s=optional("LookBackS"),
        ),
        seed=seed,
        gateway_count=root.whole("Siblings", 0, 1 << 20, 0),
        must_watch_endpoints=facts.get("Discovery") == "subscribe",
        max_attempts=limits.whole("SendCap", 1, 1000),
        can_cancel=limits.flag("Cancel"),
        slow_start_units=extra.number("ColdUnits", 0.0),
        max_request_units=extra.number("Largest", 0.0),
        mean_request_units=extra.number("MeanUnits", 0.0),
        nodes_report_other_usage=extra.flag("SaysOthers"),
        excess_value=extra.number("WithinShare", 0.0),
        max_retry_after_s=limits.number("MaxRetryAfterS", 0.0) if limits.flag("RetryAfter") else 0.0,
    )
