"""Which nodes serve, and which of them owns each shard."""

from __future__ import annotations

import random

import pytest

from storage_gateway import policy_api as api
from storage_gateway.policy import Policy
from storage_gateway.policy_state import Node
from storage_gateway.policy_state.node_table import NodeTable
from tests.support.line_counter import LineCounter
from tests.support.policy import PolicyDriver, make_endpoint_entry, make_settings

STATES = (
    api.EndpointState.SERVING,
    api.EndpointState.SERVING,
    api.EndpointState.DRAINING,
    api.EndpointState.REMOVED,
)
KINDS = (
    api.EndpointUpdateKind.DELTA,
    api.EndpointUpdateKind.DELTA,
    api.EndpointUpdateKind.DELTA,
    api.EndpointUpdateKind.SNAPSHOT,
)


def expected_owners(nodes: NodeTable) -> list[Node]:
    """Return the owners as derived from all nodes at once, in the order of the nodes."""
    owners: dict[int, Node] = {}
    for node in nodes.by_id.values():
        owner = owners.get(node.shard, node)
        if node.serving and node.started_at >= owner.started_at:
            owners[node.shard] = node
    return list(owners.values())


def random_update(generator: random.Random, shard_count: int, now: float) -> api.EndpointsChanged:
    """Return an update of up to two nodes for each shard, some of them without a shard."""
    entries = [
        make_endpoint_entry(
            node_id,
            api.NO_SHARD if node_id % 5 == 0 else node_id % shard_count,
            generator.choice(STATES),
            generator.choice((0.0, 0.0, now - generator.random())),
        )
        for node_id in generator.choices(range(2 * shard_count), k=generator.randint(0, 4))
    ]
    return api.EndpointsChanged(generator.choice(KINDS), entries)


@pytest.mark.parametrize("seed", range(20))
def test_owners_after_each_update_are_those_of_the_whole_list(seed: int) -> None:
    generator = random.Random(seed)
    policy = Policy(make_settings(seed=seed))
    nodes = policy.state.nodes
    for number in range(100):
        now = 100.0 + number
        policy.step(now, [random_update(generator, shard_count=6, now=now)])
        assert nodes.ordered_owners() == expected_owners(nodes)
        assert len(nodes.owners) == len(nodes.ordered_owners())
        listed = {node.node_id for shard_nodes in nodes.by_shard.values() for node in shard_nodes.values()}
        assert listed == set(nodes.by_id)


def test_latest_start_owns_the_shard_until_it_drains() -> None:
    driver = PolicyDriver(
        make_settings(), [make_endpoint_entry(1, 7), make_endpoint_entry(2, 7, started_at=50.0)]
    )
    driver.submit("a", shard=7)
    drains = make_endpoint_entry(2, 7, api.EndpointState.DRAINING, started_at=50.0)
    driver.step(api.EndpointsChanged(api.EndpointUpdateKind.DELTA, [drains]))
    driver.submit("b", shard=7)
    sends = [action for action in driver.actions if isinstance(action, api.SendAttempt)]
    assert [send.node_id for send in sends] == [2, 1]


def count_lines_of_one_change(node_count: int) -> int:
    """Return the number of lines that the change of one node executes while a request is queued."""
    driver = PolicyDriver(
        make_settings(gateway_count=8), [make_endpoint_entry(number, number) for number in range(node_count)]
    )
    for request_id in ("first", "second", "queued"):
        driver.submit(request_id, gateway_count=8)
    change = make_endpoint_entry(5, 5, api.EndpointState.DRAINING)
    with LineCounter() as counter:
        driver.step(api.EndpointsChanged(api.EndpointUpdateKind.DELTA, [change]))
    return counter.line_count


def test_change_of_one_node_is_applied_without_work_for_the_others() -> None:
    """Guards against work for the whole fleet at each change, which delays responses in a release."""
    assert count_lines_of_one_change(10) == count_lines_of_one_change(1000)
