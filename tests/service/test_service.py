"""When a gateway is ready, and how long one that shuts down goes on accepting requests."""

import unittest
from dataclasses import replace
from typing import Any

import pytest

from storage_gateway.service import MIN_ACCEPT_TIME_S, Gateway, accept_time_s
from tests.support.configuration import make_config, make_two_class_settings
from tests.support.endpoints import discovery_entry, discovery_snapshot


def make_gateway(gateway_count: int, known: list[dict[str, Any]]) -> Gateway:
    """Return a gateway with these cached endpoints that is not started."""
    settings = replace(make_two_class_settings(), gateway_count=gateway_count, must_watch_endpoints=True)
    return Gateway(make_config(settings=settings, known_endpoints=discovery_snapshot(*known)))


class AcceptTimeTest(unittest.TestCase):
    """The time follows from the shortest latency objective, and has a minimum."""

    def test_requests_are_accepted_while_the_quickest_class_can_be_served(self) -> None:
        assert accept_time_s(3.55, [0.2, 0.3, 1.5]) == pytest.approx(3.15)
        assert accept_time_s(3.55, [6.0, 0.8]) == pytest.approx(1.95)

    def test_requests_sent_before_clients_know_are_accepted_in_any_case(self) -> None:
        assert accept_time_s(1.0, [2.0]) == MIN_ACCEPT_TIME_S


class ReadinessTest(unittest.IsolatedAsyncioTestCase):
    """A gateway that shares its discovery service does with the cached endpoints until it is its turn."""

    async def test_cached_endpoints_make_it_ready_where_instances_share_discovery(self) -> None:
        assert not make_gateway(gateway_count=2, known=[]).is_ready()
        assert make_gateway(gateway_count=2, known=[discovery_entry("SERVING")]).is_ready()

    async def test_cached_endpoints_do_not_with_a_discovery_agent_of_its_own(self) -> None:
        assert not make_gateway(gateway_count=1, known=[discovery_entry("SERVING")]).is_ready()

    async def test_cached_endpoints_that_cannot_be_read_are_ignored(self) -> None:
        assert not make_gateway(gateway_count=2, known=[discovery_entry("no such state")]).is_ready()
