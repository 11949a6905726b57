"""Tests of how a node's service time is distinguished from its queueing delay."""

from __future__ import annotations

from storage_gateway import policy_api as api
from tests.support.policy import (
    PolicyDriver,
    make_endpoint_entry,
    make_settings,
)


def test_long_service_does_not_count_as_queueing_delay() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    node = driver.nodes[1]
    for number in range(40):  # 0.2 s for each unit, without load
        driver.now += 1.0
        units = 1.0 + number % 3
        driver.submit(f"r{number}", units=units, deadline=driver.now + 5)
        driver.end_attempt(f"r{number}", api.AttemptOutcome.SERVED, elapsed_s=0.2 * units)
    assert node.queueing_delay_s < 0.01
    assert node.excess_rate > driver.policy.state.nodes.min_excess_rate
    for number in range(3):  # 0.5 s of queueing in addition
        driver.now += 1.0
        driver.submit(f"q{number}", deadline=driver.now + 5)
        driver.end_attempt(f"q{number}", api.AttemptOutcome.SERVED, elapsed_s=0.7)
    assert node.queueing_delay_s > driver.policy.health.queueing_objective_s


def test_first_response_after_queueing_does_not_count_as_service_time() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1), make_endpoint_entry(2, 2)])
    for number in range(20):
        driver.submit(f"r{number}")
        driver.end_attempt(f"r{number}", api.AttemptOutcome.SERVED, elapsed_s=0.02)
    driver.submit("far", shard=2)
    driver.end_attempt("far", api.AttemptOutcome.SERVED, node=2, elapsed_s=0.9)
    assert driver.nodes[2].unit_time_s < 0.07
