"""The discovery client: one watch, or more while it moves to another address."""

from __future__ import annotations

import asyncio
import json
import unittest
from unittest import mock

from storage_gateway import policy_api as api
from storage_gateway.config import Address
from storage_gateway.endpoints import call_schedule
from storage_gateway.endpoints import discovery as discovery_module
from storage_gateway.endpoints.discovery import DiscoveryClient
from storage_gateway.endpoints.registry import EndpointRegistry, EndpointUpdate
from storage_gateway.policy_api import EndpointState
from tests.support.endpoints import discovery_entry, make_endpoint
from tests.support.failing_discovery import (
    ScriptedDiscovery,
    busy,
    make_chunk,
    no_response,
    patch_call_intervals,
    snapshot,
)
from tests.support.peers import FakeDiscovery
from tests.support.polling import wait_until

UNUSED_ADDRESS = Address("127.0.0.1", 1)


class DiscoveryClientTest(unittest.IsolatedAsyncioTestCase):
    """The client against scripted discovery services."""

    async def test_malformed_message_is_skipped_and_the_whole_list_applied(self) -> None:
        full_list = {"generation": 7, "reset": True, "instances": [discovery_entry("SERVING")]}
        change = {"generation": 8, "reset": False, "instances": [discovery_entry("DRAINING")]}
        watch_lines = [[b"", b"{bad"], [b"", json.dumps(change).encode()]]
        service = await FakeDiscovery(full_list, watch_lines).start()
        registry = EndpointRegistry({})
        events = asyncio.Queue[api.Event]()
        client = DiscoveryClient(Address("127.0.0.1", service.port), registry, events.put_nowait)
        client.start()
        async with asyncio.timeout(5):
            posted = [await events.get() for _ in range(3)]
        client.stop()
        service.stop()
        changes = [event for event in posted if isinstance(event, api.EndpointsChanged)]
        full = (api.EndpointUpdateKind.SNAPSHOT, EndpointState.SERVING)
        draining = (api.EndpointUpdateKind.DELTA, EndpointState.DRAINING)
        assert [(event.kind, event.entries[0].state) for event in changes] == [full, full, draining]
        assert len({event.entries[0].id for event in changes}) == 1
        assert not registry.is_serving(1)

    async def test_move_applies_the_new_whole_list_and_keeps_the_old_watch_until_then(self) -> None:
        old_list = {"generation": 70, "reset": True, "instances": [discovery_entry("SERVING")]}
        new_list = {"generation": 7, "reset": True, "instances": [discovery_entry("SERVING", 10)]}
        change = {"generation": 71, "reset": False, "instances": [discovery_entry("DRAINING")]}
        old = await FakeDiscovery(old_list, [[b""]]).start()
        new = await FakeDiscovery(new_list, []).start()
        registry = EndpointRegistry({})
        events = asyncio.Queue[api.Event]()
        client = DiscoveryClient(Address("127.0.0.1", old.port), registry, events.put_nowait)
        unresponsive = await ScriptedDiscovery(no_response).start()
        client.start()
        async with asyncio.timeout(5):
            await events.get()
            await wait_until(lambda: len(old.targets) >= 2)  # the list, then the watch
            client.move(Address("127.0.0.1", unresponsive.port))
            for writer in old.writers:  # the new address does not respond, so the old one is still used
                writer.write(make_chunk(json.dumps(change).encode() + b"\n"))
            await events.get()
            assert not registry.is_serving(1)
            client.move(Address("127.0.0.1", new.port))
            await events.get()
            await wait_until(lambda: not old.open_connections and len(new.targets) >= 2)
        assert registry.endpoints[1].address.port == 10
        assert new.targets == ["/discovery/hosts", "/discovery/hosts?watch=1&after=7"]
        assert len(client.watches) == 1
        client.stop()
        for service in (old, new, unresponsive):
            service.stop()

    async def test_single_instance_fetches_its_list_at_once(self) -> None:
        service = await FakeDiscovery({"generation": 1, "reset": True, "instances": []}, [[b""]]).start()
        events = asyncio.Queue[api.Event]()
        client = DiscoveryClient(Address("127.0.0.1", service.port), EndpointRegistry({}), events.put_nowait)
        client.start()
        async with asyncio.timeout(5):
            assert await events.get() == api.EndpointsChanged(api.EndpointUpdateKind.SNAPSHOT, [])
        client.stop()
        service.stop()

    async def test_address_moved_to_is_called_again_soon_after_a_late_or_failed_call(self) -> None:
        self.enterContext(patch_call_intervals(60.0))
        self.enterContext(mock.patch.object(call_schedule, "MAX_MOVE_INTERVAL_S", 0.15))
        self.enterContext(mock.patch.object(call_schedule, "MAX_MOVE_BACKOFF_S", 0.0))
        for responder in (no_response, busy):
            service = await ScriptedDiscovery(responder, snapshot, no_response).start()
            self.addCleanup(service.stop)
            events = asyncio.Queue[api.Event]()
            client = DiscoveryClient(
                UNUSED_ADDRESS, EndpointRegistry({}), events.put_nowait, gateway_count=10**6
            )
            client.start()
            client.move(Address("127.0.0.1", service.port))
            self.addCleanup(client.stop)
            self.enterContext(mock.patch.object(client.backoff, "delay_s", return_value=60.0))
            async with asyncio.timeout(5):
                await events.get()

    async def test_moves_to_silent_addresses_in_a_row_leave_two_watches(self) -> None:
        # Otherwise each move adds a watch with its pending calls, until no descriptor is left.
        old = await ScriptedDiscovery(snapshot, no_response).start()
        silent = await ScriptedDiscovery(no_response).start()
        self.addCleanup(old.stop)
        self.addCleanup(silent.stop)
        events = asyncio.Queue[api.Event]()
        client = DiscoveryClient(Address("127.0.0.1", old.port), EndpointRegistry({}), events.put_nowait)
        client.start()
        self.addCleanup(client.stop)
        async with asyncio.timeout(5):
            await events.get()
            watches = [client.watches[0]]
            for _ in range(5):
                client.move(Address("127.0.0.1", silent.port))
                watches.append(client.watches[-1])
                await silent.targets.get()
            await wait_until(lambda: watches[-2].is_closed())
        assert client.watches == [watches[0], watches[-1]]
        assert [watch.is_closed() for watch in watches] == [False, True, True, True, True, False]

    async def test_stop_ends_all_watches_and_closes_their_connections(self) -> None:
        old = await ScriptedDiscovery(no_response).start()
        new = await ScriptedDiscovery(snapshot, no_response).start()
        self.addCleanup(old.stop)
        self.addCleanup(new.stop)
        events = asyncio.Queue[api.Event]()
        client = DiscoveryClient(Address("127.0.0.1", old.port), EndpointRegistry({}), events.put_nowait)
        client.start()
        async with asyncio.timeout(5):
            await old.targets.get()
            superseded = client.watches[0]
            client.move(Address("127.0.0.1", new.port))
            await events.get()
            client.stop()
            await client.wait_closed()
        assert superseded.is_closed()
        assert [watch.is_closed() for watch in client.watches] == [True]


class CachedListTest(unittest.IsolatedAsyncioTestCase):
    """A cached list may name nodes that began to drain before the start, so discovery has to confirm it."""

    cached_list = EndpointUpdate(7, True, [make_endpoint("s-a", 9), make_endpoint("s-b", 10)])

    async def start(self, *watch_lines: bytes) -> DiscoveryClient:
        """Start a client with the cached list and a discovery service whose first watch has these lines."""
        whole_list = {"generation": 9, "reset": True, "instances": [discovery_entry("SERVING", 11)]}
        service = await FakeDiscovery(whole_list, [list(watch_lines)]).start()
        self.addCleanup(service.stop)
        self.kinds: list[api.EndpointUpdateKind] = []

        def record(event: api.Event) -> None:
            assert isinstance(event, api.EndpointsChanged)
            self.kinds.append(event.kind)

        self.enterContext(patch_call_intervals(0.2))
        client = DiscoveryClient(Address("127.0.0.1", service.port), EndpointRegistry({}), record)
        client.start(self.cached_list)
        self.addCleanup(client.stop)
        return client

    async def start_until_connected(self, *watch_lines: bytes) -> DiscoveryClient:
        client = await self.start(*watch_lines)
        async with asyncio.timeout(5):
            await client.connected.wait()
        return client

    async def test_list_is_not_used_while_discovery_is_silent(self) -> None:
        client = await self.start()
        async with asyncio.timeout(5):
            await wait_until(lambda: client.watches[0].failures >= 2)
        assert (self.kinds, client.registry.endpoints) == ([], {})
        assert not client.list_usable.is_set()

    async def test_list_is_used_once_a_blank_line_says_that_nothing_has_changed(self) -> None:
        client = await self.start_until_connected(b"")
        assert self.kinds == [api.EndpointUpdateKind.CACHED]
        assert sorted(client.registry.endpoints) == [1, 2]

    async def test_changes_since_the_cached_version_are_applied_with_the_list(self) -> None:
        change = {"generation": 8, "reset": False, "instances": [discovery_entry("DRAINING")]}
        client = await self.start_until_connected(json.dumps(change).encode())
        assert self.kinds == [api.EndpointUpdateKind.CACHED, api.EndpointUpdateKind.DELTA]
        assert [client.registry.is_serving(node_id) for node_id in (1, 2)] == [False, True]

    async def test_whole_list_replaces_the_cached_one(self) -> None:
        whole_list = {"generation": 8, "reset": True, "instances": [discovery_entry("SERVING", 11)]}
        client = await self.start_until_connected(json.dumps(whole_list).encode())
        assert self.kinds == [api.EndpointUpdateKind.SNAPSHOT]
        assert [endpoint.address.port for endpoint in client.registry.endpoints.values()] == [11]

    async def test_address_moved_to_replaces_the_cached_list(self) -> None:
        client = await self.start()
        new = await ScriptedDiscovery(snapshot, no_response).start()
        self.addCleanup(new.stop)
        client.move(Address("127.0.0.1", new.port))
        async with asyncio.timeout(5):
            await client.connected.wait()
        assert self.kinds == [api.EndpointUpdateKind.SNAPSHOT]

    async def test_list_is_used_unconfirmed_if_discovery_stays_silent(self) -> None:
        self.enterContext(mock.patch.object(discovery_module, "CACHED_LIST_TIMEOUT_S", 0.3))
        client = await self.start()
        async with asyncio.timeout(5):
            await client.list_usable.wait()
        assert not client.connected.is_set()
        assert self.kinds == [api.EndpointUpdateKind.CACHED]
        assert client.registry.is_serving(1)

    async def test_list_stays_in_use_when_discovery_moves_to_a_silent_address(self) -> None:
        client = await self.start_until_connected(b"")
        silent = await ScriptedDiscovery(no_response).start()
        self.addCleanup(silent.stop)
        client.move(Address("127.0.0.1", silent.port))
        async with asyncio.timeout(5):
            await wait_until(lambda: client.watches[-1].failures >= 2)
        assert [client.registry.is_serving(node_id) for node_id in (1, 2)] == [True, True]


class InitialDelayTest(unittest.IsolatedAsyncioTestCase):
    """The delay before the first call."""

    async def read_initial_delay(self, gateway_count: int, has_list: bool) -> float:
        registry = EndpointRegistry({})
        cached_list = EndpointUpdate(1, True, [make_endpoint("s-1", 1)]) if has_list else None
        client = DiscoveryClient(UNUSED_ADDRESS, registry, lambda event: None, gateway_count, seed=3)
        client.start(cached_list)
        client.stop()
        return client.watches[0].initial_delay_s

    async def test_first_call_is_delayed_only_with_a_cached_list_and_shared_discovery(self) -> None:
        assert await self.read_initial_delay(40, has_list=True) > 0.0
        assert await self.read_initial_delay(40, has_list=False) == 0.0
        assert await self.read_initial_delay(1, has_list=True) == 0.0
