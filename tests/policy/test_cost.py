"""Tests that work and timers depend on the events, not on the size of the fleet."""

from unittest import mock

import pytest

from storage_gateway import policy_api as api
from storage_gateway.policy import Policy
from storage_gateway.policy.retries import DEADLINE_MARGIN_S, LOST_RESPONSE_SHARE
from storage_gateway.policy_api import AttemptOutcome
from storage_gateway.policy_state import Node, Request
from tests.support.policy import PolicyDriver, make_endpoint_entry, make_settings


def timers(actions: list[api.Action]) -> list[api.SetTimer]:
    return [action for action in actions if isinstance(action, api.SetTimer)]


def test_idle_instance_sets_no_timer() -> None:
    policy = Policy(make_settings())
    nodes = [make_endpoint_entry(node, node) for node in range(45)]
    assert policy.step(10.0, [api.EndpointsChanged(api.EndpointUpdateKind.CACHED, nodes)]) == []


def busy_driver(now: float) -> PolicyDriver:
    """Return a driver with one slot and one more for reserved requests at each node; node 1 has none free."""
    driver = PolicyDriver(
        make_settings(gateway_count=8), [make_endpoint_entry(node, node) for node in range(45)], now
    )
    driver.submit("first", gateway_count=8)
    driver.submit("second", gateway_count=8)
    return driver


def test_queued_request_sets_one_timer_for_when_it_turns_late() -> None:
    driver = busy_driver(10.0)
    assert timers(driver.policy.step(10.0, [driver.arrival("a", gateway_count=8)])) == [], (
        "an earlier timer is set already"
    )
    checked_at = 10.0 + LOST_RESPONSE_SHARE * 0.5
    (timer,) = timers(driver.policy.step(checked_at, [api.TimerFired(0)]))
    assert checked_at + timer.delay_s == pytest.approx(10.5 - driver.nodes[1].queueing_delay_s)
    assert driver.policy.step(checked_at + timer.delay_s, [api.TimerFired(0)])[0] == api.RejectRequest("a")


def test_timer_that_fires_slightly_early_is_set_again() -> None:
    driver = busy_driver(100.0)
    driver.submit("a", gateway_count=8)
    late_at = 100.5 - driver.nodes[1].queueing_delay_s
    assert timers(driver.policy.step(late_at - 1e-7, [api.TimerFired(0)])), (
        "without a timer, nothing would reject it in time"
    )


def test_served_request_leaves_no_timer() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    driver.submit("a")
    driver.end_attempt("a", AttemptOutcome.SERVED)
    assert driver.policy.step(101.96, [api.TimerFired(0)]) == []


def test_only_nodes_with_a_change_choose() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(node, node) for node in range(45)])
    choosing_nodes: list[int] = []
    choose = driver.policy.scheduler.choose

    def record_and_choose(node: Node) -> Request | None:
        choosing_nodes.append(node.node_id)
        return choose(node)

    with mock.patch.object(driver.policy.scheduler, "choose", record_and_choose):
        driver.submit("a", shard=7)
        driver.end_attempt("a", AttemptOutcome.SERVED, node=7)
    assert set(choosing_nodes) == {7}
    assert len(choosing_nodes) <= 4


def test_unused_volumes_keys_and_nodes_are_forgotten() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    for number in range(300):
        driver.now += 1.0
        removed_entry = make_endpoint_entry(number + 10, 1, api.EndpointState.REMOVED)
        driver.step(api.EndpointsChanged(api.EndpointUpdateKind.DELTA, [removed_entry]))
        driver.submit(f"r{number}", volume_id=number, object_key=number)
        driver.end_attempt(f"r{number}", AttemptOutcome.SERVED)
    state = driver.policy.state
    requests = state.requests
    assert len(state.volumes.by_id) < 100
    assert len(state.nodes.by_id) < 100
    assert len(requests.key_queues) + len(requests.key_ready_at) + len(requests.by_id) < 10
    assert len(state.timers.heap) < 10


def test_rounding_does_not_suppress_a_response() -> None:
    for power in range(12):
        driver = busy_driver(2.0**power)
        driver.submit("a", gateway_count=8, deadline=driver.now + 0.3)
        driver.nodes[1].queueing_delay_s = DEADLINE_MARGIN_S
        assert driver.policy.step(2.0**power + 0.3 - DEADLINE_MARGIN_S, [api.TimerFired(0)])
