"""The endpoint watch calls a failing discovery service again, in whatever way its calls fail."""

from __future__ import annotations

import asyncio
import socket
import unittest
from unittest import mock

from storage_gateway import policy_api as api
from storage_gateway.config import Address
from storage_gateway.endpoints import watch as watch_module
from storage_gateway.endpoints.discovery import DiscoveryClient
from storage_gateway.endpoints.registry import EndpointRegistry
from tests.support.failing_discovery import (
    BusyDiscovery,
    Responder,
    ScriptedDiscovery,
    busy,
    endless_list,
    indented_message,
    malformed_message,
    no_response,
    patch_call_intervals,
    rejected_version,
    snapshot,
    trickling_message,
    truncated_message,
)
from tests.support.polling import wait_until

LIST_TARGET = "/discovery/hosts"
WATCH_TARGET = "/discovery/hosts?watch=1&after=7"


class EndpointWatchTest(unittest.IsolatedAsyncioTestCase):
    """Timeouts and intervals are about a tenth of the real ones."""

    async def record_targets(
        self, *responders: Responder, has_list: bool = False, count: int = 3
    ) -> list[str]:
        """Return the targets of the first calls to a discovery service with these responders."""
        service = await ScriptedDiscovery(*responders).start()
        self.addCleanup(service.stop)
        self.events = asyncio.Queue[api.Event]()
        client = DiscoveryClient(
            Address("127.0.0.1", service.port), EndpointRegistry({}), self.events.put_nowait
        )
        client.registry.version = 7 if has_list else None
        with mock.patch.object(watch_module, "IDLE_TIMEOUT_S", 0.3), patch_call_intervals(0.15):
            client.start()
            self.addCleanup(client.stop)
            async with asyncio.timeout(5):
                return [await service.targets.get() for _ in range(count)]

    async def test_service_is_called_again_while_a_call_has_no_response(self) -> None:
        assert await self.record_targets(no_response, has_list=True) == [WATCH_TARGET] * 3

    async def test_service_is_called_again_while_a_list_does_not_end(self) -> None:
        assert await self.record_targets(endless_list) == [LIST_TARGET] * 3

    async def test_bytes_of_a_message_that_does_not_end_do_not_extend_the_idle_timeout(self) -> None:
        assert await self.record_targets(trickling_message, has_list=True) == [WATCH_TARGET] * 3

    async def test_truncated_message_is_not_applied_and_the_whole_list_is_fetched(self) -> None:
        targets = await self.record_targets(truncated_message, snapshot, no_response, has_list=True)
        assert targets[:2] == [WATCH_TARGET, LIST_TARGET]
        event = await self.events.get()
        assert isinstance(event, api.EndpointsChanged)
        assert event.kind is api.EndpointUpdateKind.SNAPSHOT
        assert event.entries[0].state is api.EndpointState.SERVING

    async def test_whole_list_is_fetched_after_a_malformed_message_over_two_lines(self) -> None:
        targets = await self.record_targets(malformed_message, snapshot, no_response, has_list=True)
        assert targets[:2] == [WATCH_TARGET, LIST_TARGET]

    async def test_whole_list_is_fetched_after_a_version_was_rejected(self) -> None:
        """Guards against a start with a version that discovery does not know: no list would be confirmed."""
        targets = await self.record_targets(rejected_version, snapshot, no_response, has_list=True)
        assert targets[:2] == [WATCH_TARGET, LIST_TARGET]

    async def test_version_is_kept_while_discovery_is_busy(self) -> None:
        targets = await self.record_targets(busy, busy, no_response, has_list=True)
        assert targets == [WATCH_TARGET] * 3

    async def test_indented_message_over_several_lines_is_applied(self) -> None:
        targets = await self.record_targets(snapshot, indented_message, count=2)
        assert targets[1] == WATCH_TARGET
        async with asyncio.timeout(5):
            events = [await self.events.get() for _ in range(2)]
        changes = [event for event in events if isinstance(event, api.EndpointsChanged)]
        assert changes[1].kind is api.EndpointUpdateKind.DELTA
        assert changes[1].entries[0].state is api.EndpointState.DRAINING

    async def test_exception_in_the_gateway_does_not_end_the_watch(self) -> None:
        with mock.patch.object(EndpointRegistry, "apply", side_effect=[KeyError("gateway bug"), []]):
            targets = await self.record_targets(snapshot, snapshot, no_response)
        assert targets[:2] == [LIST_TARGET] * 2

    async def test_address_that_refuses_connections_is_called_until_it_accepts_one(self) -> None:
        refusing = socket.create_server(("127.0.0.1", 0))
        address = Address("127.0.0.1", refusing.getsockname()[1])
        refusing.close()
        events = asyncio.Queue[api.Event]()
        client = DiscoveryClient(address, EndpointRegistry({}), events.put_nowait)
        client.start()
        self.addCleanup(client.stop)
        async with asyncio.timeout(5):
            await wait_until(lambda: client.watches[0].failures >= 2)
            service = ScriptedDiscovery(snapshot, no_response)
            service.server = await asyncio.start_server(service.handle_connection, address.host, address.port)
            self.addCleanup(service.stop)
            await events.get()

    async def test_consecutive_failures_are_counted_until_a_message_arrives(self) -> None:
        service = await BusyDiscovery(3).start()
        client = DiscoveryClient(
            Address("127.0.0.1", service.port), EndpointRegistry({}), lambda event: None, gateway_count=40
        )
        client.registry.version = 7
        failure_counts = asyncio.Queue[int]()

        def record_failures(failures: int) -> float:
            failure_counts.put_nowait(failures)
            return 0.0

        with mock.patch.object(client.backoff, "delay_s", record_failures):
            client.start()
            async with asyncio.timeout(5):
                failures = [await failure_counts.get() for _ in range(5)]
        client.stop()
        service.stop()
        assert failures == [0, 1, 2, 0, 0]
