"""Tests of which queued request is sent to which node."""

from __future__ import annotations

from storage_gateway import policy_api as api
from tests.support.policy import (
    PolicyDriver,
    make_endpoint_entry,
    make_plan,
    make_request_class,
    make_settings,
)


def test_idle_slots_are_borrowed_beyond_the_split() -> None:
    driver = PolicyDriver(make_settings(plans=[make_plan(reserved_rate=0.0)]), [make_endpoint_entry(1, 1)])
    driver.nodes[1].class_slots = [1]
    for number in range(6):
        driver.submit(f"r{number}")
    assert driver.sent_request_ids() == ["r0", "r1", "r2", "r3"]


def test_a_class_within_its_split_goes_before_a_borrower() -> None:
    unreserved_plans = [make_plan(reserved_rate=0.0)]
    driver = PolicyDriver(
        make_settings(
            [make_request_class(priority_weight=9.0), make_request_class(priority_weight=1.0)],
            unreserved_plans,
        ),
        [make_endpoint_entry(1, 1)],
    )
    driver.nodes[1].concurrency_limit = 2.0
    driver.nodes[1].class_slots = [1, 1]
    driver.step(driver.arrival("a"), driver.arrival("b"), driver.arrival("c", class_index=1))
    assert driver.sent_request_ids() == ["a", "c"]


def test_requests_that_create_objects_go_to_the_node_with_the_shortest_wait() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1), make_endpoint_entry(2, 2)])
    driver.nodes[1].queueing_delay_s, driver.nodes[2].queueing_delay_s = 0.2, 0.05
    driver.step(driver.arrival("a", shard=-1), driver.arrival("b", shard=-1))
    assert [action.node_id for action in driver.actions if isinstance(action, api.SendAttempt)] == [2, 2]


def test_reserved_requests_go_before_more_valuable_ones_beyond_the_reservation() -> None:
    driver = PolicyDriver(
        make_settings([make_request_class(priority_weight=2.0), make_request_class(priority_weight=3.0)]),
        [make_endpoint_entry(1, 1)],
    )
    node = driver.nodes[1]
    node.concurrency_limit, node.class_slots = 1.0, [1, 1]
    driver.submit("out")
    driver.volumes[1].reservation.level = 0.0
    driver.step(driver.arrival("valuable", class_index=1), driver.arrival("reserved", volume_id=2))
    driver.end_attempt("out", api.AttemptOutcome.SERVED)
    assert driver.sent_request_ids()[:2] == ["out", "reserved"]


def test_requests_that_can_meet_their_objective_go_before_late_ones() -> None:
    driver = PolicyDriver(make_settings(plans=[make_plan(reserved_rate=0.0)]), [make_endpoint_entry(1, 1)])
    driver.nodes[1].concurrency_limit = 1.0
    driver.submit("out")
    driver.submit("late", volume_id=2)
    driver.now += 0.45
    driver.submit("fresh", volume_id=3)
    driver.end_attempt("out", api.AttemptOutcome.SERVED)
    assert driver.sent_request_ids()[:2] == ["out", "fresh"]


def test_reserved_requests_have_as_many_slots_again() -> None:
    unreserved_plan = make_plan(reserved_rate=0.0)
    driver = PolicyDriver(
        make_settings(plans=[unreserved_plan, make_plan()], gateway_count=8), [make_endpoint_entry(1, 1)]
    )
    assert driver.nodes[1].concurrency_limit == 1.0
    driver.step(driver.arrival("long", volume_id=1), driver.arrival("more", volume_id=2))
    assert driver.sent_request_ids() == ["long"], "beyond the reservation, the concurrency limit applies"
    driver.step(
        driver.arrival("reserved", volume_id=3, plan_index=1),
        driver.arrival("too many", volume_id=4, plan_index=1),
    )
    assert driver.sent_request_ids() == ["long", "reserved"]


def test_request_that_would_miss_its_deadline_is_rejected_unsent() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    driver.nodes[1].queueing_delay_s = 0.1
    assert driver.submit("short", deadline=driver.now + 0.1) == [api.RejectRequest("short")]
    assert driver.submit("long", deadline=driver.now + 0.2) == [api.SendAttempt("long", 1)]
