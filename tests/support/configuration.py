"""A configuration with two request classes: repeatable reads and non-idempotent writes."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from storage_gateway import policy_api as api
from storage_gateway.config import Address, ConnectionBudget, GatewayConfig
from tests.support.policy import make_plan, make_request_class, make_settings

SETTINGS: dict[str, Any] = {
    "Areas": ["basement"],
    "Contracts": [
        {"Name": "public", "BaseRate": 8.0, "FloorRate": 4.0, "Proportion": 1.0, "WorthFactor": 1.0}
    ],
    "Lanes": [
        {"Name": "tile-read", "AimS": 0.5, "GiveUpS": 1.5, "Repeat": "repeatable", "Worth": 3.0},
        {"Name": "record-write", "AimS": 0.5, "GiveUpS": 1.5, "Repeat": "once", "Worth": 2.0},
    ],
    "PolicyLimits": {"Cancel": True, "SendCap": 4, "DialTimeoutS": 0.25, "IdleCloseS": 30.0},
    "Siblings": 1,
}
"""The ``settings`` table of a configuration file."""


def make_two_class_settings(**changes: Any) -> api.Settings:
    """Return decoded settings with the two request classes; ``changes`` replaces fields."""
    read_class = make_request_class(priority_weight=3.0)
    write_class = make_request_class(repeatability=api.Repeatability.NON_IDEMPOTENT, priority_weight=2.0)
    return make_settings([read_class, write_class], gateway_count=1, max_attempts=4, **changes)


def make_config(**changes: Any) -> GatewayConfig:
    """Return the configuration of a gateway instance on loopback; ``changes`` replaces fields."""
    base = GatewayConfig(
        name="n0",
        listen=Address("127.0.0.1", 0),
        discovery=Address("127.0.0.1", 1),
        configured_discovery=Address("127.0.0.1", 1),
        seed=1,
        connection_budget=ConnectionBudget.from_descriptor_limit(1024, False),
        memory_limit_bytes=0,
        cached_endpoints={},
        settings=make_two_class_settings(plans=[make_plan(expected_rate=80.0, reserved_rate=80.0)]),
        class_indexes={"tile-read": 0, "record-write": 1},
        plan_indexes={"public": 0},
        client_timeouts_s=[1.5, 1.5],
        class_is_write=[False, True],
        shard_count=9,
        zone_indexes={"basement": 0},
        connect_timeout_s=0.25,
        idle_close_s=30.0,
    )
    return replace(base, **changes)
