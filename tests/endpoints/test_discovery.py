"""The endpoint watch against a scripted discovery service."""

from __future__ import annotations

import asyncio
import json
import unittest

from storage_gateway import policy_api as api
from storage_gateway.config import Address
from storage_gateway.endpoints.discovery import DiscoveryClient
from storage_gateway.endpoints.registry import EndpointRegistry
from storage_gateway.policy_api import EndpointState
from tests.support.peers import FakeDiscovery
from tests.support.process import discovery_entry


class DiscoveryStory(unittest.IsolatedAsyncioTestCase):
    async def test_a_bad_line_is_skipped_and_the_whole_list_taken(self) -> None:
        whole = {"generation": 7, "reset": True, "instances": [discovery_entry("SERVING")]}
        change = {"generation": 8, "reset": False, "instances": [discovery_entry("DRAINING")]}
        agent = await FakeDiscovery(whole, [[b"", b"{tea"], [b"", json.dumps(change).encode()]]).start()
        registry, told = EndpointRegistry({}), asyncio.Queue[api.Event]()
        discovery = DiscoveryClient(Address("127.0.0.1", agent.port), registry, told.put_nowait)
        discovery.start()
        async with asyncio.timeout(5):
            news = [await told.get() for _ in range(3)]
        discovery.stop()
        agent.stop()
        kinds = [(one.kind, one.entries[0].state) for one in news if isinstance(one, api.EndpointsChanged)]
        full = (api.EndpointUpdateKind.SNAPSHOT, EndpointState.SERVING)
        assert kinds == [full, full, (api.EndpointUpdateKind.DELTA, EndpointState.DRAINING)]
        assert len({one.entries[0].node for one in news if isinstance(one, api.EndpointsChanged)}) == 1
        assert not registry.is_serving(1)

    async def test_a_move_takes_the_new_agent_s_whole_list_and_keeps_the_old_watch_until_then(self) -> None:
        old_list = {"generation": 70, "reset": True, "instances": [discovery_entry("SERVING")]}
        new_list = {"generation": 7, "reset": True, "instances": [discovery_entry("SERVING", 10)]}
        later = {"generation": 71, "reset": False, "instances": [discovery_entry("DRAINING")]}
        old, new = await FakeDiscovery(old_list, [[b""]]).start(), await FakeDiscovery(new_list, []).start()
        registry, told = EndpointRegistry({}), asyncio.Queue[api.Event]()
        discovery = DiscoveryClient(Address("127.0.0.1", old.port), registry, told.put_nowait)
        silent = await asyncio.start_server(lambda reader, writer: asyncio.sleep(60), "127.0.0.1", 0)
        discovery.start()
        async with asyncio.timeout(5):
            await told.get()
            while len(old.asked) < 2:  # the list, then the watch
                await asyncio.sleep(0.005)
            discovery.move(Address("127.0.0.1", silent.sockets[0].getsockname()[1]))
            for writer in old.writers:  # the new one is silent: the old one still counts
                line = json.dumps(later).encode()
                writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
            await told.get()
            assert not registry.is_serving(1)
            discovery.move(Address("127.0.0.1", new.port))
            await told.get()
            while old.open or len(new.asked) < 2:
                await asyncio.sleep(0.005)
        assert registry.endpoints[1].address.port == 10
        assert new.asked == ["/discovery/hosts", "/discovery/hosts?watch=1&after=7"]
        assert len(discovery.watches) == 1
        discovery.stop()
        for peer in (old, new):
            peer.stop()
        silent.close()
