"""What the results of attempts say of a node."""

from __future__ import annotations

from storage_gateway import policy_api as api
from storage_gateway.policy_api import AttemptOutcome
from tests.support.policy import (
    PolicyDriver,
    make_endpoint_entry,
    make_plan,
    make_settings,
)


def test_concurrency_limit_rises_while_answers_are_short_and_falls_while_long() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    node = driver.nodes[1]
    for spent, limit, rounds in ((0.02, 8.0, 60), (0.9, 1.0, 20)):
        for number in range(rounds):
            driver.now += 1.0
            node.excess_rate = 1e6
            driver.step(*[driver.arrival(f"{spent}-{number}-{extra}") for extra in range(8)])
            for request in [name for name, request in driver.requests.items() if request.in_flight]:
                driver.end_attempt(request, api.AttemptOutcome.SERVED, elapsed_s=spent)
        assert node.concurrency_limit == limit


def test_excess_rate_falls_with_long_answers_at_one_slot_and_recovers_with_short_ones() -> None:
    driver = PolicyDriver(make_settings(gateway_count=8), [make_endpoint_entry(1, 1)])
    node = driver.nodes[1]
    node.excess_rate = 64.0
    spares = [node.excess_rate]
    for number, spent in enumerate([0.02] + [0.9] * 3 + [0.02] * 12):
        driver.now += 1.0
        driver.submit(f"r{number}", volume_id=number)
        driver.end_attempt(f"r{number}", api.AttemptOutcome.SERVED, elapsed_s=spent)
        spares.append(node.excess_rate)
    assert min(spares[2:]) < max(spares) / 4
    assert spares[-1] > max(spares) / 2


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


def test_an_instance_of_many_nodes_learns_its_excess_rate_from_all_of_them() -> None:
    def wait(seconds_each: float) -> float:
        """Return how long a volume waits to send again to a node that has never answered this instance."""
        shards = range(1, 61)
        driver = PolicyDriver(
            make_settings(plans=[make_plan(reserved_rate=0.0)], gateway_count=40),
            [make_endpoint_entry(shard, shard) for shard in shards],
        )
        for shard in shards[:-1]:  # each node answers once: a tenth of a second of this instance's life each
            driver.submit(f"r{shard}", shard=shard, volume_id=shard)
            driver.run_until(driver.now + 0.1)
            driver.end_attempt(
                f"r{shard}",
                api.AttemptOutcome.SERVED,
                node=shard,
                elapsed_s=seconds_each if shard > 1 else 0.02,
            )
        driver.submit("first", shard=60, units=2000.0)
        request, node = driver.requests["first"], driver.nodes[60]
        return driver.policy.admission.excess_ready_at(request, node) - driver.now

    assert wait(0.02) < wait(0.9) / 30


def test_backoff_grows_with_failures_in_a_row() -> None:
    driver = PolicyDriver(make_settings(max_attempts=99), [make_endpoint_entry(1, 1)])
    driver.submit("a", deadline=130.0)
    for _ in range(6):
        driver.end_attempt("a", AttemptOutcome.CONNECT_FAILED)
        driver.run_until(driver.now + 1.0)
    tries = len(driver.sent())
    driver.end_attempt("a", AttemptOutcome.CONNECT_FAILED)
    driver.run_until(driver.now + 0.45)
    assert len(driver.sent()) == tries


def test_failures_in_a_row_count_as_time_waited_and_a_lost_answer_does_not() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    node = driver.nodes[1]
    queued = []
    for number in range(3):
        driver.submit(f"r{number}")
        driver.now += 0.6
        driver.end_attempt(f"r{number}", AttemptOutcome.CANCELLED, elapsed_s=0.6)
        queued.append(node.queueing_delay_s)
    assert queued[0] == driver.policy.health.queueing_objective_s / 2
    assert queued[1] > 2 * queued[0]
    assert queued[2] > queued[1]
