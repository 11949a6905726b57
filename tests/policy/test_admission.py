"""Reservations, the excess rate, rate limits and shedding."""

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


def answers(actions: list[api.Action], request: str) -> list[type]:
    finals = (api.RejectRequest, api.FailRequest)
    return [type(action) for action in actions if isinstance(action, finals) and action.request_id == request]


def test_a_hopeless_request_is_answered_on_arrival() -> None:
    driver = PolicyDriver(make_settings(max_retry_after_s=0.5), [make_endpoint_entry(1, 1)])
    assert driver.submit("no node", shard=9) == [api.RejectRequest("no node", 0.5)]
    assert answers(driver.submit("no time", deadline=driver.now + 0.001), "no time") == [api.RejectRequest]
    driver.step(*[driver.arrival(f"r{number}") for number in range(8)])
    driver.nodes[1].queueing_delay_s = 0.1
    assert answers(driver.submit("no slot", deadline=driver.now + 0.06), "no slot") == [api.RejectRequest]
    assert "no time" not in driver.sent()


def test_a_request_that_becomes_hopeless_is_answered_then() -> None:
    driver = PolicyDriver(make_settings(gateway_count=8), [make_endpoint_entry(1, 1)])
    driver.step(*[driver.arrival(name, gateway_count=8) for name in ("first", "a", "b")])  # two have a slot
    late = driver.now + 0.5 - driver.nodes[1].queueing_delay_s
    assert not driver.run_until(late - 0.001)
    assert driver.run_until(late + 0.02) == [api.RejectRequest("b")]
    assert not answers(driver.run_until(104.0), "b")


def test_a_request_that_can_still_be_in_time_is_kept_and_sent() -> None:
    driver = PolicyDriver(make_settings(gateway_count=8), [make_endpoint_entry(1, 1)])
    driver.step(*[driver.arrival(name, gateway_count=8) for name in ("first", "a", "b")])  # two have a slot
    assert not driver.run_until(driver.now + 0.4)
    assert driver.end_attempt("a", AttemptOutcome.SERVED) == [api.SendAttempt("b", 1)]


def test_a_rejection_says_when_the_excess_rate_has_recovered_up_to_what_clients_heed() -> None:
    for debt, wait in ((-1.0, 0.5), (-10.0, 0.8)):
        driver = PolicyDriver(
            make_settings(plans=[make_plan(reserved_rate=0.0)], max_retry_after_s=0.8),
            [make_endpoint_entry(1, 1)],
        )
        driver.submit("a")
        driver.end_attempt("a", AttemptOutcome.SERVED)
        driver.now += 0.001
        tokens = driver.nodes[1].excess_tokens[1]
        tokens.level = debt
        tokens.refilled_at = driver.now
        driver.nodes[1].excess_rate = 2.0
        (rejection,) = driver.submit("b", deadline=driver.now + 0.03)
        assert isinstance(rejection, api.RejectRequest)
        assert rejection.request_id == "b"
        assert rejection.retry_after_s == pytest.approx(wait)


def test_clients_that_heed_no_retry_hint_get_none() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    assert driver.submit("a", shard=9) == [api.RejectRequest("a", 0.0)]


def test_a_rejection_for_want_of_a_slot_says_when_one_is_free() -> None:
    driver = PolicyDriver(make_settings(gateway_count=8, max_retry_after_s=0.8), [make_endpoint_entry(1, 1)])
    driver.step(*[driver.arrival(name, gateway_count=8) for name in ("first", "second", "waits")])
    (rejection,) = [one for one in driver.run_until(driver.now + 0.52) if isinstance(one, api.RejectRequest)]
    assert rejection.request_id == "waits"
    assert 0.0 < rejection.retry_after_s <= 0.8


def test_what_is_beyond_the_reservation_waits_for_its_part_of_the_excess_rate() -> None:
    driver = PolicyDriver(
        make_settings([make_request_class(latency_objective_s=20.0)]), [make_endpoint_entry(1, 1)]
    )
    node = driver.nodes[1]
    node.excess_rate = 0.5  # units a second, and no more than a second of it at once
    driver.step(*[driver.arrival(f"r{number}", units=5.0, deadline=driver.now + 20) for number in range(4)])
    assert driver.sent() == ["r0", "r1", "r2"]  # two in the reservation, one on the first tokens
    for name in ("r0", "r1", "r2"):
        driver.end_attempt(name, api.AttemptOutcome.SERVED)
    driver.submit("reserved", volume_id=2)
    assert driver.sent()[3:] == ["reserved"]
    driver.end_attempt("reserved", api.AttemptOutcome.SERVED)
    node.excess_rate = 0.6
    driver.run_until(driver.now + 7.0)  # in debt by 4.5 units: seven and a half seconds
    assert "r3" not in driver.sent()
    driver.run_until(driver.now + 1.0)
    assert driver.sent()[4:] == ["r3"]


def test_heavier_plans_have_more_of_the_excess_rate() -> None:
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
    start = len(driver.sent())
    for _ in range(200):
        driver.run_until(driver.now + 0.02)
        driver.end_all_attempts(0.01)
        driver.nodes[1].excess_rate = 1.0
    later = driver.sent()[start:]
    light = sum(name.startswith("light") for name in later)
    assert 2 * light < len(later) - light


def test_what_earns_less_pays_more_of_the_excess_rate() -> None:
    paid = []
    for weight in (4.0, 1.0):
        driver = PolicyDriver(
            make_settings(
                [make_request_class(priority_weight=weight), make_request_class(priority_weight=4.0)]
            ),
            [make_endpoint_entry(1, 1)],
        )
        driver.nodes[1].excess_rate = 8.0
        driver.step(driver.arrival("a", units=6.0), driver.arrival("b", units=6.0))
        paid.append(8.0 - driver.nodes[1].excess_tokens[1].level)
    assert paid[1] == pytest.approx(4 * paid[0])


def test_a_class_with_a_larger_bound_draws_more_of_the_excess_rate() -> None:
    paid = []
    for bounds in ([0.5, 0.5], [0.8, 0.2]):
        driver = PolicyDriver(
            make_settings([make_request_class(), make_request_class()]), [make_endpoint_entry(1, 1)]
        )
        for estimate, bound in zip(driver.policy.state.classes, bounds, strict=True):
            estimate.bound = bound
        driver.nodes[1].excess_rate = 8.0
        driver.step(driver.arrival("a", units=6.0), driver.arrival("b", units=6.0))
        paid.append(8.0 - driver.nodes[1].excess_tokens[1].level)
    assert paid[0] == pytest.approx(paid[1] * 0.8 / 0.5)


def test_many_instances_together_send_no_more_at_the_least_excess_rate_than_one() -> None:
    def sends(gateway_count: int) -> float:
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
            driver.end_all_attempts(0.6)  # over the objective: the rate stays at its least
        return len(driver.sent())

    assert sends(16) <= sends(1) / 4


def test_new_objects_have_their_excess_rate_at_all_nodes_together_and_never_go_late() -> None:
    def sends(nodes: int) -> int:
        config = make_settings(plans=[make_plan(reserved_rate=0.0, expected_rate=2.0)])
        driver = PolicyDriver(config, [make_endpoint_entry(node, node) for node in range(1, nodes + 1)])
        for number in range(100):
            for node in driver.nodes.values():
                node.excess_rate = 2.0
            driver.policy.state.nodes.headroom = 1.0
            driver.submit(f"r{number}", shard=-1, units=2.0)
            driver.run_until(driver.now + 0.2)
            for name in [name for name, request in driver.requests.items() if request.in_flight]:
                driver.end_attempt(name, api.AttemptOutcome.SERVED, node=1, elapsed_s=0.05)
        return len(driver.sent())

    assert sends(8) <= sends(1) + 8
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    driver.nodes[1].queueing_delay_s = 0.6
    assert driver.submit("in time here", shard=1) == [api.SendAttempt("in time here", 1)]
    assert driver.submit("late", shard=-1) == []
    assert api.RejectRequest("late") in driver.run_until(driver.now + 0.52)


def test_a_retry_belongs_to_its_first_try() -> None:
    driver = PolicyDriver(
        make_settings([make_request_class(latency_objective_s=0.5)]), [make_endpoint_entry(1, 1)]
    )
    driver.submit("first", object_key=7, units=4.0, deadline=driver.now + 0.2)
    level = driver.volumes[1].reservation.level
    driver.now += 0.2
    driver.end_attempt("first", api.AttemptOutcome.TIMEOUT, elapsed_s=0.2)
    driver.submit("again", object_key=7, units=4.0)
    again = driver.requests["again"]
    assert again.objective_at == pytest.approx(driver.now + 0.3)
    filled = level + 4.0 * 0.2
    assert driver.volumes[1].reservation.level == pytest.approx(filled), "the reservation is drawn once"
    assert again.volume.reserved_units[int(again.arrived_at)] == pytest.approx(0.0)
    assert again.reserved_units == pytest.approx(4.0)
    driver.end_attempt("again", api.AttemptOutcome.SERVED)
    driver.submit("new", object_key=7, units=1.0)
    assert driver.requests["new"].objective_at == pytest.approx(driver.now + 0.5)


def test_a_limit_is_drawn_from_this_instances_part_once_a_request() -> None:
    limited = make_plan(rate_limit=4.0, rate_limit_burst=12.0)
    driver = PolicyDriver(
        make_settings([make_request_class(latency_objective_s=2.0), make_request_class()], [limited]),
        [make_endpoint_entry(1, 1)],
    )
    driver.step(
        driver.arrival("a", units=2.0, gateway_count=2), driver.arrival("b", units=2.0, gateway_count=2)
    )
    assert driver.sent() == []
    driver.run_until(101.05)
    assert driver.sent() == ["a"]
    driver.end_attempt("a", AttemptOutcome.REJECTED)
    driver.run_until(101.5)
    assert driver.sent() == ["a", "a"]
    driver.run_until(102.0)
    assert driver.sent() == ["a", "a"]


def test_the_part_of_a_limit_fills_from_the_instance_s_start_and_not_from_a_volume_s_first_request() -> None:
    driver = PolicyDriver(
        make_settings(plans=[make_plan(rate_limit=1.0, rate_limit_burst=6.0)]), [make_endpoint_entry(1, 1)]
    )
    assert not any(isinstance(action, api.SendAttempt) for action in driver.submit("early", units=4.0))
    driver.run_until(driver.now + 10.0)
    assert driver.submit("later", volume_id=2, units=4.0) == [api.SendAttempt("later", 1)]
    assert not any(
        isinstance(action, api.SendAttempt) for action in driver.submit("over", volume_id=2, units=4.0)
    )
