"""Translates the settings that the platform gives an instance into the settings of the policy."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from storage_gateway import policy_api as api
from storage_gateway.config.table import ConfigTable

REPEATABILITY_BY_NAME = {
    "repeatable": api.Repeatability.REPEATABLE,
    "by_key": api.Repeatability.IDEMPOTENT_WITH_KEY,
    "once": api.Repeatability.NON_IDEMPOTENT,
}
IDEMPOTENCY_SCOPE_BY_NAME = {scope.value: scope for scope in api.IdempotencyScope}
MAX_GATEWAY_COUNT = 1 << 20
MAX_ATTEMPTS = 1000


def read_settings(values: Mapping[str, Any], seed: int) -> api.Settings:
    """Translate the platform's settings.

    Unknown keys are ignored. An optional number that is missing or null is 0, or None where the field of
    ``api.Settings`` allows it.

    Args:
        values: the ``settings`` table of the configuration file, or the settings that the simulator gives an
            instance.
        seed: seed of the policy's random numbers.

    Raises:
        ConfigurationError: a key is missing or has an invalid value.
    """
    root = ConfigTable(values, "settings.")
    safety = root.table("Safety", {})
    limits = root.table("PolicyLimits")
    extra = root.table("Extra", {})
    classes = [_read_class(table) for table in root.tables("Lanes")]
    plans = [_read_plan(table) for table in root.tables("Contracts")]
    if not any(request_class.priority_weight for request_class in classes):
        raise root.error("Lanes[0].Worth", "expected at least one class with a weight above 0, found none")
    return api.Settings(
        classes=classes,
        plans=plans,
        safety=_read_safety_limits(safety),
        seed=seed,
        gateway_count=root.integer("Siblings", 0, MAX_GATEWAY_COUNT, 0),
        must_watch_endpoints=values.get("Discovery") == "subscribe",
        max_attempts=limits.integer("SendCap", 1, MAX_ATTEMPTS),
        can_cancel=limits.boolean("Cancel"),
        slow_start_units=extra.number("ColdUnits", 0.0),
        max_request_units=extra.number("Largest", 0.0),
        mean_request_units=extra.number("MeanUnits", 0.0),
        nodes_report_other_usage=extra.boolean("SaysOthers"),
        excess_value=extra.number("WithinShare", 0.0),
        max_retry_after_s=limits.number("MaxRetryAfterS", 0.0) if limits.boolean("RetryAfter") else 0.0,
    )


def _read_class(table: ConfigTable) -> api.RequestClass:
    return api.RequestClass(
        latency_objective_s=table.positive_number("AimS"),
        priority_weight=table.number("Worth"),
        late_value=table.number("LateShare", 0.0),
        repeatability=table.choice("Repeat", REPEATABILITY_BY_NAME),
        idempotency_scope=table.choice("DedupScope", IDEMPOTENCY_SCOPE_BY_NAME, "all"),
        idempotency_window_s=table.number("MemorySpanS", 0.0),
        ordered_by_key=table.boolean("ByArrival"),
    )


def _read_plan(table: ConfigTable) -> api.Plan:
    return api.Plan(
        value_factor=table.number("WorthFactor"),
        expected_rate=table.number("BaseRate", 0.0),
        reserved_rate=table.number("FloorRate", 0.0),
        excess_weight=table.number("Proportion"),
        rate_limit=table.number("Limit", 0.0),
        rate_limit_burst=table.number("LimitBurst", 0.0),
    )


def _read_safety_limits(table: ConfigTable) -> api.SafetyLimits:
    slow_start_window_s = table.number("RampTimeS", 0.0)
    return api.SafetyLimits(
        slow_start_min_share=table.number("ColdFrom", 0.0),
        slow_start_window_s=slow_start_window_s,
        overload_multiple=table.number("TipMultiple", 0.0),
        overload_window_s=_read_overload_window(table, slow_start_window_s),
        endpoint_poll_interval_s=table.optional_number("AskEveryS"),
        key_cooldown_s=table.number("KeyRestS", 0.0),
        retry_budget_base=table.optional_number("FreeResends"),
        retry_budget_ratio=table.optional_number("ExtraRatio"),
        retry_budget_window_s=table.optional_number("LookBackS"),
    )


def _read_overload_window(table: ConfigTable, slow_start_window_s: float) -> float:
    """Read the overload window; it is required and must be above 0 if nodes have a slow start."""
    if slow_start_window_s:
        return table.positive_number("TipAfterS")
    return table.number("TipAfterS", 0.0)
