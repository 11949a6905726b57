"""Tests of reservations, the excess rate, rate limits and load shedding."""

from __future__ import annotations

import pytest

from storage_gateway import policy_api as api
from storage_gateway.policy_api import AttemptOutcome
from tests.support.policy import (
    PolicyDriver,
    make_endpoint_entry,
    make_plan,
    make_request_class,
    make_settings,
)


def final_responses(actions: list[api.Action], name: str) -> list[type]:
    """Return the types of the actions that give this request its final response."""
    types = (api.RejectRequest, api.FailRequest)
    return [type(action) for action in actions if isinstance(action, types) and action.request_id == name]


def test_request_that_cannot_be_served_is_rejected_on_arrival() -> None:
    driver = PolicyDriver(make_settings(max_retry_after_s=0.5), [make_endpoint_entry(1, 1)])
    assert driver.submit("no node", shard=9) == [api.RejectRequest("no node", 0.5)]
    assert final_responses(driver.submit("no time", deadline=driver.now + 0.001), "no time") == [
        api.RejectRequest
    ]
    driver.step(*[driver.arrival(f"r{number}") for number in range(8)])
    driver.nodes[1].queueing_delay_s = 0.1
    assert final_responses(driver.submit("no slot", deadline=driver.now + 0.06), "no slot") == [
        api.RejectRequest
    ]
    assert "no time" not in driver.sent_request_ids()


def test_queued_request_is_rejected_when_it_turns_late() -> None:
    driver = PolicyDriver(make_settings(gateway_count=8), [make_endpoint_entry(1, 1)])
    driver.step(*[driver.arrival(name, gateway_count=8) for name in ("first", "a", "b")])  # two have a slot
    late_at = driver.now + 0.5 - driver.nodes[1].queueing_delay_s
    assert not driver.run_until(late_at - 0.001)
    assert driver.run_until(late_at + 0.02) == [api.RejectRequest("b")]
    assert not final_responses(driver.run_until(104.0), "b")


def test_queued_request_that_can_meet_its_objective_is_kept_and_sent() -> None:
    driver = PolicyDriver(make_settings(gateway_count=8), [make_endpoint_entry(1, 1)])
    driver.step(*[driver.arrival(name, gateway_count=8) for name in ("first", "a", "b")])  # two have a slot
    assert not driver.run_until(driver.now + 0.4)
    assert driver.end_attempt("a", AttemptOutcome.SERVED) == [api.SendAttempt("b", 1)]


def test_retry_hint_is_time_until_excess_rate_recovers_up_to_the_maximum() -> None:
    for bucket_level, expected_wait_s in ((-1.0, 0.5), (-10.0, 0.8)):
        driver = PolicyDriver(
            make_settings(plans=[make_plan(reserved_rate=0.0)], max_retry_after_s=0.8),
            [make_endpoint_entry(1, 1)],
        )
        driver.submit("a")
        driver.end_attempt("a", AttemptOutcome.SERVED)
        driver.now += 0.001
        bucket = driver.nodes[1].excess_tokens[1]
        bucket.level = bucket_level
        bucket.refilled_at = driver.now
        driver.nodes[1].excess_rate = 2.0
        (rejection,) = driver.submit("b", deadline=driver.now + 0.03)
        assert isinstance(rejection, api.RejectRequest)
        assert rejection.request_id == "b"
        assert rejection.retry_after_s == pytest.approx(expected_wait_s)


def test_clients_that_follow_no_retry_hint_get_none() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    assert driver.submit("a", shard=9) == [api.RejectRequest("a", 0.0)]


def test_retry_hint_covers_the_expected_wait_for_a_slot() -> None:
    driver = PolicyDriver(make_settings(gateway_count=8, max_retry_after_s=0.8), [make_endpoint_entry(1, 1)])
    driver.step(*[driver.arrival(name, gateway_count=8) for name in ("first", "second", "waits")])
    (rejection,) = [
        action for action in driver.run_until(driver.now + 0.52) if isinstance(action, api.RejectRequest)
    ]
    assert rejection.request_id == "waits"
    assert 0.0 < rejection.retry_after_s <= 0.8


def test_request_beyond_its_reservation_waits_for_the_excess_rate() -> None:
    driver = PolicyDriver(
        make_settings([make_request_class(latency_objective_s=20.0)]), [make_endpoint_entry(1, 1)]
    )
    node = driver.nodes[1]
    node.excess_rate = 0.5  # units a second; the bucket holds one second of it
    driver.step(*[driver.arrival(f"r{number}", units=5.0, deadline=driver.now + 20) for number in range(4)])
    # Two are within the reservation, one is from the full bucket.
    assert driver.sent_request_ids() == ["r0", "r1", "r2"]
    for name in ("r0", "r1", "r2"):
        driver.end_attempt(name, api.AttemptOutcome.SERVED)
    driver.submit("reserved", volume_id=2)
    assert driver.sent_request_ids()[3:] == ["reserved"]
    driver.end_attempt("reserved", api.AttemptOutcome.SERVED)
    node.excess_rate = 0.6
    driver.run_until(driver.now + 7.0)  # a debt of 4.5 units takes 7.5 s
    assert "r3" not in driver.sent_request_ids()
    driver.run_until(driver.now + 1.0)
    assert driver.sent_request_ids()[4:] == ["r3"]


def test_plan_with_larger_excess_weight_gets_more_of_the_excess_rate() -> None:
    driver = PolicyDriver(
        make_settings(plans=[make_plan(), make_plan(excess_weight=4.0)]), [make_endpoint_entry(1, 1)]
    )
    driver.nodes[1].excess_rate = 1.0
    driver.nodes[1].concurrency_limit = 8.0
    for number in range(40):
        driver.step(
            driver.arrival(f"light{number}"), driver.arrival(f"heavy{number}", volume_id=2, plan_index=1)
        )
    for volume in driver.volumes.values():
        volume.reserved_units.clear()
    sent_before = len(driver.sent_request_ids())
    for _ in range(200):
        driver.run_until(driver.now + 0.02)
        driver.end_all_attempts(0.01)
        driver.nodes[1].excess_rate = 1.0
    sent_later = driver.sent_request_ids()[sent_before:]
    light_count = sum(name.startswith("light") for name in sent_later)
    assert 2 * light_count < len(sent_later) - light_count


def test_less_valuable_request_is_charged_more_excess_rate() -> None:
    charged = []
    for weight in (4.0, 1.0):
        driver = PolicyDriver(
            make_settings(
                [make_request_class(priority_weight=weight), make_request_class(priority_weight=4.0)]
            ),
            [make_endpoint_entry(1, 1)],
        )
        driver.nodes[1].excess_rate = 8.0
        driver.step(driver.arrival("a", units=6.0), driver.arrival("b", units=6.0))
        charged.append(8.0 - driver.nodes[1].excess_tokens[1].level)
    assert charged[1] == pytest.approx(4 * charged[0])


def test_class_with_larger_bound_is_charged_less_excess_rate() -> None:
    charged = []
    for bounds in ([0.5, 0.5], [0.8, 0.2]):
        driver = PolicyDriver(
            make_settings([make_request_class(), make_request_class()]), [make_endpoint_entry(1, 1)]
        )
        for estimate, bound in zip(driver.policy.state.classes, bounds, strict=True):
            estimate.bound = bound
        driver.nodes[1].excess_rate = 8.0
        driver.step(driver.arrival("a", units=6.0), driver.arrival("b", units=6.0))
        charged.append(8.0 - driver.nodes[1].excess_tokens[1].level)
    assert charged[0] == pytest.approx(charged[1] * 0.8 / 0.5)


def test_many_instances_share_the_minimum_excess_rate() -> None:
    def sent_count(gateway_count: int) -> float:
        driver = PolicyDriver(
            make_settings(
                plans=[make_plan(reserved_rate=0.0, expected_rate=2.0)], gateway_count=gateway_count
            ),
            [make_endpoint_entry(1, 1)],
        )
        driver.nodes[1].concurrency_limit, driver.nodes[1].unit_time_s = 8.0, 0.02
        for number in range(100):
            driver.submit(f"r{number}", gateway_count=gateway_count)
            driver.run_until(driver.now + 0.2)
            driver.end_all_attempts(0.6)  # over the latency objective: the rate stays at its minimum
        return len(driver.sent_request_ids())

    assert sent_count(16) <= sent_count(1) / 4


def test_requests_that_create_objects_share_one_excess_rate_and_are_never_sent_late() -> None:
    def sent_count(node_count: int) -> int:
        settings = make_settings(plans=[make_plan(reserved_rate=0.0, expected_rate=2.0)])
        driver = PolicyDriver(
            settings, [make_endpoint_entry(node, node) for node in range(1, node_count + 1)]
        )
        for number in range(100):
            for node in driver.nodes.values():
                node.excess_rate = 2.0
            driver.policy.state.nodes.headroom = 1.0
            driver.submit(f"r{number}", shard=-1, units=2.0)
            driver.run_until(driver.now + 0.2)
            for name in [name for name, request in driver.requests.items() if request.in_flight]:
                driver.end_attempt(name, api.AttemptOutcome.SERVED, node=1, elapsed_s=0.05)
        return len(driver.sent_request_ids())

    assert sent_count(8) <= sent_count(1) + 8
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    driver.nodes[1].queueing_delay_s = 0.6
    assert driver.submit("in time here", shard=1) == [api.SendAttempt("in time here", 1)]
    assert driver.submit("late", shard=-1) == []
    assert api.RejectRequest("late") in driver.run_until(driver.now + 0.52)


def test_client_retry_keeps_arrival_time_and_reservation_of_the_original() -> None:
    driver = PolicyDriver(
        make_settings([make_request_class(latency_objective_s=0.5)]), [make_endpoint_entry(1, 1)]
    )
    driver.submit("first", object_key=7, units=4.0, deadline=driver.now + 0.2)
    level = driver.volumes[1].reservation.level
    driver.now += 0.2
    driver.end_attempt("first", api.AttemptOutcome.TIMEOUT, elapsed_s=0.2)
    driver.submit("retry", object_key=7, units=4.0)
    retry = driver.requests["retry"]
    assert retry.objective_at == pytest.approx(driver.now + 0.3)
    refilled_level = level + 4.0 * 0.2
    assert driver.volumes[1].reservation.level == pytest.approx(refilled_level), (
        "the retry must not draw again"
    )
    assert retry.volume.reserved_units[int(retry.arrived_at)] == pytest.approx(0.0)
    assert retry.drawn_units == pytest.approx(4.0)
    driver.end_attempt("retry", api.AttemptOutcome.SERVED)
    driver.submit("new", object_key=7, units=1.0)
    assert driver.requests["new"].objective_at == pytest.approx(driver.now + 0.5)


def test_rate_limit_share_is_charged_once_for_each_request() -> None:
    limited_plan = make_plan(rate_limit=4.0, rate_limit_burst=12.0)
    driver = PolicyDriver(
        make_settings([make_request_class(latency_objective_s=2.0), make_request_class()], [limited_plan]),
        [make_endpoint_entry(1, 1)],
    )
    driver.step(
        driver.arrival("a", units=2.0, gateway_count=2), driver.arrival("b", units=2.0, gateway_count=2)
    )
    assert driver.sent_request_ids() == []
    driver.run_until(101.05)
    assert driver.sent_request_ids() == ["a"]
    driver.end_attempt("a", AttemptOutcome.REJECTED)
    driver.run_until(101.5)
    assert driver.sent_request_ids() == ["a", "a"]
    driver.run_until(102.0)
    assert driver.sent_request_ids() == ["a", "a"]


def test_rate_limit_share_fills_from_instance_start_and_not_from_first_request() -> None:
    driver = PolicyDriver(
        make_settings(plans=[make_plan(rate_limit=1.0, rate_limit_burst=6.0)]), [make_endpoint_entry(1, 1)]
    )
    assert not any(isinstance(action, api.SendAttempt) for action in driver.submit("early", units=4.0))
    driver.run_until(driver.now + 10.0)
    assert driver.submit("later", volume_id=2, units=4.0) == [api.SendAttempt("later", 1)]
    assert not any(
        isinstance(action, api.SendAttempt) for action in driver.submit("over", volume_id=2, units=4.0)
    )
