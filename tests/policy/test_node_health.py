"""Tests of the concurrency limit, the excess rate and the backoff of nodes."""

from __future__ import annotations

from storage_gateway import policy_api as api
from storage_gateway.policy_api import AttemptOutcome
from tests.support.policy import (
    PolicyDriver,
    make_endpoint_entry,
    make_plan,
    make_settings,
)


def test_concurrency_limit_rises_with_short_and_falls_with_long_response_times() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    node = driver.nodes[1]
    for response_time_s, limit, rounds in ((0.02, 8.0, 60), (0.9, 1.0, 20)):
        for number in range(rounds):
            driver.now += 1.0
            node.excess_rate = 1e6
            driver.step(*[driver.arrival(f"{response_time_s}-{number}-{slot}") for slot in range(8)])
            for request_id in [name for name, request in driver.requests.items() if request.in_flight]:
                driver.end_attempt(request_id, api.AttemptOutcome.SERVED, elapsed_s=response_time_s)
        assert node.concurrency_limit == limit


def test_excess_rate_falls_with_long_response_times_at_one_slot_and_recovers() -> None:
    driver = PolicyDriver(make_settings(gateway_count=8), [make_endpoint_entry(1, 1)])
    node = driver.nodes[1]
    node.excess_rate = 64.0
    excess_rates = [node.excess_rate]
    for number, response_time_s in enumerate([0.02] + [0.9] * 3 + [0.02] * 12):
        driver.now += 1.0
        driver.submit(f"r{number}", volume_id=number)
        driver.end_attempt(f"r{number}", api.AttemptOutcome.SERVED, elapsed_s=response_time_s)
        excess_rates.append(node.excess_rate)
    assert min(excess_rates[2:]) < max(excess_rates) / 4
    assert excess_rates[-1] > max(excess_rates) / 2


def test_a_short_client_timeout_is_no_failure_of_the_node() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    limit = driver.nodes[1].concurrency_limit
    for number in range(4):
        driver.submit(f"r{number}", deadline=driver.now + 0.1)
        driver.now += 0.1
        driver.end_attempt(f"r{number}", api.AttemptOutcome.TIMEOUT, elapsed_s=0.1)
    assert driver.nodes[1].concurrency_limit == limit
    driver.submit("slow")
    driver.now += 2.0
    driver.end_attempt("slow", api.AttemptOutcome.TIMEOUT, elapsed_s=2.0)
    assert driver.nodes[1].concurrency_limit == limit / 2


def test_excess_rate_of_a_silent_node_follows_the_responses_of_all_nodes() -> None:
    def excess_wait_s(response_time_s: float) -> float:
        """Return how long a volume has to wait to send again to a node that has never responded."""
        shards = range(1, 61)
        driver = PolicyDriver(
            make_settings(plans=[make_plan(reserved_rate=0.0)], gateway_count=40),
            [make_endpoint_entry(shard, shard) for shard in shards],
        )
        for shard in shards[:-1]:  # each node responds once, in steps of 0.1 s
            driver.submit(f"r{shard}", shard=shard, volume_id=shard)
            driver.run_until(driver.now + 0.1)
            driver.end_attempt(
                f"r{shard}",
                api.AttemptOutcome.SERVED,
                node=shard,
                elapsed_s=response_time_s if shard > 1 else 0.02,
            )
        driver.submit("first", shard=60, units=2000.0)
        request, node = driver.requests["first"], driver.nodes[60]
        return driver.policy.admission.excess_ready_at(request, node) - driver.now

    assert excess_wait_s(0.02) < excess_wait_s(0.9) / 30


def test_backoff_grows_with_failures_in_a_row() -> None:
    driver = PolicyDriver(make_settings(max_attempts=99), [make_endpoint_entry(1, 1)])
    driver.submit("a", deadline=130.0)
    for _ in range(6):
        driver.end_attempt("a", AttemptOutcome.CONNECT_FAILED)
        driver.run_until(driver.now + 1.0)
    attempts_sent = len(driver.sent_request_ids())
    driver.end_attempt("a", AttemptOutcome.CONNECT_FAILED)
    driver.run_until(driver.now + 0.45)
    assert len(driver.sent_request_ids()) == attempts_sent


def test_successive_failures_raise_the_queueing_delay_and_a_lost_response_does_not() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    node = driver.nodes[1]
    queueing_delays = []
    for number in range(3):
        driver.submit(f"r{number}")
        driver.now += 0.6
        driver.end_attempt(f"r{number}", AttemptOutcome.CANCELLED, elapsed_s=0.6)
        queueing_delays.append(node.queueing_delay_s)
    assert queueing_delays[0] == driver.policy.health.queueing_objective_s / 2
    assert queueing_delays[1] > 2 * queueing_delays[0]
    assert queueing_delays[2] > queueing_delays[1]
