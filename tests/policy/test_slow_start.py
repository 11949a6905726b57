"""A warming node of a single instance: what it is sent."""

from __future__ import annotations

import math

from storage_gateway import policy_api as api
from storage_gateway.policy.slow_start import SAFE_SHARE
from tests.support.policy import (
    PolicyDriver,
    make_endpoint_entry,
    make_plan,
    make_request_class,
    make_settings,
)

UNITS = 2.0


WARMING = 99  # the shard and the node that start anew


START = 200.0


def units_sent(driver: PolicyDriver, seconds: float, units: float = 2.0) -> float:
    """Units sent to node 1 while there is always more than it withstands; each is answered at once."""
    start, end = len(driver.sent()), driver.now + seconds
    while driver.now < end:
        driver.step(driver.arrival(f"at{driver.now:.2f}", units=units), at=driver.now + 0.02)
        driver.end_all_attempts(0.02)
    return units * (len(driver.sent()) - start)


def test_many_instances_together_give_a_warming_node_no_more_than_the_stated_units() -> None:
    """No driver has an even part as large as a request; none knows a rate of its own there."""
    total = 0.0
    for seed in range(60):
        driver = PolicyDriver(
            make_settings(gateway_count=60, seed=seed, slow_start_units=12.0, mean_request_units=2.0),
            [make_endpoint_entry(1, 1, started_at=99.9)],
        )
        total += units_sent(driver, 1.0)
    assert 0.0 < total <= 24.0  # 12 in a second are withstood in any case; chance counts


def test_a_warming_node_gets_an_instance_s_own_usual_rate_and_soon_again() -> None:
    driver = PolicyDriver(make_settings(safety={"slow_start_window_s": 10.0}), [make_endpoint_entry(1, 1)])
    usual = units_sent(driver, 20.0) / 20
    driver.step(
        api.EndpointsChanged(api.EndpointUpdateKind.DELTA, [make_endpoint_entry(1, 1, started_at=driver.now)])
    )
    assert 0.0 < units_sent(driver, 1.0) <= usual * 0.2 * 2.0 + 2.0 * 2
    driver.now += 9.0
    assert units_sent(driver, 1.0) > usual * 0.8


def test_a_restart_in_the_list_makes_a_node_warm_up_again() -> None:
    """Two units a second are withstood in any case, one of them from here; more than that goes by chance."""
    sent, together = 0, 0
    for seed in range(40):
        driver = PolicyDriver(make_settings(slow_start_units=2.0, seed=seed), [make_endpoint_entry(1, 1)])
        driver.step(
            api.EndpointsChanged(api.EndpointUpdateKind.DELTA, [make_endpoint_entry(1, 1, started_at=99.5)])
        )
        driver.step(driver.arrival("a"), driver.arrival("b"))
        together += driver.sent() == ["a", "b"]
        for number in range(200):
            driver.submit(f"r{number}")
            driver.run_until(driver.now + 0.02)
        sent += len(driver.sent())  # nothing is answered: no unit time is known
    assert together <= 4
    most = 40 * 4.5  # four seconds and half a second's part at the start
    assert 40 * 2.0 < sent <= most + 2 * math.sqrt(most)


def test_a_warm_node_is_not_held_back() -> None:
    driver = PolicyDriver(make_settings(slow_start_units=2.0), [make_endpoint_entry(1, 1, started_at=89.0)])
    driver.step(driver.arrival("a"), driver.arrival("b"))
    assert driver.sent() == ["a", "b"]


def test_an_instance_that_has_just_started_sends_a_warming_node_an_even_part_of_what_a_core_serves() -> None:
    def units(gateway_count: int) -> float:
        """Return what instances that never knew the node send it in nine seconds, in the mean."""
        sent = 0
        for seed in range(20):
            plans = [
                make_plan(reserved_rate=0.0, expected_rate=800.0)
            ]  # so that its excess rate holds nothing back
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
            )  # a hundred units a second a core
            driver.step(
                api.EndpointsChanged(
                    api.EndpointUpdateKind.DELTA, [make_endpoint_entry(2, 2, started_at=driver.now)]
                )
            )
            began = driver.now
            while driver.now < began + 9.0:
                driver.submit(f"r{driver.now:.2f}", shard=2, volume_id=2)
                driver.run_until(driver.now + 0.1)
                driver.end_all_attempts(0.01)
            sent += len(driver.sent()) - 1
        return sent / 20

    # a window of 10 s from 0.2: 4.3 s at full capacity; twice that of 100 units a second for all instances
    whole = SAFE_SHARE * 2 * 4.3 * 100 / 40
    assert 0.8 * whole <= units(40) <= 1.2 * whole
    assert units(400) <= units(40) / 4


def test_what_is_inside_its_reservation_has_the_warming_node_s_part_first() -> None:
    sent = {1: 0, 2: 0}  # by volume: one inside its reservation, one beyond any
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
                if name in driver.sent():
                    sent[1 + plan_index] += 1
                    driver.end_attempt(name, api.AttemptOutcome.SERVED, node=WARMING, elapsed_s=0.1)
            driver.now += 0.1
    assert sent[1] > 3 * sent[2]


def test_a_request_that_is_passed_over_is_shed_once_and_at_once() -> None:
    driver = PolicyDriver(
        make_settings(slow_start_units=1e-9, max_retry_after_s=0.5),
        [make_endpoint_entry(1, 1, started_at=99.9)],
    )
    assert driver.submit("a") == [api.RejectRequest("a", 0.5)]
    fields = driver.policy.status_fields()
    assert (fields["rejected_slow_start_reserved"], fields["queued"]) == (1, 0)
