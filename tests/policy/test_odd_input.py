"""Tests of valid but unusual input: each has a defined effect, and none raises."""

from __future__ import annotations

from dataclasses import replace

import pytest

from storage_gateway import policy_api as api
from storage_gateway.config import read_settings
from storage_gateway.policy_api import AttemptOutcome
from tests.support.policy import (
    PolicyDriver,
    make_endpoint_entry,
    make_plan,
    make_request_class,
    make_settings,
)


@pytest.mark.parametrize("gateway_count", [0, 1])
def test_gateway_count_of_zero_counts_as_one(gateway_count: int) -> None:
    driver = PolicyDriver(
        make_settings(gateway_count=gateway_count), [make_endpoint_entry(1, 1, started_at=99.9)]
    )
    driver.submit("a")
    driver.run_until(101.9)
    assert driver.sent_request_ids() == ["a"]


@pytest.mark.parametrize("gateway_count", [0, -1, 99])
def test_gateway_count_of_a_volume_is_limited_to_one_and_all_instances(gateway_count: int) -> None:
    driver = PolicyDriver(make_settings(gateway_count=4), [make_endpoint_entry(1, 1)])
    driver.submit("a", gateway_count=gateway_count)
    assert driver.requests["a"].gateway_count == (4 if gateway_count == 99 else 1)


def test_a_request_of_no_units_is_served() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    driver.submit("a", units=0.0)
    driver.end_attempt("a", AttemptOutcome.SERVED)
    assert driver.sent_request_ids() == ["a"]
    assert not driver.requests


def test_outcome_of_an_unknown_attempt_is_ignored() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    driver.submit("a")
    unknown_attempt = api.AttemptEnded("a", 7, 1, AttemptOutcome.ERROR, 0.1, False)
    assert driver.step(unknown_attempt, replace(unknown_attempt, request_id="never")) == []
    driver.end_attempt("a", AttemptOutcome.SERVED)
    assert not driver.requests


def test_request_without_any_value_is_rejected_unsent() -> None:
    settings = make_settings(
        [make_request_class(late_value=0.0)], [make_plan(reserved_rate=0.0)], excess_value=0.0
    )
    driver = PolicyDriver(settings, [make_endpoint_entry(1, 1)])
    assert driver.submit("a") == [api.RejectRequest("a")]


def test_absent_and_null_settings_mean_no_such_limit() -> None:
    request_class = {"AimS": 0.5, "Worth": 1.0, "Repeat": "repeatable", "Later": 3}
    wire_settings = {
        "Lanes": [request_class],
        "Contracts": [{"WorthFactor": 1.0, "Proportion": 1.0, "Limit": None}],
        "Safety": None,
        "PolicyLimits": {"SendCap": 3, "Cancel": None},
        "New": {},
    }
    driver = PolicyDriver(read_settings(wire_settings, 1), [make_endpoint_entry(1, 1, started_at=99.0)])
    driver.submit("a")
    driver.run_until(102.0)
    assert [action for action in driver.actions if isinstance(action, api.RejectRequest)] == [
        api.RejectRequest("a")
    ]
