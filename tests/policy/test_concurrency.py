"""Tests of the control round, with expected values computed by hand."""

from __future__ import annotations

import pytest

from storage_gateway import policy_api as api
from storage_gateway.policy.concurrency import arbitrate
from storage_gateway.policy_state.class_estimate import ClassEstimate
from tests.support.policy import (
    PolicyDriver,
    make_endpoint_entry,
    make_request_class,
    make_settings,
)


def total_slots(driver: PolicyDriver) -> float:
    return sum(node.concurrency_limit for node in driver.policy.state.nodes.owners.values())


def arbitrate_classes(
    bounds: list[float],
    requested_bounds: list[float],
    performance: list[float],
    share_slopes: list[float | None],
    weights: list[float],
) -> list[float]:
    """Return the bounds of classes with these estimates."""
    classes = []
    for index, weight in enumerate(weights):
        estimate = ClassEstimate(make_request_class(priority_weight=weight), bounds[index])
        estimate.requested_bound = requested_bounds[index]
        estimate.performance = performance[index]
        estimate.share_slope = share_slopes[index]
        classes.append(estimate)
    return arbitrate(classes)


def test_requested_bounds_that_fit_are_granted_and_remainder_goes_by_weight() -> None:
    assert arbitrate_classes([0.4, 0.4], [0.35, 0.35], [1, 1], [None, None], [2, 1]) == pytest.approx(
        [0.55, 0.45]
    )


def test_requested_bounds_exactly_at_the_total_are_granted() -> None:
    assert arbitrate_classes([0.5, 0.5], [0.45, 0.55], [1, 1], [1.0, 1.0], [2, 1]) == pytest.approx(
        [0.45, 0.55]
    )


def test_single_class_gets_the_whole_total() -> None:
    assert arbitrate_classes([1.0], [1.05], [0.5], [0.5], [3]) == pytest.approx([1.0])
    assert arbitrate_classes([1.0], [0.95], [1.2], [0.5], [3]) == pytest.approx([1.0])


def test_overload_equalizes_weighted_shortfall() -> None:
    # the bounds 0.5 + (0.4 - s/2)/10 and 0.5 + (0.4 - s)/10 sum up to 1 at a weighted shortfall s of 8/15
    bounds = arbitrate_classes([0.5, 0.5], [0.54, 0.54], [0.6, 0.6], [10.0, 10.0], [2, 1])
    assert bounds == pytest.approx([0.5 + 0.4 / 30, 0.5 - 0.4 / 30], abs=1e-6)
    shortfall = [1 - 0.6 - 10 * (bound - 0.5) for bound in bounds]
    assert 2 * shortfall[0] == pytest.approx(shortfall[1], abs=1e-5)


def test_overload_moves_no_bound_by_more_than_the_step() -> None:
    bounds = arbitrate_classes([0.5, 0.5], [0.55, 0.55], [0.1, 0.9], [0.5, 0.5], [5, 1])
    assert bounds == pytest.approx([0.55, 0.45])


def test_bounds_far_below_the_total_rise_by_one_step() -> None:
    # both bounds raised by the step sum up to 0.9 only
    assert arbitrate_classes([0.4, 0.4], [0.6, 0.6], [0.5, 0.5], [1.0, 1.0], [1, 1]) == pytest.approx(
        [0.45, 0.45]
    )


def test_class_without_slope_gets_its_requested_bound_in_overload() -> None:
    assert arbitrate_classes([0.5, 0.5], [0.52, 0.55], [0.5, 0.5], [None, 1.0], [1, 1]) == pytest.approx(
        [0.52, 0.48]
    )


def test_requested_bound_stays_without_finished_requests() -> None:
    driver = PolicyDriver(
        make_settings([make_request_class(), make_request_class()]), [make_endpoint_entry(1, 1)]
    )
    classes = driver.policy.state.classes
    classes[0].requested_bound = 0.3
    classes[1].requested_bound = 0.4
    driver.run_until(driver.now + 2.5)
    assert [estimate.requested_bound for estimate in classes] == [0.3, 0.4]


def test_requested_bound_moves_by_at_most_one_step() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    policy = driver.policy
    total = policy.state.nodes.by_id[1].concurrency_limit
    (estimate,) = policy.state.classes
    estimate.history = [(total * 0.9, 0.10), (total * 0.95, 0.11)]
    estimate.record_finished(4.0)  # performance 0.125, which rises with the bound
    policy.concurrency.run_round()
    assert estimate.requested_bound == pytest.approx(1.05)


def test_zero_demand_splits_evenly_over_listed_nodes() -> None:
    driver = PolicyDriver(
        make_settings(), [make_endpoint_entry(1, 1), make_endpoint_entry(2, 2), make_endpoint_entry(3, 3)]
    )
    driver.policy.concurrency.split(0, 7.0)
    assert [node.class_slots[0] for node in driver.nodes.values()] == [3, 3, 3]


def test_split_follows_demand_rounded_up_with_at_least_one_slot() -> None:
    driver = PolicyDriver(
        make_settings(), [make_endpoint_entry(1, 1), make_endpoint_entry(2, 2), make_endpoint_entry(3, 3)]
    )
    for node, demand in zip(driver.nodes.values(), [6.0, 2.0, 0.0], strict=True):
        node.class_demand[0] = demand
    driver.policy.concurrency.split(0, 6.0)
    assert [node.class_slots[0] for node in driver.nodes.values()] == [5, 2, 1]


def test_leaving_and_joining_nodes_change_the_total_and_the_split() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1), make_endpoint_entry(2, 2)])
    assert total_slots(driver) == 8.0  # the limit of 8 slots a node, shared by two instances
    driver.step(
        api.EndpointsChanged(
            api.EndpointUpdateKind.DELTA, [make_endpoint_entry(2, 2, api.EndpointState.REMOVED)]
        )
    )
    assert total_slots(driver) == 4.0
    driver.policy.concurrency.split(0, 4.0)
    assert driver.nodes[1].class_slots == [4]
    driver.step(api.EndpointsChanged(api.EndpointUpdateKind.DELTA, [make_endpoint_entry(3, 2)]))
    assert total_slots(driver) == 8.0
    driver.policy.concurrency.split(0, 8.0)
    assert driver.nodes[3].class_slots == [4]


def test_latency_counts_queued_time() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    driver.nodes[1].concurrency_limit = 1.0
    driver.step(driver.arrival("a"), driver.arrival("b"))
    driver.now += 0.3
    driver.end_attempt("a", api.AttemptOutcome.SERVED, elapsed_s=0.3)
    driver.now += 0.1
    driver.end_attempt("b", api.AttemptOutcome.SERVED, elapsed_s=0.1)
    assert driver.policy.state.classes[0].latency_sum_s == pytest.approx(0.3 + 0.4)
