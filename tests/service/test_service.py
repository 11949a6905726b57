"""When a gateway is ready."""

import unittest
from dataclasses import replace
from typing import Any
from unittest import mock

from storage_gateway import service
from storage_gateway.service import Gateway
from tests.support.configuration import make_config, make_two_class_settings
from tests.support.endpoints import discovery_entry, discovery_snapshot


def make_gateway(gateway_count: int, known: list[dict[str, Any]]) -> Gateway:
    """Return a gateway with these cached endpoints; it is not started."""
    settings = replace(make_two_class_settings(), gateway_count=gateway_count, must_watch_endpoints=True)
    return Gateway(make_config(settings=settings, cached_endpoints=discovery_snapshot(*known)))


class ReadinessTest(unittest.IsolatedAsyncioTestCase):
    """A gateway with cached endpoints waits for discovery, but not for longer than a start may take."""

    async def test_cached_endpoints_do_not_suffice_before_discovery_has_responded(self) -> None:
        # Otherwise requests reach nodes that began to drain before the start.
        for gateway_count in (1, 2):
            assert not make_gateway(gateway_count, known=[]).is_ready()
            assert not make_gateway(gateway_count, known=[discovery_entry("SERVING")]).is_ready()

    async def test_gateway_with_cached_endpoints_is_ready_later_if_discovery_is_silent(self) -> None:
        self.enterContext(mock.patch.object(service, "READY_TIMEOUT_S", -1.0))
        assert make_gateway(1, known=[discovery_entry("no such state")]).is_ready()  # it is not used
        assert not make_gateway(1, known=[discovery_entry("SERVING")]).is_ready()

        self.enterContext(mock.patch.object(service, "CACHED_READY_TIMEOUT_S", -1.0))
        assert make_gateway(1, known=[discovery_entry("SERVING")]).is_ready()

    async def test_invalid_cached_endpoints_are_ignored(self) -> None:
        assert not make_gateway(gateway_count=2, known=[discovery_entry("no such state")]).is_ready()
