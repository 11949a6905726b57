"""The endpoint registry."""

from __future__ import annotations

import unittest
from unittest import mock

from storage_gateway.endpoints import registry as registry_module
from storage_gateway.endpoints.registry import EndpointRegistry
from storage_gateway.policy_api import EndpointState
from tests.support.endpoints import apply_endpoints, make_endpoint


class EndpointRegistryTest(unittest.TestCase):
    """Ids and listeners."""

    def test_removed_endpoints_are_forgotten_in_the_end_and_no_id_is_given_twice(self) -> None:
        registry = EndpointRegistry({})
        apply_endpoints(registry, make_endpoint("s-stays", 1))
        with mock.patch.object(registry_module, "MAX_REMOVED_ENDPOINTS", 3):
            for number in range(9):
                apply_endpoints(registry, make_endpoint(f"s-{number}", 1))
                apply_endpoints(registry, make_endpoint(f"s-{number}", 1, EndpointState.REMOVED))
        assert registry.node_ids == {"s-stays": 1, "s-6": 8, "s-7": 9, "s-8": 10}
        apply_endpoints(registry, make_endpoint("s-6", 1), make_endpoint("s-new", 1))
        assert (registry.node_ids["s-6"], registry.node_ids["s-new"]) == (8, 11)

    def test_listeners_are_called_for_endpoints_that_changed_or_went(self) -> None:
        registry = EndpointRegistry({})
        changed: list[int] = []
        registry.listeners.append(changed.append)
        stays, moves, goes = (make_endpoint(name, 1) for name in ("s-stays", "s-moves", "s-goes"))
        apply_endpoints(registry, stays, moves, goes)
        assert changed == []
        apply_endpoints(registry, stays, make_endpoint("s-moves", 2), is_snapshot=True)
        assert changed == [registry.node_ids["s-moves"], registry.node_ids["s-goes"]]
        assert not registry.is_serving(registry.node_ids["s-goes"])
