"""The endpoint registry."""

from __future__ import annotations

import unittest
from unittest import mock

from storage_gateway.endpoints import registry as registry_module
from storage_gateway.endpoints.registry import EndpointRegistry
from storage_gateway.policy_api import EndpointState
from tests.support.peers import apply_endpoints, make_endpoint


class RegistryTest(unittest.TestCase):
    def test_boxes_that_went_are_forgotten_in_the_end_and_numbers_are_never_given_twice(self) -> None:
        registry = EndpointRegistry({})
        apply_endpoints(registry, make_endpoint("s-stays", 1))
        with mock.patch.object(registry_module, "MOST_GONE", 3):
            for life in range(9):
                apply_endpoints(registry, make_endpoint(f"s-{life}", 1))
                apply_endpoints(registry, make_endpoint(f"s-{life}", 1, EndpointState.REMOVED))
        assert registry.node_ids == {"s-stays": 1, "s-6": 8, "s-7": 9, "s-8": 10}
        apply_endpoints(registry, make_endpoint("s-6", 1), make_endpoint("s-new", 1))
        assert (registry.node_ids["s-6"], registry.node_ids["s-new"]) == (8, 11)
