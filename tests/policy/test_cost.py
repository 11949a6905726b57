"""Work and wake-ups follow what happens, not the size of the fleet."""

import pytest

from storage_gateway import policy_api as api
from storage_gateway.policy.policy import LOST, MARGIN, Policy
from storage_gateway.policy_api import AttemptOutcome
from tests.support.policy import PolicyDriver, make_endpoint_entry, make_settings


def wakes(actions: list[api.Action]) -> list[api.SetTimer]:
    return [action for action in actions if isinstance(action, api.SetTimer)]


def test_an_idle_host_sleeps() -> None:
    policy = Policy(make_settings())
    nodes = [make_endpoint_entry(node, node) for node in range(45)]
    assert policy.step(10.0, [api.EndpointsChanged(api.EndpointUpdateKind.CACHED, nodes)]) == []


def busy_host(now: float) -> PolicyDriver:
    """A node of one slot, and one more for what is due, both taken, so that the next request is held."""
    host = PolicyDriver(
        make_settings(gateway_count=8), [make_endpoint_entry(node, node) for node in range(45)], now
    )
    host.ask("first", gateway_count=8)
    host.ask("second", gateway_count=8)
    return host


def test_a_held_request_wakes_its_host_once_when_it_turns_late() -> None:
    host = busy_host(10.0)
    assert wakes(host.policy.step(10.0, [host.arrival("a", gateway_count=8)])) == [], "a look comes before"
    looked = 10.0 + LOST * 0.5
    (wake,) = wakes(host.policy.step(looked, [api.TimerFired(0)]))
    assert looked + wake.delay_s == pytest.approx(10.5 - host.policy.nodes[1].queued)
    assert host.policy.step(looked + wake.delay_s, [api.TimerFired(0)])[0] == api.RejectRequest("a")


def test_a_bell_a_trifle_early_is_set_again() -> None:
    host = busy_host(100.0)
    host.ask("a", gateway_count=8)
    late = 100.5 - host.policy.nodes[1].queued
    assert wakes(host.policy.step(late - 1e-7, [api.TimerFired(0)])), "nothing else would answer it in time"


def test_a_served_request_leaves_no_wake_up_behind() -> None:
    host = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    host.ask("a")
    host.end("a", AttemptOutcome.SERVED)
    assert host.policy.step(101.96, [api.TimerFired(0)]) == []


def test_only_nodes_where_something_changed_choose() -> None:
    host = PolicyDriver(make_settings(), [make_endpoint_entry(node, node) for node in range(45)])
    looked: list[int] = []
    choose = host.policy.choose

    def count(node):  # type: ignore[no-untyped-def]
        looked.append(node.id)
        return choose(node)

    host.policy.choose = count  # type: ignore[method-assign]
    host.ask("a", shard=7)
    host.end("a", AttemptOutcome.SERVED, node=7)
    assert set(looked) == {7}
    assert len(looked) <= 4


def test_a_long_life_forgets_volumes_keys_and_nodes() -> None:
    host = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    for number in range(300):
        host.now += 1.0
        gone = make_endpoint_entry(number + 10, 1, api.EndpointState.REMOVED)
        host.step(api.EndpointsChanged(api.EndpointUpdateKind.DELTA, [gone]))
        host.ask(f"r{number}", volume_id=number, object_key=number)
        host.end(f"r{number}", AttemptOutcome.SERVED)
    policy = host.policy
    assert len(policy.volumes) < 100
    assert len(policy.nodes) < 100
    assert len(policy.keys) + len(policy.key_rest) + len(policy.requests) < 10
    assert len(policy.agenda.heap) < 10


def test_rounding_does_not_lose_an_answer() -> None:
    for power in range(12):
        host = busy_host(2.0**power)
        host.ask("a", gateway_count=8, deadline=host.now + 0.3)
        host.policy.nodes[1].queued = MARGIN
        assert host.policy.step(2.0**power + 0.3 - MARGIN, [api.TimerFired(0)])
