"""Tests of what a single instance sends to a warming node."""

from __future__ import annotations

import math

from storage_gateway import policy_api as api
from storage_gateway.policy.slow_start import SAFE_LOAD_SHARE
from tests.support.policy import (
    PolicyDriver,
    make_endpoint_entry,
    make_plan,
    make_request_class,
    make_settings,
)

UNITS = 2.0


WARMING = 99  # shard and node that have just started


START = 200.0


def units_sent(driver: PolicyDriver, seconds: float, units: float = 2.0) -> float:
    """Return the units sent to node 1 under overload; each attempt is served at once."""
    start, end = len(driver.sent_request_ids()), driver.now + seconds
    while driver.now < end:
        driver.step(driver.arrival(f"at{driver.now:.2f}", units=units), at=driver.now + 0.02)
        driver.end_all_attempts(0.02)
    return units * (len(driver.sent_request_ids()) - start)


def test_many_instances_together_send_a_warming_node_at_most_slow_start_units() -> None:
    """An equal share is smaller than a request, and no instance has a measured rate for the shard."""
    total = 0.0
    for seed in range(60):
        driver = PolicyDriver(
            make_settings(gateway_count=60, seed=seed, slow_start_units=12.0, mean_request_units=2.0),
            [make_endpoint_entry(1, 1, started_at=99.9)],
        )
        total += units_sent(driver, 1.0)
    assert 0.0 < total <= 24.0  # 12 units a second are permitted in any case, and admission is random


def test_warming_node_gets_a_share_of_the_usual_rate_that_grows_to_the_whole() -> None:
    driver = PolicyDriver(make_settings(safety={"slow_start_window_s": 10.0}), [make_endpoint_entry(1, 1)])
    usual_rate = units_sent(driver, 20.0) / 20
    driver.step(
        api.EndpointsChanged(api.EndpointUpdateKind.DELTA, [make_endpoint_entry(1, 1, started_at=driver.now)])
    )
    assert 0.0 < units_sent(driver, 1.0) <= usual_rate * 0.2 * 2.0 + 2.0 * 2
    driver.now += 9.0
    assert units_sent(driver, 1.0) > usual_rate * 0.8


def test_restart_in_the_endpoint_list_begins_a_slow_start() -> None:
    """Two units a second are permitted in any case, one of them for this instance; admission is random."""
    sent, both_sent_count = 0, 0
    for seed in range(40):
        driver = PolicyDriver(make_settings(slow_start_units=2.0, seed=seed), [make_endpoint_entry(1, 1)])
        driver.step(
            api.EndpointsChanged(api.EndpointUpdateKind.DELTA, [make_endpoint_entry(1, 1, started_at=99.5)])
        )
        driver.step(driver.arrival("a"), driver.arrival("b"))
        both_sent_count += driver.sent_request_ids() == ["a", "b"]
        for number in range(200):
            driver.submit(f"r{number}")
            driver.run_until(driver.now + 0.02)
        sent += len(driver.sent_request_ids())  # no attempt ends, so that no service time is known
    assert both_sent_count <= 4
    most_units = 40 * 4.5  # 4 s, and half a second's tokens at the start
    assert 40 * 2.0 < sent <= most_units + 2 * math.sqrt(most_units)


def test_node_after_its_slow_start_is_not_limited() -> None:
    driver = PolicyDriver(make_settings(slow_start_units=2.0), [make_endpoint_entry(1, 1, started_at=89.0)])
    driver.step(driver.arrival("a"), driver.arrival("b"))
    assert driver.sent_request_ids() == ["a", "b"]


def test_new_instance_sends_a_warming_node_its_share_of_what_a_core_serves() -> None:
    def units(gateway_count: int) -> float:
        """Return the mean units that a new instance sends to the node in 9 s."""
        sent = 0
        for seed in range(20):
            plans = [
                make_plan(reserved_rate=0.0, expected_rate=800.0)
            ]  # so that the excess rate does not limit it
            config = make_settings(
                [make_request_class(latency_objective_s=1.0)],
                plans,
                gateway_count=gateway_count,
                slow_start_units=1.0,
                seed=seed,
            )
            driver = PolicyDriver(config, [make_endpoint_entry(1, 1)])
            driver.submit("known", shard=1)
            driver.end_attempt(
                "known", api.AttemptOutcome.SERVED, node=1, elapsed_s=0.01
            )  # 100 units a second for each core
            driver.step(
                api.EndpointsChanged(
                    api.EndpointUpdateKind.DELTA, [make_endpoint_entry(2, 2, started_at=driver.now)]
                )
            )
            start_time = driver.now
            while driver.now < start_time + 9.0:
                driver.submit(f"r{driver.now:.2f}", shard=2, volume_id=2)
                driver.run_until(driver.now + 0.1)
                driver.end_all_attempts(0.01)
            sent += len(driver.sent_request_ids()) - 1
        return sent / 20

    # the first 9 s of a 10 s slow start from a share of 0.2 equal 4.3 s at full capacity, of which twice the
    # 100 units a second are permitted to all instances
    expected_units = SAFE_LOAD_SHARE * 2 * 4.3 * 100 / 40
    assert 0.8 * expected_units <= units(40) <= 1.2 * expected_units
    assert units(400) <= units(40) / 4


def test_reserved_requests_have_priority_at_a_warming_node() -> None:
    sent = {1: 0, 2: 0}  # by volume: 1 has a reservation, 2 has none
    for seed in range(40):
        plans = [
            make_plan(reserved_rate=100.0, expected_rate=800.0),
            make_plan(reserved_rate=0.0, expected_rate=800.0),
        ]
        config = make_settings(
            [make_request_class(latency_objective_s=2.0)],
            plans,
            gateway_count=4,
            seed=seed,
            slow_start_units=8.0,
            mean_request_units=UNITS,
        )
        driver = PolicyDriver(config, [make_endpoint_entry(WARMING, WARMING, started_at=START)], START)
        for turn in range(40):
            for plan_index in (0, 1):
                name = f"r{turn}-{plan_index}"
                driver.submit(
                    name, shard=WARMING, plan_index=plan_index, volume_id=1 + plan_index, units=UNITS
                )
                if name in driver.sent_request_ids():
                    sent[1 + plan_index] += 1
                    driver.end_attempt(name, api.AttemptOutcome.SERVED, node=WARMING, elapsed_s=0.1)
            driver.now += 0.1
    assert sent[1] > 3 * sent[2]


def test_request_that_is_not_admitted_is_shed_once_and_immediately() -> None:
    driver = PolicyDriver(
        make_settings(slow_start_units=1e-9, max_retry_after_s=0.5),
        [make_endpoint_entry(1, 1, started_at=99.9)],
    )
    assert driver.submit("a") == [api.RejectRequest("a", 0.5)]
    fields = driver.policy.status_fields()
    assert (fields["rejected_slow_start_reserved"], fields["queued"]) == (1, 0)
