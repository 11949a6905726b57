"""The endpoint registry: stable node ids, and its listeners."""

from __future__ import annotations

import unittest
from unittest import mock

from storage_gateway.endpoints import registry as registry_module
from storage_gateway.endpoints.registry import EndpointRegistry
from storage_gateway.policy_api import EndpointState
from tests.support.endpoints import apply_endpoints, make_endpoint
from tests.support.line_counter import LineCounter


class EndpointRegistryTest(unittest.TestCase):
    """Updates that add, change and remove endpoints."""

    def test_oldest_removed_endpoints_lose_their_ids_and_no_id_is_reused(self) -> None:
        registry = EndpointRegistry({})
        apply_endpoints(registry, make_endpoint("s-unchanged", 1))
        with mock.patch.object(registry_module, "MAX_REMOVED_ENDPOINTS", 3):
            for number in range(9):
                apply_endpoints(registry, make_endpoint(f"s-{number}", 1))
                apply_endpoints(registry, make_endpoint(f"s-{number}", 1, EndpointState.REMOVED))
        assert registry.node_ids == {"s-unchanged": 1, "s-6": 8, "s-7": 9, "s-8": 10}
        apply_endpoints(registry, make_endpoint("s-6", 1), make_endpoint("s-new", 1))
        assert (registry.node_ids["s-6"], registry.node_ids["s-new"]) == (8, 11)

    def test_listeners_are_called_for_endpoints_that_changed_or_left_the_list(self) -> None:
        registry = EndpointRegistry({})
        notified: list[int] = []
        registry.listeners.append(notified.append)
        unchanged, changed, removed = (
            make_endpoint(name, 1) for name in ("s-unchanged", "s-changed", "s-removed")
        )
        apply_endpoints(registry, unchanged, changed, removed)
        assert notified == []
        apply_endpoints(registry, unchanged, make_endpoint("s-changed", 2), is_snapshot=True)
        assert notified == [registry.node_ids["s-changed"], registry.node_ids["s-removed"]]
        assert not registry.is_serving(registry.node_ids["s-removed"])

    def test_change_of_one_endpoint_is_applied_without_work_for_the_others(self) -> None:
        """Guards against work for the whole fleet at each change, which delays responses in a release."""
        lines_by_node_count = [count_lines_of_one_change(node_count) for node_count in (10, 1000)]
        assert lines_by_node_count[0] == lines_by_node_count[1]


def count_lines_of_one_change(node_count: int) -> int:
    """Return the number of lines that the change of one endpoint executes in a fleet of this size."""
    registry = EndpointRegistry({})
    apply_endpoints(registry, *(make_endpoint(f"s-{number}", 1) for number in range(node_count)))
    with LineCounter() as counter:
        apply_endpoints(registry, make_endpoint("s-0", 1, EndpointState.DRAINING))
    return counter.line_count
